#include "base/Time.h"

#include <ctime>

namespace fernlift::base
{

TimePoint SystemClock::now() const
{
    // The steady clock of the C++ library does not advance while the machine is suspended: a
    // process that resumes after seconds would act on leases that have expired for all other
    // processes.
    timespec time{};
    ::clock_gettime (CLOCK_BOOTTIME, &time);
    const auto sinceOrigin = seconds (time.tv_sec) + std::chrono::nanoseconds (time.tv_nsec);
    return TimePoint (std::chrono::duration_cast<Duration> (sinceOrigin));
}

TimePoint SystemClock::runningTime() const
{
    const auto sinceOrigin = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint (std::chrono::duration_cast<Duration> (sinceOrigin));
}

UnixMilliseconds SystemClock::unixNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds> (sinceEpoch).count();
}

}  // namespace fernlift::base
