#include "proxy/WaitLimit.h"

#include <algorithm>

namespace fernlift::proxy
{
namespace
{

constexpr int kHundredPercent = 100;
/// Share of the caller's timeout that a request may wait, in percent.
constexpr int kWaitPercent = 45;
/// Share of the time after which the caller gives up a stream that has not begun, in percent.
constexpr int kStreamWaitPercent = 60;
constexpr base::Duration kMaxLoadDuration = base::seconds (3);
constexpr base::Duration kRetryAfterFull = base::milliseconds (200);
constexpr base::Duration kRetryAfterLoad = base::milliseconds (800);

}  // namespace

base::Duration maxWaitForRunner (const config::Route& route, base::Duration callerTimeout)
{
    const base::Duration limit = std::min<base::Duration> (
        callerTimeout * kWaitPercent / kHundredPercent, route.targetLatency + kMaxLoadDuration);
    if (route.kind != config::RouteKind::kStream)
        return limit;
    return std::min<base::Duration> (limit,
                                     route.eventWaitLimit() * kStreamWaitPercent / kHundredPercent);
}

base::Duration retryAfterWait (bool isForModel)
{
    return isForModel ? kRetryAfterLoad : kRetryAfterFull;
}

}  // namespace fernlift::proxy
