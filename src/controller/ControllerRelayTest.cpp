// Tests of controllers that serve routers without leading, in a cell of controllers.

#include <gtest/gtest.h>

#include <cstdlib>

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

class ControllerRelayTest : public ::testing::Test
{
protected:
    ControllerRelayTest() : m_cell (test::forwardingOptions (kRouters))
    {
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.router (number).acceptsLastKnownState = true;
        EXPECT_TRUE (m_cell.awaitLeader());
        m_leader = m_cell.leader();
        m_follower = m_leader % 3 + 1;
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.reconnect (number, m_follower);
    }

    bool apply (std::uint64_t version)
    {
        const auto answer = m_cell.sendControlRequest (
            m_leader, ReplaceConfiguration{ std::to_string (version) + " " }, seconds (4));
        return answer && answer->verdict == ControlVerdict::kDone;
    }
    [[nodiscard]] bool allServe (std::uint64_t version)
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            const TestRouter& router = m_cell.router (number);
            if (! router.admits (m_cell.now()) || router.configurationVersion != version)
                return false;
        }
        return true;
    }
    InstanceHeartbeat heartbeat (std::uint64_t sequence, std::vector<cell::HeldModel> models = {})
    {
        InstanceHeartbeat beat;
        beat.instance.id = "i-1";
        beat.instance.service = "llm";
        beat.instance.address = "10.0.0.9:80";
        beat.sequence = sequence;
        beat.models = std::move (models);
        return beat;
    }
    /// Value of a metric of a member; -1 when it is missing.
    double metric (base::MemberId member, const std::string& name)
    {
        const std::string text = m_cell.core (member).metricsText();
        const std::size_t at = text.find ("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stod (text.substr (at + name.size() + 2));
    }

    TestCell m_cell;
    base::MemberId m_leader = 0;
    base::MemberId m_follower = 0;
};

TEST_F (ControllerRelayTest, RelayServesRouters)
{
    ASSERT_TRUE (apply (1));
    EXPECT_TRUE (m_cell.runUntil ([&] { return allServe (1); }, seconds (2)));
    const double granted = metric (m_leader, "fernlift_controller_leases_granted_total");
    m_cell.run (seconds (10));
    EXPECT_TRUE (allServe (1));
    const double perSecond =
        (metric (m_leader, "fernlift_controller_leases_granted_total") - granted) / 10;
    EXPECT_LE (perSecond, 6) << "the leader renews the lease of one controller, not of six routers";
    EXPECT_EQ (m_cell.router (0).connectedTo, m_follower);
}

TEST_F (ControllerRelayTest, ChangeIsConfirmedOnceRoutersHaveIt)
{
    ASSERT_TRUE (apply (1));
    ASSERT_TRUE (m_cell.runUntil ([&] { return allServe (1); }, seconds (2)));
    const base::TimePoint before = m_cell.now();
    ASSERT_TRUE (apply (2));
    EXPECT_LT (m_cell.now() - before, milliseconds (300));
    EXPECT_TRUE (allServe (2));
}

TEST_F (ControllerRelayTest, ChangeWaitsForLeaseOfUnreachableRouter)
{
    ASSERT_TRUE (apply (1));
    ASSERT_TRUE (m_cell.runUntil ([&] { return allServe (1); }, seconds (2)));
    m_cell.router (3).isCut = true;
    ASSERT_TRUE (apply (2));
    EXPECT_FALSE (m_cell.router (3).admits (m_cell.now()));
}

TEST_F (ControllerRelayTest, RelayKeepsHeartbeatsUntilConnectedToLeader)
{
    ASSERT_TRUE (apply (1));
    for (const base::MemberId member : { m_follower, 6 - m_leader - m_follower })
        ASSERT_TRUE (m_cell.sendControlRequest (member, heartbeat (1)));
    m_cell.run (seconds (1));
    m_cell.refusesLeaderLinks = true;
    m_cell.kill (m_leader);
    m_cell.run (milliseconds (2500));
    const base::MemberId leader = m_cell.leader();
    ASSERT_NE (leader, 0U);
    const base::MemberId relay = 6 - leader - m_leader;  // The third of the members 1 to 3.
    const auto answer = m_cell.sendControlRequest (relay, heartbeat (2));
    ASSERT_TRUE (answer);
    EXPECT_EQ (answer->verdict, ControlVerdict::kDone) << "the relay must keep the heartbeat";
    // The time is limited, since the leader would consider the runner silent.
    m_cell.run (seconds (3));
    const auto later = m_cell.sendControlRequest (relay, heartbeat (3));
    ASSERT_TRUE (later);
    EXPECT_EQ (later->verdict, ControlVerdict::kNotLeader);
}

TEST_F (ControllerRelayTest, RelayOfEarlierBuildReceivesWholeTableOfNewLeader)
{
    ASSERT_TRUE (apply (1));
    for (const base::MemberId member : { m_follower, 6 - m_leader - m_follower })
        ASSERT_TRUE (m_cell.sendControlRequest (member, heartbeat (1)));
    m_cell.run (seconds (1));
    const TestRouter& router = m_cell.router (0);
    const std::uint64_t earlierVersion = router.instanceVersion;
    m_cell.kill (m_leader);
    ASSERT_TRUE (m_cell.runUntil (
        [&] { return m_cell.leader() != 0 && m_cell.leader() != m_leader; }, seconds (5)));
    m_cell.reconnect (0, m_cell.leader());
    m_cell.run (milliseconds (500));
    cell::RouterHello hello;
    hello.router = base::RouterId ("relay");
    hello.cell = test::forwardingOptions (kRouters).controller.cell;
    hello.isRelay = true;
    hello.instanceTerm = router.instanceTerm;
    hello.instanceVersion = earlierVersion;
    const auto rowsAfterHello = [&] (std::uint32_t features)
    {
        hello.features = features;
        const std::uint64_t rows = m_cell.instanceRowsSent;
        m_cell.sendFromRouter (0, hello);
        m_cell.run (milliseconds (100));
        return m_cell.instanceRowsSent - rows;
    };
    EXPECT_EQ (rowsAfterHello (cell::kFollowsTableOfNextLeader), 0U) << "nothing has changed";
    EXPECT_EQ (rowsAfterHello (0), 1U) << "the table has one row";
}

