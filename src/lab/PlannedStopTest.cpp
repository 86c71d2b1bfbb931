// Tests with real processes: no request is lost by planned stops and restarts under load.

#include <algorithm>

#include "lab/EventWait.h"
#include "lab/FleetFaults.h"
#include "lab/FleetProbes.h"
#include "lab/FleetTestSupport.h"

namespace fernlift::lab
{
namespace
{

constexpr std::size_t kCalls = 60;

class PlannedStopTest : public FleetTest
{
protected:
    static void SetUpTestSuite() { startFleet (false); }

    static base::Result<void> stop (const std::string& node)
    {
        BOOST_LEAF_CHECK (fleet().requestStop (node));
        BOOST_LEAF_CHECK (fleet().waitForEnd (node, kTestTimeout));
        for (const NodeStatus& each : fleet().status())
        {
            if (each.name == node && each.exitCode != 0)
            {
                return base::fail (
                    base::ErrorKind::kInternal,
                    node + " ended with exit code " + std::to_string (each.exitCode));
            }
        }
        return {};
    }

    /// Stops a process under load, expects that every call is answered, and restarts the process.
    void expectNoRequestLost (const std::string& node)
    {
        const auto history =
            runLoad ({ chatTarget(), nonRepeatableTarget() }, kCalls, [&] { return stop (node); });
        EXPECT_EQ (countUnanswered (history), 0U) << describeUnanswered (history);
        ASSERT_TRUE (succeeds ([&] { return fleet().restart (node); }));
        requireNoViolation (history);
    }
};

TEST_F (PlannedStopTest, OfARouter) { expectNoRequestLost (kFirstRouter); }

TEST_F (PlannedStopTest, OfTheLeader)
{
    std::string leader;
    ASSERT_TRUE (succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_ASSIGN (leader, waitForLeader (fleet(), kTestTimeout));
            return {};
        }));
    expectNoRequestLost (leader);
}

TEST_F (PlannedStopTest, OfAnEngine) { expectNoRequestLost (kFirstEngine); }

TEST_F (PlannedStopTest, OfAnApplicationRunner) { expectNoRequestLost (kFirstApplication); }

TEST_F (PlannedStopTest, OfEveryProcessInTurn)
{
    std::vector<std::string> names;
    for (const NodeRole role : { NodeRole::kRouter, NodeRole::kController, NodeRole::kEngine,
                                 NodeRole::kApplicationRunner })
    {
        const auto more = fleet().namesOf (role);
        names.insert (names.end(), more.begin(), more.end());
    }
    std::vector<CallRecord> all;
    for (const std::string& name : names)
    {
        const auto history = runLoad ({ chatTarget(), nonRepeatableTarget() }, kCalls / 2,
                                      [&] { return fleet().restart (name); });
        all.insert (all.end(), history.begin(), history.end());
        ASSERT_TRUE (succeeds ([] { return waitForRouters (fleet(), kTestTimeout); }));
        ASSERT_TRUE (
            waitUntil ([] { return countReadyReplicas (fleet(), kModel) == 2; }, kTestTimeout));
    }
    EXPECT_EQ (countUnanswered (all), 0U) << describeUnanswered (all);
    requireNoViolation (all);
}

TEST_F (PlannedStopTest, LeavingEngineGetsNoNewRequestsWhileTheMachineListLags)
{
    ASSERT_TRUE (succeeds ([] { return changeMachineList (fleet(), R"({"lag_ms":3600000})"); }));
    const auto during =
        runLoad ({ chatTarget() }, kCalls,
                 []() -> base::Result<void>
                 {
                     BOOST_LEAF_CHECK (
                         changeMachineList (fleet(), R"({"id":"engine-1","state":"leaving"})"));
                     return setStandinFault (fleet(), kFirstEngine, R"({"fault":"leaving"})");
                 });
    EXPECT_EQ (countUnanswered (during), 0U) << describeUnanswered (during);
    requireNoViolation (during);
    const std::size_t runsBefore = runsAt (kFirstEngine).size();
    const auto after =
        runLoad ({ chatTarget() }, kCalls, []() -> base::Result<void> { return {}; });
    EXPECT_EQ (countUnanswered (after), 0U) << describeUnanswered (after);
    EXPECT_EQ (runsAt (kFirstEngine).size(), runsBefore);
    ASSERT_TRUE (succeeds (
        [] { return changeMachineList (fleet(), R"({"id":"engine-1","state":"live"})"); }));
    ASSERT_TRUE (succeeds ([] { return changeMachineList (fleet(), R"({"lag_ms":1000})"); }));
    ASSERT_TRUE (succeeds ([] { return fleet().restart (kFirstEngine); }));
}

}  // namespace
}  // namespace fernlift::lab
