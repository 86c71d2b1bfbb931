#pragma once

/// Commands that print the tables built into fernlift. They need no controller.

#include "ctl/Command.h"

namespace fernlift::ctl
{

/// `events`: every event of the logs.
base::Result<CommandReport> eventsCommand (CommandContext& context);
/// `errors`: every kind of error with its HTTP status and exit code.
base::Result<CommandReport> errorsCommand (CommandContext& context);

}  // namespace fernlift::ctl
