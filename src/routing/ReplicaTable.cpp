#include "routing/ReplicaTable.h"

#include <algorithm>

namespace fernlift::routing
{
namespace
{

/// Bound of the incarnations kept as leaving. Rows of an earlier incarnation may arrive late, so a
/// mark is not dropped when a row of another incarnation arrives.
constexpr std::size_t kMaxLeavingRunners = 256;
/// Age of a reported load on arrival: engines report with a lag, and the controller forwards loads
/// at intervals.
constexpr base::Duration kLoadLag = base::milliseconds (250);
/// Factor applied to the sums of earlier reports when new reports arrive.
constexpr double kReportDecay = 0.95;

void decrement (InFlightByUrgency& inFlight, int urgency)
{
    const auto entry = inFlight.find (urgency);
    if (entry == inFlight.end())
        return;
    entry->second -= 1;
    if (entry->second == 0)
        inFlight.erase (entry);
}

}  // namespace

ReplicaKey keyOf (const cell::RoutableReplica& replica)
{
    return ReplicaKey{ replica.replica, replica.runner, replica.target };
}

std::uint32_t totalOf (const InFlightByUrgency& inFlight)
{
    std::uint32_t total = 0;
    for (const auto& [urgency, count] : inFlight)
        total += count;
    return total;
}

std::uint32_t countUpTo (const InFlightByUrgency& inFlight, int urgency)
{
    std::uint32_t count = 0;
    for (const auto& [other, requests] : inFlight)
    {
        if (other <= urgency)
            count += requests;
    }
    return count;
}

std::uint32_t ReplicaState::inFlightTotal() const { return totalOf (inFlight); }

bool ReplicaTable::apply (const cell::ReplicaUpdate& update, base::TimePoint now)
{
    setTime (now);
    const bool replacesWhole = update.fromVersion == 0;
    if (! replacesWhole && (m_needsWhole || update.fromVersion != m_version))
    {
        m_needsWhole = true;
        return false;
    }
    if (replacesWhole)
    {
        std::set<ReplicaKey> kept;
        for (const auto& replica : update.upserts)
            kept.insert (keyOf (replica));
        std::vector<ReplicaKey> dropped;
        for (const auto& [key, state] : m_rows)
        {
            if (! kept.contains (key))
                dropped.push_back (key);
        }
        for (const ReplicaKey& key : dropped)
            remove (key);
        m_estimates.clear();
    }
    for (const auto& replica : update.removals)
        remove (keyOf (replica));
    for (const auto& replica : update.upserts)
        upsert (replica);
    for (const auto& load : update.loads)
        setLoad (load);
    updateOwnShare (update);
    for (const auto& estimate : update.estimates)
    {
        m_estimates[estimate.target] =
            ReadyEstimate{ estimate.canBeServed,
                           now + base::milliseconds (estimate.readyInMilliseconds) };
    }
    m_version = update.toVersion;
    m_term = update.term;
    m_needsWhole = false;
    return true;
}

void ReplicaTable::upsert (const cell::RoutableReplica& replica)
{
    const ReplicaKey key = keyOf (replica);
    ReplicaState& state = m_rows[key];
    state.info = replica;
    const auto known = m_inFlight.find ({ key, replica.incarnation });
    state.inFlight = known == m_inFlight.end() ? InFlightByUrgency{} : known->second;
    m_rowsOfTarget[replica.target].insert (key);
    RunnerState& runner = m_runners[replica.runner];
    runner.rows.insert (key);
    state.inFlightAtLoad = inFlightWhenMeasured (runner);
}

void ReplicaTable::setLoad (const cell::RunnerLoad& load)
{
    const auto runner = m_runners.find (load.runner);
    if (runner == m_runners.end())
        return;
    for (const ReplicaKey& key : runner->second.rows)
    {
        ReplicaState& state = m_rows.at (key);
        state.info.load = load.load;
        state.inFlightAtLoad = inFlightWhenMeasured (runner->second);
    }
}

void ReplicaTable::recordInFlight (RunnerState& runner) const
{
    runner.history.push_back ({ m_now, totalOf (runner.inFlight) });
    // The latest sample that is older than the lag is the value at the time of a measurement.
    while (runner.history.size() > 1 && runner.history[1].at <= m_now - kLoadLag)
    {
        runner.history.pop_front();
    }
}

std::uint32_t ReplicaTable::inFlightWhenMeasured (const RunnerState& runner) const
{
    std::uint32_t total = 0;
    for (const InFlightSample& since : runner.history)
    {
        if (since.at > m_now - kLoadLag)
            break;
        total = since.total;
    }
    return total;
}

void ReplicaTable::remove (const ReplicaKey& key)
{
    m_rows.erase (key);
    const auto target = m_rowsOfTarget.find (key.target);
    if (target != m_rowsOfTarget.end())
    {
        target->second.erase (key);
        if (target->second.empty())
            m_rowsOfTarget.erase (target);
    }
    const auto runner = m_runners.find (key.runner);
    if (runner == m_runners.end())
        return;
    runner->second.rows.erase (key);
    if (runner->second.rows.empty() && runner->second.inFlight.empty())
        m_runners.erase (runner);
}

bool ReplicaTable::markLeaving (const base::RunnerId& runner, base::Incarnation incarnation)
{
    if (! m_leaving.emplace (runner, incarnation).second)
        return false;
    m_leavingByAge.emplace_back (runner, incarnation);
    if (m_leavingByAge.size() > kMaxLeavingRunners)
    {
        m_leaving.erase (m_leavingByAge.front());
        m_leavingByAge.pop_front();
    }
    return true;
}

bool ReplicaTable::isLeaving (const base::RunnerId& runner, base::Incarnation incarnation) const
{
    return m_leaving.contains ({ runner, incarnation });
}

std::vector<const ReplicaState*> ReplicaTable::usableReplicas (const std::string& target) const
{
    std::vector<const ReplicaState*> usable;
    const auto keys = m_rowsOfTarget.find (target);
    if (keys == m_rowsOfTarget.end())
        return usable;
    for (const ReplicaKey& key : keys->second)
    {
        const ReplicaState& state = m_rows.at (key);
        if (! isLeaving (state.info.runner, state.info.incarnation))
            usable.push_back (&state);
    }
    return usable;
}

bool ReplicaTable::hasUsableReplica (const std::string& target) const
{
    return ! usableReplicas (target).empty();
}

bool ReplicaTable::isUsable (const cell::RoutableReplica& replica) const
{
    const auto row = m_rows.find (keyOf (replica));
    return row != m_rows.end() && row->second.info.incarnation == replica.incarnation
           && row->second.info.address == replica.address
           && ! isLeaving (replica.runner, replica.incarnation);
}

std::optional<ReadyEstimate> ReplicaTable::estimateOf (const std::string& target) const
{
    const auto estimate = m_estimates.find (target);
    if (estimate == m_estimates.end())
        return std::nullopt;
    return estimate->second;
}

void ReplicaTable::addInFlight (const cell::RoutableReplica& replica, int urgency)
{
    const ReplicaKey key = keyOf (replica);
    InFlightByUrgency& inFlight = m_inFlight[{ key, replica.incarnation }];
    inFlight[urgency] += 1;
    const auto row = m_rows.find (key);
    const bool isSameIncarnation =
        row != m_rows.end() && row->second.info.incarnation == replica.incarnation;
    if (isSameIncarnation)
        row->second.inFlight = inFlight;
    RunnerState& runner = m_runners[replica.runner];
    runner.inFlight[urgency] += 1;
    recordInFlight (runner);
}

void ReplicaTable::removeInFlight (const cell::RoutableReplica& replica, int urgency)
{
    const ReplicaKey key = keyOf (replica);
    const auto inFlight = m_inFlight.find ({ key, replica.incarnation });
    if (inFlight == m_inFlight.end())
        return;
    decrement (inFlight->second, urgency);
    const auto row = m_rows.find (key);
    const bool isSameIncarnation =
        row != m_rows.end() && row->second.info.incarnation == replica.incarnation;
    if (isSameIncarnation)
        row->second.inFlight = inFlight->second;
    if (inFlight->second.empty())
        m_inFlight.erase (inFlight);
    const auto runner = m_runners.find (replica.runner);
    if (runner == m_runners.end())
        return;
    decrement (runner->second.inFlight, urgency);
    recordInFlight (runner->second);
    if (runner->second.rows.empty() && runner->second.inFlight.empty())
        m_runners.erase (runner);
}

InFlightByUrgency ReplicaTable::inFlightAtRunner (const base::RunnerId& runner) const
{
    const auto entry = m_runners.find (runner);
    return entry == m_runners.end() ? InFlightByUrgency{} : entry->second.inFlight;
}

std::uint32_t ReplicaTable::estimatedLoad (const base::RunnerId& runner) const
{
    const auto entry = m_runners.find (runner);
    if (entry == m_runners.end())
        return 0;
    std::uint32_t otherRoutersLoad = 0;
    for (const ReplicaKey& key : entry->second.rows)
    {
        const ReplicaState& state = m_rows.at (key);
        const std::uint32_t own = std::min (state.info.load, state.inFlightAtLoad);
        otherRoutersLoad = std::max (otherRoutersLoad, state.info.load - own);
    }
    return otherRoutersLoad + totalOf (entry->second.inFlight);
}

void ReplicaTable::updateOwnShare (const cell::ReplicaUpdate& update)
{
    std::map<base::RunnerId, std::uint32_t> loads;
    for (const auto& replica : update.upserts)
        loads[replica.runner] = replica.load;
    for (const auto& load : update.loads)
    {
        if (m_runners.contains (load.runner))
            loads[load.runner] = load.load;
    }
    if (loads.empty())
        return;
    m_reportedRequests *= kReportDecay;
    m_ownRequests *= kReportDecay;
    for (const auto& [runner, load] : loads)
    {
        m_reportedRequests += load;
        m_ownRequests += std::min (load, inFlightWhenMeasured (m_runners.at (runner)));
    }
}

double ReplicaTable::likelyLoad (const base::RunnerId& runner) const
{
    const double own = totalOf (inFlightAtRunner (runner));
    return (estimatedLoad (runner) + own / ownShare()) / 2;
}

double ReplicaTable::likelyLoadUpTo (const base::RunnerId& runner, int urgency) const
{
    const double own = countUpTo (inFlightAtRunner (runner), urgency);
    return (own + own / ownShare()) / 2;
}

std::vector<cell::RoutableReplica> ReplicaTable::replicas() const
{
    std::vector<cell::RoutableReplica> result;
    for (const auto& [key, state] : m_rows)
        result.push_back (state.info);
    return result;
}

}  // namespace fernlift::routing
