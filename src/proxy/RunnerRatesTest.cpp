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

/// An answer to a request that was sent at `sentAt`.
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

TEST (RunnerRatesTest, AFailureOrAnUnreadableRateEndsNothing)
{
    RunnerRates rates (1, [] {});
    rates.onAnswer (answerTo (0), LimitedRate{ 2 }, at (100));
    RateObservation failed = answerTo (200);
    failed.isProper = false;
    rates.onAnswer (failed, UnlimitedRate{}, at (250));
    rates.onAnswer (answerTo (300), UnreadableRate{ "nan" }, at (350));
    EXPECT_EQ (rates.size(), 1U);
}

}  // namespace
}  // namespace fernlift::proxy
