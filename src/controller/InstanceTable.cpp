#include "controller/InstanceTable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fernlift::controller
{
namespace
{

/// Highest heartbeat sequence of an instance that counts as just started: sequences start at 1, and
/// the first heartbeats may be lost or arrive out of order.
constexpr std::uint64_t kMaxFirstSequence = 5;

}  // namespace

void InstanceTable::continueFrom (RelayInstanceTable&& earlier, base::Term leader)
{
    if (! earlier.hasTable())
        return;
    m_term = earlier.m_term;
    m_rows = std::move (earlier.m_rows);
    m_changed = std::move (earlier.m_changed);
    m_removed = std::move (earlier.m_removed);
    m_known = earlier.m_known;
    m_known.continueUnderLeader (earlier.m_version, leader);
    m_version = firstVersionOf (leader);
    for (const auto& [id, row] : m_rows)
        m_idsAt[row.instance.address].insert (id);
}

void InstanceTable::restoreSoftwareVersions (const cell::SoftwareVersionHistory& recorded)
{
    for (auto& [id, state] : m_heartbeats)
    {
        if (! state.softwareVersion.empty())
            continue;
        const std::string* const version = recorded.versionOf (id);
        if (version == nullptr || version->empty())
            continue;
        state.softwareVersion = *version;
        m_pendingRefresh.insert (id);
    }
}

void InstanceTable::restartVersions (base::Term term)
{
    m_term = term;
    m_known.restart (++m_version);
}

bool InstanceTable::onHeartbeat (const InstanceHeartbeat& heartbeat, base::TimePoint now)
{
    HeartbeatState& state = m_heartbeats[heartbeat.instance.id];
    const base::UnixMilliseconds startedAt = heartbeat.instance.startedAt;
    if (cell::isEarlierIncarnation (startedAt, state.startedAt))
        return false;
    if (cell::isEarlierIncarnation (state.startedAt, startedAt))
        state = HeartbeatState{};
    const bool isLate = state.isReported && heartbeat.sequence <= state.sequence;
    if (isLate)
        return false;
    state.startedAt = std::max (state.startedAt, startedAt);
    const bool isFirst = ! state.isReported;
    if (isFirst)
        markPredecessorsUnreachable (heartbeat, now);
    state.lastHeartbeatAt = now;
    state.sequence = heartbeat.sequence;
    state.isReported = true;
    recordSoftwareVersion (state, heartbeat.softwareVersion);
    if (! state.isPlaced)
        state.models = cell::sortedByName (heartbeat.models);  // The order that placement uses.
    m_pendingRefresh.insert (heartbeat.instance.id);
    return true;
}

void InstanceTable::onUnchangedHeartbeat (const cell::RelayedHeartbeat& relayed,
                                          base::TimePoint now)
{
    const auto found = m_heartbeats.find (relayed.instance);
    if (found == m_heartbeats.end())
        return;
    HeartbeatState& state = found->second;
    // The first relayed heartbeat of a later incarnation includes its held models.
    const bool isOther = relayed.startedAt != 0 && relayed.startedAt != state.startedAt;
    if (isOther || relayed.sequence <= state.sequence)
        return;
    const bool wasSilent = isSilent (state, now);
    if (recordSoftwareVersion (state, relayed.softwareVersion) || wasSilent)
        m_pendingRefresh.insert (relayed.instance);
    state.lastHeartbeatAt = now;
    state.sequence = relayed.sequence;
}

bool InstanceTable::recordSoftwareVersion (HeartbeatState& state, const std::string& version)
{
    if (version.empty() || version == state.softwareVersion)
        return false;
    state.softwareVersion = version;
    return true;
}

void InstanceTable::markPredecessorsUnreachable (const InstanceHeartbeat& heartbeat,
                                                 base::TimePoint now)
{
    for (const std::string& id : predecessorsOf (heartbeat.instance))
        onUnreachable (id, now);
}

std::vector<std::string> InstanceTable::predecessorsOf (const cell::ServiceInstance& instance) const
{
    std::vector<std::string> predecessors;
    const auto found = m_idsAt.find (instance.address);
    if (found == m_idsAt.end())
        return predecessors;
    std::ranges::copy_if (found->second, std::back_inserter (predecessors),
                          [&] (const std::string& id) { return id != instance.id; });
    return predecessors;
}

bool InstanceTable::isFromPredecessor (const InstanceHeartbeat& heartbeat,
                                       base::TimePoint now) const
{
    if (heartbeat.sequence <= kMaxFirstSequence || m_rows.contains (heartbeat.instance.id))
        return false;
    return std::ranges::any_of (predecessorsOf (heartbeat.instance),
                                [&] (const std::string& id)
                                {
                                    const auto found = m_heartbeats.find (id);
                                    return found != m_heartbeats.end()
                                           && now - found->second.lastHeartbeatAt < m_silence;
                                });
}

void InstanceTable::onUnreachable (const std::string& id, base::TimePoint now)
{
    const auto found = m_heartbeats.find (id);
    if (found == m_heartbeats.end())
        return;
    found->second.unreachableAt = now;
    m_pendingRefresh.insert (id);
}

void InstanceTable::setModels (const std::string& id, std::vector<cell::HeldModel> models)
{
    const auto found = m_heartbeats.find (id);
    if (found == m_heartbeats.end())
        return;
    found->second.isReported = true;
    found->second.isPlaced = true;
    found->second.models = std::move (models);
    m_pendingRefresh.insert (id);
}

bool InstanceTable::isSilent (const HeartbeatState& state, base::TimePoint now) const
{
    return now - state.lastHeartbeatAt >= m_silence || state.unreachableAt > state.lastHeartbeatAt;
}

InstanceTable::HeartbeatState InstanceTable::initialStateOf (const cell::ServiceInstance& instance,
                                                             const cell::RoutableInstance* row,
                                                             base::TimePoint now)
{
    const bool isSameIncarnation = row != nullptr && row->instance.startedAt == instance.startedAt;
    HeartbeatState state;
    state.startedAt = instance.startedAt;
    state.lastHeartbeatAt = now;
    if (isSameIncarnation)
        state.softwareVersion = row->softwareVersion;
    return state;
}

void InstanceTable::refreshChanged (const cell::ServiceInstances& replicated, base::TimePoint now)
{
    for (const std::string& id : std::exchange (m_pendingRefresh, {}))
        refreshRow (id, replicated, now);
}

void InstanceTable::refreshRow (const std::string& id, const cell::ServiceInstances& replicated,
                                base::TimePoint now)
{
    const auto row = m_rows.find (id);
    const bool isPresent = row != m_rows.end();
    const cell::ServiceInstance* instance = replicated.find (id);
    if (instance == nullptr)
    {
        if (isPresent)
            remove (row);
        return;
    }
    const HeartbeatState first =
        initialStateOf (*instance, isPresent ? &row->second : nullptr, now);
    HeartbeatState& seen = m_heartbeats.try_emplace (id, first).first->second;
    if (cell::isEarlierIncarnation (seen.startedAt, instance->startedAt))
        seen = first;
    const bool isNowSilent = isSilent (seen, now);
    if (! isPresent || ! isShownBy (row->second, *instance, seen, isNowSilent))
        put (row, rowOf (*instance, seen, isNowSilent));
}

void InstanceTable::refresh (const cell::ServiceInstances& replicated, base::TimePoint now)
{
    m_pendingRefresh.clear();
    // Iterates both maps in parallel with the replicated table: looking up each id takes longer
    // than comparing the entries.
    auto row = m_rows.begin();
    auto state = m_heartbeats.begin();
    for (const auto& [id, instance] : replicated.all())
    {
        // Before removing rows, since remove() also erases the heartbeat state of the row.
        while (state != m_heartbeats.end() && state->first < id)
            ++state;
        while (row != m_rows.end() && row->first < id)
            row = remove (row);
        const bool isPresent = row != m_rows.end() && row->first == id;
        const HeartbeatState first =
            initialStateOf (instance, isPresent ? &row->second : nullptr, now);
        if (state == m_heartbeats.end() || state->first != id)
            state = m_heartbeats.emplace_hint (state, id, first);
        else if (cell::isEarlierIncarnation (state->second.startedAt, instance.startedAt))
            state->second = first;
        const HeartbeatState& seen = state->second;
        const bool isNowSilent = isSilent (seen, now);
        if (! isPresent || ! isShownBy (row->second, instance, seen, isNowSilent))
            row = put (row, rowOf (instance, seen, isNowSilent));
        ++row;
    }
    while (row != m_rows.end())
        row = remove (row);
}

cell::RoutableInstance InstanceTable::rowOf (const cell::ServiceInstance& instance,
                                             const HeartbeatState& state, bool isSilent)
{
    cell::RoutableInstance row{ instance, isSilent, {} };
    if (state.isReported)
    {
        row.instance.isReported = true;
        row.instance.models = state.models;
    }
    row.softwareVersion = state.softwareVersion;
    return row;
}

void InstanceTable::renewFirstRow()
{
    if (! m_rows.empty())
        m_changed.record (m_rows.begin()->first, ++m_version);
}

/// Equivalent to a comparison with rowOf(), without copying the held models of each runner. With
/// copies, checking 3,000 runners three times per second takes 0.05 of a core.
bool InstanceTable::isShownBy (const cell::RoutableInstance& row,
                               const cell::ServiceInstance& instance, const HeartbeatState& state,
                               bool isSilent)
{
    // Names each member, so that an added member fails to compile until it is compared here.
    const auto& [id, service, address, zone, slots, isDraining, isReported, models, startedAt] =
        row.instance;
    return row.isSilent == isSilent && row.softwareVersion == state.softwareVersion
           && id == instance.id && isDraining == instance.isDraining && slots == instance.slots
           && service == instance.service && address == instance.address && zone == instance.zone
           && startedAt == instance.startedAt
           && isReported == (state.isReported || instance.isReported)
           && models == (state.isReported ? state.models : instance.models);
}

InstanceTable::Rows::iterator InstanceTable::put (Rows::iterator at, cell::RoutableInstance row)
{
    const std::string id = row.instance.id;
    m_idsAt[row.instance.address].insert (id);
    m_changed.record (id, ++m_version);
    m_removed.forget (id);
    return m_rows.insert_or_assign (at, id, std::move (row));
}

InstanceTable::Rows::iterator InstanceTable::remove (Rows::iterator row)
{
    m_removed.record (row->first, ++m_version);
    m_changed.forget (row->first);
    m_heartbeats.erase (row->first);
    std::set<std::string>& ids = m_idsAt[row->second.instance.address];
    ids.erase (row->first);
    if (ids.empty())
        m_idsAt.erase (row->second.instance.address);
    return m_rows.erase (row);
}

std::vector<std::string> InstanceTable::silentFor (base::Duration limit, base::TimePoint now) const
{
    std::vector<std::string> silent;
    for (const auto& [id, row] : m_rows)
    {
        const auto state = m_heartbeats.find (id);
        if (state != m_heartbeats.end() && now - state->second.lastHeartbeatAt >= limit)
        {
            silent.push_back (id);
        }
    }
    return silent;
}

std::uint64_t InstanceTable::versionAfter (std::uint64_t version, std::size_t count) const
{
    return std::min (m_changed.versionOfChange (version, count).value_or (m_version),
                     m_removed.versionOfChange (version, count).value_or (m_version));
}

cell::InstanceUpdate InstanceTable::updateSince (std::uint64_t version) const
{
    const std::uint64_t since = m_known.contains (version) ? version : 0;
    cell::InstanceUpdate update;
    update.term = m_term;
    update.fromVersion = since;
    update.toVersion = m_version;
    m_changed.visitSince (
        since, [&] (const std::string& id) { update.upserts.push_back (m_rows.at (id)); });
    if (since == 0)
        return update;
    m_removed.visitSince (since,
                          [&] (std::string id) { update.removals.push_back (std::move (id)); });
    return update;
}

}  // namespace fernlift::controller
