#pragma once

/// The sizes that a scale run steps.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fernlift::scale
{

/// Size of one cell and of what happens to it.
struct ScaleSizes
{
    std::int64_t routers = 20;
    std::int64_t runners = 60;
    std::int64_t models = 16;
    std::int64_t adapters = 400;
    std::int64_t loadsPerHour = 1000;
    std::int64_t changesPerDay = 0;
};

/// One size that can be stepped while the others stay.
struct Dimension
{
    std::string_view name;  ///< As in the CSV and on the command line.
    std::int64_t ScaleSizes::*size;
};

inline constexpr std::array<Dimension, 6> kDimensions{ {
    { "routers", &ScaleSizes::routers },
    { "runners", &ScaleSizes::runners },
    { "models", &ScaleSizes::models },
    { "adapters", &ScaleSizes::adapters },
    { "loads_per_hour", &ScaleSizes::loadsPerHour },
    { "changes_per_day", &ScaleSizes::changesPerDay },
} };

}  // namespace fernlift::scale
