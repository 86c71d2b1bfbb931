// At-most-once execution of non-repeatable requests.

#include <gtest/gtest.h>

#include "router/RouterTestHarness.h"

namespace fernlift::router
{
namespace
{

using base::ErrorKind;
using base::Execution;
using base::milliseconds;
using cell::ClaimOutcome;
using cell::ClaimVerdict;
using testing::RouterHarness;

class RouterAtMostOnceTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_router.connect ({ RouterHarness::application ("a1"), RouterHarness::application ("a2") });
        m_ticket = m_router.request (RouterHarness::payment ("p", "key-1"));
    }

    RouterHarness m_router;
    RequestTicket m_ticket = 0;
};

TEST_F (RouterAtMostOnceTest, ClaimsTheKeyBeforeSendingTheRequest)
{
    EXPECT_TRUE (m_router.starts.empty());
    ASSERT_EQ (m_router.claimRequests.size(), 1U);
    EXPECT_EQ (m_router.claimRequests[0].claims[0].key.value, "key-1");
    m_router.answerClaims (ClaimVerdict::kGranted);
    ASSERT_EQ (m_router.starts.size(), 1U);
    m_router.answerWhole (m_router.starts[0].attempt, "done");
    EXPECT_EQ (m_router.callers[m_ticket].text, "done");
    ASSERT_EQ (m_router.outcomes.size(), 1U);
    EXPECT_EQ (m_router.outcomes[0].outcome, ClaimOutcome::kRan);
    EXPECT_EQ (m_router.outcomes[0].httpStatus, 200);
}

TEST_F (RouterAtMostOnceTest, ClaimExpiryUsesCellTimeNotTheLocalWallClock)
{
    constexpr base::UnixMilliseconds kCellTime = 5'000'000'000'000;
    m_router.grantsLeases = false;
    m_router.advance (milliseconds (700));
    ASSERT_FALSE (m_router.leaseRequests.empty());
    const std::uint64_t sequence = m_router.leaseRequests.back().sequence;
    m_router.fromController (cell::LeaseGrant{ sequence, 1, "digest-1", 1, 2000, 1, kCellTime });
    m_router.advance (milliseconds (100));
    m_router.claimRequests.clear();
    m_router.request (RouterHarness::payment ("q", "key-2"));
    ASSERT_EQ (m_router.claimRequests.size(), 1U);
    // Cell time, class deadline, claim window, and the time since the grant.
    const base::UnixMilliseconds expected = kCellTime + 2000 + 600'000 + 100;
    EXPECT_EQ (m_router.claimRequests[0].claims[0].expiresAt, expected);
}

TEST_F (RouterAtMostOnceTest, ABrokenAttemptIsNeverRepeated)
{
    m_router.answerClaims (ClaimVerdict::kGranted);
    m_router.event (m_router.starts[0].attempt, AttemptBroken{});
    m_router.advance (milliseconds (1900));
    EXPECT_EQ (m_router.starts.size(), 1U);
    ASSERT_TRUE (m_router.callers[m_ticket].error);
    EXPECT_EQ (m_router.callers[m_ticket].error->error.kind, ErrorKind::kOutcomeUnknown);
    EXPECT_EQ (m_router.callers[m_ticket].error->execution, Execution::kUnknown);
    ASSERT_EQ (m_router.outcomes.size(), 1U);
    EXPECT_EQ (m_router.outcomes[0].outcome, ClaimOutcome::kUnknown);
}

TEST_F (RouterAtMostOnceTest, GatewayErrorIsRecordedAsUnknownOutcome)
{
    m_router.answerClaims (ClaimVerdict::kGranted);
    m_router.answerWhole (m_router.starts[0].attempt, "bad gateway", 502);
    EXPECT_EQ (m_router.starts.size(), 1U);
    EXPECT_EQ (m_router.callers[m_ticket].headers->httpStatus, 502);
    ASSERT_EQ (m_router.outcomes.size(), 1U);
    EXPECT_EQ (m_router.outcomes[0].outcome, ClaimOutcome::kUnknown);
}

TEST_F (RouterAtMostOnceTest, RefusedAttemptIsRepeatedUnderTheSameClaim)
{
    m_router.answerClaims (ClaimVerdict::kGranted);
    m_router.event (m_router.starts[0].attempt, AttemptRefused{ 503, false, std::nullopt });
    ASSERT_EQ (m_router.starts.size(), 2U);
    EXPECT_TRUE (m_router.claimRequests.empty());
    m_router.answerWhole (m_router.starts[1].attempt, "done");
    EXPECT_EQ (m_router.callers[m_ticket].text, "done");
}

TEST_F (RouterAtMostOnceTest, ResendsTheSameClaimAfterALostReply)
{
    const cell::Claim first = m_router.claimRequests[0].claims[0];
    m_router.claimRequests.clear();
    m_router.core().onControllerLost();
    m_router.core().onControllerConnected();
    m_router.collect();
    ASSERT_EQ (m_router.claimRequests.size(), 1U);
    EXPECT_EQ (m_router.claimRequests[0].claims[0].key, first.key);
    EXPECT_EQ (m_router.claimRequests[0].claims[0].request, first.request);
    m_router.answerClaims (ClaimVerdict::kGranted);
    EXPECT_EQ (m_router.starts.size(), 1U);
}

