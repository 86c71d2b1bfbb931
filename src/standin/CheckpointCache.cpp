#include "standin/CheckpointCache.h"

#include <algorithm>

namespace fernlift::standin
{

bool CheckpointTier::use (const std::string& artifact, const std::string& version)
{
    const auto found =
        std::find_if (m_checkpoints.begin(), m_checkpoints.end(),
                      [&] (const Checkpoint& checkpoint)
                      { return checkpoint.artifact == artifact && checkpoint.version == version; });
    if (found == m_checkpoints.end())
        return false;
    m_checkpoints.splice (m_checkpoints.begin(), m_checkpoints, found);
    return true;
}

void CheckpointTier::put (const Checkpoint& checkpoint)
{
    remove (checkpoint.artifact);
    if (checkpoint.size > m_capacity)
        return;
    while (m_used + checkpoint.size > m_capacity)
    {
        m_used -= m_checkpoints.back().size;
        m_checkpoints.pop_back();
    }
    m_used += checkpoint.size;
    m_checkpoints.push_front (checkpoint);
}

void CheckpointTier::remove (const std::string& artifact)
{
    const auto found =
        std::find_if (m_checkpoints.begin(), m_checkpoints.end(),
                      [&] (const Checkpoint& entry) { return entry.artifact == artifact; });
    if (found == m_checkpoints.end())
        return;
    m_used -= found->size;
    m_checkpoints.erase (found);
}

engine::CheckpointPlace CheckpointCache::use (const std::string& artifact,
                                              const std::string& version)
{
    const bool isOnDisk = m_disk.use (artifact, version);
    if (m_memory.use (artifact, version))
        return engine::CheckpointPlace::kMemory;
    return isOnDisk ? engine::CheckpointPlace::kDisk : engine::CheckpointPlace::kRemote;
}

std::vector<engine::CheckpointReport> CheckpointCache::report() const
{
    std::vector<engine::CheckpointReport> reports;
    for (const auto& checkpoint : m_memory.checkpoints())
    {
        reports.push_back ({ checkpoint.artifact, engine::CheckpointPlace::kMemory });
    }
    for (const auto& checkpoint : m_disk.checkpoints())
    {
        const bool isInMemory = std::any_of (
            m_memory.checkpoints().begin(), m_memory.checkpoints().end(),
            [&] (const Checkpoint& other) { return other.artifact == checkpoint.artifact; });
        if (! isInMemory)
            reports.push_back ({ checkpoint.artifact, engine::CheckpointPlace::kDisk });
    }
    return reports;
}

}  // namespace fernlift::standin
