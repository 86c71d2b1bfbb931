// Requests that may not be repeated.

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
        router_.connect ({ RouterHarness::application ("a1"), RouterHarness::application ("a2") });
        ticket_ = router_.request (RouterHarness::payment ("p", "key-1"));
    }

    RouterHarness router_;
    RequestTicket ticket_ = 0;
};

TEST_F (RouterAtMostOnceTest, ClaimsTheKeyBeforeAnyByteLeaves)
{
    EXPECT_TRUE (router_.starts.empty());
    ASSERT_EQ (router_.claimRequests.size(), 1U);
    EXPECT_EQ (router_.claimRequests[0].claims[0].key.value, "key-1");
    router_.answerClaims (ClaimVerdict::kGranted);
    ASSERT_EQ (router_.starts.size(), 1U);
    router_.answerWhole (router_.starts[0].attempt, "done");
    EXPECT_EQ (router_.callers[ticket_].text, "done");
    ASSERT_EQ (router_.outcomes.size(), 1U);
    EXPECT_EQ (router_.outcomes[0].outcome, ClaimOutcome::kRan);
    EXPECT_EQ (router_.outcomes[0].httpStatus, 200);
}

TEST_F (RouterAtMostOnceTest, AClaimExpiresByTheCellsTimeAndNotByTheWallClockOfThisMachine)
{
    constexpr base::UnixMilliseconds kCellTime = 5'000'000'000'000;
    router_.grantsLeases = false;
    router_.advance (milliseconds (700));
    ASSERT_FALSE (router_.leaseRequests.empty());
    const std::uint64_t sequence = router_.leaseRequests.back().sequence;
    router_.fromController (cell::LeaseGrant{ sequence, 1, "digest-1", 1, 2000, 1, kCellTime });
    router_.advance (milliseconds (100));
    router_.claimRequests.clear();
    router_.request (RouterHarness::payment ("q", "key-2"));
    ASSERT_EQ (router_.claimRequests.size(), 1U);
    // The deadline of the class, the window, and what passed since the grant.
    const base::UnixMilliseconds expected = kCellTime + 2000 + 600'000 + 100;
    EXPECT_EQ (router_.claimRequests[0].claims[0].expiresAt, expected);
}

TEST_F (RouterAtMostOnceTest, ABrokenAttemptIsNeverRepeated)
{
    router_.answerClaims (ClaimVerdict::kGranted);
    router_.event (router_.starts[0].attempt, AttemptBroken{});
    router_.advance (milliseconds (1900));
    EXPECT_EQ (router_.starts.size(), 1U);
    ASSERT_TRUE (router_.callers[ticket_].error);
    EXPECT_EQ (router_.callers[ticket_].error->error.kind, ErrorKind::kOutcomeUnknown);
    EXPECT_EQ (router_.callers[ticket_].error->execution, Execution::kUnknown);
    ASSERT_EQ (router_.outcomes.size(), 1U);
    EXPECT_EQ (router_.outcomes[0].outcome, ClaimOutcome::kUnknown);
}

TEST_F (RouterAtMostOnceTest, AGatewayErrorIsNoProofThatItRan)
{
    router_.answerClaims (ClaimVerdict::kGranted);
    router_.answerWhole (router_.starts[0].attempt, "bad gateway", 502);
    EXPECT_EQ (router_.starts.size(), 1U);
    EXPECT_EQ (router_.callers[ticket_].headers->httpStatus, 502);
    ASSERT_EQ (router_.outcomes.size(), 1U);
    EXPECT_EQ (router_.outcomes[0].outcome, ClaimOutcome::kUnknown);
}

TEST_F (RouterAtMostOnceTest, AnAttemptThatWasRefusedIsRepeatedUnderTheSameClaim)
{
    router_.answerClaims (ClaimVerdict::kGranted);
    router_.event (router_.starts[0].attempt, AttemptRefused{ 503, false, std::nullopt });
    ASSERT_EQ (router_.starts.size(), 2U);
    EXPECT_TRUE (router_.claimRequests.empty());
    router_.answerWhole (router_.starts[1].attempt, "done");
    EXPECT_EQ (router_.callers[ticket_].text, "done");
}

