#pragma once

/// Checkpoints that a machine caches on disk and in main memory, each with a limited capacity.

#include <list>
#include <string>
#include <vector>

#include "engine/EngineApi.h"

namespace fernlift::standin
{

using engine::Megabytes;

/// A cached checkpoint.
struct Checkpoint
{
    std::string artifact;  ///< Model or adapter name.
    std::string version;
    Megabytes size = 0;

    bool operator== (const Checkpoint&) const = default;
};

/// Least recently used cache of checkpoints in one place.
class CheckpointTier
{
public:
    explicit CheckpointTier (Megabytes capacity) : m_capacity (capacity) {}

    /// Returns true and marks the checkpoint as used if that version is cached.
    bool use (const std::string& artifact, const std::string& version);
    /// Adds a checkpoint and removes other versions of it. A checkpoint larger than the capacity is
    /// not cached.
    void put (const Checkpoint& checkpoint);
    [[nodiscard]] const std::list<Checkpoint>& checkpoints() const { return m_checkpoints; }

private:
    void remove (const std::string& artifact);

    Megabytes m_capacity;
    Megabytes m_used = 0;
    std::list<Checkpoint> m_checkpoints;  ///< Most recently used first.
};

/// The disk and memory caches of one machine.
class CheckpointCache
{
public:
    CheckpointCache (Megabytes diskCapacity, Megabytes memoryCapacity)
        : m_disk (diskCapacity), m_memory (memoryCapacity)
    {
    }

    /// Returns the fastest place that holds the checkpoint and marks it as used.
    engine::CheckpointPlace use (const std::string& artifact, const std::string& version);
    void putOnDisk (const Checkpoint& checkpoint) { m_disk.put (checkpoint); }
    void putInMemory (const Checkpoint& checkpoint) { m_memory.put (checkpoint); }
    /// Lists each cached checkpoint once, with its fastest place.
    [[nodiscard]] std::vector<engine::CheckpointReport> report() const;
    [[nodiscard]] const std::list<Checkpoint>& onDisk() const { return m_disk.checkpoints(); }

private:
    CheckpointTier m_disk;
    CheckpointTier m_memory;
};

}  // namespace fernlift::standin
