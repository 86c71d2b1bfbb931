// Runners that state that they are brittle, in a cell of real controllers and routers. Guards
// against routers that together send more than a runner has slots for, so that it declines and
// fails, and against routers that leave its slots unused instead.

#include <gtest/gtest.h>

#include "http/HttpTestSupport.h"
#include "lab/BrittleRunnerTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using base::milliseconds;

/// Time from the first statement until the runners let fewer requests wait.
constexpr milliseconds kContactTime (3000);
/// Share of the slots that has to be used from one second after that.
constexpr double kMinUsedShare = 0.9;
constexpr milliseconds kBeforeUse (1000);
constexpr milliseconds kObserved (5000);

/// Plays the time from before the statement until the runners have been brittle for some seconds.
/// Returns the time from which the use of the slots counts.
base::TimePoint playBrittleTime (BrittleCrowd& crowd)
{
    crowd.sendFor (milliseconds (1000));
    crowd.beginBrittle();
    crowd.sendFor (kContactTime + kBeforeUse);
    return crowd.now();
}

void expectNoFalls (const BrittleCrowd& crowd, base::TimePoint countedSince)
{
    EXPECT_EQ (crowd.falls(), 0U) << crowd.declines() << " declines";
    EXPECT_GE (crowd.usedShareSince (countedSince), kMinUsedShare);
}

TEST (BrittleRunnerTest, OverloadedRunnersThatBearOneDeclineStayUp)
{
    BrittleCrowd crowd (
        { .routers = 4, .runners = 3, .callers = 60, .runner = { .maxDeclines = 1 } });
    ASSERT_TRUE (crowd.awaitReady());
    const base::TimePoint begin = playBrittleTime (crowd);
    crowd.sendFor (kObserved);
    expectNoFalls (crowd, begin);
}

TEST (BrittleRunnerTest, RunnersThatBearManyDeclinesAreUsed)
{
    BrittleCrowd crowd (
        { .routers = 4, .runners = 3, .callers = 60, .runner = { .maxDeclines = 20 } });
    ASSERT_TRUE (crowd.awaitReady());
    const base::TimePoint begin = playBrittleTime (crowd);
    crowd.sendFor (kObserved);
    expectNoFalls (crowd, begin);
}

TEST (BrittleRunnerTest, ManyRoutersTogetherKeepToTheSlots)
{
    BrittleCrowd crowd ({ .routers = 12,
                          .runners = 6,
                          .callers = 120,
                          .runner = { .workTime = milliseconds (200), .maxDeclines = 3 } });
    ASSERT_TRUE (crowd.awaitReady());
    const base::TimePoint begin = playBrittleTime (crowd);
    crowd.sendFor (kObserved);
    expectNoFalls (crowd, begin);
}

TEST (BrittleRunnerTest, AsManyCallersAsSlotsAreServed)
{
    BrittleCrowd crowd ({ .routers = 12,
                          .runners = 6,
                          .callers = 24,
                          .runner = { .workTime = milliseconds (500), .maxDeclines = 3 } });
    ASSERT_TRUE (crowd.awaitReady());
    const base::TimePoint begin = playBrittleTime (crowd);
    crowd.sendFor (kObserved);
    expectNoFalls (crowd, begin);
}

TEST (BrittleRunnerTest, RunnersStayUpWhileRoutersAreReplaced)
{
    BrittleCrowd crowd (
        { .routers = 4, .runners = 3, .callers = 60, .runner = { .maxDeclines = 5 } });
    ASSERT_TRUE (crowd.awaitReady());
    playBrittleTime (crowd);
    for (std::size_t router = 0; router < crowd.cell().routers(); ++router)
    {
        crowd.cell().replaceRouter (router);
        crowd.sendFor (milliseconds (1000));
    }
    const base::TimePoint begin = crowd.now();
    crowd.sendFor (kObserved);
    expectNoFalls (crowd, begin);
}

TEST (BrittleRunnerTest, RunnersStayUpWhileAllControllersAreReplaced)
{
    BrittleCrowd crowd (
        { .routers = 4, .runners = 3, .callers = 60, .runner = { .maxDeclines = 5 } });
    ASSERT_TRUE (crowd.awaitReady());
    playBrittleTime (crowd);
    for (std::size_t controller = 0; controller < 3; ++controller)
        crowd.cell().killController (controller);
    crowd.sendFor (milliseconds (300));
    for (std::size_t controller = 0; controller < 3; ++controller)
        crowd.cell().restartController (controller);
    crowd.sendFor (milliseconds (3000));
    const base::TimePoint begin = crowd.now();
    crowd.sendFor (kObserved);
    expectNoFalls (crowd, begin);
}

TEST (BrittleRunnerTest, RunnersStayUpWhenManyCallersComeAtOnce)
{
    BrittleCrowd crowd (
        { .routers = 4, .runners = 3, .callers = 80, .runner = { .maxDeclines = 5 } });
    ASSERT_TRUE (crowd.awaitReady());
    crowd.beginBrittle();
    crowd.cell().call (0, "app.test", "request");
    http::test::runFor (kContactTime + kBeforeUse);
    const base::TimePoint begin = crowd.now();
    crowd.sendFor (kObserved);
    expectNoFalls (crowd, begin);
}

TEST (BrittleRunnerTest, RunnersThatAreSoundAgainAreUsedAsBefore)
{
    BrittleCrowd crowd ({ .routers = 4, .runners = 3, .callers = 60 });
    ASSERT_TRUE (crowd.awaitReady());
    playBrittleTime (crowd);
    crowd.endBrittle();
    crowd.sendFor (milliseconds (1500));
    const base::TimePoint begin = crowd.now();
    crowd.sendFor (milliseconds (2000));
    EXPECT_GE (crowd.usedShareSince (begin), kMinUsedShare);
}

}  // namespace
}  // namespace fernlift::lab::test