TEST_F (RouterAtMostOnceTest, ALostClaimReplyIsAskedForAgainUnchanged)
{
    const cell::Claim first = router_.claimRequests[0].claims[0];
    router_.claimRequests.clear();
    router_.core().onControllerLost();
    router_.core().onControllerConnected();
    router_.collect();
    ASSERT_EQ (router_.claimRequests.size(), 1U);
    EXPECT_EQ (router_.claimRequests[0].claims[0].key, first.key);
    EXPECT_EQ (router_.claimRequests[0].claims[0].request, first.request);
    router_.answerClaims (ClaimVerdict::kGranted);
    EXPECT_EQ (router_.starts.size(), 1U);
}

TEST_F (RouterAtMostOnceTest, GivenUpBeforeDispatchIsRecordedAsNotRun)
{
    router_.advance (milliseconds (2010));
    ASSERT_TRUE (router_.callers[ticket_].error);
    EXPECT_EQ (router_.callers[ticket_].error->error.kind, ErrorKind::kDeadlinePassed);
    EXPECT_EQ (router_.callers[ticket_].error->execution, Execution::kNotRun);
    router_.answerClaims (ClaimVerdict::kGranted);
    EXPECT_TRUE (router_.starts.empty());
    ASSERT_EQ (router_.outcomes.size(), 1U);
    EXPECT_EQ (router_.outcomes[0].outcome, ClaimOutcome::kNotRun);
}

TEST_F (RouterAtMostOnceTest, AnOutcomeAfterTheDeadlineIsStillRecorded)
{
    router_.answerClaims (ClaimVerdict::kGranted);
    router_.advance (milliseconds (2010));
    ASSERT_TRUE (router_.callers[ticket_].error);
    EXPECT_EQ (router_.callers[ticket_].error->error.kind, ErrorKind::kOutcomeUnknown);
    EXPECT_TRUE (router_.outcomes.empty());
    router_.answerWhole (router_.starts[0].attempt, "late");
    EXPECT_EQ (router_.callers[ticket_].text, "");
    EXPECT_EQ (router_.callers[ticket_].ends, 1);
    ASSERT_EQ (router_.outcomes.size(), 1U);
    EXPECT_EQ (router_.outcomes[0].outcome, ClaimOutcome::kRan);
    EXPECT_TRUE (router_.isLeakFree());
}

TEST_F (RouterAtMostOnceTest, ACallerThatLeavesDoesNotLoseTheOutcome)
{
    router_.answerClaims (ClaimVerdict::kGranted);
    router_.callerGone (ticket_);
    EXPECT_FALSE (router_.isCancelled (router_.starts[0].attempt));
    router_.advance (milliseconds (30010));
    ASSERT_EQ (router_.outcomes.size(), 1U);
    EXPECT_EQ (router_.outcomes[0].outcome, ClaimOutcome::kUnknown);
    EXPECT_TRUE (router_.core().isIdle());
}

TEST_F (RouterAtMostOnceTest, OutcomesGoOutAgainOnANewConnection)
{
    router_.answerClaims (ClaimVerdict::kGranted);
    router_.answerWhole (router_.starts[0].attempt, "done");
    router_.outcomes.clear();
    router_.core().onControllerLost();
    router_.core().onControllerConnected();
    router_.collect();
    ASSERT_EQ (router_.outcomes.size(), 1U);
    EXPECT_EQ (router_.outcomes[0].outcome, ClaimOutcome::kRan);
}

TEST_F (RouterAtMostOnceTest, EachVerdictHasItsAnswer)
{
    const std::vector<std::pair<ClaimVerdict, ErrorKind>> expected{
        { ClaimVerdict::kInProgress, ErrorKind::kOutcomeUnknown },
        { ClaimVerdict::kAlreadyRan, ErrorKind::kAlreadyRun },
        { ClaimVerdict::kOutcomeUnknown, ErrorKind::kOutcomeUnknown },
        { ClaimVerdict::kConflict, ErrorKind::kIdempotencyKeyConflict },
        { ClaimVerdict::kWindowPassed, ErrorKind::kIdempotencyWindowPassed }
    };
    router_.answerClaims (ClaimVerdict::kGranted);
    router_.starts.clear();
    for (const auto& [verdict, kind] : expected)
    {
        const RequestTicket ticket = router_.request (RouterHarness::payment ("q", "key-2"));
        router_.answerClaims (verdict);
        ASSERT_TRUE (router_.callers[ticket].error);
        EXPECT_EQ (router_.callers[ticket].error->error.kind, kind);
    }
    EXPECT_TRUE (router_.starts.empty());
    EXPECT_TRUE (router_.outcomes.empty());
}

TEST (RouterClaimIdentityTest, TwoRequestsOfOneIdentifierNeverShareAClaim)
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
