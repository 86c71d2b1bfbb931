#include "proxy/WaitLimit.h"

#include <algorithm>

namespace fernlift::proxy
{
namespace
{

constexpr int kWhole = 100;
/// Share of a request's time that it may wait, in hundredths.
constexpr int kWaitShare = 45;
/// The same of the time after which its caller gives up a stream that has not begun.
constexpr int kPatienceShare = 60;
constexpr base::Duration kLongestLoad = base::seconds (3);
constexpr base::Duration kRetryAfterFull = base::milliseconds (200);
constexpr base::Duration kRetryAfterLoad = base::milliseconds (800);

}  // namespace

base::Duration longestWaitForRunner (const config::Route& route, base::Duration stated)
{
    const base::Duration limit =
        std::min<base::Duration> (stated * kWaitShare / kWhole, route.targetLatency + kLongestLoad);
    if (route.kind != config::RouteKind::kStream)
        return limit;
    return std::min<base::Duration> (limit, route.patience() * kPatienceShare / kWhole);
}

base::Duration retryAfterWait (bool isForModel)
{
    return isForModel ? kRetryAfterLoad : kRetryAfterFull;
}

}  // namespace fernlift::proxy
