#include "lab/Measure.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>

namespace fernlift::lab
{
namespace
{

constexpr double kMedian = 0.5;
constexpr double kNinetyNine = 0.99;

}  // namespace

void Samples::add (base::Duration duration)
{
    m_milliseconds.push_back (std::chrono::duration<double, std::milli> (duration).count());
}

double Samples::quantile (double share) const
{
    if (m_milliseconds.empty())
        return 0;
    std::vector<double> sorted = m_milliseconds;
    std::sort (sorted.begin(), sorted.end());
    const double rank = std::ceil (share * static_cast<double> (sorted.size()));
    const auto index = static_cast<std::size_t> (std::max (rank, 1.0)) - 1;
    return sorted[std::min (index, sorted.size() - 1)];
}

std::string summaryLine (const std::string& name, const Samples& samples)
{
    char text[160];
    std::snprintf (text, sizeof text,
                   "%s: median %.2f ms, 99 in 100 %.2f ms, worst %.2f ms (%zu samples)\n",
                   name.c_str(), samples.quantile (kMedian), samples.quantile (kNinetyNine),
                   samples.quantile (1), samples.count());
    return text;
}

base::Result<void> writeCsv (const std::string& path, const std::vector<std::string>& rows)
{
    if (path.empty())
        return {};
    std::ofstream file (path);
    for (const std::string& row : rows)
        file << row << '\n';
    file.flush();
    if (! file)
        return base::fail (base::ErrorKind::kInternal, path + ": cannot be written");
    return {};
}

base::Result<int> runMeasurement (const std::string& name, const MeasureOptions& options,
                                  std::ostream& out)
{
    if (name == "failover")
        return measureFailover (options, out);
    if (name == "claims")
        return measureClaims (options, out);
    if (name == "apply")
        return measureApply (options, out);
    return base::fail (base::ErrorKind::kUsage, "allowed: measure failover|claims|apply");
}

}  // namespace fernlift::lab
