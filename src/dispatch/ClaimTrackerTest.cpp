#include <gtest/gtest.h>

#include "dispatch/ClaimTracker.h"

namespace fernlift::dispatch
{
namespace
{

using base::seconds;
using cell::ClaimVerdict;

cell::Claim claim (const std::string& key, const std::string& request)
{
    cell::Claim made;
    made.key = base::IdempotencyKey (key);
    made.request = base::RequestId (request);
    return made;
}

cell::ClaimReply reply (const cell::Claim& sent, ClaimVerdict verdict)
{
    return cell::ClaimReply{ 1, { { sent.key, sent.request, verdict, 200 } } };
}

cell::OutcomeRecord outcome (const std::string& key)
{
    return { base::IdempotencyKey (key), base::RequestId ("r"), cell::ClaimOutcome::kRan, 200 };
}

const base::TimePoint kNow (seconds (100));

TEST (ClaimTrackerTest, SendsEachClaimOnceOnAConnectionAndAgainOnTheNext)
{
    ClaimTracker tracker;
    EXPECT_FALSE (tracker.takeClaims());
    tracker.add (claim ("k1", "r1"));
    const auto first = tracker.takeClaims();
    ASSERT_TRUE (first);
    EXPECT_EQ (first->claims.size(), 1U);
    tracker.add (claim ("k2", "r2"));
    EXPECT_EQ (tracker.takeClaims()->claims.size(), 1U) << "only the new one";
    EXPECT_FALSE (tracker.takeClaims());
    tracker.onConnected();
    const auto again = tracker.takeClaims();
    ASSERT_TRUE (again);
    EXPECT_EQ (again->claims.size(), 2U);
    EXPECT_GT (again->sequence, first->sequence);
}

TEST (ClaimTrackerTest, ReturnsTheFirstAnswerOnly)
{
    ClaimTracker tracker;
    const auto sent = claim ("k", "r");
    tracker.add (sent);
    ASSERT_TRUE (tracker.takeClaims());
    EXPECT_EQ (tracker.onReply (reply (sent, ClaimVerdict::kGranted), kNow).size(), 1U);
    EXPECT_TRUE (tracker.onReply (reply (sent, ClaimVerdict::kGranted), kNow).empty());
    EXPECT_FALSE (tracker.takeOutcomes (kNow)) << "a repeated answer releases nothing";
}

TEST (ClaimTrackerTest, IgnoresTheAnswerToAnotherRequestWithTheSameKey)
{
    ClaimTracker tracker;
    tracker.add (claim ("k", "mine"));
    ASSERT_TRUE (tracker.takeClaims());
    EXPECT_TRUE (
        tracker.onReply (reply (claim ("k", "other"), ClaimVerdict::kGranted), kNow).empty());
}

TEST (ClaimTrackerTest, AnAbandonedClaimThatWasGrantedIsReleased)
{
    ClaimTracker tracker;
    const auto sent = claim ("k", "r");
    tracker.add (sent);
    ASSERT_TRUE (tracker.takeClaims());
    tracker.abandon (sent);
    EXPECT_TRUE (tracker.hasAbandoned());
    EXPECT_TRUE (tracker.onReply (reply (sent, ClaimVerdict::kGranted), kNow).empty());
    EXPECT_FALSE (tracker.hasAbandoned());
    const auto report = tracker.takeOutcomes (kNow);
    ASSERT_TRUE (report);
    EXPECT_EQ (report->outcomes[0].outcome, cell::ClaimOutcome::kNotRun);
}

TEST (ClaimTrackerTest, ResendsAnAbandonedClaimUntilItsAnswerArrives)
{
    ClaimTracker tracker;
    const auto sent = claim ("k", "r");
    tracker.add (sent);
    ASSERT_TRUE (tracker.takeClaims());
    tracker.abandon (sent);
    tracker.onConnected();
    EXPECT_EQ (tracker.takeClaims()->claims.size(), 1U);
}

TEST (ClaimTrackerTest, AnAbandonedClaimThatWasNotGrantedIsNotReleased)
{
    ClaimTracker tracker;
    const auto sent = claim ("k", "r");
    tracker.add (sent);
    ASSERT_TRUE (tracker.takeClaims());
    tracker.abandon (sent);
    EXPECT_TRUE (tracker.onReply (reply (sent, ClaimVerdict::kAlreadyRan), kNow).empty());
    EXPECT_FALSE (tracker.takeOutcomes (kNow));
}

TEST (ClaimTrackerTest, DropsAClaimAbandonedBeforeItWasSent)
{
    ClaimTracker tracker;
    const auto sent = claim ("k", "r");
    tracker.add (sent);
    tracker.abandon (sent);
    EXPECT_FALSE (tracker.hasAbandoned());
    EXPECT_FALSE (tracker.takeClaims());
}

TEST (ClaimTrackerTest, ResendsRecentOutcomesInOrderOnANewConnection)
{
    ClaimTracker tracker;
    tracker.recordOutcome (outcome ("k1"), kNow);
    EXPECT_TRUE (tracker.hasUnsentOutcomes());
    ASSERT_TRUE (tracker.takeOutcomes (kNow));
    EXPECT_FALSE (tracker.hasUnsentOutcomes());
    tracker.recordOutcome (outcome ("k2"), kNow);
    tracker.onConnected();
    const auto report = tracker.takeOutcomes (kNow + seconds (1));
    ASSERT_TRUE (report);
    ASSERT_EQ (report->outcomes.size(), 2U);
    EXPECT_EQ (report->outcomes[0].key.value, "k1");
    EXPECT_FALSE (tracker.takeOutcomes (kNow + seconds (60)));
    tracker.onConnected();
    EXPECT_FALSE (tracker.takeOutcomes (kNow + seconds (60))) << "the resend window has passed";
}

}  // namespace
}  // namespace fernlift::dispatch
