#include "placement/KeepAlive.h"

#include <algorithm>

namespace fernlift::placement
{
namespace
{

/// Minimum of the keep-alive time, unless the upper limit of the caller is shorter.
constexpr base::Duration kMinKeepAlive = base::seconds (10);
constexpr double kSecondsPerHour = 3600.0;
constexpr std::int64_t kAssumedMegabytesPerSecond = 1000;
constexpr base::Duration kAssumedLoadOverhead = base::seconds (1);

}  // namespace

base::Duration keepAliveFor (const config::Prices& prices, base::Duration loadTime,
                             double acceleratorShare, base::Duration longest)
{
    const double loadSeconds = std::chrono::duration<double> (loadTime).count();
    const double coldStartCost = loadSeconds * prices.coldStartSecond;
    const double idleCostPerSecond =
        acceleratorShare * prices.idleAcceleratorHour / kSecondsPerHour;
    const double longestSeconds = std::chrono::duration<double> (longest).count();
    // Also covers prices without idle cost, which would divide by zero below.
    if (coldStartCost >= idleCostPerSecond * longestSeconds)
        return longest;
    const std::chrono::duration<double> breakEven (coldStartCost / idleCostPerSecond);
    const auto kept = std::chrono::duration_cast<base::Duration> (breakEven);
    return std::clamp (kept, std::min (kMinKeepAlive, longest), longest);
}

base::Duration assumedLoadTime (config::Megabytes memory)
{
    const auto megabytes = static_cast<std::int64_t> (memory);
    return kAssumedLoadOverhead
           + base::milliseconds (megabytes * 1000 / kAssumedMegabytesPerSecond);
}

}  // namespace fernlift::placement
