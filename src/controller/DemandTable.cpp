#include "controller/DemandTable.h"

#include <algorithm>
#include <utility>

namespace fernlift::controller
{
namespace
{

/// Routers repeat their demand while it lasts; an older report is no longer valid.
constexpr base::Duration kReportLifetime = base::seconds (30);

void add (const cell::Demand& demand, placement::TargetDemand& total)
{
    const bool isFirstWaiting = total.waiting == 0;
    total.waiting += demand.waiting;
    total.running += demand.running;
    total.mostUrgent = std::min (total.mostUrgent, demand.mostUrgent);
    if (demand.waiting == 0)
        return;
    total.oldestWaitMilliseconds =
        std::max (total.oldestWaitMilliseconds, demand.oldestWaitMilliseconds);
    total.nearestDeadlineMilliseconds =
        isFirstWaiting
            ? demand.nearestDeadlineMilliseconds
            : std::min (total.nearestDeadlineMilliseconds, demand.nearestDeadlineMilliseconds);
}

}  // namespace

void DemandTable::report (DemandSource source, const cell::DemandReport& report,
                          base::TimePoint now)
{
    for (const cell::Demand& demand : report.demands)
    {
        if (demand.waiting == 0 && demand.running == 0)
        {
            const auto found = m_demands.find (demand.target);
            if (found == m_demands.end())
                continue;
            found->second.erase (source);
            if (found->second.empty())
                m_demands.erase (found);
        }
        else if (m_demands.size() < kMaxTargets || m_demands.count (demand.target) != 0)
        {
            SourceDemand& sourceDemand = m_demands[demand.target][source];
            // Running requests keep the urgency that they had while waiting.
            const int formerUrgency = sourceDemand.demand.mostUrgent;
            sourceDemand = SourceDemand{ demand, now };
            if (demand.waiting == 0)
                sourceDemand.demand.mostUrgent = formerUrgency;
        }
    }
}

void DemandTable::forget (DemandSource source)
{
    for (auto& [target, sources] : m_demands)
        sources.erase (source);
    std::erase_if (m_demands, [] (const auto& entry) { return entry.second.empty(); });
}

void DemandTable::expire (base::TimePoint now)
{
    for (auto& [target, sources] : m_demands)
    {
        std::erase_if (sources, [&] (const auto& entry)
                       { return now - entry.second.reportedAt > kReportLifetime; });
    }
    std::erase_if (m_demands, [] (const auto& entry) { return entry.second.empty(); });
}

placement::TargetDemand DemandTable::total (const std::string& target) const
{
    placement::TargetDemand total;
    const auto found = m_demands.find (target);
    if (found == m_demands.end())
        return total;
    for (const auto& [source, sourceDemand] : found->second)
        add (sourceDemand.demand, total);
    return total;
}

std::map<std::string, placement::TargetDemand> DemandTable::totals() const
{
    std::map<std::string, placement::TargetDemand> totals;
    for (const auto& [target, sources] : m_demands)
        totals[target] = total (target);
    return totals;
}

std::uint32_t DemandTable::sourceCount (const std::string& target) const
{
    const auto found = m_demands.find (target);
    return found == m_demands.end() ? 0 : static_cast<std::uint32_t> (found->second.size());
}

std::vector<DemandSource> DemandTable::sourcesOf (const std::string& target) const
{
    std::vector<DemandSource> sources;
    const auto found = m_demands.find (target);
    if (found == m_demands.end())
        return sources;
    for (const auto& [source, sourceDemand] : found->second)
        sources.push_back (source);
    return sources;
}

bool DemandTable::hasDemand (DemandSource source, const std::string& target) const
{
    const auto found = m_demands.find (target);
    return found != m_demands.end() && found->second.count (source) != 0;
}

}  // namespace fernlift::controller
