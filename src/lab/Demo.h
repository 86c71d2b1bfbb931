#pragma once

/// Demo on a fleet that this process starts: cold start, a burst of calls, a killed leader and
/// planned stops, with printed results.

#include <ostream>
#include <string>

#include "base/Error.h"
#include "lab/Fleet.h"
#include "lab/FleetSpec.h"

namespace fernlift::lab
{

/// Runs the demo. Returns 0 when every step succeeded; fails with the first error.
[[nodiscard]] base::Result<int> runDemo (FleetSpec spec, const FleetFolders& folders,
                                         const std::string& catalogue, std::ostream& output);

}  // namespace fernlift::lab
