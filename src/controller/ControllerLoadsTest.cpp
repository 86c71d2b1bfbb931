// Tests that the loads of runners that routers report reach all routers of a cell.

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

constexpr std::size_t kRouters = 6;
/// Time limit from a report until all other routers have it: three messages and some ticks.
constexpr base::Duration kBound = milliseconds (200);

/// Two routers at each of three controllers, of which one leads, and two runners.
class ControllerLoadsTest : public ::testing::Test
{
protected:
    ControllerLoadsTest() : m_cell (test::forwardingOptions (kRouters))
    {
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.router (number).acceptsLastKnownState = true;
        EXPECT_TRUE (m_cell.awaitLeader());
        m_leader = m_cell.leader();
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.reconnect (number, memberFor (number));
        const auto answer =
            m_cell.sendControlRequest (m_leader, ReplaceConfiguration{ "1 " }, seconds (4));
        EXPECT_TRUE (answer && answer->verdict == ControlVerdict::kDone);
        for (const std::string id : { "i-1", "i-2" })
            EXPECT_TRUE (m_cell.sendControlRequest (m_leader, heartbeat (id)));
        // Without heartbeats the instances would be removed.
        m_cell.onStep = [this]
        {
            if (m_cell.now() < m_nextBeatAt)
                return;
            m_nextBeatAt = m_cell.now() + seconds (1);
            m_isBeatDue = true;
        };
        run (seconds (1));
    }

    [[nodiscard]] base::MemberId memberFor (std::size_t router) const
    {
        return (m_leader + router) % 3 + 1;
    }
    InstanceHeartbeat heartbeat (const std::string& id)
    {
        InstanceHeartbeat beat;
        beat.instance.id = id;
        beat.instance.service = "llm";
        beat.instance.address = "10.0.0.9:" + id.substr (2);
        beat.instance.startedAt = id == "i-1" ? m_startOfFirst : 0;
        beat.sequence = ++m_sequence;
        return beat;
    }
    void run (base::Duration duration)
    {
        const base::TimePoint end = m_cell.now() + duration;
        while (m_cell.now() < end)
        {
            m_cell.run (std::min<base::Duration> (end - m_cell.now(), milliseconds (100)));
            if (! std::exchange (m_isBeatDue, false) || m_cell.leader() == 0)
                continue;
            for (const std::string id : { "i-1", "i-2" })
                m_cell.sendControlRequest (m_cell.leader(), heartbeat (id), milliseconds (0));
        }
    }
    void report (std::size_t router, std::vector<cell::InstanceUse> uses)
    {
        cell::InstanceLoadReport report;
        report.uses = std::move (uses);
        m_cell.sendFromRouter (router, report);
    }
    [[nodiscard]] std::uint32_t known (std::size_t router, const std::string& instance)
    {
        const auto& loads = m_cell.router (router).loads;
        const auto found = loads.find (instance);
        return found == loads.end() ? 0 : found->second.inFlight;
    }
    [[nodiscard]] bool allHave (const std::string& instance, std::uint32_t inFlight,
                                std::size_t excluded = kRouters)
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            if (number != excluded && known (number, instance) != inFlight)
                return false;
        }
        return true;
    }
    /// Number of a router at a controller that does not lead, searched from `from` on.
    [[nodiscard]] std::size_t relayedRouter (std::size_t from = 0) const
    {
        while (memberFor (from) == m_leader)
            ++from;
        return from;
    }

    TestCell m_cell;
    base::MemberId m_leader = 0;
    std::uint64_t m_sequence = 0;
    base::UnixMilliseconds m_startOfFirst =
        0;  ///< Start time of the incarnation of i-1; 0: none stated.
    base::TimePoint m_nextBeatAt{};
    bool m_isBeatDue = false;
};

TEST_F (ControllerLoadsTest, RequestsReachAllRoutersWithinTimeBound)
{
    for (std::size_t router = 0; router < kRouters; ++router)
    {
        report (router, { { "i-1", 1, 900 } });
        const auto inFlight = static_cast<std::uint32_t> (router + 1);
        EXPECT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", inFlight); }, kBound))
            << "after the report of router " << router;
    }
    EXPECT_EQ (m_cell.router (0).loads.at ("i-1").pendingPrefillTokens, 6 * 900U);
    for (std::size_t router = 0; router < kRouters; ++router)
        report (router, { { "i-1", 0, 0 } });
    EXPECT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", 0); }, kBound));
}

