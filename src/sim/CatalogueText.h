#pragma once

/// Catalogue files of a simulated cell.

#include <cstdint>
#include <string>
#include <vector>

#include "base/Random.h"

namespace fernlift::sim
{

/// A target that callers may name.
struct SimulatedTarget
{
    std::string name;
    bool isApplication = false;
    bool isRepeatable = true;
    std::int64_t deadlineMilliseconds = 0;
};

/// The targets that every file contains, most wanted first.
[[nodiscard]] const std::vector<SimulatedTarget>& simulatedTargets();

/// A file of this version. `variant` makes its text unique; bounds of replicas are drawn.
[[nodiscard]] std::string catalogueText (std::uint64_t version, std::uint64_t variant,
                                         base::Random& random);

}  // namespace fernlift::sim
