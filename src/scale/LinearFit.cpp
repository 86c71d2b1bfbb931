#include "scale/LinearFit.h"

#include <cmath>

namespace fernlift::scale
{
namespace
{

constexpr std::size_t kFittedParameters = 2;

struct Means
{
    double x = 0;
    double y = 0;
};

Means meansOf (const std::vector<Point>& points)
{
    Means means;
    for (const Point& point : points)
    {
        means.x += point.x;
        means.y += point.y;
    }
    const auto count = static_cast<double> (points.size());
    means.x /= count;
    means.y /= count;
    return means;
}

double residualSquares (const std::vector<Point>& points, const LinearFit& fit)
{
    double sum = 0;
    for (const Point& point : points)
    {
        const double residual = point.y - fit.at (point.x);
        sum += residual * residual;
    }
    return sum;
}

}  // namespace

std::optional<LinearFit> fitLine (const std::vector<Point>& points)
{
    if (points.size() < kFittedParameters)
        return std::nullopt;
    const Means means = meansOf (points);
    double squares = 0;
    double products = 0;
    for (const Point& point : points)
    {
        squares += (point.x - means.x) * (point.x - means.x);
        products += (point.x - means.x) * (point.y - means.y);
    }
    if (squares <= 0)
        return std::nullopt;
    LinearFit fit;
    fit.points = points.size();
    fit.slope = products / squares;
    fit.intercept = means.y - fit.slope * means.x;
    if (points.size() == kFittedParameters)
        return fit;
    const auto count = static_cast<double> (points.size());
    const double variance =
        residualSquares (points, fit) / (count - static_cast<double> (kFittedParameters));
    fit.slopeError = std::sqrt (variance / squares);
    fit.interceptError = std::sqrt (variance * (1 / count + means.x * means.x / squares));
    return fit;
}

}  // namespace fernlift::scale
