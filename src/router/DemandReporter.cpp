#include "router/DemandReporter.h"

#include <algorithm>

namespace fernlift::router
{
namespace
{

/// The controller forgets statements that are not repeated for three times this long.
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
    m_stated.clear();
}

bool DemandReporter::isDue (base::TimePoint now) const { return m_isUrgent || now >= m_nextReport; }

std::optional<cell::DemandReport> DemandReporter::report (DemandByTarget current,
                                                          base::TimePoint now)
{
    m_nextReport = now + m_interval;
    m_isUrgent = false;
    for (const auto& [target, count] : m_arrivals)
        current[target].arrivals = count;
    // Targets that were reported and now have no demand are reported once more, as nil.
    for (const auto& [target, statement] : m_stated)
        current.try_emplace (target);
    cell::DemandReport report;
    for (auto& [target, demand] : current)
    {
        demand.target = target;
        if (! isWorthStating (demand, now))
            continue;
        m_arrivals.erase (target);
        report.demands.push_back (demand);
        if (isNil (demand))
        {
            m_stated.erase (target);
        }
        else
        {
            m_stated[target] = { demand, now };
        }
    }
    if (report.demands.empty())
        return std::nullopt;
    return report;
}

bool DemandReporter::isWorthStating (const cell::Demand& demand, base::TimePoint now) const
{
    const auto stated = m_stated.find (demand.target);
    if (stated == m_stated.end() || demand.waiting > 0)
        return true;
    const cell::Demand& last = stated->second.demand;
    return last.waiting > 0 || differsMuch (last.running, demand.running)
           || now - stated->second.statedAt >= kRepeatInterval;
}

}  // namespace fernlift::router
