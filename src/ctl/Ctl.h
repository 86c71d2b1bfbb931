#pragma once

/// Command table, dispatch and output of fernliftctl, without its main function.

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

#include "ctl/Command.h"

namespace fernlift::ctl
{

[[nodiscard]] std::span<const Command> allCommands();
/// Help text that precedes the flags: usage and summary of each command.
[[nodiscard]] std::string commandsHelp();

/// Runs the command named by the first positional and returns the exit code. Results go to
/// `output`; errors go to `errors`, or to `output` as an object {"error":...} with --output json.
int runCommand (const CtlOptions& options, const std::vector<std::string>& positionals,
                AdminTransport& transport, std::ostream& output, std::ostream& errors);

}  // namespace fernlift::ctl
