#pragma once

/// Types that all commands of fernliftctl share: context, report and table entry.

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
    std::vector<std::string> arguments;  ///< Positional arguments after the command's name.
    AdminTransport& transport;
    base::TimePoint deadline;  ///< Deadline of the whole command.
};

/// Result of a successful command.
struct CommandReport
{
    QJsonObject json;
    std::string text;  ///< If not empty, shown as text output in place of `json`.
    int exitCode = 0;
};

using CommandFunction = base::Result<CommandReport> (*) (CommandContext& context);

/// Entry of the table of commands.
struct Command
{
    std::string_view name;
    std::string_view usage;  ///< Arguments as the help shows them, for example "FILE".
    std::size_t minimumArguments = 0;
    std::size_t maximumArguments = 0;
    CommandFunction run = nullptr;
    std::string_view summary;
};

}  // namespace fernlift::ctl