TEST_F (ControllerLoadsTest, TemporarySlowdownReachesAllRoutersWithItsAge)
{
    cell::InstanceLoadReport slow;
    slow.slowdowns.push_back ({ "i-1", 250, 20 });
    m_cell.sendFromRouter (relayedRouter(), slow);
    const base::TimePoint sentAt = m_cell.now();
    const auto isKnown = [&]
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            if (! m_cell.router (number).loads.contains ("i-1"))
                return false;
        }
        return true;
    };
    ASSERT_TRUE (m_cell.runUntil (isKnown, kBound));
    for (std::size_t number = 0; number < kRouters; ++number)
    {
        const cell::InstanceLoad& load = m_cell.router (number).loads.at ("i-1");
        EXPECT_EQ (load.slowdownPercent, 250U);
        EXPECT_GE (load.slowdownAgeMilliseconds, 20);
        EXPECT_LE (load.slowdownAgeMilliseconds, 20 + base::toMilliseconds (m_cell.now() - sentAt));
    }
}

TEST_F (ControllerLoadsTest, NewRouterReceivesAllLoads)
{
    report (0, { { "i-1", 3, 0 }, { "i-2", 4, 0 } });
    ASSERT_TRUE (m_cell.runUntil ([&] { return allHave ("i-2", 4); }, kBound));
    const std::size_t late = relayedRouter (1);
    m_cell.router (late).loads.clear();
    m_cell.reconnect (late, m_leader);
    EXPECT_TRUE (m_cell.runUntil (
        [&] { return known (late, "i-1") == 3 && known (late, "i-2") == 4; }, kBound));
}

TEST_F (ControllerLoadsTest, LoadOfRouterEndsWithItsConnection)
{
    const std::size_t moving = relayedRouter();
    report (moving, { { "i-1", 3, 0 } });
    report (moving + 1, { { "i-1", 2, 0 } });
    ASSERT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", 5); }, kBound));
    m_cell.reconnect (moving, m_leader);
    EXPECT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", 2); }, kBound));
    report (moving, { { "i-1", 3, 0 } });
    EXPECT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", 5); }, kBound))
        << "the router must be able to report its load again";
}

TEST_F (ControllerLoadsTest, LoadOfSilentRouterIsExcludedUntilItReturns)
{
    const std::size_t frozen = relayedRouter();
    report (frozen, { { "i-1", 3, 0 } });
    ASSERT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", 3); }, kBound));
    m_cell.router (frozen).isCut = true;
    const std::size_t other = frozen == 0 ? 1 : 0;
    report (other, { { "i-1", 1, 0 } });
    EXPECT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", 4, frozen); }, kBound));
    EXPECT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", 1, frozen); }, seconds (2)));
    m_cell.router (frozen).isCut = false;
    EXPECT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", 4); }, seconds (2)));
}

TEST_F (ControllerLoadsTest, NewLeaderCollectsLoadsOfOtherControllers)
{
    const std::size_t relayed = relayedRouter();
    const std::size_t direct = relayed == 0 ? 1 : 0;
    report (relayed, { { "i-1", 3, 0 } });
    report (direct, { { "i-2", 2, 0 } });
    ASSERT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", 3); }, kBound));
    m_cell.kill (m_leader);
    ASSERT_TRUE (m_cell.awaitLeader());
    run (seconds (3));
    // Routers report all loads again to the controller to which they moved.
    for (std::size_t number = 0; number < kRouters; ++number)
        report (number, { { "i-1", number == relayed ? 3U : 0U, 0 } });
    report (direct, { { "i-2", 5, 0 } });
    run (milliseconds (300));
    EXPECT_TRUE (allHave ("i-1", 3));
    EXPECT_TRUE (allHave ("i-2", 5));
}

TEST_F (ControllerLoadsTest, LeaderDropsLoadsOfIsolatedController)
{
    const std::size_t relayed = relayedRouter();
    report (relayed, { { "i-1", 3, 0 } });
    ASSERT_TRUE (m_cell.runUntil ([&] { return allHave ("i-1", 3); }, kBound));
    m_cell.isolate (memberFor (relayed), true);
    const auto isForgotten = [&]
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            if (memberFor (number) == m_leader && known (number, "i-1") != 0)
                return false;
        }
        return true;
    };
    EXPECT_TRUE (m_cell.runUntil (isForgotten, seconds (4)));
}

