#pragma once

/// Pseudo-random selection by text: the same text gives the same number in every process of one
/// build.

#include <cstddef>
#include <functional>
#include <string_view>

namespace fernlift::base
{

/// Hashes `text` to a number in [0, 1), uniformly distributed over texts.
[[nodiscard]] inline double hashToUnitInterval (std::string_view text)
{
    constexpr double kRange = 18446744073709551616.0;
    return static_cast<double> (std::hash<std::string_view>() (text)) / kRange;
}

}  // namespace fernlift::base
