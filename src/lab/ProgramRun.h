#pragma once

/// Common main function of the programs of this module: settings, logging, QCoreApplication and
/// exit code.

#include <QCoreApplication>
#include <iostream>
#include <string>

#include "base/Error.h"
#include "config/Settings.h"
#include "log/Log.h"

namespace fernlift::lab
{

/// Reads the command line into a `Settings` (which has `logging` and `declare`), then returns the
/// exit code of `command(settings, positionals)`. On an error, prints the message and returns the
/// exit code of the error kind.
template <class Settings, class Command>
int runProgram (int argc, char** argv, const std::string& program, const std::string& summary,
                Command&& command)
{
    Settings settings;
    settings.logging.program = program;
    config::SettingsSchema schema (program, summary);
    settings.declare (schema);
    const config::CommandLineOutcome outcome = config::parseCommandLine (argc, argv, schema);
    if (outcome.exitCode)
        return *outcome.exitCode;
    log::initialize (settings.logging);
    const QCoreApplication application (argc, argv);
    return base::handleErrors ([&]() -> base::Result<int>
                               { return command (settings, outcome.positionals); },
                               [&] (const base::Error& error)
                               {
                                   std::cerr << program << ": " << error.message << "\n";
                                   return base::traitsOf (error.kind).exitCode;
                               });
}

}  // namespace fernlift::lab
