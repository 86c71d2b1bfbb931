#include "placement/StoreConcurrency.h"

#include <algorithm>
#include <cmath>

namespace fernlift::placement
{
namespace
{

/// A load counts as slow when its duration exceeds the nominal one by this factor. Orders,
/// heartbeats and the variance of the store account for up to 15 % on known deployments.
constexpr double kSlowFactor = 1.25;
constexpr double kMinLimit = 2;

}  // namespace

void StoreConcurrency::onBegin (const std::string& engine, base::TimePoint now)
{
    m_loads[engine].begunAt = now;
    for (auto& [other, load] : m_loads)
    {
        load.maxConcurrent = std::max (load.maxConcurrent, m_loads.size());
        load.sawLimitReached = load.sawLimitReached || m_loads.size() >= limit();
    }
}

void StoreConcurrency::onEnd (const std::string& engine, base::Duration nominal,
                              base::TimePoint now)
{
    const auto found = m_loads.find (engine);
    if (found == m_loads.end())
        return;
    const Load load = found->second;
    m_loads.erase (found);
    const double taken = base::toSeconds (now - load.begunAt);
    if (taken <= 0 || nominal <= base::Duration::zero())
        return;
    if (taken <= kSlowFactor * base::toSeconds (nominal))
    {
        // Before the first slow load, the limit grows by one for each load and thus doubles with
        // each full round; afterwards it grows by one for each full round.
        if (load.sawLimitReached)
            m_limit += m_hasSlowed ? 1 / m_limit : 1;
        return;
    }
    const double atFullSpeed =
        std::round (static_cast<double> (load.maxConcurrent) * base::toSeconds (nominal) / taken);
    // Never below half of the limit, since a single load may be slow for another reason.
    m_limit = std::clamp (atFullSpeed, std::max (m_limit / 2, kMinLimit), m_limit);
    m_hasSlowed = true;
}

}  // namespace fernlift::placement
