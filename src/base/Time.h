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

/// Milliseconds since the Unix epoch. Used for display and for windows that outlive a process;
/// never for leases or timeouts.
using UnixMilliseconds = std::int64_t;

/// Source of time for adapters. Decision code receives the values, not the clock.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Monotonic time of this process.
    [[nodiscard]] virtual TimePoint now() const = 0;
    /// Wall-clock time, which may step in either direction.
    [[nodiscard]] virtual UnixMilliseconds unixNow() const = 0;
};

/// Clock of the operating system.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] UnixMilliseconds unixNow() const override;
};

}  // namespace fernlift::base
