#include "router/DemandReporter.h"

#include <algorithm>

namespace fernlift::router
{
namespace
{

/// The controller discards reported demand that is not repeated for three times this interval.
constexpr base::Duration kRepeatInterval = base::seconds (10);
constexpr std::uint32_t kSmallestChange = 2;
constexpr std::uint32_t kChangeDivisor = 4;

bool isNil (const cell::Demand& demand)
{
    return demand.waiting == 0 && demand.running == 0 && demand.arrivals == 0;
}

bool differsMuch (std::uint32_t stated, std::uint32_t current)
{
    if ((stated == 0) != (current == 0))
        return true;
    const std::uint32_t difference = stated > current ? stated - current : current - stated;
    return difference >= std::max (stated / kChangeDivisor, kSmallestChange);
}

}  // namespace

void DemandReporter::onConnected()
{
    m_nextReport = base::TimePoint{};
    m_reported.clear();
}

bool DemandReporter::isDue (base::TimePoint now) const { return m_isUrgent || now >= m_nextReport; }

std::optional<cell::DemandReport> DemandReporter::report (DemandByTarget current,
                                                          base::TimePoint now)
{
    m_nextReport = now + m_interval;
    m_isUrgent = false;
    for (const auto& [target, count] : m_arrivals)
        current[target].arrivals = count;
    // Targets whose reported demand has ended are reported once more, with zero demand.
    for (const auto& [target, reported] : m_reported)
        current.try_emplace (target);
    cell::DemandReport report;
    for (auto& [target, demand] : current)
    {
        demand.target = target;
        if (! isSignificantChange (demand, now))
            continue;
        m_arrivals.erase (target);
        report.demands.push_back (demand);
        if (isNil (demand))
        {
            m_reported.erase (target);
        }
        else
        {
            m_reported[target] = { demand, now };
        }
    }
    if (report.demands.empty())
        return std::nullopt;
    return report;
}

bool DemandReporter::isSignificantChange (const cell::Demand& demand, base::TimePoint now) const
{
    const auto stated = m_reported.find (demand.target);
    if (stated == m_reported.end() || demand.waiting > 0)
        return true;
    const cell::Demand& last = stated->second.demand;
    return last.waiting > 0 || differsMuch (last.running, demand.running)
           || now - stated->second.reportedAt >= kRepeatInterval;
}

}  // namespace fernlift::router
