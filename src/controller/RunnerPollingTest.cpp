#include <gtest/gtest.h>

#include "controller/RunnerWatch.h"

namespace fernlift::controller
{
namespace
{

constexpr base::Duration kInterval = base::milliseconds (250);
constexpr base::TimePoint kNow{ base::seconds (100) };

engine::MachineList listOf (int runners)
{
    engine::MachineList list;
    for (int index = 0; index < runners; ++index)
    {
        engine::Machine machine;
        machine.runner = base::RunnerId ("r" + std::to_string (index));
        list.machines.push_back (machine);
    }
    return list;
}

/// Returns the number of polls in `length` for runners that answer at once and hold a replica in
/// `phase`.
std::size_t pollsIn (int runners, engine::ReplicaPhase phase, base::Duration length)
{
    RunnerWatch watch (kInterval, kNow);
    watch.onMachineList (listOf (runners));
    engine::Report report;
    report.replicas.push_back ({});
    report.replicas.back().phase = phase;
    std::size_t polls = 0;
    for (base::TimePoint now = kNow; now < kNow + length; now += base::milliseconds (10))
    {
        for (const base::RunnerId& runner : watch.takeDuePolls (now))
        {
            ++polls;
            watch.onReport (runner, report, now);
        }
    }
    return polls;
}

TEST (RunnerPollingTest, FewRunnersArePolledAtTheReportInterval)
{
    EXPECT_EQ (pollsIn (24, engine::ReplicaPhase::kReady, base::seconds (10)), 24U * 40);
}

TEST (RunnerPollingTest, PollsOfManyUnchangedRunnersShareARateLimit)
{
    const std::size_t polls = pollsIn (800, engine::ReplicaPhase::kReady, base::seconds (10));
    EXPECT_LE (polls, 8000U);
    EXPECT_GE (polls, 7500U);
}

TEST (RunnerPollingTest, RunnersWithALoadInProgressArePolledAtTheReportInterval)
{
    EXPECT_EQ (pollsIn (300, engine::ReplicaPhase::kLoading, base::seconds (10)), 300U * 40);
}

/// When more polls are due than may start in one step, each runner gets its turn.
TEST (RunnerPollingTest, LimitsPollsPerStepAndPollsInTurn)
{
    RunnerWatch watch (kInterval, kNow);
    watch.onMachineList (listOf (734));
    std::set<base::RunnerId> polled;
    for (int step = 0; step < 46; ++step)
    {
        const auto due = watch.takeDuePolls (kNow);
        EXPECT_LE (due.size(), 16U);
        for (const base::RunnerId& runner : due)
        {
            polled.insert (runner);
            watch.onReportFailed (runner, kNow - kInterval);
        }
    }
    EXPECT_EQ (polled.size(), 734U);
}

TEST (RunnerPollingTest, UnchangedRunnerStaysResponsiveBetweenRarePolls)
{
    RunnerWatch watch (kInterval, kNow);
    watch.onMachineList (listOf (1600));
    const base::RunnerId runner ("r7");
    watch.onReport (runner, {}, kNow);
    EXPECT_TRUE (watch.isResponsive (runner, kNow + base::milliseconds (3740)));
    EXPECT_FALSE (watch.isResponsive (runner, kNow + base::milliseconds (3750)));
}

TEST (RunnerPollingTest, DetectsASilentRunnerSoonInASmallCell)
{
    RunnerWatch watch (kInterval, kNow);
    watch.onMachineList (listOf (24));
    const base::RunnerId runner ("r7");
    watch.onReport (runner, {}, kNow);
    EXPECT_FALSE (watch.isResponsive (runner, kNow + base::milliseconds (2000)));
}

}  // namespace
}  // namespace fernlift::controller
