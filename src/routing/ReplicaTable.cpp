#include "routing/ReplicaTable.h"

#include <algorithm>

namespace fernlift::routing
{
namespace
{

/// Starts of runners remembered as leaving. Rows of an old start may come late, so that a sign is
/// not dropped when a row of another start arrives.
constexpr std::size_t kSignsRemembered = 256;
/// Age of a reported load when it arrives: engines report with a lag, and the controller passes
/// loads on at intervals.
constexpr base::Duration kLoadLag = base::milliseconds (250);
/// Weight that the reports known so far keep when others arrive.
constexpr double kReportsKept = 0.95;

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
    if (! replacesWhole && (needsWhole_ || update.fromVersion != version_))
    {
        needsWhole_ = true;
        return false;
    }
    if (replacesWhole)
    {
        std::set<ReplicaKey> kept;
        for (const auto& replica : update.upserts)
            kept.insert (keyOf (replica));
        std::vector<ReplicaKey> dropped;
        for (const auto& [key, state] : rows_)
        {
            if (! kept.contains (key))
                dropped.push_back (key);
        }
        for (const ReplicaKey& key : dropped)
            remove (key);
        estimates_.clear();
    }
    for (const auto& replica : update.removals)
        remove (keyOf (replica));
    for (const auto& replica : update.upserts)
        upsert (replica);
    for (const auto& load : update.loads)
        setLoad (load);
    learnOwnShare (update);
    for (const auto& estimate : update.estimates)
    {
        estimates_[estimate.target] =
            ReadyEstimate{ estimate.canBeServed,
                           now + base::milliseconds (estimate.readyInMilliseconds) };
    }
    version_ = update.toVersion;
    term_ = update.term;
    needsWhole_ = false;
    return true;
}

void ReplicaTable::upsert (const cell::RoutableReplica& replica)
{
    const ReplicaKey key = keyOf (replica);
    ReplicaState& state = rows_[key];
    state.info = replica;
    const auto known = inFlight_.find ({ key, replica.incarnation });
    state.inFlight = known == inFlight_.end() ? InFlightByUrgency{} : known->second;
    rowsOfTarget_[replica.target].insert (key);
    RunnerState& runner = runners_[replica.runner];
    runner.rows.insert (key);
    state.inFlightAtLoad = inFlightWhenMeasured (runner);
}

void ReplicaTable::setLoad (const cell::RunnerLoad& load)
{
    const auto runner = runners_.find (load.runner);
    if (runner == runners_.end())
        return;
    for (const ReplicaKey& key : runner->second.rows)
    {
        ReplicaState& state = rows_.at (key);
        state.info.load = load.load;
        state.inFlightAtLoad = inFlightWhenMeasured (runner->second);
    }
}

void ReplicaTable::noteInFlight (RunnerState& runner) const
{
    runner.history.push_back ({ now_, totalOf (runner.inFlight) });
    // The newest of those that are old enough is the value at the time of a measurement.
    while (runner.history.size() > 1 && runner.history[1].at <= now_ - kLoadLag)
    {
        runner.history.pop_front();
    }
}

std::uint32_t ReplicaTable::inFlightWhenMeasured (const RunnerState& runner) const
{
    std::uint32_t total = 0;
    for (const InFlightSince& since : runner.history)
    {
        if (since.at > now_ - kLoadLag)
            break;
        total = since.total;
    }
    return total;
}

void ReplicaTable::remove (const ReplicaKey& key)
{
    rows_.erase (key);
    const auto target = rowsOfTarget_.find (key.target);
    if (target != rowsOfTarget_.end())
    {
        target->second.erase (key);
        if (target->second.empty())
            rowsOfTarget_.erase (target);
    }
    const auto runner = runners_.find (key.runner);
    if (runner == runners_.end())
        return;
    runner->second.rows.erase (key);
    if (runner->second.rows.empty() && runner->second.inFlight.empty())
        runners_.erase (runner);
}

bool ReplicaTable::markLeaving (const base::RunnerId& runner, base::Incarnation incarnation)
{
    if (! leaving_.emplace (runner, incarnation).second)
        return false;
    leavingByAge_.emplace_back (runner, incarnation);
    if (leavingByAge_.size() > kSignsRemembered)
    {
        leaving_.erase (leavingByAge_.front());
        leavingByAge_.pop_front();
    }
    return true;
}

bool ReplicaTable::isLeaving (const base::RunnerId& runner, base::Incarnation incarnation) const
{
    return leaving_.contains ({ runner, incarnation });
}

std::vector<const ReplicaState*> ReplicaTable::usableReplicas (const std::string& target) const
{
    std::vector<const ReplicaState*> usable;
    const auto keys = rowsOfTarget_.find (target);
    if (keys == rowsOfTarget_.end())
        return usable;
    for (const ReplicaKey& key : keys->second)
    {
        const ReplicaState& state = rows_.at (key);
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
    const auto row = rows_.find (keyOf (replica));
    return row != rows_.end() && row->second.info.incarnation == replica.incarnation
           && row->second.info.address == replica.address
           && ! isLeaving (replica.runner, replica.incarnation);
}

std::optional<ReadyEstimate> ReplicaTable::estimateOf (const std::string& target) const
{
    const auto estimate = estimates_.find (target);
    if (estimate == estimates_.end())
        return std::nullopt;
    return estimate->second;
}

void ReplicaTable::addInFlight (const cell::RoutableReplica& replica, int urgency)
{
    const ReplicaKey key = keyOf (replica);
    InFlightByUrgency& inFlight = inFlight_[{ key, replica.incarnation }];
    inFlight[urgency] += 1;
    const auto row = rows_.find (key);
    const bool isSameStart =
        row != rows_.end() && row->second.info.incarnation == replica.incarnation;
    if (isSameStart)
        row->second.inFlight = inFlight;
    RunnerState& runner = runners_[replica.runner];
    runner.inFlight[urgency] += 1;
    noteInFlight (runner);
}

void ReplicaTable::removeInFlight (const cell::RoutableReplica& replica, int urgency)
{
    const ReplicaKey key = keyOf (replica);
    const auto inFlight = inFlight_.find ({ key, replica.incarnation });
    if (inFlight == inFlight_.end())
        return;
    decrement (inFlight->second, urgency);
    const auto row = rows_.find (key);
    const bool isSameStart =
        row != rows_.end() && row->second.info.incarnation == replica.incarnation;
    if (isSameStart)
        row->second.inFlight = inFlight->second;
    if (inFlight->second.empty())
        inFlight_.erase (inFlight);
    const auto runner = runners_.find (replica.runner);
    if (runner == runners_.end())
        return;
    decrement (runner->second.inFlight, urgency);
    noteInFlight (runner->second);
    if (runner->second.rows.empty() && runner->second.inFlight.empty())
        runners_.erase (runner);
}

InFlightByUrgency ReplicaTable::inFlightAtRunner (const base::RunnerId& runner) const
{
    const auto entry = runners_.find (runner);
    return entry == runners_.end() ? InFlightByUrgency{} : entry->second.inFlight;
}

std::uint32_t ReplicaTable::estimatedLoad (const base::RunnerId& runner) const
{
    const auto entry = runners_.find (runner);
    if (entry == runners_.end())
        return 0;
    std::uint32_t ofOthers = 0;
    for (const ReplicaKey& key : entry->second.rows)
    {
        const ReplicaState& state = rows_.at (key);
        const std::uint32_t own = std::min (state.info.load, state.inFlightAtLoad);
        ofOthers = std::max (ofOthers, state.info.load - own);
    }
    return ofOthers + totalOf (entry->second.inFlight);
}

void ReplicaTable::learnOwnShare (const cell::ReplicaUpdate& update)
{
    std::map<base::RunnerId, std::uint32_t> loads;
    for (const auto& replica : update.upserts)
        loads[replica.runner] = replica.load;
    for (const auto& load : update.loads)
    {
        if (runners_.contains (load.runner))
            loads[load.runner] = load.load;
    }
    if (loads.empty())
        return;
    reportedRequests_ *= kReportsKept;
    ownRequests_ *= kReportsKept;
    for (const auto& [runner, load] : loads)
    {
        reportedRequests_ += load;
        ownRequests_ += std::min (load, inFlightWhenMeasured (runners_.at (runner)));
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
    for (const auto& [key, state] : rows_)
        result.push_back (state.info);
    return result;
}

}  // namespace fernlift::routing