TEST_F (RouterAtMostOnceTest, DeadlineBeforeDispatchIsRecordedAsNotRun)
{
    m_router.advance (milliseconds (2010));
    ASSERT_TRUE (m_router.callers[m_ticket].error);
    EXPECT_EQ (m_router.callers[m_ticket].error->error.kind, ErrorKind::kDeadlinePassed);
    EXPECT_EQ (m_router.callers[m_ticket].error->execution, Execution::kNotRun);
    m_router.answerClaims (ClaimVerdict::kGranted);
    EXPECT_TRUE (m_router.starts.empty());
    ASSERT_EQ (m_router.outcomes.size(), 1U);
    EXPECT_EQ (m_router.outcomes[0].outcome, ClaimOutcome::kNotRun);
}

TEST_F (RouterAtMostOnceTest, AnOutcomeAfterTheDeadlineIsStillRecorded)
{
    m_router.answerClaims (ClaimVerdict::kGranted);
    m_router.advance (milliseconds (2010));
    ASSERT_TRUE (m_router.callers[m_ticket].error);
    EXPECT_EQ (m_router.callers[m_ticket].error->error.kind, ErrorKind::kOutcomeUnknown);
    EXPECT_TRUE (m_router.outcomes.empty());
    m_router.answerWhole (m_router.starts[0].attempt, "late");
    EXPECT_EQ (m_router.callers[m_ticket].text, "");
    EXPECT_EQ (m_router.callers[m_ticket].ends, 1);
    ASSERT_EQ (m_router.outcomes.size(), 1U);
    EXPECT_EQ (m_router.outcomes[0].outcome, ClaimOutcome::kRan);
    EXPECT_TRUE (m_router.isLeakFree());
}

TEST_F (RouterAtMostOnceTest, OutcomeIsRecordedAfterTheCallerDisconnects)
{
    m_router.answerClaims (ClaimVerdict::kGranted);
    m_router.disconnectCaller (m_ticket);
    EXPECT_FALSE (m_router.isCancelled (m_router.starts[0].attempt));
    m_router.advance (milliseconds (30010));
    ASSERT_EQ (m_router.outcomes.size(), 1U);
    EXPECT_EQ (m_router.outcomes[0].outcome, ClaimOutcome::kUnknown);
    EXPECT_TRUE (m_router.core().isIdle());
}

TEST_F (RouterAtMostOnceTest, OutcomesAreResentOnANewConnection)
{
    m_router.answerClaims (ClaimVerdict::kGranted);
    m_router.answerWhole (m_router.starts[0].attempt, "done");
    m_router.outcomes.clear();
    m_router.core().onControllerLost();
    m_router.core().onControllerConnected();
    m_router.collect();
    ASSERT_EQ (m_router.outcomes.size(), 1U);
    EXPECT_EQ (m_router.outcomes[0].outcome, ClaimOutcome::kRan);
}

TEST_F (RouterAtMostOnceTest, EachClaimVerdictMapsToItsError)
{
    const std::vector<std::pair<ClaimVerdict, ErrorKind>> expected{
        { ClaimVerdict::kInProgress, ErrorKind::kOutcomeUnknown },
        { ClaimVerdict::kAlreadyRan, ErrorKind::kAlreadyRun },
        { ClaimVerdict::kOutcomeUnknown, ErrorKind::kOutcomeUnknown },
        { ClaimVerdict::kConflict, ErrorKind::kIdempotencyKeyConflict },
        { ClaimVerdict::kWindowPassed, ErrorKind::kIdempotencyWindowPassed }
    };
    m_router.answerClaims (ClaimVerdict::kGranted);
    m_router.starts.clear();
    for (const auto& [verdict, kind] : expected)
    {
        const RequestTicket ticket = m_router.request (RouterHarness::payment ("q", "key-2"));
        m_router.answerClaims (verdict);
        ASSERT_TRUE (m_router.callers[ticket].error);
        EXPECT_EQ (m_router.callers[ticket].error->error.kind, kind);
    }
    EXPECT_TRUE (m_router.starts.empty());
    EXPECT_TRUE (m_router.outcomes.empty());
}

TEST (RouterClaimIdentityTest, RequestsWithTheSameIdentifierNeverShareAClaim)
{
    RouterHarness first (RouterHarness::defaultOptions(), 1);
    RouterHarness second (RouterHarness::defaultOptions(), 2);
    for (RouterHarness* router : { &first, &second })
    {
        router->connect ({ RouterHarness::application ("a1") });
        router->request (RouterHarness::payment ("same", "key"));
    }
    EXPECT_NE (first.claimRequests[0].claims[0].request, second.claimRequests[0].claims[0].request);
}

}  // namespace
}  // namespace fernlift::router
