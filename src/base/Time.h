#pragma once

/// Time as decision code sees it: always passed in, never read from the system.

#include <chrono>
#include <cstdint>

namespace fernlift::base
{

/// Tag of the monotonic time line of one process (or of one simulation). Its origin is arbitrary.
struct MonotonicTimeline
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<MonotonicTimeline>;
    static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): std::chrono's
};

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<MonotonicTimeline, Duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds of a duration, rounded down.
constexpr std::int64_t toMilliseconds (Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds> (duration).count();
}

/// Seconds of a duration, with their fraction.
constexpr double toSeconds (Duration duration)
{
    return std::chrono::duration<double> (duration).count();
}

/// Milliseconds since the Unix epoch. Used for display and for windows that outlive a process;
/// never for leases or timeouts.
using UnixMilliseconds = std::int64_t;

/// Source of time for adapters. Decision code receives the values, not the clock.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Monotonic time of this process. Goes on while the machine is suspended: leases, quotas and
    /// deadlines run out for everybody else meanwhile.
    [[nodiscard]] virtual TimePoint now() const = 0;
    /// The same without the time for which the machine was suspended, by which timers fire.
    [[nodiscard]] virtual TimePoint runningTime() const { return now(); }
    /// Wall-clock time, which may step in either direction.
    [[nodiscard]] virtual UnixMilliseconds unixNow() const = 0;
};

/// Clock of the operating system.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] TimePoint runningTime() const override;
    [[nodiscard]] UnixMilliseconds unixNow() const override;
};

/// Notices that the machine was suspended. Pure: time is passed in.
class SuspensionWatch
{
public:
    /// How long the machine was suspended since the last call; zero when it was not.
    Duration observe (TimePoint now, TimePoint runningTime)
    {
        const Duration ahead = now - runningTime;
        const Duration gained = m_isFirst ? Duration::zero() : ahead - m_ahead;
        m_isFirst = false;
        m_ahead = ahead;
        return gained >= kShortestSuspension ? gained : Duration::zero();
    }

private:
    /// Between two readings of clocks a process may be held up; suspensions last for seconds.
    static constexpr Duration kShortestSuspension = milliseconds (50);

    bool m_isFirst = true;
    Duration m_ahead{};  ///< Of `now` before `runningTime`, at the last call.
};

}  // namespace fernlift::base
