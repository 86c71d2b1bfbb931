#include "controller/DemandTable.h"

#include <algorithm>
#include <utility>

namespace fernlift::controller
{
namespace
{

/// Routers send demand again while it lasts; an older statement no longer holds.
constexpr base::Duration kStatementLifetime = base::seconds (30);

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
            const auto found = m_statements.find (demand.target);
            if (found == m_statements.end())
                continue;
            found->second.erase (source);
            if (found->second.empty())
                m_statements.erase (found);
        }
        else if (m_statements.size() < kMaximumTargets || m_statements.count (demand.target) != 0)
        {
            Statement& statement = m_statements[demand.target][source];
            // Running requests are as urgent as they were while they waited.
            const int formerUrgency = statement.demand.mostUrgent;
            statement = Statement{ demand, now };
            if (demand.waiting == 0)
                statement.demand.mostUrgent = formerUrgency;
        }
    }
}

void DemandTable::forget (DemandSource source)
{
    for (auto& [target, sources] : m_statements)
        sources.erase (source);
    std::erase_if (m_statements, [] (const auto& entry) { return entry.second.empty(); });
}

void DemandTable::expire (base::TimePoint now)
{
    for (auto& [target, sources] : m_statements)
    {
        std::erase_if (sources, [&] (const auto& entry)
                       { return now - entry.second.statedAt > kStatementLifetime; });
    }
    std::erase_if (m_statements, [] (const auto& entry) { return entry.second.empty(); });
}

placement::TargetDemand DemandTable::total (const std::string& target) const
{
    placement::TargetDemand total;
    const auto found = m_statements.find (target);
    if (found == m_statements.end())
        return total;
    for (const auto& [source, statement] : found->second)
        add (statement.demand, total);
    return total;
}

std::map<std::string, placement::TargetDemand> DemandTable::totals() const
{
    std::map<std::string, placement::TargetDemand> totals;
    for (const auto& [target, sources] : m_statements)
        totals[target] = total (target);
    return totals;
}

std::uint32_t DemandTable::askers (const std::string& target) const
{
    const auto found = m_statements.find (target);
    return found == m_statements.end() ? 0 : static_cast<std::uint32_t> (found->second.size());
}

std::vector<DemandSource> DemandTable::sourcesOf (const std::string& target) const
{
    std::vector<DemandSource> sources;
    const auto found = m_statements.find (target);
    if (found == m_statements.end())
        return sources;
    for (const auto& [source, statement] : found->second)
        sources.push_back (source);
    return sources;
}

bool DemandTable::asks (DemandSource source, const std::string& target) const
{
    const auto found = m_statements.find (target);
    return found != m_statements.end() && found->second.count (source) != 0;
}

}  // namespace fernlift::controller
