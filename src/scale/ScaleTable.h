#pragma once

/// What a scale run measured, and the slopes that follow from it, as CSV.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "scale/LinearFit.h"
#include "scale/ScaleSizes.h"

namespace fernlift::scale
{

/// One measured value.
struct Measurement
{
    std::string dimension;  ///< Stepped size; see kDimensions.
    ScaleSizes sizes;       ///< All sizes of the step.
    std::int64_t size = 0;  ///< Of the stepped one.
    std::string role;       ///< "leader", "follower", "router" or "run".
    std::string quantity;   ///< With its unit, for example "bytes_out_per_second".
    double value = 0;
};

/// Slope of one quantity of one role against one dimension.
struct Slope
{
    std::string dimension;
    std::string role;
    std::string quantity;
    LinearFit fit;
    double largestSize = 0;
};

/// One fit for each dimension, role and quantity that has two sizes at least, in the order in which
/// they first appear. A quantity without a value at a size of its dimension counts as 0 there.
[[nodiscard]] std::vector<Slope> slopesOf (const std::vector<Measurement>& measurements);

/// A field as it stands in CSV: in quotes when it holds a comma, a quote or a line end.
[[nodiscard]] std::string csvField (const std::string& text);
[[nodiscard]] std::string measurementsCsv (const std::vector<Measurement>& measurements);
[[nodiscard]] std::string slopesCsv (const std::vector<Slope>& slopes);

}  // namespace fernlift::scale
