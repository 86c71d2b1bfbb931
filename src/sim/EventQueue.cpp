#include "sim/EventQueue.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fernlift::sim
{

void EventQueue::at (base::TimePoint time, Action action)
{
    m_heap.push_back ({ std::max (time, m_now), m_nextSequence++, std::move (action) });
    std::push_heap (m_heap.begin(), m_heap.end(), IsLater());
}

void EventQueue::runUntil (base::TimePoint end)
{
    while (! m_heap.empty() && m_heap.front().time <= end)
    {
        std::pop_heap (m_heap.begin(), m_heap.end(), IsLater());
        const Event event = std::move (m_heap.back());
        m_heap.pop_back();
        m_eventsAtThisTime = event.time == m_now ? m_eventsAtThisTime + 1 : 0;
        if (m_eventsAtThisTime > kMaxEventsAtOneTime)
            throw std::logic_error (
                "simulation makes no progress: too many events at one simulated time");
        m_now = event.time;
        ++m_executed;
        event.action();
    }
    m_now = end;
}

}  // namespace fernlift::sim
