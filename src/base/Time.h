#pragma once

/// Types of time and clocks. Code that makes decisions, such as consensus::RaftNode, never reads a
/// clock; its callers pass the time in.

#include <chrono>
#include <cstdint>

namespace fernlift::base
{

/// Clock type for the monotonic time of one process or one simulation. Its origin is arbitrary.
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

/// Whole milliseconds of a duration; the fraction is dropped.
constexpr std::int64_t toMilliseconds (Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds> (duration).count();
}

/// Seconds of a duration, including the fraction.
constexpr double toSeconds (Duration duration)
{
    return std::chrono::duration<double> (duration).count();
}

/// Milliseconds since the Unix epoch. Used for display and for time windows that outlive a
/// process, never for leases or timeouts.
using UnixMilliseconds = std::int64_t;

/// Source of time for the callers of code that makes decisions; that code itself has no clock.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Monotonic time of this process. It advances while the machine is suspended, because leases,
    /// quotas and deadlines keep running out for other processes meanwhile.
    [[nodiscard]] virtual TimePoint now() const = 0;
    /// Monotonic time that stops while the machine is suspended. Timers run on this time.
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

/// Detects that the machine was suspended. Reads no clock: time is passed in.
class SuspensionWatch
{
public:
    /// Returns how long the machine was suspended since the last call; zero when it was not.
    Duration observe (TimePoint now, TimePoint runningTime)
    {
        const Duration ahead = now - runningTime;
        const Duration gained = m_isFirst ? Duration::zero() : ahead - m_ahead;
        m_isFirst = false;
        m_ahead = ahead;
        return gained >= kMinSuspension ? gained : Duration::zero();
    }

private:
    /// Shorter differences are ignored: the process may be delayed between reading the two clocks,
    /// while suspensions last for seconds.
    static constexpr Duration kMinSuspension = milliseconds (50);

    bool m_isFirst = true;
    Duration m_ahead{};  ///< Difference of `now` and `runningTime` at the last call.
};

}  // namespace fernlift::base
