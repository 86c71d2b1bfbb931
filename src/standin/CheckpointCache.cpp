#include "standin/CheckpointCache.h"

#include <algorithm>

namespace fernlift::standin
{

bool CheckpointTier::use (const std::string& artifact, const std::string& version)
{
    const auto found =
        std::find_if (checkpoints_.begin(), checkpoints_.end(),
                      [&] (const Checkpoint& checkpoint)
                      { return checkpoint.artifact == artifact && checkpoint.version == version; });
    if (found == checkpoints_.end())
        return false;
    checkpoints_.splice (checkpoints_.begin(), checkpoints_, found);
    return true;
}

void CheckpointTier::put (const Checkpoint& checkpoint)
{
    remove (checkpoint.artifact);
    if (checkpoint.size > capacity_)
        return;
    while (used_ + checkpoint.size > capacity_)
    {
        used_ -= checkpoints_.back().size;
        checkpoints_.pop_back();
    }
    used_ += checkpoint.size;
    checkpoints_.push_front (checkpoint);
}

void CheckpointTier::remove (const std::string& artifact)
{
    const auto found =
        std::find_if (checkpoints_.begin(), checkpoints_.end(),
                      [&] (const Checkpoint& entry) { return entry.artifact == artifact; });
    if (found == checkpoints_.end())
        return;
    used_ -= found->size;
    checkpoints_.erase (found);
}

engine::CheckpointPlace CheckpointCache::use (const std::string& artifact,
                                              const std::string& version)
{
    const bool isOnDisk = disk_.use (artifact, version);
    if (memory_.use (artifact, version))
        return engine::CheckpointPlace::kMemory;
    return isOnDisk ? engine::CheckpointPlace::kDisk : engine::CheckpointPlace::kRemote;
}

std::vector<engine::CheckpointReport> CheckpointCache::report() const
{
    std::vector<engine::CheckpointReport> reports;
    for (const auto& checkpoint : memory_.checkpoints())
    {
        reports.push_back ({ checkpoint.artifact, engine::CheckpointPlace::kMemory });
    }
    for (const auto& checkpoint : disk_.checkpoints())
    {
        const bool isInMemory = std::any_of (
            memory_.checkpoints().begin(), memory_.checkpoints().end(),
            [&] (const Checkpoint& other) { return other.artifact == checkpoint.artifact; });
        if (! isInMemory)
            reports.push_back ({ checkpoint.artifact, engine::CheckpointPlace::kDisk });
    }
    return reports;
}

}  // namespace fernlift::standin
