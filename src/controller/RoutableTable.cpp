#include "controller/RoutableTable.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace fernlift::controller
{
namespace
{

/// Number of changes kept for routers that are not sent each change at once.
constexpr std::size_t kKeptChanges = 32;
constexpr std::uint32_t kLoadStepDivisor = 4;
constexpr std::uint32_t kShrinkDivisor = 4;

cell::RoutableReplica keyFields (const cell::RoutableReplica& row)
{
    cell::RoutableReplica key;
    key.replica = row.replica;
    key.runner = row.runner;
    key.target = row.target;
    return key;
}

bool differsInLoadOnly (const cell::RoutableReplica& sent, cell::RoutableReplica row)
{
    row.load = sent.load;
    return row == sent;
}

}  // namespace

bool isSignificantLoadChange (std::uint32_t sent, std::uint32_t load)
{
    if ((sent == 0) != (load == 0))
        return true;
    const std::uint32_t difference = sent > load ? sent - load : load - sent;
    return difference > std::max (sent / kLoadStepDivisor, 1U);
}

std::uint32_t stableSharerCount (std::uint32_t sent, std::uint32_t sharers)
{
    const std::uint32_t wanted = std::bit_ceil (std::max (sharers, 1U));
    if (sent == 0 || sharers > sent)
        return wanted;
    return sharers <= sent / kShrinkDivisor ? wanted : sent;
}

RoutableTable::Key RoutableTable::keyOf (const cell::RoutableReplica& row)
{
    return { row.replica, row.runner, row.target };
}

bool RoutableTable::replace (std::vector<cell::RoutableReplica> rows,
                             const ReadyEstimates& estimates, base::TimePoint now)
{
    cell::ReplicaUpdate update;
    stabilizeLoads (rows);
    collectRows (std::move (rows), update);
    collectEstimates (estimates, now, update);
    const bool isEmpty = update.upserts.empty() && update.removals.empty() && update.loads.empty()
                         && update.estimates.empty();
    if (isEmpty && m_version != 0)
        return false;
    update.fromVersion = m_version;
    update.toVersion = ++m_version;
    m_changes.push_back (std::move (update));
    if (m_changes.size() > kKeptChanges)
        m_changes.pop_front();
    return true;
}

void RoutableTable::stabilizeLoads (std::vector<cell::RoutableReplica>& rows)
{
    std::map<base::RunnerId, std::uint32_t> loads;
    for (cell::RoutableReplica& row : rows)
    {
        auto stable = loads.find (row.runner);
        if (stable == loads.end())
        {
            const auto sent = m_loads.find (row.runner);
            const bool isSignificant =
                sent == m_loads.end() || isSignificantLoadChange (sent->second, row.load);
            stable = loads.emplace (row.runner, isSignificant ? row.load : sent->second).first;
        }
        row.load = stable->second;
    }
    m_loads = std::move (loads);
}

void RoutableTable::collectRows (std::vector<cell::RoutableReplica> rows,
                                 cell::ReplicaUpdate& update)
{
    std::map<Key, cell::RoutableReplica> current;
    std::map<base::RunnerId, std::uint32_t> changedLoads;
    for (cell::RoutableReplica& row : rows)
    {
        const Key key = keyOf (row);
        const auto sent = m_rows.find (key);
        if (sent == m_rows.end() || ! differsInLoadOnly (sent->second, row))
        {
            update.upserts.push_back (row);
        }
        else if (sent->second.load != row.load)
        {
            changedLoads[row.runner] = row.load;
        }
        current.emplace (key, std::move (row));
    }
    for (const auto& [key, row] : m_rows)
    {
        if (! current.contains (key))
            update.removals.push_back (keyFields (row));
    }
    for (const auto& [runner, load] : changedLoads)
        update.loads.push_back ({ runner, load });
    m_rows = std::move (current);
}

void RoutableTable::collectEstimates (const ReadyEstimates& estimates, base::TimePoint now,
                                      cell::ReplicaUpdate& update)
{
    for (const auto& [target, estimate] : estimates)
    {
        const auto known = m_estimates.find (target);
        if (known != m_estimates.end() && known->second == estimate)
            continue;
        update.estimates.push_back (toMessage (target, estimate, now));
    }
    for (const auto& [target, estimate] : m_estimates)
    {
        // A withdrawn estimate: the target can be served, and no ready time is known.
        if (estimates.contains (target))
            continue;
        update.estimates.push_back (toMessage (target, ReadyEstimate{ true, now }, now));
    }
    m_estimates = estimates;
}

cell::ReplicaUpdate RoutableTable::whole (base::TimePoint now) const
{
    cell::ReplicaUpdate update;
    update.toVersion = m_version;
    for (const auto& [key, row] : m_rows)
        update.upserts.push_back (row);
    for (const auto& [target, estimate] : m_estimates)
    {
        update.estimates.push_back (toMessage (target, estimate, now));
    }
    return update;
}

bool RoutableTable::keepsChangesSince (std::uint64_t version) const
{
    if (version == m_version)
        return true;
    return version != 0 && ! m_changes.empty() && version >= m_changes.front().fromVersion
           && version < m_version;
}

std::vector<cell::ReplicaUpdate> RoutableTable::updatesSince (std::uint64_t version,
                                                              base::TimePoint now) const
{
    if (version == m_version)
        return {};
    if (! keepsChangesSince (version))
        return { whole (now) };
    // Versions of consecutive changes differ by one.
    const auto kept = static_cast<std::ptrdiff_t> (m_version - version);
    return { m_changes.end() - kept, m_changes.end() };
}

}  // namespace fernlift::controller
