// Tests of the quarantine of requests at which runners crash, in a cell of controllers.

#include <gtest/gtest.h>

#include "controller/ControllerCore.h"
#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;
using base::seconds;
using test::TestCell;
using test::TestRouter;

constexpr std::size_t kRouters = 4;

class ControllerQuarantineTest : public ::testing::Test
{
protected:
    ControllerQuarantineTest() : m_cell (options())
    {
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.router (number).acceptsLastKnownState = true;
        EXPECT_TRUE (m_cell.awaitLeader());
        m_leader = m_cell.leader();
        // Two routers at the leader, two at a member that does not lead.
        for (std::size_t number = 2; number < kRouters; ++number)
            m_cell.reconnect (number, m_leader % 3 + 1);
        m_cell.run (seconds (1));
    }

    static TestCell::Options options()
    {
        TestCell::Options options = test::testOptions();
        options.routers = kRouters;
        options.controller.hasMachineList = false;
        return options;
    }
    /// Sends a router's report of a runner crash 50 ms after the runner was sent the request.
    void report (std::size_t router, const std::string& instance)
    {
        cell::SuspectReport report;
        report.crashes.push_back ({ { 1, "r" }, instance, 60, 10 });
        m_cell.sendFromRouter (router, report);
    }
    void reportTwoCrashes()
    {
        for (const char* instance : { "a", "b" })
        {
            report (0, instance);
            m_cell.run (milliseconds (200));
        }
    }
    [[nodiscard]] std::uint32_t crashesAt (std::size_t router)
    {
        const auto& suspects = m_cell.router (router).suspects;
        const auto found = suspects.find ("r");
        return found == suspects.end() ? 0 : found->second.crashes;
    }
    [[nodiscard]] bool allHave (std::uint32_t crashes)
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            if (crashesAt (number) != crashes)
                return false;
        }
        return true;
    }

    TestCell m_cell;
    base::MemberId m_leader = 0;
};

TEST_F (ControllerQuarantineTest, CrashesReportedByDifferentRoutersAddUp)
{
    report (0, "a");
    m_cell.run (milliseconds (200));
    report (2, "b");
    m_cell.run (milliseconds (200));
    EXPECT_TRUE (allHave (2));
    report (3, "c");
    EXPECT_TRUE (m_cell.runUntil ([&] { return allHave (3); }, milliseconds (200)));
}

TEST_F (ControllerQuarantineTest, RequestWithOneCrashIsSentOnlyToItsReporters)
{
    report (0, "a");
    report (2, "a");
    m_cell.run (milliseconds (200));
    EXPECT_EQ (crashesAt (0), 1);
    EXPECT_EQ (crashesAt (1), 0);
    EXPECT_EQ (crashesAt (2), 1);
    EXPECT_EQ (crashesAt (3), 0);
}

TEST_F (ControllerQuarantineTest, RoutersAreNotifiedOfCrashesBeforeSlowCommit)
{
    report (0, "a");
    m_cell.run (milliseconds (200));
    m_cell.diskDelay = seconds (1);
    report (0, "b");
    m_cell.run (milliseconds (150));
    for (std::size_t number = 1; number < kRouters; ++number)
    {
        const auto& hints = m_cell.router (number).suspectHints;
        ASSERT_EQ (hints.size(), 1) << "router " << number;
        EXPECT_EQ (hints[0].instance, "b");
        EXPECT_GE (hints[0].sentAgoMilliseconds, 60 + 30);
    }
    // A router repeats the report until it receives the suspect status.
    m_cell.diskDelay = milliseconds (1);
    m_cell.run (seconds (3));
    report (0, "b");
    EXPECT_TRUE (m_cell.runUntil ([&] { return allHave (2); }, seconds (1)));
}

TEST_F (ControllerQuarantineTest, QuarantineSurvivesLeaderChange)
{
    for (const char* instance : { "a", "b", "c" })
    {
        report (0, instance);
        m_cell.run (milliseconds (200));
    }
    ASSERT_TRUE (allHave (3));
    m_cell.kill (m_leader);
    m_cell.run (seconds (3));
    ASSERT_TRUE (m_cell.awaitLeader());
    ASSERT_NE (m_cell.leader(), m_leader);
    const cell::Suspect* suspect = m_cell.core (m_cell.leader()).state().quarantine().find ("r");
    ASSERT_NE (suspect, nullptr);
    EXPECT_TRUE (suspect->isInQuarantine());
}

TEST_F (ControllerQuarantineTest, NewRouterReceivesSuspects)
{
    reportTwoCrashes();
    m_cell.router (1).suspects.clear();
    m_cell.reconnect (1, m_leader);
    EXPECT_TRUE (m_cell.runUntil ([&] { return crashesAt (1) == 2; }, seconds (1)));
}

TEST_F (ControllerQuarantineTest, CompleteAnswerClearsRequestAtAllRouters)
{
    reportTwoCrashes();
    ASSERT_TRUE (allHave (2));
    cell::SuspectReport clearance;
    clearance.cleared.emplace_back ("r");
    m_cell.sendFromRouter (3, clearance);
    EXPECT_TRUE (m_cell.runUntil ([&] { return allHave (0); }, milliseconds (300)));
}

TEST_F (ControllerQuarantineTest, EndOfLeavingInstanceIsNoCrash)
{
    InstanceHeartbeat heartbeat;
    heartbeat.instance.id = "a";
    heartbeat.instance.service = "llm";
    heartbeat.instance.address = "10.0.0.9:80";
    heartbeat.instance.isDraining = true;
    heartbeat.sequence = 1;
    ASSERT_TRUE (m_cell.sendControlRequest (m_leader, heartbeat));
    report (0, "a");
    m_cell.run (milliseconds (300));
    EXPECT_TRUE (allHave (0));
}

TEST_F (ControllerQuarantineTest, OperatorListsAndReleasesQuarantinedRequests)
{
    for (const char* instance : { "a", "b", "c" })
    {
        report (0, instance);
        m_cell.run (milliseconds (200));
    }
    const auto shown = m_cell.ask (m_leader, AdminQuarantine{});
    ASSERT_TRUE (shown);
    EXPECT_NE (shown->json.find (R"("quarantined":true)"), std::string::npos);
    const auto unknown = m_cell.ask (m_leader, AdminRelease{ "x" });
    ASSERT_TRUE (unknown);
    EXPECT_EQ (unknown->httpStatus, 404);
    const auto released = m_cell.ask (m_leader, AdminRelease{ "r" });
    ASSERT_TRUE (released);
    EXPECT_EQ (released->httpStatus, 200);
    EXPECT_TRUE (m_cell.runUntil ([&] { return allHave (0); }, milliseconds (300)));
}

}  // namespace
}  // namespace fernlift::controller
