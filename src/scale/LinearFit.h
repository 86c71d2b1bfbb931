#pragma once

/// Straight line through measured points by least squares.

#include <cstddef>
#include <optional>
#include <vector>

namespace fernlift::scale
{

struct Point
{
    double x = 0;
    double y = 0;
};

/// y = intercept + slope * x.
struct LinearFit
{
    std::size_t points = 0;
    double slope = 0;
    double intercept = 0;
    /// Standard errors; nothing with two points, which leave no residual degree of freedom.
    std::optional<double> slopeError;
    std::optional<double> interceptError;

    [[nodiscard]] double at (double x) const { return intercept + slope * x; }
};

/// Nothing when fewer than two different x are given.
[[nodiscard]] std::optional<LinearFit> fitLine (const std::vector<Point>& points);

}  // namespace fernlift::scale
