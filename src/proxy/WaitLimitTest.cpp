#include <gtest/gtest.h>

#include "proxy/WaitLimit.h"

namespace fernlift::proxy
{
namespace
{

using base::milliseconds;
using base::seconds;

RunnerWait waitOf (base::Duration callersTime, base::Duration deadline,
                   base::Duration shortestAnswer)
{
    RunnerWait wait;
    wait.callersTime = callersTime;
    wait.deadline = deadline;
    wait.shortestAnswer = shortestAnswer;
    return wait;
}

TEST (WaitLimit, ARequestWaitsAsLongAsItCanBeAnswered)
{
    EXPECT_EQ (
        longestWaitForRunner (waitOf (milliseconds (600), milliseconds (600), milliseconds (30))),
        milliseconds (570));
}

TEST (WaitLimit, OneWhoseAnswerTakesLongerThanItsCallerWaitsIsRefusedAtOnce)
{
    const RunnerWait wait = waitOf (milliseconds (200), milliseconds (200), milliseconds (300));
    EXPECT_EQ (longestWaitForRunner (wait), base::Duration::zero());
}

TEST (WaitLimit, ACallerThatWaitedForAModelComesBackLaterThanOthers)
{
    RunnerWait wait = waitOf (milliseconds (10), seconds (10), milliseconds (30));
    const auto other = retryAfterWait (wait);
    ASSERT_TRUE (other);
    wait.loadTime = seconds (3);
    const auto forModel = retryAfterWait (wait);
    ASSERT_TRUE (forModel);
    EXPECT_GT (*forModel, *other);
}

TEST (WaitLimit, ALoadThatLikelyEndsInTimeIsWaitedForToTheEnd)
{
    RunnerWait wait = waitOf (seconds (12), seconds (17), milliseconds (100));
    wait.loadTime = milliseconds (13'200);
    EXPECT_EQ (longestWaitForRunner (wait), milliseconds (11'900));
}

TEST (WaitLimit, ALoadThatLikelyEndsTooLateIsNotWaitedFor)
{
    RunnerWait wait = waitOf (seconds (4), seconds (15), milliseconds (30));
    wait.loadTime = milliseconds (13'200);
    EXPECT_EQ (longestWaitForRunner (wait), base::Duration::zero());
    EXPECT_EQ (retryAfterWait (wait), milliseconds (6'600)) << "when it is expected to end";
}

TEST (WaitLimit, NobodyIsToldToComeBackInVain)
{
    RunnerWait wait = waitOf (seconds (4), seconds (5), milliseconds (100));
    wait.loadTime = milliseconds (13'200);
    EXPECT_EQ (longestWaitForRunner (wait), base::Duration::zero());
    EXPECT_EQ (retryAfterWait (wait), std::nullopt);
}

TEST (WaitLimit, ALateAnswerIsBetterThanNone)
{
    EXPECT_FALSE (isBeyondDeadline (seconds (4), seconds (5)));
    EXPECT_FALSE (isBeyondDeadline (seconds (9), seconds (5))) << "it may be half of that";
    EXPECT_TRUE (isBeyondDeadline (seconds (11), seconds (5)));
}

TEST (WaitLimit, TheNearestPlaceOfAModelCounts)
{
    config::Service service;
    EXPECT_EQ (loadTimeOf (&service, "m"), std::nullopt);
    service.engine.emplace();
    config::EngineModel model;
    model.name = "m";
    model.loadTime = seconds (13);
    service.engine->models = { model };
    EXPECT_EQ (loadTimeOf (&service, "m"), seconds (13));
    EXPECT_EQ (loadTimeOf (&service, "other"), std::nullopt);
    service.engine->models[0].diskLoadTime = seconds (1);
    EXPECT_EQ (loadTimeOf (&service, "m"), seconds (1));
}

}  // namespace
}  // namespace fernlift::proxy
