#include "proxy/RouteTimes.h"

namespace fernlift::proxy
{
namespace
{

/// Weights of a new time are the inverses of these.
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;
constexpr int kDeviations = 2;

base::Duration distance (base::Duration a, base::Duration b) { return a < b ? b - a : a - b; }

}  // namespace

void RouteTimes::onAnswered (const std::string& route, base::Duration time)
{
    // Routes that a configuration has removed are forgotten with all others, which is rare.
    if (m_routes.size() >= kMaxRoutes && ! m_routes.contains (route))
        m_routes.clear();
    const auto [found, isNew] = m_routes.try_emplace (route, Estimate{ time, time / 2 });
    if (isNew)
        return;
    Estimate& estimate = found->second;
    estimate.deviation += (distance (time, estimate.mean) - estimate.deviation) / kDeviationDivisor;
    estimate.mean += (time - estimate.mean) / kMeanDivisor;
}

base::Duration RouteTimes::expected (const std::string& route) const
{
    const auto found = m_routes.find (route);
    if (found == m_routes.end())
        return base::Duration::zero();
    return found->second.mean + kDeviations * found->second.deviation;
}

}  // namespace fernlift::proxy
