#pragma once

/// Prefix cache of an engine: blocks of prompts whose KV entries are kept, with limited room, and
/// the events that tell of changes.

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

/// A block was stored or removed.
struct CacheEvent
{
    std::uint64_t sequence = 0;  ///< A jump tells that events are missing.
    bool isStored = true;
    std::string model;
    std::uint64_t block = 0;
    base::TimePoint at{};
};

/// Least recently used cache of prompt blocks, for all models of one engine.
class PrefixCache
{
public:
    /// `capacity` in blocks; events show `eventDelay` after the change.
    PrefixCache (std::size_t capacity, base::Duration eventDelay)
        : m_capacity (capacity), m_eventDelay (eventDelay)
    {
    }

    /// Number of leading blocks that are cached; marks them as used.
    std::size_t match (const std::string& model, const std::vector<std::uint64_t>& blocks);
    /// Stores the blocks of a prompt that was computed.
    void store (const std::string& model, const std::vector<std::uint64_t>& blocks,
                base::TimePoint now);
    /// Removes all blocks of a model that is being unloaded.
    void removeModel (const std::string& model, base::TimePoint now);
    /// Blocks that running requests need: the cache shrinks by them.
    void setReserved (std::size_t blocks, base::TimePoint now);
    /// Loses the next `count` events, leaving a gap.
    void dropEvents (std::uint64_t count) { m_eventsToDrop += count; }

    /// Visible events after `sequence`, oldest first, at most 1000.
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
