#pragma once

/// Commands that work on a catalogue file.

#include "ctl/Command.h"

namespace fernlift::ctl
{

/// `validate FILE`: checks the file without a controller.
base::Result<CommandReport> validateCommand (CommandContext& context);
/// `diff FILE`: compares the file with the configuration in force and says what apply would do.
base::Result<CommandReport> diffCommand (CommandContext& context);
/// `apply FILE`: puts the file in force.
base::Result<CommandReport> applyCommand (CommandContext& context);

}  // namespace fernlift::ctl
