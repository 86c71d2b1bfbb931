#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

#include "lab/LatencyReport.h"

namespace fernlift::lab
{
namespace
{

RC_GTEST_PROP (LatencyHistogram, QuantilesAreWithinTwoInAHundred, ())
{
    auto values = *rc::gen::nonEmpty (
        rc::gen::container<std::vector<int>> (rc::gen::inRange (50, 100'000'000)));
    const double share = *rc::gen::element (0.01, 0.5, 0.9, 0.99, 1.0);
    LatencyHistogram histogram;
    for (const int value : values)
    {
        histogram.add (base::microseconds (value));
    }
    std::sort (values.begin(), values.end());
    const auto rank = static_cast<std::size_t> (
        std::max (1.0, std::ceil (share * static_cast<double> (values.size()))));
    const double exact = values[rank - 1];
    const auto measured = static_cast<double> (histogram.quantile (share).count());
    RC_ASSERT (measured >= exact);
    RC_ASSERT (measured <= exact * 1.02 + 1);
}

TEST (LatencyHistogram, ClampsWhatIsOutside)
{
    LatencyHistogram histogram;
    histogram.add (base::seconds (0));
    histogram.add (base::seconds (100'000));
    EXPECT_EQ (histogram.count(), 2U);
    EXPECT_LE (histogram.quantile (0.5), base::microseconds (2));
    EXPECT_GE (histogram.quantile (1), base::seconds (3500));
}

TEST (LatencyReport, CountsEachCallOnce)
{
    CallRecord answered;
    answered.requestClass = "urgent";
    answered.status = 200;
    answered.end = CallEnd::kComplete;
    answered.isAnswerComplete = true;
    answered.firstByteMicroseconds = 1000;
    answered.endMicroseconds = 2000;
    CallRecord refused = answered;
    refused.status = 503;
    refused.isAnswerComplete = false;
    refused.execution = "not_run";
    CallRecord broken = answered;
    broken.end = CallEnd::kBroken;
    broken.isAnswerComplete = false;
    CallRecord resent = refused;
    resent.isResent = true;
    const auto report = reportByClass ({ answered, resent, refused, broken });
    ASSERT_EQ (report.size(), 1U);
    const ClassReport& urgent = report.at ("urgent");
    EXPECT_EQ (urgent.calls, 3U);
    EXPECT_EQ (urgent.answered, 1U);
    EXPECT_EQ (urgent.refused, 1U);
    EXPECT_EQ (urgent.failed, 1U);
    EXPECT_EQ (urgent.resent, 1U);
    EXPECT_EQ (urgent.toEnd.count(), 1U);
}

}  // namespace
}  // namespace fernlift::lab
