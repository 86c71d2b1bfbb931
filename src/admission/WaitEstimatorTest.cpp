#include <gtest/gtest.h>

#include <set>

#include "admission/RetryAfter.h"
#include "admission/WaitEstimator.h"

namespace fernlift::admission
{
namespace
{

using base::milliseconds;
using base::seconds;

/// Dispatches `count` requests, `interval` apart, while others wait.
base::TimePoint dispatch (WaitEstimator& estimator, int count, base::Duration interval,
                          base::TimePoint now)
{
    for (int made = 0; made < count; ++made)
    {
        estimator.onDispatch ("m", true, now);
        now += interval;
    }
    return now;
}

TEST (WaitEstimatorTest, GivesNoEstimateBeforeItHasEnoughSamples)
{
    WaitEstimator estimator;
    EXPECT_FALSE (estimator.waitBehind ("m", 5, base::TimePoint{}));
    const auto now = dispatch (estimator, 3, milliseconds (10), base::TimePoint{});
    EXPECT_FALSE (estimator.waitBehind ("m", 5, now));
}

TEST (WaitEstimatorTest, TheWaitIsTheIntervalTimesTheRequestsAhead)
{
    WaitEstimator estimator;
    const auto now = dispatch (estimator, 40, milliseconds (10), base::TimePoint{});
    EXPECT_EQ (estimator.waitBehind ("m", 5, now), milliseconds (50));
    EXPECT_FALSE (estimator.waitBehind ("other", 5, now));
}

TEST (WaitEstimatorTest, FollowsAChangingDispatchRate)
{
    WaitEstimator estimator;
    auto now = dispatch (estimator, 40, milliseconds (10), base::TimePoint{});
    now = dispatch (estimator, 80, milliseconds (100), now);
    const base::Duration wait = *estimator.waitBehind ("m", 1, now);
    EXPECT_GT (wait, milliseconds (95));
    EXPECT_LE (wait, milliseconds (100));
}

TEST (WaitEstimatorTest, AStallCountsBeforeTheNextDispatch)
{
    WaitEstimator estimator;
    const auto now = dispatch (estimator, 40, milliseconds (10), base::TimePoint{});
    EXPECT_GE (*estimator.waitBehind ("m", 10, now + seconds (2)), seconds (2));
    EXPECT_GT (*estimator.waitBehind ("m", 10, now + seconds (4)),
               *estimator.waitBehind ("m", 10, now + seconds (2)));
}

TEST (WaitEstimatorTest, RequestsThatEndTogetherAreNoStall)
{
    WaitEstimator estimator;
    base::TimePoint now{};
    for (int burst = 0; burst < 40; ++burst)
    {
        for (int made = 0; made < 8; ++made)
            estimator.onDispatch ("m", true, now);
        now += milliseconds (400);
    }
    // 8 go each 400 ms, so that 16 wait for about 800 ms.
    EXPECT_LT (*estimator.waitBehind ("m", 16, now - milliseconds (1)), milliseconds (1600));
    EXPECT_GT (*estimator.waitBehind ("m", 16, now - milliseconds (399)), milliseconds (400));
}

TEST (WaitEstimatorTest, IgnoresIdleTimeAndDropsOldSamples)
{
    WaitEstimator estimator;
    auto now = dispatch (estimator, 40, milliseconds (10), base::TimePoint{});
    estimator.onDispatch ("m", false, now);
    estimator.onQueueEmpty ("m");
    estimator.onDispatch ("m", true, now + seconds (5));
    EXPECT_EQ (estimator.waitBehind ("m", 1, now + seconds (5)), milliseconds (10));
    estimator.onQueueEmpty ("m");
    EXPECT_FALSE (estimator.waitBehind ("m", 1, now + seconds (30)));
}

TEST (RetryAfterTest, IsNeverBeforeTheEstimateAndIsSpread)
{
    base::Random random (7);
    std::set<base::Duration> distinct;
    for (int draw = 0; draw < 200; ++draw)
    {
        const base::Duration after = retryAfter (seconds (8), random);
        EXPECT_GE (after, seconds (8));
        EXPECT_LE (after, seconds (12));
        distinct.insert (after);
    }
    EXPECT_GT (distinct.size(), 190U);
    EXPECT_LT (*distinct.begin(), milliseconds (8400));
    EXPECT_GT (*distinct.rbegin(), milliseconds (11600));
}

TEST (RetryAfterTest, ShortEstimatesAreSpreadToo)
{
    base::Random random (7);
    std::set<base::Duration> distinct;
    for (int draw = 0; draw < 50; ++draw)
        distinct.insert (retryAfter ({}, random));
    EXPECT_GE (*distinct.begin(), milliseconds (100));
    EXPECT_GT (*distinct.rbegin() - *distinct.begin(), milliseconds (300));
}

}  // namespace
}  // namespace fernlift::admission
