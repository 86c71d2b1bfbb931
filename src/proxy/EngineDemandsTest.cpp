#include <gtest/gtest.h>

#include "proxy/EngineDemands.h"

namespace fernlift::proxy
{
namespace
{

using base::milliseconds;

base::TimePoint at (int milliseconds)
{
    return base::TimePoint{} + base::seconds (100) + base::milliseconds (milliseconds);
}

TEST (EngineDemands, ReportIntervalGrowsWithRoutersWithinBounds)
{
    EXPECT_EQ (demandReportInterval (1), milliseconds (500));
    EXPECT_EQ (demandReportInterval (7), milliseconds (500));
    EXPECT_EQ (demandReportInterval (69), milliseconds (1035));
    EXPECT_EQ (demandReportInterval (2100), milliseconds (2000));
}

TEST (EngineDemands, ARequestThatBeginsToWaitIsReportedAtOnce)
{
    EngineDemands demands;
    const EngineTarget target{ "llm", "m1", "" };
    demands.onArrival (target, 100);
    ASSERT_EQ (demands.takeDue (at (0), milliseconds (1000)).size(), 1U);
    demands.onArrival (target, 100);
    EXPECT_TRUE (demands.takeDue (at (100), milliseconds (1000)).empty());
    demands.onWaiting (target);
    const auto due = demands.takeDue (at (110), milliseconds (1000));
    ASSERT_EQ (due.size(), 1U);
    EXPECT_EQ (due[0].waiting, 1U);
    EXPECT_EQ (due[0].arrivals, 1U) << "no arrival is lost between reports";
    EXPECT_EQ (due[0].promptTokens, 100U);
}

TEST (EngineDemands, RequestsWhoseAnswerHasNotBegunAreCounted)
{
    EngineDemands demands;
    const EngineTarget target{ "llm", "m1", "" };
    demands.onRunning (target);
    demands.onRunning (target);
    demands.onPrefillEnd (target);
    const auto due = demands.takeDue (at (0), milliseconds (500));
    ASSERT_EQ (due.size(), 1U);
    EXPECT_EQ (due[0].running, 2U);
    EXPECT_EQ (due[0].unread, 1U);
}

TEST (EngineDemands, LastReportStatesZeroDemand)
{
    EngineDemands demands;
    const EngineTarget target{ "llm", "m1", "" };
    demands.onRunning (target);
    ASSERT_EQ (demands.takeDue (at (0), milliseconds (500)).size(), 1U);
    demands.onRunEnd (target);
    const auto last = demands.takeDue (at (500), milliseconds (500));
    ASSERT_EQ (last.size(), 1U);
    EXPECT_EQ (last[0].running, 0U);
    EXPECT_TRUE (demands.takeDue (at (1000), milliseconds (500)).empty());
}

TEST (EngineDemands, ReportsImmediateRefusalOnce)
{
    EngineDemands demands;
    const EngineTarget target{ "llm", "m1", "" };
    demands.onArrival (target, 100);
    demands.onWaiting (target);
    demands.onWaitEnd (target);
    demands.onRefusedAtOnce (target);
    const auto first = demands.takeDue (at (0), milliseconds (500));
    ASSERT_EQ (first.size(), 1U);
    EXPECT_EQ (first[0].waiting, 1U);
    const auto second = demands.takeDue (at (500), milliseconds (500));
    ASSERT_EQ (second.size(), 1U);
    EXPECT_EQ (second[0].waiting, 0U);
    EXPECT_TRUE (demands.takeDue (at (1000), milliseconds (500)).empty());
}

}  // namespace
}  // namespace fernlift::proxy
