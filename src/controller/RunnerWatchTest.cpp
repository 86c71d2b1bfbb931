#include <gtest/gtest.h>

#include "controller/RunnerWatch.h"

namespace fernlift::controller
{
namespace
{

const base::RunnerId kRunner ("r1");
constexpr base::Duration kInterval = base::milliseconds (250);

engine::MachineList listOf (const std::vector<std::string>& runners)
{
    engine::MachineList list;
    for (const std::string& name : runners)
    {
        engine::Machine machine;
        machine.runner = base::RunnerId (name);
        list.machines.push_back (machine);
    }
    return list;
}

class RunnerWatchTest : public ::testing::Test
{
protected:
    RunnerWatchTest() { m_watch.onMachineList (listOf ({ "r1", "r2" })); }
    std::size_t removedAfterList() { return m_watch.onMachineList (listOf ({ "r2" })).size(); }
    void report (base::Incarnation incarnation, bool isLeaving = false)
    {
        engine::Report report;
        report.runner = kRunner;
        report.incarnation = incarnation;
        report.isLeaving = isLeaving;
        m_watch.onReport (kRunner, report, m_now);
    }

    base::TimePoint m_now{ base::seconds (1) };
    RunnerWatch m_watch{ kInterval, m_now };
};

TEST_F (RunnerWatchTest, RemovedOnlyAfterThreeListsWithoutItAndNoReport)
{
    EXPECT_EQ (removedAfterList(), 0U);
    EXPECT_EQ (removedAfterList(), 0U);
    report (1);
    EXPECT_EQ (removedAfterList(), 0U);
    EXPECT_EQ (removedAfterList(), 0U);
    EXPECT_EQ (removedAfterList(), 1U);
}

TEST_F (RunnerWatchTest, EmptyListIsIgnored)
{
    for (int number = 0; number < 10; ++number)
    {
        EXPECT_TRUE (m_watch.onMachineList ({}).empty());
    }
}

TEST_F (RunnerWatchTest, AnyNoticeMarksTheRunnerAsLeaving)
{
    report (7);
    EXPECT_FALSE (RunnerWatch::isLeaving (*m_watch.find (kRunner), 7));
    m_watch.onLeavingNotice (kRunner, 7);
    EXPECT_TRUE (RunnerWatch::isLeaving (*m_watch.find (kRunner), 7));
    EXPECT_FALSE (RunnerWatch::isLeaving (*m_watch.find (kRunner), 8))
        << "a notice applies to one incarnation";
    report (8, true);
    EXPECT_TRUE (RunnerWatch::isLeaving (*m_watch.find (kRunner), 8));
    engine::MachineList list = listOf ({ "r1", "r2" });
    list.machines[1].state = engine::MachineState::kLeaving;
    m_watch.onMachineList (list);
    EXPECT_TRUE (RunnerWatch::isLeaving (*m_watch.find (base::RunnerId ("r2")), 1));
}

TEST_F (RunnerWatchTest, NotResponsiveOnceReportsAreMissing)
{
    EXPECT_FALSE (m_watch.isResponsive (kRunner, m_now));
    report (1);
    EXPECT_TRUE (m_watch.isResponsive (kRunner, m_now + 7 * kInterval));
    EXPECT_FALSE (m_watch.isResponsive (kRunner, m_now + 8 * kInterval));
}

TEST_F (RunnerWatchTest, OnePollAtATime)
{
    EXPECT_EQ (m_watch.takeDuePolls (m_now).size(), 2U);
    EXPECT_TRUE (m_watch.takeDuePolls (m_now + base::seconds (10)).empty());
    report (1);
    EXPECT_TRUE (m_watch.takeDuePolls (m_now).empty());
    EXPECT_EQ (m_watch.takeDuePolls (m_now + kInterval), std::vector{ kRunner });
}

}  // namespace
}  // namespace fernlift::controller
