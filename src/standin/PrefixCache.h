#pragma once

/// Prefix cache of an engine: prompt blocks whose KV entries are cached with a limited capacity,
/// and the events that report its changes.

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/Time.h"

namespace fernlift::standin
{

/// Reports that a block was stored or removed.
struct CacheEvent
{
    std::uint64_t sequence = 0;  ///< A gap between events shows that some were dropped.
    bool isStored = true;
    std::string model;
    std::uint64_t block = 0;
    base::TimePoint at{};
};

/// Least recently used cache of prompt blocks, for all models of one engine.
class PrefixCache
{
public:
    /// `capacity` is in blocks; events become visible `eventDelay` after the change.
    PrefixCache (std::size_t capacity, base::Duration eventDelay)
        : m_capacity (capacity), m_eventDelay (eventDelay)
    {
    }

    /// Returns the number of leading blocks that are cached and marks them as used.
    std::size_t match (const std::string& model, const std::vector<std::uint64_t>& blocks);
    /// Stores the blocks of a prompt after its prefill.
    void store (const std::string& model, const std::vector<std::uint64_t>& blocks,
                base::TimePoint now);
    /// Removes all blocks of a model that is being unloaded.
    void removeModel (const std::string& model, base::TimePoint now);
    /// Sets the number of blocks that requests occupy, by which the capacity of the cache is
    /// reduced.
    void setReserved (std::size_t blocks, base::TimePoint now);
    /// Drops the next `count` events, which leaves a gap in the sequence numbers.
    void dropEvents (std::uint64_t count) { m_eventsToDrop += count; }

    /// Returns at most 1000 visible events after `sequence`, oldest first.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter (std::uint64_t sequence,
                                                       base::TimePoint now) const;
    [[nodiscard]] std::size_t size() const { return m_order.size(); }

private:
    using Key = std::pair<std::string, std::uint64_t>;

    void evictToFit (base::TimePoint now);
    void addEvent (bool isStored, const Key& key, base::TimePoint now);

    std::size_t m_capacity;
    std::size_t m_reserved = 0;
    base::Duration m_eventDelay;
    std::list<Key> m_order;  ///< Most recently used first.
    std::map<Key, std::list<Key>::iterator> m_entries;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_eventsToDrop = 0;
};

}  // namespace fernlift::standin
