#pragma once

/// Commands that print the built-in tables of events and errors. They need no controller.

#include "ctl/Command.h"

namespace fernlift::ctl
{

/// `events`: lists every log event.
base::Result<CommandReport> eventsCommand (CommandContext& context);
/// `errors`: lists every kind of error with its HTTP status and exit code.
base::Result<CommandReport> errorsCommand (CommandContext& context);

}  // namespace fernlift::ctl
