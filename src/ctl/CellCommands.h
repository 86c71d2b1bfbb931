#pragma once

/// Commands that show or change the state of a running cell.

#include "ctl/Command.h"

namespace fernlift::ctl
{

/// `status`: leader, members, runners, replicas and routers.
base::Result<CommandReport> statusCommand (CommandContext& context);
/// `explain KIND [NAME]`: the decisions about a model, runner, request or the configuration.
base::Result<CommandReport> explainCommand (CommandContext& context);
/// `drain RUNNER`: sends no new work to a runner and moves its replicas; `--undo` ends that.
base::Result<CommandReport> drainCommand (CommandContext& context);
base::Result<CommandReport> quarantineCommand (CommandContext& context);
/// `members [add ...|promote ID|remove ID]`: shows or changes the controllers of the cell.
base::Result<CommandReport> membersCommand (CommandContext& context);

}  // namespace fernlift::ctl