TEST_F (ControllerLoadsTest, ConstantSlowdownBecomesSpeedOfRunner)
{
    const std::size_t relayed = relayedRouter();
    const auto state = [&] (std::uint32_t percent)
    {
        cell::InstanceLoadReport report;
        report.slowdowns.push_back ({ "i-1", percent, 0 });
        m_cell.sendFromRouter (relayed, report);
    };
    state (50);
    run (seconds (1));
    state (50);
    run (milliseconds (300));
    for (std::size_t number = 0; number < kRouters; ++number)
    {
        const cell::InstanceLoad& load = m_cell.router (number).loads["i-1"];
        EXPECT_EQ (load.speedPercent, 200U);
        EXPECT_EQ (load.slowdownPercent, 100U);
    }
    state (125);
    run (milliseconds (300));
    EXPECT_EQ (m_cell.router (0).loads["i-1"].slowdownPercent, 250U);
    EXPECT_EQ (m_cell.router (0).loads["i-1"].speedPercent, 200U);
}

TEST_F (ControllerLoadsTest, NewLeaderRestoresSpeedsReceivedAsRelay)
{
    cell::InstanceLoadReport report;
    report.slowdowns.push_back ({ "i-1", 50, 0 });
    m_cell.sendFromRouter (relayedRouter(), report);
    run (seconds (1));
    m_cell.kill (m_leader);
    ASSERT_TRUE (m_cell.awaitLeader());
    run (seconds (3));
    for (std::size_t number = 0; number < kRouters; ++number)
        EXPECT_EQ (m_cell.router (number).loads["i-1"].speedPercent, 200U) << number;
}

TEST_F (ControllerLoadsTest, SpeedEndsWithItsIncarnation)
{
    m_startOfFirst = 1000;
    run (seconds (2));
    cell::InstanceLoadReport report;
    report.slowdowns.push_back ({ "i-1", 50, 0 });
    m_cell.sendFromRouter (relayedRouter(), report);
    run (seconds (2));
    EXPECT_EQ (m_cell.router (0).loads["i-1"].speedPercent, 200U);
    m_startOfFirst = 2000;
    run (seconds (4));
    report.slowdowns = {};
    report.uses.push_back ({ "i-1", 3, 900 });
    m_cell.sendFromRouter (relayedRouter(), report);
    run (seconds (1));
    EXPECT_EQ (m_cell.router (0).loads["i-1"].inFlight, 3U);
    EXPECT_EQ (m_cell.router (0).loads["i-1"].speedPercent, 100U);
}

TEST_F (ControllerLoadsTest, OperatorSeesLoadAndSpeedOfRunner)
{
    cell::InstanceLoadReport report;
    report.uses.push_back ({ "i-1", 3, 900 });
    report.slowdowns.push_back ({ "i-1", 50, 0 });
    m_cell.sendFromRouter (relayedRouter(), report);
    run (seconds (1));
    const auto answer = m_cell.ask (m_leader, AdminExplain{ "runner", "i-1" });
    ASSERT_TRUE (answer);
    for (const char* const part : { "\"service\":\"llm\"", "\"requests_in_flight\":3",
                                    "\"unread_prompt_tokens\":900", "\"speed_percent\":200" })
        EXPECT_NE (answer->json.find (part), std::string::npos) << part << " in " << answer->json;
    for (base::MemberId member = 1; member <= 3; ++member)
    {
        const std::string text = m_cell.core (member).metricsText();
        for (const char* const line : { "requests_in_flight 3\n", "unread_prompt_tokens 900\n",
                                        "fastest_runner_percent 200\n", "loads_known 1\n" })
            EXPECT_NE (text.find (line), std::string::npos) << line << " at " << member;
    }
}

TEST_F (ControllerLoadsTest, SendsNothingWhenNoRouterReports)
{
    std::size_t updates = 0;
    for (std::size_t number = 0; number < kRouters; ++number)
        m_cell.router (number).onLoads = [&] (const auto&) { ++updates; };
    for (std::size_t number = 0; number < kRouters; ++number)
        m_cell.reconnect (number, memberFor (number + 1));
    run (seconds (3));
    EXPECT_EQ (updates, 0U);
}

TEST_F (ControllerLoadsTest, SendsNothingWithoutChanges)
{
    report (0, { { "i-1", 3, 0 } });
    run (seconds (1));
    std::size_t updates = 0;
    for (std::size_t number = 0; number < kRouters; ++number)
        m_cell.router (number).onLoads = [&] (const auto&) { ++updates; };
    run (seconds (3));
    EXPECT_EQ (updates, 0U);
}

}  // namespace
}  // namespace fernlift::controller
