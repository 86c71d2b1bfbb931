#include <gtest/gtest.h>

#include "proxy/RunnerRates.h"

namespace fernlift::proxy
{
namespace
{

constexpr base::TimePoint at (std::int64_t milliseconds)
{
    return base::TimePoint (base::milliseconds (1000 + milliseconds));
}

/// Observation of an answer to a request that was sent at `sentAt`.
RateObservation answerTo (std::int64_t sentAt) { return { "i-1", 0, at (sentAt), true }; }

TEST (RunnerRatesTest, ARateHoldsUntilAnAnswerToALaterRequestStatesNone)
{
    RunnerRates rates (1, [] {});
    rates.onAnswer (answerTo (0), LimitedRate{ 2 }, at (100));
    EXPECT_EQ (rates.size(), 1U);
    rates.onAnswer (answerTo (50), UnlimitedRate{}, at (150));
    EXPECT_EQ (rates.size(), 1U);
    rates.onAnswer (answerTo (160), UnlimitedRate{}, at (200));
    EXPECT_EQ (rates.size(), 0U);
}

TEST (RunnerRatesTest, FailureOrUnreadableRateDoesNotEndLimit)
{
    RunnerRates rates (1, [] {});
    rates.onAnswer (answerTo (0), LimitedRate{ 2 }, at (100));
    RateObservation failed = answerTo (200);
    failed.isSuccess = false;
    rates.onAnswer (failed, UnlimitedRate{}, at (250));
    rates.onAnswer (answerTo (300), UnreadableRate{ "nan" }, at (350));
    EXPECT_EQ (rates.size(), 1U);
}

/// Number of requests to the runner that the router allows within that time, with one attempt every
/// 10 ms.
int requestsWithin (RunnerRates& rates, std::int64_t from, std::int64_t until)
{
    int sent = 0;
    for (std::int64_t time = from; time < until; time += 10)
    {
        if (rates.waitFor ("i-1", 0, at (time)) > base::Duration::zero())
            continue;
        quota::QuotaClaim claim{ "i-1" };
        sent += rates.take (claim, at (time)) == quota::QuotaAnswer::kGranted ? 1 : 0;
        rates.giveUp (claim);
    }
    return sent;
}

TEST (RunnerRatesTest, SendsNothingBeforePermitSourceIsKnown)
{
    RunnerRates rates (1, [] {});
    rates.onAnswer (answerTo (0), LimitedRate{ 5 }, at (100));
    EXPECT_EQ (requestsWithin (rates, 100, 10'000), 0);
}

TEST (RunnerRatesTest, UsesOwnShareWithControllersOfEarlierVersion)
{
    RunnerRates rates (1, [] {});
    rates.setRouters (7);
    rates.onOtherMessage();
    rates.onAnswer (answerTo (0), LimitedRate{ 1 }, at (100));
    EXPECT_LE (requestsWithin (rates, 100, 10'600), 1);
    EXPECT_LE (requestsWithin (rates, 10'600, 105'600), 10);
    EXPECT_GE (requestsWithin (rates, 105'600, 210'600), 9);
    EXPECT_FALSE (rates.takeReport (at (210'600)));
    EXPECT_FALSE (rates.takeRequest (at (210'600)));
    rates.onAnswer (answerTo (300'000), UnlimitedRate{}, at (300'010));
    EXPECT_EQ (rates.size(), 0U);
}

TEST (RunnerRatesTest, OnlyLeaderEndsLimitInItsTable)
{
    RunnerRates rates (1, [] {});
    cell::InstanceRateUpdate table{ 1, 1, true, { { "i-1", 0, 2, 0 } } };
    rates.apply (table, at (0));
    rates.onAnswer (answerTo (100), UnlimitedRate{}, at (200));
    EXPECT_TRUE (rates.isLimited ("i-1", 0));
    const auto report = rates.takeReport (at (200));
    ASSERT_TRUE (report);
    EXPECT_FALSE (report->statements.front().isLimited);
    EXPECT_EQ (report->statements.front().ageMilliseconds, 100);
    rates.apply ({ 1, 2, true, {} }, at (220));
    EXPECT_FALSE (rates.isLimited ("i-1", 0));
}

TEST (RunnerRatesTest, IgnoresOlderTable)
{
    RunnerRates rates (1, [] {});
    rates.apply ({ 2, 5, true, { { "i-1", 0, 2, 0 } } }, at (0));
    rates.apply ({ 2, 4, true, {} }, at (10));
    EXPECT_TRUE (rates.isLimited ("i-1", 0));
    rates.apply ({ 1, 9, true, {} }, at (20));
    EXPECT_TRUE (rates.isLimited ("i-1", 0));
}

TEST (RunnerRatesTest, LimitMissingInLeaderTableExpires)
{
    RunnerRates rates (1, [] {});
    rates.apply ({ 1, 1, true, {} }, at (0));
    rates.onAnswer (answerTo (0), LimitedRate{ 2 }, at (100));
    EXPECT_TRUE (rates.isLimited ("i-1", 0));
    EXPECT_TRUE (rates.takeReport (at (100)));
    EXPECT_TRUE (rates.takeReport (at (1000))) << "the first report may be lost";
    [[maybe_unused]] const auto last = rates.takeReport (at (6000));
    EXPECT_FALSE (rates.isLimited ("i-1", 0));
}

TEST (RunnerRatesTest, RateOfEarlierIncarnationDoesNotApply)
{
    RunnerRates rates (1, [] {});
    rates.apply ({ 1, 1, true, { { "i-1", 1000, 2, 0 } } }, at (0));
    EXPECT_TRUE (rates.isLimited ("i-1", 1000));
    EXPECT_FALSE (rates.isLimited ("i-1", 2000));
}

}  // namespace
}  // namespace fernlift::proxy
