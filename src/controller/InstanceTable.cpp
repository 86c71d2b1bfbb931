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
        sighting.models = heartbeat.models;
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
    if (found != m_sightings.end())
        found->second.unreachableAt = now;
}

void InstanceTable::setModels (const std::string& id, std::vector<cell::HeldModel> models)
{
    const auto found = m_sightings.find (id);
    if (found == m_sightings.end())
        return;
    found->second.isReported = true;
    found->second.isPlaced = true;
    found->second.models = std::move (models);
}

void InstanceTable::refresh (const cell::ServiceInstances& agreed, base::TimePoint now)
{
    for (const auto& [id, instance] : agreed.all())
    {
        // A new leader counts silence from when it first looked.
        const Sighting first{ instance.startedAt, now, {}, 0, false, false, {} };
        Sighting& sighting = m_sightings.try_emplace (id, first).first->second;
        if (cell::isEarlierIncarnation (sighting.startedAt, instance.startedAt))
            sighting = first;
        cell::RoutableInstance row;
        row.instance = instance;
        row.isSilent =
            now - sighting.heardAt >= m_silence || sighting.unreachableAt > sighting.heardAt;
        if (sighting.isReported)
        {
            row.instance.isReported = true;
            row.instance.models = sighting.models;
        }
        put (row);
    }
    for (auto row = m_rows.begin(); row != m_rows.end();)
    {
        if (agreed.find (row->first) != nullptr)
        {
            ++row;
            continue;
        }
        m_removedAt[row->first] = ++m_version;
        m_changedAt.erase (row->first);
        m_sightings.erase (row->first);
        std::set<std::string>& ids = m_idsAt[row->second.instance.address];
        ids.erase (row->first);
        if (ids.empty())
            m_idsAt.erase (row->second.instance.address);
        row = m_rows.erase (row);
    }
}

void InstanceTable::put (const cell::RoutableInstance& row)
{
    const std::string& id = row.instance.id;
    const auto found = m_rows.find (id);
    if (found != m_rows.end() && found->second == row)
        return;
    m_rows[id] = row;
    m_idsAt[row.instance.address].insert (id);
    m_changedAt[id] = ++m_version;
    m_removedAt.erase (id);
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

cell::InstanceUpdate InstanceTable::updateSince (std::uint64_t version) const
{
    cell::InstanceUpdate update;
    update.term = m_term;
    update.fromVersion = version;
    update.toVersion = m_version;
    for (const auto& [id, changed] : m_changedAt)
    {
        if (changed > version)
            update.upserts.push_back (m_rows.at (id));
    }
    if (version == 0)
        return update;
    for (const auto& [id, removed] : m_removedAt)
    {
        if (removed > version)
            update.removals.push_back (id);
    }
    return update;
}

}  // namespace fernlift::controller
