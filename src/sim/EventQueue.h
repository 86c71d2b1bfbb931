#pragma once

/// The clock of a simulation and everything that will happen, in order of time.

#include <cstdint>
#include <functional>
#include <vector>

#include "base/Time.h"

namespace fernlift::sim
{

using Action = std::function<void()>;

/// Single-threaded. Events of one time run in the order of their scheduling.
class EventQueue
{
public:
    [[nodiscard]] base::TimePoint now() const { return m_now; }
    void at (base::TimePoint time, Action action);
    void after (base::Duration delay, Action action) { at (m_now + delay, std::move (action)); }
    /// Runs every event up to `end`, and ends with the clock there.
    void runUntil (base::TimePoint end);
    [[nodiscard]] std::uint64_t executed() const { return m_executed; }

private:
    struct Event
    {
        base::TimePoint time{};
        std::uint64_t sequence = 0;
        Action action;
    };
    /// Orders a heap so that the earliest event is on top.
    struct IsLater
    {
        bool operator() (const Event& left, const Event& right) const
        {
            if (left.time != right.time)
                return left.time > right.time;
            return left.sequence > right.sequence;
        }
    };

    /// More events at one time than this: the simulation makes no progress.
    static constexpr std::uint64_t kMaxEventsAtOneTime = 1'000'000;

    base::TimePoint m_now{ base::seconds (1000) };
    std::vector<Event> m_heap;
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_executed = 0;
    std::uint64_t m_eventsAtThisTime = 0;
};

}  // namespace fernlift::sim
