#pragma once

/// Generates the catalogue files of a simulated cell.

#include <cstdint>
#include <string>
#include <vector>

#include "base/Random.h"

namespace fernlift::sim
{

/// A target that callers can request.
struct SimulatedTarget
{
    std::string name;
    bool isApplication = false;
    bool isRepeatable = true;
    std::int64_t deadlineMilliseconds = 0;
};

/// The targets that every file contains: the applications, then models and adapters by falling
/// demand.
[[nodiscard]] const std::vector<SimulatedTarget>& simulatedTargets();

/// Returns a catalogue file with this version. `variant` makes the text unique; replica limits are
/// random.
[[nodiscard]] std::string catalogueText (std::uint64_t version, std::uint64_t variant,
                                         base::Random& random);

}  // namespace fernlift::sim
