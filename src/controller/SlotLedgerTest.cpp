// Tests of the leader's account of the slots of brittle runners, and of a relay's part in it.

#include <gtest/gtest.h>

#include <map>

#include "controller/BrittlenessTable.h"
#include "controller/SlotLedger.h"
#include "controller/SlotRelay.h"

namespace fernlift::controller::test
{
namespace
{

using base::milliseconds;
using base::seconds;

constexpr base::Term kTerm = 3;
constexpr base::TimePoint kSince (seconds (100));
/// The ledger assigns slots from then on.
constexpr base::TimePoint kSettled = kSince + seconds (2);
constexpr std::int64_t kLastsMs = 3000;

class SlotLedgerTest : public ::testing::Test
{
protected:
    SlotLedgerTest()
    {
        addRunner ("r1", 1);
        addRunner ("r2", 1);
    }
    void addRunner (const std::string& id, std::uint32_t slots)
    {
        cell::ServiceInstance& instance = m_runners[id];
        instance.id = id;
        instance.slots = slots;
        instance.startedAt = 1;
    }
    static cell::SlotReport report (std::uint64_t holder, std::uint64_t sequence)
    {
        cell::SlotReport made;
        made.holder = holder;
        made.router = "router" + std::to_string (holder);
        made.sequence = sequence;
        made.term = kTerm;
        return made;
    }
    static cell::SlotClaim claim (std::uint64_t id, std::vector<std::string> instances,
                                  std::int32_t priority = 0)
    {
        return { id, priority, 0, kLastsMs, std::move (instances) };
    }
    /// Instances granted for the report, in the order of the grants.
    std::vector<std::string> granted (const cell::SlotReport& sent, base::TimePoint at)
    {
        m_ledger.onReport (sent, at);
        return taken();
    }
    std::vector<std::string> taken()
    {
        std::vector<std::string> instances;
        for (const cell::SlotGrant& grant : m_ledger.takeGrants())
            instances.push_back (std::to_string (grant.holder) + " " + grant.instance);
        return instances;
    }

