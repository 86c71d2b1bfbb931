// Tests of the router's part in the assignment of slots of brittle runners.

#include <gtest/gtest.h>

#include "proxy/RunnerSlots.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;
using base::seconds;

constexpr base::Term kTerm = 2;
constexpr std::uint64_t kHolder = 11;

class RunnerSlotsTest : public ::testing::Test
{
protected:
    void list (std::vector<std::string> services)
    {
        m_slots.apply ({ kTerm, ++m_version, true, std::move (services) });
    }
    std::uint64_t addClaim()
    {
        SlotNeed need;
        need.service = "service";
        need.queue = "service/";
        need.instances = { "r1" };
        need.lasts = seconds (3);
        return m_slots.addClaim (std::move (need));
    }
    /// The report that is due; fails if there is none.
    cell::SlotReport report()
    {
        const auto sent = m_slots.takeReport (m_now);
        EXPECT_TRUE (sent && ! sent->reports.empty());
        return sent && ! sent->reports.empty() ? sent->reports.front() : cell::SlotReport();
    }
    void grant (std::uint64_t claim, std::uint64_t number, std::uint64_t sequence)
    {
        m_slots.onGrants ({ kTerm, { { kHolder, number, sequence, claim, "r1", 1 } } }, m_now);
    }
    static BrittleObservation answer (bool isBrittle, base::TimePoint sentAt)
    {
        return { { "r1", 1 }, "service", sentAt, isBrittle, false, true };
    }

    std::uint64_t m_version = 0;
    base::TimePoint m_now{ seconds (100) };
    RunnerSlots m_slots{ "router", kHolder, [] {} };
};

TEST_F (RunnerSlotsTest, StatementOfOneRunnerCountsForItsServiceAtOnce)
{
    list ({});
    EXPECT_FALSE (m_slots.isNeeded ("service"));
    m_slots.onAnswer (answer (true, m_now), m_now);
    EXPECT_TRUE (m_slots.isNeeded ("service"));
    EXPECT_FALSE (m_slots.isNeeded ("other"));
    const auto sent = m_slots.takeReport (m_now);
    ASSERT_TRUE (sent);
    ASSERT_EQ (sent->statements.size(), 1U);
    EXPECT_TRUE (sent->statements.front().isBrittle);
}

TEST_F (RunnerSlotsTest, OpenRequestsAreReportedFromTheFirstStatementOn)
{
    list ({});
    m_slots.onAttemptBegin ({ "r1", 1 }, "service", m_now + seconds (2), 0);
    m_slots.onAttemptBegin ({ "r1", 1 }, "service", m_now + seconds (3), 0);
    m_slots.onAttemptBegin ({ "x1", 1 }, "other", m_now + seconds (3), 0);
    EXPECT_FALSE (m_slots.takeReport (m_now));
    list ({ "service" });
    const cell::SlotReport sent = report();
    ASSERT_EQ (sent.uses.size(), 1U);
    EXPECT_EQ (sent.uses.front().slots, 2U);
    EXPECT_EQ (sent.uses.front().endsInMilliseconds, 3000);
}

TEST_F (RunnerSlotsTest, GrantedSlotIsInUseUntilTheRequestHasEnded)
{
    list ({ "service" });
    const std::uint64_t claim = addClaim();
    EXPECT_EQ (report().claims.size(), 1U);
    grant (claim, 1, 1);
    EXPECT_EQ (m_slots.grantOf (claim, m_now), "r1");
    m_slots.onAttemptBegin ({ "r1", 1 }, "service", m_now + seconds (3), claim);
    m_now += milliseconds (300);
    const cell::SlotReport inUse = report();
    EXPECT_EQ (inUse.grantsSeen, 1U);
    ASSERT_EQ (inUse.uses.size(), 1U);
    m_slots.onAttemptEnd ({ "r1", 1 });
    EXPECT_TRUE (report().uses.empty());
}

TEST_F (RunnerSlotsTest, GrantThatComesTooLateIsGivenUp)
{
    list ({ "service" });
    const std::uint64_t claim = addClaim();
    report();
    m_now += milliseconds (1100);  // The process was suspended.
    grant (claim, 1, 1);
    EXPECT_EQ (m_slots.grantOf (claim, m_now), std::nullopt);
    const cell::SlotReport sent = report();
    EXPECT_EQ (sent.grantsSeen, 1U);
    EXPECT_TRUE (sent.uses.empty());
    EXPECT_EQ (sent.claims.size(), 1U) << "the request waits on";
}

TEST_F (RunnerSlotsTest, GrantOverALostConnectionIsNotUsed)
{
    list ({ "service" });
    const std::uint64_t claim = addClaim();
    report();
    m_slots.onLinkLost();
    list ({ "service" });
    grant (claim, 1, 1);
    EXPECT_EQ (m_slots.grantOf (claim, m_now), std::nullopt);
    EXPECT_EQ (report().firstSequence, 2U);
}

TEST_F (RunnerSlotsTest, RequestThatEndsGivesItsSlotBack)
{
    list ({ "service" });
    {
        const SlotTicket ticket (m_slots, addClaim());
        report();
        grant (1, 1, 1);
        EXPECT_EQ (ticket.grant (m_now), "r1");
    }
    const cell::SlotReport sent = report();
    EXPECT_TRUE (sent.uses.empty());
    EXPECT_TRUE (sent.claims.empty());
}

TEST_F (RunnerSlotsTest, ControllersOfEarlierBuildsNeedNoSlots)
{
    list ({ "service" });
    m_slots.onLinkLost();
    EXPECT_TRUE (m_slots.isNeeded ("service")) << "nothing is known of the next controller yet";
    m_slots.onOtherMessage();
    EXPECT_FALSE (m_slots.isNeeded ("service"));
    EXPECT_FALSE (m_slots.takeReport (m_now));
}

TEST_F (RunnerSlotsTest, WaitIsEstimatedFromTheGrantsOfTheLastSeconds)
{
    list ({ "service" });
    EXPECT_EQ (m_slots.expectedWait ("service/", m_now), base::Duration::zero());
    for (std::uint64_t number = 1; number <= 4; ++number)
    {
        const std::uint64_t claim = addClaim();
        report();
        grant (claim, number, number);
    }
    addClaim();
    addClaim();
    EXPECT_EQ (m_slots.expectedWait ("service/", m_now), seconds (1));
    EXPECT_EQ (m_slots.expectedWait ("other/", m_now), base::Duration::zero());
}

}  // namespace
}  // namespace fernlift::proxy::test
