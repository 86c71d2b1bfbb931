/// Main function of fernliftctl, the operators' command-line tool.

#include <QCoreApplication>
#include <iostream>

#include "config/Settings.h"
#include "ctl/Ctl.h"
#include "ctl/HttpTransport.h"
#include "log/Log.h"

int main (int argc, char** argv)
{
    using namespace fernlift;
    ctl::CtlOptions options;
    config::SettingsSchema schema ("fernliftctl", ctl::commandsHelp());
    ctl::declareSettings (schema, options);
    const config::CommandLineOutcome commandLine = config::parseCommandLine (argc, argv, schema);
    if (commandLine.exitCode)
        return *commandLine.exitCode;

    options.logging.program = "fernliftctl";
    log::initialize (options.logging);
    const QCoreApplication application (argc, argv);
    ctl::HttpTransport transport;
    return ctl::runCommand (options, commandLine.positionals, transport, std::cout, std::cerr);
}