TEST_F (ControllerRelayTest, RoutersServeThroughLeaderChange)
{
    ASSERT_TRUE (apply (1));
    ASSERT_TRUE (m_cell.runUntil ([&] { return allServe (1); }, seconds (2)));
    bool hasGap = false;
    m_cell.onStep = [&]
    {
        for (std::size_t number = 0; number < kRouters; ++number)
            hasGap = hasGap || ! m_cell.router (number).admits (m_cell.now());
    };
    m_cell.kill (m_leader);
    m_cell.run (seconds (8));
    EXPECT_FALSE (hasGap) << "leases outlast an election";
}

TEST_F (ControllerRelayTest, RoutersOfIsolatedControllerMoveToAnother)
{
    ASSERT_TRUE (apply (1));
    ASSERT_TRUE (m_cell.runUntil ([&] { return allServe (1); }, seconds (2)));
    m_cell.isolate (m_follower, true);
    m_cell.run (seconds (1));
    EXPECT_TRUE (m_cell.runUntil (
        [&] { return allServe (1) && m_cell.router (0).connectedTo != m_follower; }, seconds (5)));
}

TEST_F (ControllerRelayTest, RelayedHeartbeatUpdatesModelsAtRouters)
{
    ASSERT_TRUE (apply (1));
    ASSERT_TRUE (m_cell.runUntil ([&] { return allServe (1); }, seconds (2)));
    const auto registered = m_cell.sendControlRequest (m_leader, heartbeat (1));
    ASSERT_TRUE (registered && registered->verdict == ControlVerdict::kDone);
    m_cell.run (milliseconds (500));
    const auto taken = m_cell.sendControlRequest (m_follower, heartbeat (2, { { "m1", 1, {} } }));
    ASSERT_TRUE (taken);
    EXPECT_EQ (taken->verdict, ControlVerdict::kDone);
    EXPECT_TRUE (m_cell.runUntil (
        [&]
        {
            const auto& rows = m_cell.router (0).instances;
            const auto row = rows.find ("i-1");
            return row != rows.end() && row->second.instance.models.size() == 1;
        },
        seconds (2)));
}

TEST_F (ControllerRelayTest, AnyControllerAcceptsFirstHeartbeatOfRunner)
{
    ASSERT_TRUE (apply (1));
    ASSERT_TRUE (m_cell.runUntil ([&] { return allServe (1); }, seconds (2)));
    const auto taken = m_cell.sendControlRequest (m_follower, heartbeat (1, { { "m1", 1, {} } }));
    ASSERT_TRUE (taken);
    EXPECT_EQ (taken->verdict, ControlVerdict::kDone);
    EXPECT_TRUE (m_cell.runUntil ([&] { return m_cell.router (0).instances.contains ("i-1"); },
                                  seconds (1)));
}

TEST_F (ControllerRelayTest, BusyLeaderRedirectsHeartbeatsToRelays)
{
    ASSERT_TRUE (apply (1));
    ASSERT_TRUE (m_cell.runUntil ([&] { return allServe (1); }, seconds (2)));
    ASSERT_TRUE (m_cell.sendControlRequest (m_leader, heartbeat (1)));
    const auto few = m_cell.sendControlRequest (m_leader, heartbeat (2));
    ASSERT_TRUE (few);
    EXPECT_EQ (few->leaderAddress, "c" + std::to_string (m_leader) + ":2");
    for (std::uint64_t sequence = 3; sequence < 200; ++sequence)
        ASSERT_TRUE (m_cell.sendControlRequest (m_leader, heartbeat (sequence)));
    const auto many = m_cell.sendControlRequest (m_leader, heartbeat (200));
    ASSERT_TRUE (many);
    EXPECT_EQ (many->verdict, ControlVerdict::kDone);
    EXPECT_EQ (many->leaderAddress, "c" + std::to_string (m_follower) + ":2");
}

TEST_F (ControllerRelayTest, LateHeartbeatDoesNotRestoreDeregisteredRunner)
{
    ASSERT_TRUE (apply (1));
    ASSERT_TRUE (m_cell.runUntil ([&] { return allServe (1); }, seconds (2)));
    ASSERT_TRUE (m_cell.sendControlRequest (m_leader, heartbeat (1)));
    ASSERT_TRUE (m_cell.sendControlRequest (m_leader, InstanceDeregistration{ "i-1" }));
    m_cell.run (milliseconds (500));
    m_cell.sendControlRequest (m_follower, heartbeat (2));
    m_cell.run (seconds (1));
    EXPECT_FALSE (m_cell.router (0).instances.contains ("i-1"));
}

TEST_F (ControllerRelayTest, RelayRefersDrainToLeader)
{
    ASSERT_TRUE (apply (1));
    ASSERT_TRUE (m_cell.sendControlRequest (m_leader, heartbeat (1)));
    m_cell.run (milliseconds (500));
    InstanceHeartbeat draining = heartbeat (2);
    draining.instance.isDraining = true;
    const auto answer = m_cell.sendControlRequest (m_follower, draining);
    ASSERT_TRUE (answer);
    EXPECT_EQ (answer->verdict, ControlVerdict::kNotLeader);
}

}  // namespace
}  // namespace fernlift::controller
