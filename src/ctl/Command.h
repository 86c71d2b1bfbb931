#pragma once

/// What every command of fernliftctl takes and gives.

#include <QJsonObject>
#include <string>
#include <vector>

#include "base/Error.h"
#include "ctl/AdminTransport.h"
#include "ctl/CtlOptions.h"

namespace fernlift::ctl
{

struct CommandContext
{
    const CtlOptions& options;
    std::vector<std::string> arguments;  ///< Those after the command's name.
    AdminTransport& transport;
    base::TimePoint deadline;  ///< Of the whole command.
};

/// Result of a command that did not fail.
struct CommandReport
{
    QJsonObject json;
    std::string text;  ///< Shown instead of a rendering of `json`, when not empty.
    int exitCode = 0;
};

using CommandFunction = base::Result<CommandReport> (*) (CommandContext& context);

/// One command.
struct Command
{
    std::string_view name;
    std::string_view usage;  ///< Arguments, for example "FILE".
    std::size_t minimumArguments = 0;
    std::size_t maximumArguments = 0;
    CommandFunction run = nullptr;
    std::string_view summary;
};

}  // namespace fernlift::ctl
