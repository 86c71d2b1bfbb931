#include "proxy/EngineDemands.h"

#include <iterator>

namespace fernlift::proxy
{
namespace
{

void decrease (std::uint32_t& count)
{
    if (count > 0)
        --count;
}

}  // namespace

void EngineDemands::onArrival (const EngineTarget& target)
{
    Counts& counts = counts_[target];
    ++counts.arrivals;
    counts.isChanged = true;
}

void EngineDemands::onWaiting (const EngineTarget& target)
{
    Counts& counts = counts_[target];
    ++counts.waiting;
    counts.isChanged = true;
    isUrgent_ = true;
}

void EngineDemands::onWaitEnd (const EngineTarget& target)
{
    Counts& counts = counts_[target];
    decrease (counts.waiting);
    counts.isChanged = true;
}

void EngineDemands::onRunning (const EngineTarget& target) { ++counts_[target].running; }

void EngineDemands::onRunEnd (const EngineTarget& target) { decrease (counts_[target].running); }

std::vector<cell::EngineDemand> EngineDemands::takeDue (base::TimePoint now,
                                                        base::Duration interval)
{
    std::vector<cell::EngineDemand> due;
    if (! isUrgent_ && now - reportedAt_ < interval)
        return due;
    isUrgent_ = false;
    reportedAt_ = now;
    for (auto item = counts_.begin(); item != counts_.end();)
    {
        auto& [target, counts] = *item;
        const bool isLive = counts.waiting > 0 || counts.running > 0;
        if (isLive || counts.isChanged)
        {
            due.push_back ({ target.service, target.model, target.adapter, counts.waiting,
                             counts.running, counts.arrivals });
        }
        counts.arrivals = 0;
        // The report that says that nothing is left is the last one.
        const bool isGone = ! isLive && ! counts.isChanged;
        counts.isChanged = isLive;
        item = isGone ? counts_.erase (item) : std::next (item);
    }
    return due;
}

}  // namespace fernlift::proxy
