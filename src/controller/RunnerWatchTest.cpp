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
    RunnerWatchTest() { watch_.onMachineList (listOf ({ "r1", "r2" })); }
    std::size_t goneAfterList() { return watch_.onMachineList (listOf ({ "r2" })).size(); }
    void report (base::Incarnation incarnation, bool isLeaving = false)
    {
        engine::Report report;
        report.runner = kRunner;
        report.incarnation = incarnation;
        report.isLeaving = isLeaving;
        watch_.onReport (kRunner, report, now_);
    }

    base::TimePoint now_{ base::seconds (1) };
    RunnerWatch watch_{ kInterval, now_ };
};

TEST_F (RunnerWatchTest, GoneOnlyAfterThreeListsWithoutItAndNoReport)
{
    EXPECT_EQ (goneAfterList(), 0U);
    EXPECT_EQ (goneAfterList(), 0U);
    report (1);
    EXPECT_EQ (goneAfterList(), 0U);
    EXPECT_EQ (goneAfterList(), 0U);
    EXPECT_EQ (goneAfterList(), 1U);
}

TEST_F (RunnerWatchTest, EmptyListProvesNothing)
{
    for (int number = 0; number < 10; ++number)
    {
        EXPECT_TRUE (watch_.onMachineList ({}).empty());
    }
}

TEST_F (RunnerWatchTest, FirstOfThreeSignsOfLeavingCounts)
{
    report (7);
    EXPECT_FALSE (RunnerWatch::isLeaving (*watch_.find (kRunner), 7));
    watch_.onLeavingSign (kRunner, 7);
    EXPECT_TRUE (RunnerWatch::isLeaving (*watch_.find (kRunner), 7));
    EXPECT_FALSE (RunnerWatch::isLeaving (*watch_.find (kRunner), 8))
        << "a sign names an incarnation";
    report (8, true);
    EXPECT_TRUE (RunnerWatch::isLeaving (*watch_.find (kRunner), 8));
    engine::MachineList list = listOf ({ "r1", "r2" });
    list.machines[1].state = engine::MachineState::kLeaving;
    watch_.onMachineList (list);
    EXPECT_TRUE (RunnerWatch::isLeaving (*watch_.find (base::RunnerId ("r2")), 1));
}

TEST_F (RunnerWatchTest, NotResponsiveOnceReportsAreMissing)
{
    EXPECT_FALSE (watch_.isResponsive (kRunner, now_));
    report (1);
    EXPECT_TRUE (watch_.isResponsive (kRunner, now_ + 7 * kInterval));
    EXPECT_FALSE (watch_.isResponsive (kRunner, now_ + 8 * kInterval));
}

TEST_F (RunnerWatchTest, OnePollAtATime)
{
    EXPECT_EQ (watch_.takeDuePolls (now_).size(), 2U);
    EXPECT_TRUE (watch_.takeDuePolls (now_ + base::seconds (10)).empty());
    report (1);
    EXPECT_TRUE (watch_.takeDuePolls (now_).empty());
    EXPECT_EQ (watch_.takeDuePolls (now_ + kInterval), std::vector{ kRunner });
}

}  // namespace
}  // namespace fernlift::controller
