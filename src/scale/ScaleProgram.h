#pragma once

/// The commands `scale`, `scale-routers` and `scale-runners` of fernlift-fleet.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"

namespace fernlift::scale
{

/// The sizes at which one dimension is measured.
struct Ladder
{
    std::string dimension;
    std::vector<std::int64_t> sizes;
};

/// Parses "routers=20,70,140"; fails with kUsage.
[[nodiscard]] base::Result<Ladder> parseLadder (std::string_view text);

/// True when the command line asks for one of the commands of this module.
[[nodiscard]] bool isScaleCommand (int argc, char** argv);
/// Runs the command; returns the exit code of the process.
int runScaleProgram (int argc, char** argv);

}  // namespace fernlift::scale
