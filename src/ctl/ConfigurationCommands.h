#pragma once

/// Commands that check, compare or apply a catalogue file.

#include "ctl/Command.h"

namespace fernlift::ctl
{

/// `validate FILE`: checks the file without a controller.
base::Result<CommandReport> validateCommand (CommandContext& context);
/// `diff FILE`: compares the file with the configuration in force and reports what apply would do.
base::Result<CommandReport> diffCommand (CommandContext& context);
/// `apply FILE`: sends the file to the controllers as the cell's new configuration; `--wait` waits
/// until every live router uses it.
base::Result<CommandReport> applyCommand (CommandContext& context);

}  // namespace fernlift::ctl
