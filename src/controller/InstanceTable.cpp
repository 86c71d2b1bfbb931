#include "controller/InstanceTable.h"

#include <utility>

namespace fernlift::controller
{

bool InstanceTable::onHeartbeat (const InstanceHeartbeat& heartbeat, base::TimePoint now)
{
    Sighting& sighting = sightings_[heartbeat.instance.id];
    const bool isLate = sighting.isReported && heartbeat.sequence <= sighting.sequence;
    if (isLate)
        return false;
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

void InstanceTable::noteSuccessor (const InstanceHeartbeat& heartbeat, base::TimePoint now)
{
    for (const auto& [id, row] : rows_)
    {
        const bool isReplaced =
            id != heartbeat.instance.id && row.instance.address == heartbeat.instance.address;
        if (isReplaced)
            onUnreachable (id, now);
    }
}

void InstanceTable::onUnreachable (const std::string& id, base::TimePoint now)
{
    const auto found = sightings_.find (id);
    if (found != sightings_.end())
        found->second.unreachableAt = now;
}

void InstanceTable::setModels (const std::string& id, std::vector<cell::HeldModel> models)
{
    const auto found = sightings_.find (id);
    if (found == sightings_.end())
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
        Sighting& sighting =
            sightings_.try_emplace (id, Sighting{ now, {}, 0, false, false, {} }).first->second;
        cell::RoutableInstance row;
        row.instance = instance;
        row.isSilent =
            now - sighting.heardAt >= silence_ || sighting.unreachableAt > sighting.heardAt;
        if (sighting.isReported)
        {
            row.instance.isReported = true;
            row.instance.models = sighting.models;
        }
        put (row);
    }
    for (auto row = rows_.begin(); row != rows_.end();)
    {
        if (agreed.find (row->first) != nullptr)
        {
            ++row;
            continue;
        }
        removedAt_[row->first] = ++version_;
        changedAt_.erase (row->first);
        sightings_.erase (row->first);
        row = rows_.erase (row);
    }
}

void InstanceTable::put (const cell::RoutableInstance& row)
{
    const std::string& id = row.instance.id;
    const auto found = rows_.find (id);
    if (found != rows_.end() && found->second == row)
        return;
    rows_[id] = row;
    changedAt_[id] = ++version_;
    removedAt_.erase (id);
}

std::vector<std::string> InstanceTable::silentFor (base::Duration limit, base::TimePoint now) const
{
    std::vector<std::string> silent;
    for (const auto& [id, row] : rows_)
    {
        const auto sighting = sightings_.find (id);
        if (sighting != sightings_.end() && now - sighting->second.heardAt >= limit)
        {
            silent.push_back (id);
        }
    }
    return silent;
}

cell::InstanceUpdate InstanceTable::updateSince (std::uint64_t version) const
{
    cell::InstanceUpdate update;
    update.term = term_;
    update.fromVersion = version;
    update.toVersion = version_;
    for (const auto& [id, changed] : changedAt_)
    {
        if (changed > version)
            update.upserts.push_back (rows_.at (id));
    }
    if (version == 0)
        return update;
    for (const auto& [id, removed] : removedAt_)
    {
        if (removed > version)
            update.removals.push_back (id);
    }
    return update;
}

}  // namespace fernlift::controller
