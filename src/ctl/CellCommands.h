#pragma once

/// Commands that show or change the state of a running cell.

#include "ctl/Command.h"

namespace fernlift::ctl
{

/// `status`: shows the leader, members, runners, replicas and routers.
base::Result<CommandReport> statusCommand (CommandContext& context);
/// `explain KIND [NAME]`: shows the decisions about a model, a runner, a request or the
/// configuration.
base::Result<CommandReport> explainCommand (CommandContext& context);
/// `drain RUNNER`: stops new work for a runner and has its replicas moved; `--undo` cancels it.
base::Result<CommandReport> drainCommand (CommandContext& context);
/// `quarantine [release REQUEST|release-all]`: shows or releases quarantined requests.
base::Result<CommandReport> quarantineCommand (CommandContext& context);
/// `members [add ...|promote ID|remove ID]`: shows or changes the controllers of the cell.
base::Result<CommandReport> membersCommand (CommandContext& context);

}  // namespace fernlift::ctl
