#include <gtest/gtest.h>

#include "proxy/WaitLimit.h"

namespace fernlift::proxy
{
namespace
{

using base::milliseconds;
using base::seconds;

config::Route routeOf (config::RouteKind kind, base::Duration target, base::Duration gap)
{
    config::Route route;
    route.kind = kind;
    route.targetLatency = target;
    route.gapTarget = gap;
    return route;
}

TEST (WaitLimit, leavesTimeForTheAnswer)
{
    const auto route = routeOf (config::RouteKind::kAtMostOnce, milliseconds (100), {});
    EXPECT_EQ (maxWaitForRunner (route, milliseconds (600)), milliseconds (270));
}

TEST (WaitLimit, isNoLongerThanALoadTakes)
{
    const auto route = routeOf (config::RouteKind::kAtMostOnce, milliseconds (500), {});
    EXPECT_EQ (maxWaitForRunner (route, seconds (60)), milliseconds (3500));
}

TEST (WaitLimit, endsBeforeTheCallerGivesUpAStreamThatHasNotBegun)
{
    const auto route = routeOf (config::RouteKind::kStream, milliseconds (400), milliseconds (300));
    ASSERT_EQ (route.eventWaitLimit(), milliseconds (2400));
    EXPECT_EQ (maxWaitForRunner (route, seconds (15)), milliseconds (1440));
}

TEST (WaitLimit, longStreamTimeoutDoesNotExtendWait)
{
    const auto route = routeOf (config::RouteKind::kStream, seconds (4), milliseconds (400));
    ASSERT_EQ (route.eventWaitLimit(), seconds (16));
    EXPECT_EQ (maxWaitForRunner (route, seconds (10)), milliseconds (4500));
}

TEST (WaitLimit, retryAfterIsLongerForModels)
{
    EXPECT_GT (retryAfterWait (true), retryAfterWait (false));
}

}  // namespace
}  // namespace fernlift::proxy
