#include "base/Time.h"

namespace fernlift::base
{

TimePoint SystemClock::now() const
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
