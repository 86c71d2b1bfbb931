#include "sim/EventQueue.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fernlift::sim
{

void EventQueue::at (base::TimePoint time, Action action)
{
    heap_.push_back ({ std::max (time, now_), nextSequence_++, std::move (action) });
    std::push_heap (heap_.begin(), heap_.end(), IsLater());
}

void EventQueue::runUntil (base::TimePoint end)
{
    while (! heap_.empty() && heap_.front().time <= end)
    {
        std::pop_heap (heap_.begin(), heap_.end(), IsLater());
        const Event event = std::move (heap_.back());
        heap_.pop_back();
        eventsAtThisTime_ = event.time == now_ ? eventsAtThisTime_ + 1 : 0;
        if (eventsAtThisTime_ > kMaximumEventsAtOneTime)
            throw std::logic_error ("time stands still");
        now_ = event.time;
        ++executed_;
        event.action();
    }
    now_ = end;
}

}  // namespace fernlift::sim
