#include "standin/PrefixCache.h"

#include <algorithm>

namespace fernlift::standin
{
namespace
{

constexpr std::size_t kMaximumKeptEvents = 20000;
constexpr std::size_t kMaximumEventsPerAnswer = 1000;

}  // namespace

std::size_t PrefixCache::match (const std::string& model, const std::vector<std::uint64_t>& blocks)
{
    std::size_t matched = 0;
    for (const std::uint64_t block : blocks)
    {
        const auto found = entries_.find ({ model, block });
        if (found == entries_.end())
            break;
        order_.splice (order_.begin(), order_, found->second);
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
        if (entries_.contains (key))
            continue;
        order_.push_front (key);
        entries_[key] = order_.begin();
        addEvent (true, key, now);
    }
    evictToFit (now);
}

void PrefixCache::removeModel (const std::string& model, base::TimePoint now)
{
    for (auto entry = entries_.begin(); entry != entries_.end();)
    {
        if (entry->first.first != model)
        {
            ++entry;
            continue;
        }
        addEvent (false, entry->first, now);
        order_.erase (entry->second);
        entry = entries_.erase (entry);
    }
}

void PrefixCache::setReserved (std::size_t blocks, base::TimePoint now)
{
    reserved_ = std::min (blocks, capacity_);
    evictToFit (now);
}

std::vector<CacheEvent> PrefixCache::eventsAfter (std::uint64_t sequence, base::TimePoint now) const
{
    std::vector<CacheEvent> visible;
    for (const auto& event : events_)
    {
        if (event.sequence <= sequence)
            continue;
        if (event.at + eventDelay_ > now || visible.size() == kMaximumEventsPerAnswer)
            break;
        visible.push_back (event);
    }
    return visible;
}

void PrefixCache::evictToFit (base::TimePoint now)
{
    while (order_.size() + reserved_ > capacity_ && ! order_.empty())
    {
        addEvent (false, order_.back(), now);
        entries_.erase (order_.back());
        order_.pop_back();
    }
}

void PrefixCache::addEvent (bool isStored, const Key& key, base::TimePoint now)
{
    ++lastSequence_;
    if (eventsToDrop_ > 0)
    {
        --eventsToDrop_;
        return;
    }
    events_.push_back ({ lastSequence_, isStored, key.first, key.second, now });
    if (events_.size() > kMaximumKeptEvents)
        events_.pop_front();
}

}  // namespace fernlift::standin
