#include "scale/ScaleTable.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace fernlift::scale
{
namespace
{

constexpr int kDigits = 6;

struct SeriesKey
{
    std::string dimension;
    std::string role;
    std::string quantity;

    // clang-tidy 14 takes the zero of a defaulted comparison for a pointer.
    auto operator<=> (const SeriesKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

std::string numberText (double value)
{
    std::ostringstream text;
    text.precision (kDigits);
    text << value;
    return text.str();
}

std::string numberText (const std::optional<double>& value)
{
    return value ? numberText (*value) : std::string();
}

std::string csvLine (const std::vector<std::string>& fields)
{
    std::string line;
    for (const std::string& field : fields)
    {
        line += (line.empty() ? "" : ",") + csvField (field);
    }
    return line + "\n";
}

/// Sizes at which each dimension was measured; a step may have been made more than once.
std::map<std::string, std::multiset<std::int64_t>> sizesByDimension (
    const std::vector<Measurement>& measurements)
{
    std::map<std::string, std::map<std::int64_t, std::map<SeriesKey, std::size_t>>> counts;
    for (const Measurement& row : measurements)
    {
        ++counts[row.dimension][row.size][{ row.dimension, row.role, row.quantity }];
    }
    std::map<std::string, std::multiset<std::int64_t>> sizes;
    for (const auto& [dimension, bySize] : counts)
    {
        for (const auto& [size, bySeries] : bySize)
        {
            std::size_t steps = 0;
            for (const auto& [key, count] : bySeries)
                steps = std::max (steps, count);
            for (std::size_t step = 0; step < steps; ++step)
                sizes[dimension].insert (size);
        }
    }
    return sizes;
}

/// Adds a zero for each step of the dimension in which the quantity does not appear.
void addMissing (std::vector<Point>& points, std::multiset<std::int64_t> sizes)
{
    for (const Point& point : points)
    {
        const auto found = sizes.find (static_cast<std::int64_t> (point.x));
        if (found != sizes.end())
            sizes.erase (found);
    }
    for (const std::int64_t size : sizes)
        points.push_back ({ static_cast<double> (size), 0 });
}

}  // namespace

std::vector<Slope> slopesOf (const std::vector<Measurement>& measurements)
{
    std::vector<SeriesKey> order;
    std::map<SeriesKey, std::vector<Point>> series;
    for (const Measurement& row : measurements)
    {
        const SeriesKey key{ row.dimension, row.role, row.quantity };
        auto [found, isNew] = series.try_emplace (key);
        if (isNew)
            order.push_back (key);
        found->second.push_back ({ static_cast<double> (row.size), row.value });
    }
    const auto sizes = sizesByDimension (measurements);
    std::vector<Slope> slopes;
    for (const SeriesKey& key : order)
    {
        std::vector<Point>& points = series[key];
        addMissing (points, sizes.at (key.dimension));
        const auto fit = fitLine (points);
        if (! fit)
            continue;
        const auto largest = static_cast<double> (*sizes.at (key.dimension).rbegin());
        slopes.push_back ({ key.dimension, key.role, key.quantity, *fit, largest });
    }
    return slopes;
}

std::string csvField (const std::string& text)
{
    if (text.find_first_of (",\"\n\r") == std::string::npos)
        return text;
    std::string quoted = "\"";
    for (const char character : text)
    {
        if (character == '"')
            quoted += '"';
        quoted += character;
    }
    return quoted + "\"";
}

std::string measurementsCsv (const std::vector<Measurement>& measurements)
{
    std::vector<std::string> header{ "dimension" };
    for (const Dimension& dimension : kDimensions)
        header.emplace_back (dimension.name);
    header.insert (header.end(), { "role", "quantity", "value" });
    std::string text = csvLine (header);
    for (const Measurement& row : measurements)
    {
        std::vector<std::string> fields{ row.dimension };
        for (const Dimension& dimension : kDimensions)
        {
            fields.push_back (std::to_string (row.sizes.*dimension.size));
        }
        fields.insert (fields.end(), { row.role, row.quantity, numberText (row.value) });
        text += csvLine (fields);
    }
    return text;
}

std::string slopesCsv (const std::vector<Slope>& slopes)
{
    std::string text =
        csvLine ({ "dimension", "role", "quantity", "points", "largest_size", "slope",
                   "slope_standard_error", "intercept", "intercept_standard_error" });
    for (const Slope& slope : slopes)
    {
        text +=
            csvLine ({ slope.dimension, slope.role, slope.quantity,
                       std::to_string (slope.fit.points), numberText (slope.largestSize),
                       numberText (slope.fit.slope), numberText (slope.fit.slopeError),
                       numberText (slope.fit.intercept), numberText (slope.fit.interceptError) });
    }
    return text;
}

}  // namespace fernlift::scale
