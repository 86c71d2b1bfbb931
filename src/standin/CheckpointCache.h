#pragma once

/// Checkpoints that a machine keeps on its disk and in its memory, each with limited room.

#include <list>
#include <string>
#include <vector>

#include "engine/EngineApi.h"

namespace fernlift::standin
{

using engine::Megabytes;

/// One kept checkpoint.
struct Checkpoint
{
    std::string artifact;  ///< Model or adapter name.
    std::string version;
    Megabytes size = 0;

    bool operator== (const Checkpoint&) const = default;
};

/// Checkpoints in one place; the least recently used go first when room is needed.
class CheckpointTier
{
public:
    explicit CheckpointTier (Megabytes capacity) : m_capacity (capacity) {}

    /// True when that version is here; marks it as used.
    bool use (const std::string& artifact, const std::string& version);
    /// Adds a checkpoint, replacing another version of it. One above the capacity is not kept.
    void put (const Checkpoint& checkpoint);
    [[nodiscard]] const std::list<Checkpoint>& checkpoints() const { return m_checkpoints; }

private:
    void remove (const std::string& artifact);

    Megabytes m_capacity;
    Megabytes m_used = 0;
    std::list<Checkpoint> m_checkpoints;  ///< Most recently used first.
};

/// Disk and memory of one machine.
class CheckpointCache
{
public:
    CheckpointCache (Megabytes diskCapacity, Megabytes memoryCapacity)
        : m_disk (diskCapacity), m_memory (memoryCapacity)
    {
    }

    /// The fastest place that holds the checkpoint; marks it as used there.
    engine::CheckpointPlace use (const std::string& artifact, const std::string& version);
    void putOnDisk (const Checkpoint& checkpoint) { m_disk.put (checkpoint); }
    void putInMemory (const Checkpoint& checkpoint) { m_memory.put (checkpoint); }
    /// Each kept checkpoint once, at its fastest place.
    [[nodiscard]] std::vector<engine::CheckpointReport> report() const;
    [[nodiscard]] const std::list<Checkpoint>& onDisk() const { return m_disk.checkpoints(); }

private:
    CheckpointTier m_disk;
    CheckpointTier m_memory;
};

}  // namespace fernlift::standin
