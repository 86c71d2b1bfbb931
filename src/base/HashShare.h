#pragma once

/// A draw that is the same for the same text at every process of one build.

#include <cstddef>
#include <functional>
#include <string_view>

namespace fernlift::base
{

/// From 0 to below 1, evenly spread over texts.
[[nodiscard]] inline double hashShare (std::string_view text)
{
    constexpr double kRange = 18446744073709551616.0;
    return static_cast<double> (std::hash<std::string_view>() (text)) / kRange;
}

}  // namespace fernlift::base
