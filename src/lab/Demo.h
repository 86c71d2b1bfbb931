#pragma once

/// The main job on an embedded fleet, step by step, printed for a person.

#include <ostream>
#include <string>

#include "base/Error.h"
#include "lab/Fleet.h"
#include "lab/FleetSpec.h"

namespace fernlift::lab
{

/// Runs the demo. Returns 0 when every step did what it should; fails with the first fault found.
[[nodiscard]] base::Result<int> runDemo (FleetSpec spec, const FleetFolders& folders,
                                         const std::string& catalogue, std::ostream& output);

}  // namespace fernlift::lab
