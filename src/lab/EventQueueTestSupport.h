#pragma once

/**
 * Test support: work that a simulation does at given times.
 */

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "base/Time.h"

namespace fernlift::lab::test
{

/** Work in the order of its time; work of the same time in the order in which it was added. */
class EventQueue
{
public:
    void add (base::TimePoint at, std::function<void()> work)
    {
        m_events.push_back ({ at, m_next++, std::move (work) });
        std::push_heap (m_events.begin(), m_events.end(), std::greater<>());
    }
    /** Does all work that is due, including what it adds. */
    void runUntil (base::TimePoint now)
    {
        while (! m_events.empty() && m_events.front().at <= now)
        {
            std::pop_heap (m_events.begin(), m_events.end(), std::greater<>());
            const auto work = std::move (m_events.back().work);
            m_events.pop_back();
            work();
        }
    }

private:
    struct Event
    {
        base::TimePoint at{};
        std::uint64_t number = 0;
        std::function<void()> work;

        bool operator> (const Event& other) const
        {
            return std::pair (at, number) > std::pair (other.at, other.number);
        }
    };

    std::vector<Event> m_events;  ///< Min-heap ordered by time.
    std::uint64_t m_next = 0;
};

}  // namespace fernlift::lab::test