    using Instances = std::vector<std::string>;
    std::map<std::string, cell::ServiceInstance> m_runners;
    SlotLedger m_ledger{ kTerm, kSince,
                         [this] (const std::string& id)
                         {
                             const auto found = m_runners.find (id);
                             return found == m_runners.end() ? nullptr : &found->second;
                         } };
};

TEST_F (SlotLedgerTest, SlotIsAssignedOnceAndThenToTheNextThatWaits)
{
    cell::SlotReport first = report (1, 1);
    first.claims = { claim (1, { "r1" }) };
    EXPECT_EQ (granted (first, kSettled), Instances{ "1 r1" });
    cell::SlotReport second = report (2, 1);
    second.claims = { claim (1, { "r1" }) };
    EXPECT_EQ (granted (second, kSettled), Instances{});
    cell::SlotReport inUse = report (1, 2);
    inUse.grantsSeen = 1;
    inUse.uses = { { "r1", 1, 1, kLastsMs } };
    EXPECT_EQ (granted (inUse, kSettled + milliseconds (100)), Instances{});
    cell::SlotReport ended = report (1, 3);
    ended.grantsSeen = 1;
    EXPECT_EQ (granted (ended, kSettled + milliseconds (200)), Instances{ "2 r1" });
}

TEST_F (SlotLedgerTest, GrantThatIsUnderwayCountsBesideTheReportedUses)
{
    cell::SlotReport first = report (1, 1);
    first.claims = { claim (1, { "r1" }) };
    EXPECT_EQ (granted (first, kSettled), Instances{ "1 r1" });
    // Sent before the grant arrived.
    cell::SlotReport earlier = report (1, 2);
    earlier.claims = { claim (1, { "r1" }), claim (2, { "r1" }) };
    EXPECT_EQ (granted (earlier, kSettled + milliseconds (2)), Instances{});
    EXPECT_EQ (m_ledger.used ("r1", 1), 1U);
}

TEST_F (SlotLedgerTest, HolderThatVanishesKeepsItsSlotsUntilItsRequestsHaveEnded)
{
    cell::SlotReport vanished = report (1, 1);
    vanished.uses = { { "r1", 1, 1, kLastsMs } };
    EXPECT_EQ (granted (vanished, kSettled), Instances{});
    const auto ask = [&] (std::uint64_t sequence, base::TimePoint at)
    {
        cell::SlotReport other = report (2, sequence);
        other.claims = { claim (1, { "r1" }) };
        return granted (other, at);
    };
    EXPECT_EQ (ask (1, kSettled + milliseconds (2900)), Instances{});
    m_ledger.poll (kSettled + milliseconds (3000));
    EXPECT_EQ (taken(), Instances{});
    m_ledger.poll (kSettled + milliseconds (3300));
    EXPECT_EQ (taken(), Instances{ "2 r1" });
}

TEST_F (SlotLedgerTest, RestartedRouterFreesTheSlotsOfItsEarlierProcess)
{
    cell::SlotReport earlier = report (1, 1);
    earlier.uses = { { "r1", 1, 1, kLastsMs } };
    EXPECT_EQ (granted (earlier, kSettled), Instances{});
    cell::SlotReport later = report (2, 1);
    later.router = earlier.router;
    later.claims = { claim (1, { "r1" }) };
    EXPECT_EQ (granted (later, kSettled + milliseconds (100)), Instances{});
    m_ledger.poll (kSettled + milliseconds (700));
    EXPECT_EQ (taken(), Instances{ "2 r1" });
}

TEST_F (SlotLedgerTest, MostUrgentRequestGetsTheFreeSlotFirst)
{
    cell::SlotReport holder = report (1, 1);
    holder.uses = { { "r1", 1, 1, kLastsMs } };
    EXPECT_EQ (granted (holder, kSettled), Instances{});
    cell::SlotReport patient = report (2, 1);
    patient.claims = { claim (1, { "r1" }, 5) };
    EXPECT_EQ (granted (patient, kSettled), Instances{});
    cell::SlotReport urgent = report (3, 1);
    urgent.claims = { claim (1, { "r1" }, 1) };
    EXPECT_EQ (granted (urgent, kSettled + milliseconds (50)), Instances{});
    EXPECT_EQ (granted (report (1, 2), kSettled + milliseconds (100)), Instances{ "3 r1" });
}

TEST_F (SlotLedgerTest, NewLeaderAssignsNothingUntilRoutersHaveReported)
{
    cell::SlotReport first = report (1, 1);
    first.claims = { claim (1, { "r1" }) };
    EXPECT_EQ (granted (first, kSince + milliseconds (100)), Instances{});
    cell::SlotReport second = report (2, 1);
    second.uses = { { "r1", 1, 1, kLastsMs } };
    EXPECT_EQ (granted (second, kSince + milliseconds (600)), Instances{});
    first.sequence = 2;
    EXPECT_EQ (granted (first, kSince + milliseconds (900)), Instances{});
    m_ledger.poll (kSince + milliseconds (1100));
    EXPECT_EQ (taken(), Instances{});
}

TEST_F (SlotLedgerTest, RunnerThatDeclinedGetsNothingForASecond)
{
    m_ledger.onDecline ("r1", 1, kSettled);
    cell::SlotReport asking = report (1, 1);
    asking.claims = { claim (1, { "r1" }) };
    EXPECT_EQ (granted (asking, kSettled + milliseconds (500)), Instances{});
    m_ledger.poll (kSettled + milliseconds (1050));
    EXPECT_EQ (taken(), Instances{ "1 r1" });
}

TEST_F (SlotLedgerTest, NextIncarnationIsNotChargedWithRequestsOfTheEarlierOne)
{
    cell::SlotReport holder = report (1, 1);
    holder.uses = { { "r1", 1, 1, kLastsMs } };
    holder.claims = { claim (1, { "r1" }) };
    EXPECT_EQ (granted (holder, kSettled), Instances{});
    m_runners["r1"].startedAt = 2;
    m_ledger.poll (kSettled + milliseconds (100));
    EXPECT_EQ (taken(), Instances{ "1 r1" });
}

TEST (BrittlenessTableTest, ServiceIsBrittleUntilASuccessWithoutStatementToALaterRequest)
{
    BrittlenessTable table;
    table.onStatement ("service", { "r1", 1, true, false, 0 }, kSince);
    EXPECT_TRUE (table.isBrittle ("service"));
    // The request was sent before the statement arrived.
    table.onStatement ("service", { "r1", 1, false, false, 500 }, kSince + milliseconds (400));
    EXPECT_TRUE (table.isBrittle ("service"));
    table.onStatement ("service", { "r2", 1, false, false, 100 }, kSince + milliseconds (400));
    EXPECT_TRUE (table.isBrittle ("service")) << "r1 may be brittle still";
    table.onStatement ("service", { "r1", 1, false, false, 100 }, kSince + milliseconds (400));
    EXPECT_FALSE (table.isBrittle ("service"));
    // A statement that a disconnected router received earlier.
    table.onStatement ("service", { "r1", 1, true, false, 500 }, kSince + milliseconds (600));
    EXPECT_FALSE (table.isBrittle ("service"));
}

TEST (BrittlenessTableTest, RunnerThatIsNotHeardDoesNotKeepItsServiceBrittle)
{
    BrittlenessTable table;
    table.onStatement ("service", { "r1", 1, true, false, 0 }, kSince);
    table.onStatement ("service", { "r2", 1, false, false, 0 }, kSince + seconds (4));
    EXPECT_TRUE (table.isBrittle ("service"));
    table.onStatement ("service", { "r2", 1, false, false, 0 }, kSince + seconds (6));
    EXPECT_FALSE (table.isBrittle ("service"));
}

TEST (SlotRelayTest, NewLeaderGetsTheUsesOfARouterThatIsDisconnected)
{
    SlotRelay relay;
    relay.onServices ({ kTerm, 2, true, { "service" } }, kSince);
    cell::SlotReport report;
    report.holder = 7;
    report.sequence = 4;
    report.uses = { { "r1", 1, 2, kLastsMs } };
    report.claims = { { 9, 0, 0, kLastsMs, { "r1" } } };
    relay.onReports (1, { {}, { report } }, kSince);
    ASSERT_TRUE (relay.takeReports (kSince));
    relay.onRouterDisconnected (1);
    relay.onLeaderLost();
    EXPECT_FALSE (relay.takeReports (kSince + seconds (1)));
    relay.onServices ({ kTerm + 1, 1, true, { "service" } }, kSince + seconds (1));
    const auto sent = relay.takeReports (kSince + seconds (1));
    ASSERT_TRUE (sent);
    ASSERT_EQ (sent->reports.size(), 1U);
    EXPECT_EQ (sent->reports.front().uses.front().endsInMilliseconds, kLastsMs - 1000);
    EXPECT_TRUE (sent->reports.front().claims.empty()) << "nobody waits for them";
}

}  // namespace
}  // namespace fernlift::controller::test
