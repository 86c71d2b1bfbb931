#include "controller/InstanceTable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fernlift::controller
{
namespace
{

/// Heartbeats of an instance that has just started have no higher sequence: it counts from 1, and
/// the first ones may be lost or overtake each other.
constexpr std::uint64_t kFirstSequences = 5;

}  // namespace

void InstanceTable::continueFrom (InstanceMirror&& earlier, base::Term leader)
{
    if (! earlier.hasTable())
        return;
    m_term = earlier.m_term;
    m_rows = std::move (earlier.m_rows);
    m_changed = std::move (earlier.m_changed);
    m_removed = std::move (earlier.m_removed);
    m_known = earlier.m_known;
    m_known.passTo (earlier.m_version, leader);
    m_version = firstVersionOf (leader);
    for (const auto& [id, row] : m_rows)
        m_idsAt[row.instance.address].insert (id);
}

void InstanceTable::beginAnew (base::Term term)
{
    m_term = term;
    m_known.restart (++m_version);
}

bool InstanceTable::onHeartbeat (const InstanceHeartbeat& heartbeat, base::TimePoint now)
{
    Sighting& sighting = m_sightings[heartbeat.instance.id];
    const base::UnixMilliseconds startedAt = heartbeat.instance.startedAt;
    if (cell::isEarlierIncarnation (startedAt, sighting.startedAt))
        return false;
    if (cell::isEarlierIncarnation (sighting.startedAt, startedAt))
        sighting = Sighting{};
    const bool isLate = sighting.isReported && heartbeat.sequence <= sighting.sequence;
    if (isLate)
        return false;
    sighting.startedAt = std::max (sighting.startedAt, startedAt);
    const bool isFirst = ! sighting.isReported;
    if (isFirst)
        noteSuccessor (heartbeat, now);
    sighting.heardAt = now;
    sighting.sequence = heartbeat.sequence;
    sighting.isReported = true;
    if (! sighting.isPlaced)
        sighting.models = cell::inOrder (heartbeat.models);  // As placement shows them.
    m_unrefreshed.insert (heartbeat.instance.id);
    return true;
}

void InstanceTable::onHeard (const cell::InstanceSighting& heard, base::TimePoint now)
{
    const auto found = m_sightings.find (heard.instance);
    if (found == m_sightings.end())
        return;
    Sighting& sighting = found->second;
    // A later incarnation is told of with its holdings first.
    const bool isOther = heard.startedAt != 0 && heard.startedAt != sighting.startedAt;
    if (isOther || heard.sequence <= sighting.sequence)
        return;
    if (isSilent (sighting, now))
        m_unrefreshed.insert (heard.instance);
    sighting.heardAt = now;
    sighting.sequence = heard.sequence;
}

void InstanceTable::noteSuccessor (const InstanceHeartbeat& heartbeat, base::TimePoint now)
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

bool InstanceTable::isOfPredecessor (const InstanceHeartbeat& heartbeat, base::TimePoint now) const
{
    if (heartbeat.sequence <= kFirstSequences || m_rows.contains (heartbeat.instance.id))
        return false;
    return std::ranges::any_of (predecessorsOf (heartbeat.instance),
                                [&] (const std::string& id)
                                {
                                    const auto found = m_sightings.find (id);
                                    return found != m_sightings.end()
                                           && now - found->second.heardAt < m_silence;
                                });
}

void InstanceTable::onUnreachable (const std::string& id, base::TimePoint now)
{
    const auto found = m_sightings.find (id);
    if (found == m_sightings.end())
        return;
    found->second.unreachableAt = now;
    m_unrefreshed.insert (id);
}

void InstanceTable::setModels (const std::string& id, std::vector<cell::HeldModel> models)
{
    const auto found = m_sightings.find (id);
    if (found == m_sightings.end())
        return;
    found->second.isReported = true;
    found->second.isPlaced = true;
    found->second.models = std::move (models);
    m_unrefreshed.insert (id);
}

bool InstanceTable::isSilent (const Sighting& sighting, base::TimePoint now) const
{
    return now - sighting.heardAt >= m_silence || sighting.unreachableAt > sighting.heardAt;
}

InstanceTable::Sighting InstanceTable::firstSightingOf (const cell::ServiceInstance& instance,
                                                        base::TimePoint now)
{
    return { instance.startedAt, now, {}, 0, false, false, {} };
}

void InstanceTable::refreshChanged (const cell::ServiceInstances& agreed, base::TimePoint now)
{
    for (const std::string& id : std::exchange (m_unrefreshed, {}))
        refreshRow (id, agreed, now);
}

void InstanceTable::refreshRow (const std::string& id, const cell::ServiceInstances& agreed,
                                base::TimePoint now)
{
    const auto row = m_rows.find (id);
    const bool isPresent = row != m_rows.end();
    const cell::ServiceInstance* instance = agreed.find (id);
    if (instance == nullptr)
    {
        if (isPresent)
            remove (row);
        return;
    }
    const Sighting first = firstSightingOf (*instance, now);
    Sighting& seen = m_sightings.try_emplace (id, first).first->second;
    if (cell::isEarlierIncarnation (seen.startedAt, instance->startedAt))
        seen = first;
    const bool isNowSilent = isSilent (seen, now);
    if (! isPresent || ! isShownBy (row->second, *instance, seen, isNowSilent))
        put (row, rowOf (*instance, seen, isNowSilent));
}

void InstanceTable::refresh (const cell::ServiceInstances& agreed, base::TimePoint now)
{
    m_unrefreshed.clear();
    // Both maps are walked along with the agreed table: looking each id up in them took longer than
    // comparing what they hold.
    auto row = m_rows.begin();
    auto sighting = m_sightings.begin();
    for (const auto& [id, instance] : agreed.all())
    {
        // First, since a row that is removed takes its sighting along.
        while (sighting != m_sightings.end() && sighting->first < id)
            ++sighting;
        while (row != m_rows.end() && row->first < id)
            row = remove (row);
        const Sighting first = firstSightingOf (instance, now);
        if (sighting == m_sightings.end() || sighting->first != id)
            sighting = m_sightings.emplace_hint (sighting, id, first);
        else if (cell::isEarlierIncarnation (sighting->second.startedAt, instance.startedAt))
            sighting->second = first;
        const Sighting& seen = sighting->second;
        const bool isNowSilent = isSilent (seen, now);
        const bool isPresent = row != m_rows.end() && row->first == id;
        if (! isPresent || ! isShownBy (row->second, instance, seen, isNowSilent))
            row = put (row, rowOf (instance, seen, isNowSilent));
        ++row;
    }
    while (row != m_rows.end())
        row = remove (row);
}

cell::RoutableInstance InstanceTable::rowOf (const cell::ServiceInstance& instance,
                                             const Sighting& sighting, bool isSilent)
{
    cell::RoutableInstance row{ instance, isSilent };
    if (sighting.isReported)
    {
        row.instance.isReported = true;
        row.instance.models = sighting.models;
    }
    return row;
}

/// The same as comparing with rowOf(), without a copy of what each of 3,000 runners holds: with
/// copies a look at all of them took a twentieth of a core, three times a second.
bool InstanceTable::isShownBy (const cell::RoutableInstance& row,
                               const cell::ServiceInstance& instance, const Sighting& sighting,
                               bool isSilent)
{
    // Names each member, so that one that is added is not forgotten here.
    const auto& [id, service, address, zone, slots, isDraining, isReported, models, startedAt] =
        row.instance;
    return row.isSilent == isSilent && id == instance.id && isDraining == instance.isDraining
           && slots == instance.slots && service == instance.service && address == instance.address
           && zone == instance.zone && startedAt == instance.startedAt
           && isReported == (sighting.isReported || instance.isReported)
           && models == (sighting.isReported ? sighting.models : instance.models);
}

InstanceTable::Rows::iterator InstanceTable::put (Rows::iterator at, cell::RoutableInstance row)
{
    const std::string id = row.instance.id;
    m_idsAt[row.instance.address].insert (id);
    m_changed.note (id, ++m_version);
    m_removed.forget (id);
    return m_rows.insert_or_assign (at, id, std::move (row));
}

InstanceTable::Rows::iterator InstanceTable::remove (Rows::iterator row)
{
    m_removed.note (row->first, ++m_version);
    m_changed.forget (row->first);
    m_sightings.erase (row->first);
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
        const auto sighting = m_sightings.find (id);
        if (sighting != m_sightings.end() && now - sighting->second.heardAt >= limit)
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
