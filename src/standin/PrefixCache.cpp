#include "standin/PrefixCache.h"

#include <algorithm>

namespace fernlift::standin
{
namespace
{

constexpr std::size_t kMaxKeptEvents = 20000;
constexpr std::size_t kMaxEventsPerAnswer = 1000;

}  // namespace

std::size_t PrefixCache::match (const std::string& model, const std::vector<std::uint64_t>& blocks)
{
    std::size_t matched = 0;
    for (const std::uint64_t block : blocks)
    {
        const auto found = m_entries.find ({ model, block });
        if (found == m_entries.end())
            break;
        m_order.splice (m_order.begin(), m_order, found->second);
        ++matched;
    }
    return matched;
}

void PrefixCache::store (const std::string& model, const std::vector<std::uint64_t>& blocks,
                         base::TimePoint now)
{
    for (const std::uint64_t block : blocks)
    {
        const Key key{ model, block };
        if (m_entries.contains (key))
            continue;
        m_order.push_front (key);
        m_entries[key] = m_order.begin();
        addEvent (true, key, now);
    }
    evictToFit (now);
}

void PrefixCache::removeModel (const std::string& model, base::TimePoint now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();)
    {
        if (entry->first.first != model)
        {
            ++entry;
            continue;
        }
        addEvent (false, entry->first, now);
        m_order.erase (entry->second);
        entry = m_entries.erase (entry);
    }
}

void PrefixCache::setReserved (std::size_t blocks, base::TimePoint now)
{
    m_reserved = std::min (blocks, m_capacity);
    evictToFit (now);
}

std::vector<CacheEvent> PrefixCache::eventsAfter (std::uint64_t sequence, base::TimePoint now) const
{
    std::vector<CacheEvent> visible;
    for (const auto& event : m_events)
    {
        if (event.sequence <= sequence)
            continue;
        if (event.at + m_eventDelay > now || visible.size() == kMaxEventsPerAnswer)
            break;
        visible.push_back (event);
    }
    return visible;
}

void PrefixCache::evictToFit (base::TimePoint now)
{
    while (m_order.size() + m_reserved > m_capacity && ! m_order.empty())
    {
        addEvent (false, m_order.back(), now);
        m_entries.erase (m_order.back());
        m_order.pop_back();
    }
}

void PrefixCache::addEvent (bool isStored, const Key& key, base::TimePoint now)
{
    ++m_lastSequence;
    if (m_eventsToDrop > 0)
    {
        --m_eventsToDrop;
        return;
    }
    m_events.push_back ({ m_lastSequence, isStored, key.first, key.second, now });
    if (m_events.size() > kMaxKeptEvents)
        m_events.pop_front();
}

}  // namespace fernlift::standin
