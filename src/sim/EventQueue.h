#pragma once

/// Clock and event queue of a discrete-event simulation.

#include <cstdint>
#include <functional>
#include <vector>

#include "base/Time.h"

namespace fernlift::sim
{

using Action = std::function<void()>;

/// Single-threaded. Events at the same time run in the order in which they were scheduled.
class EventQueue
{
public:
    [[nodiscard]] base::TimePoint now() const { return m_now; }
    void at (base::TimePoint time, Action action);
    void after (base::Duration delay, Action action) { at (m_now + delay, std::move (action)); }
    /// Runs all events up to and including `end` and sets the clock to `end`.
    void runUntil (base::TimePoint end);
    [[nodiscard]] std::uint64_t executed() const { return m_executed; }

private:
    struct Event
    {
        base::TimePoint time{};
        std::uint64_t sequence = 0;
        Action action;
    };
    /// Heap comparator that puts the earliest event on top.
    struct IsLater
    {
        bool operator() (const Event& left, const Event& right) const
        {
            if (left.time != right.time)
                return left.time > right.time;
            return left.sequence > right.sequence;
        }
    };

    /// Limit of events at one simulated time; beyond it the simulation counts as stuck in a loop.
    static constexpr std::uint64_t kMaxEventsAtOneTime = 1'000'000;

    base::TimePoint m_now{ base::seconds (1000) };
    std::vector<Event> m_heap;
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_executed = 0;
    std::uint64_t m_eventsAtThisTime = 0;
};

}  // namespace fernlift::sim
