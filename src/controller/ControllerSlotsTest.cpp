// Tests that brittle services reach all routers of a cell and that the leader assigns the slots of
// their runners. Routers of an earlier version receive neither.

#include <gtest/gtest.h>

#include <algorithm>

#include "controller/ControllerCore.h"
#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;
using base::seconds;
using test::TestCell;

constexpr std::size_t kRouters = 6;
/// Index of the router that does not support slots: the last one.
constexpr std::size_t kEarlierRouter = 5;
/// Slots of the runner; five of six routers ask for slots, so that the leader assigns all but two.
constexpr std::uint32_t kSlots = 12;
constexpr std::uint32_t kAssignedSlots = 10;
constexpr base::Duration kSpreadTime = milliseconds (200);
constexpr std::int64_t kLastsMs = 8000;

/// Two routers at each of three controllers, of which one leads, and a runner.
class ControllerSlotsTest : public ::testing::Test
{
protected:
    ControllerSlotsTest() : m_cell (test::forwardingOptions (kRouters))
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            m_cell.router (number).acceptsLastKnownState = true;
            m_cell.router (number).features =
                number == kEarlierRouter ? std::uint32_t{ cell::kReadsInstanceRates }
                                         : cell::kReadsInstanceRates | cell::kReadsSlotGrants;
        }
        EXPECT_TRUE (m_cell.awaitLeader());
        m_leader = m_cell.leader();
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.reconnect (number, (m_leader + number) % 3 + 1);
        const auto answer =
            m_cell.sendControlRequest (m_leader, ReplaceConfiguration{ "1 " }, seconds (4));
        EXPECT_TRUE (answer && answer->verdict == ControlVerdict::kDone);
        beat();
        run (seconds (2));
    }

    void beat()
    {
        InstanceHeartbeat beat;
        beat.instance.id = "i-1";
        beat.instance.service = "llm";
        beat.instance.address = "10.0.0.9:1";
        beat.instance.slots = kSlots;
        beat.sequence = ++m_sequence;
        m_cell.sendControlRequest (m_cell.leader(), beat, milliseconds (0));
    }
    /// Advances the time while the runner sends heartbeats.
    void run (base::Duration duration)
    {
        const base::TimePoint end = m_cell.now() + duration;
        while (m_cell.now() < end)
        {
            m_cell.run (std::min<base::Duration> (end - m_cell.now(), milliseconds (500)));
            if (m_cell.leader() != 0)
                beat();
        }
    }
    void state (std::size_t router, bool isBrittle)
    {
        cell::SlotReports message;
        message.statements.push_back ({ "i-1", 0, isBrittle, false, 0 });
        m_cell.sendFromRouter (router, message);
    }
    /// Reports that this many requests of the router wait, and what was granted before as in use.
    void ask (std::size_t router, std::size_t requests)
    {
        cell::SlotReport report;
        report.holder = router + 1;
        report.router = "router" + std::to_string (router);
        report.sequence = ++m_reportSequence;
        const std::vector<cell::SlotGrant>& granted = m_cell.router (router).slotGrants;
        report.term = m_cell.router (router).brittle->term;
        report.grantsSeen = granted.empty() ? 0 : granted.back().number;
        if (! granted.empty())
        {
            const auto slots = static_cast<std::uint32_t> (granted.size());
            report.uses.push_back ({ "i-1", 0, slots, kLastsMs });
        }
        for (std::size_t number = 0; number < requests; ++number)
            report.claims.push_back ({ ++m_claims, 0, 0, kLastsMs, { "i-1" } });
        m_cell.sendFromRouter (router, cell::SlotReports{ {}, { report } });
        run (milliseconds (50));
    }
    [[nodiscard]] bool allHave (const std::vector<std::string>& services)
    {
        for (std::size_t number = 0; number < kEarlierRouter; ++number)
        {
            const auto& brittle = m_cell.router (number).brittle;
            if (! brittle || brittle->services != services)
                return false;
        }
        return true;
    }
    [[nodiscard]] bool isAtOldLeader (std::size_t router) const
    {
        return (m_leader + router) % 3 + 1 == m_leader;
    }
    [[nodiscard]] std::size_t granted()
    {
        std::size_t sum = 0;
        for (std::size_t number = 0; number < kRouters; ++number)
            sum += m_cell.router (number).slotGrants.size();
        return sum;
    }

    TestCell m_cell;
    base::MemberId m_leader = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_reportSequence = 0;
    std::uint64_t m_claims = 0;
};

TEST_F (ControllerSlotsTest, StatementReportedByOneRouterReachesAllRouters)
{
    EXPECT_TRUE (allHave ({}));
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
    {
        state (number, true);
        run (kSpreadTime);
        EXPECT_TRUE (allHave ({ "llm" })) << number;
        state (number, false);
        run (kSpreadTime);
        EXPECT_TRUE (allHave ({})) << number;
    }
}

TEST_F (ControllerSlotsTest, RouterOfEarlierVersionReceivesNothingOfSlots)
{
    state (0, true);
    run (seconds (1));
    const auto& received = m_cell.router (kEarlierRouter).received;
    EXPECT_EQ (std::ranges::count (received, "brittle_services"), 0);
    EXPECT_EQ (std::ranges::count (received, "slot_grants"), 0);
}

TEST_F (ControllerSlotsTest, AllRoutersTogetherGetTheShareOfTheSlotsThatIsTheirs)
{
    state (0, true);
    run (seconds (1));
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
        ask (number, 4);
    EXPECT_EQ (granted(), kAssignedSlots);
    run (milliseconds (300));
    EXPECT_EQ (granted(), kAssignedSlots);
}

TEST_F (ControllerSlotsTest, NewLeaderCountsWhatTheOldOneAssigned)
{
    state (0, true);
    run (seconds (1));
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
        ask (number, 2);
    ASSERT_EQ (granted(), kAssignedSlots);
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
        ask (number, 0);
    m_cell.kill (m_leader);
    ASSERT_TRUE (m_cell.awaitLeader());
    const base::TimePoint elected = m_cell.now();
    run (milliseconds (300));
    // Routers of the old leader report to another controller; relays report for the others.
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
    {
        if (isAtOldLeader (number))
            ask (number, 0);
    }
    ASSERT_LT (m_cell.now() - elected, seconds (1));
    run (seconds (1));
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
        ask (number, 2);
    // The earlier router may be connected to no controller yet, so that no slot is left to it.
    EXPECT_LE (granted(), kSlots) << "none of the requests has ended";
}

}  // namespace
}  // namespace fernlift::controller
