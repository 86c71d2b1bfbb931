// RetryBudget, RetryPolicy and Attempt.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "dispatch/Attempt.h"
#include "dispatch/RetryBudget.h"
#include "dispatch/RetryPolicy.h"

namespace fernlift::dispatch
{
namespace
{

using base::milliseconds;

TEST (RetryBudgetTest, TheReserveIsSpentOnce)
{
    RetryBudget budget (0, 2);
    EXPECT_TRUE (budget.tryRetry());
    EXPECT_TRUE (budget.allowsRetry());
    EXPECT_TRUE (budget.tryRetry());
    EXPECT_FALSE (budget.allowsRetry());
    EXPECT_FALSE (budget.tryRetry());
}

TEST (RetryBudgetTest, WorkThatGoesOnInAnyCaseIsCharged)
{
    RetryBudget budget (0, 1.5);
    budget.chargeRetry();
    EXPECT_FALSE (budget.allowsRetry());
    budget.chargeRetry();
    RetryBudget other (0.5, 0);
    other.chargeRetry();
    other.onFirstAttempt();
    other.onFirstAttempt();
    EXPECT_TRUE (other.tryRetry()) << "a charge below zero is not carried over";
}

// However failures fall, retries stay within the reserve and the share of first attempts.
RC_GTEST_PROP (RetryBudgetProperty, RetriesAreAShareOfFirstAttempts, ())
{
    RetryBudget budget (0.2, 10);
    int first = 0;
    int retries = 0;
    const auto steps = *rc::gen::container<std::vector<bool>> (rc::gen::arbitrary<bool>());
    for (const bool isFirst : steps)
    {
        if (isFirst)
        {
            budget.onFirstAttempt();
            first += 1;
        }
        else if (budget.tryRetry())
        {
            retries += 1;
        }
        RC_ASSERT (retries <= 10 + 0.2 * first + 1e-9);
    }
}

TEST (RetryBudgetTest, AQuietTimeDoesNotSaveUpAStorm)
{
    RetryBudget budget (0.2);
    for (int request = 0; request < 100'000; ++request)
        budget.onFirstAttempt();
    int retries = 0;
    while (budget.tryRetry())
        retries += 1;
    EXPECT_EQ (retries, 100);
}

// What many budgets allow together in any stretch of time, with their parts of one reserve.
RC_GTEST_PROP (RetryBudgetProperty, PartsOfOneReserveKeepABoundTogether, ())
{
    constexpr std::size_t kRouters = 20;
    constexpr double kShare = 0.2;
    constexpr double kReserve = 50;
    std::vector<RetryBudget> budgets (kRouters, RetryBudget (kShare, 10));
    for (RetryBudget& budget : budgets)
    {
        budget.limitReserve (kReserve / kRouters);
        for (int request = 0; request < 1000; ++request)
            budget.onFirstAttempt();
    }
    int first = 0;
    int retries = 0;
    const auto steps = *rc::gen::container<std::vector<std::size_t>> (
        2000, rc::gen::inRange<std::size_t> (0, 4 * kRouters));
    for (const std::size_t step : steps)
    {
        RetryBudget& budget = budgets[step % kRouters];
        if (step < kRouters)
        {
            budget.onFirstAttempt();
            first += 1;
        }
        else if (budget.tryRetry())
        {
            retries += 1;
        }
        RC_ASSERT (retries <= kReserve + kShare * first + 1e-9);
    }
}

RetryQuestion question (AttemptFailure failure, bool isRepeatable)
{
    RetryQuestion asked;
    asked.failure = failure;
    asked.isRepeatable = isRepeatable;
    asked.attemptsMade = 1;
    asked.maximumAttempts = 3;
    return asked;
}

TEST (RetryPolicyTest, OnlyAProvenFailureIsRetriedForARequestThatMayNotBeRepeated)
{
    for (const auto failure : { AttemptFailure::kNotSent, AttemptFailure::kRefused })
    {
        EXPECT_EQ (decideRetry (question (failure, false)), RetryDecision::kRetry);
        EXPECT_NE (errorKindOf (failure, false), base::ErrorKind::kOutcomeUnknown);
    }
    for (const auto failure :
         { AttemptFailure::kBroken, AttemptFailure::kTimedOut, AttemptFailure::kServerFailed })
    {
        EXPECT_EQ (decideRetry (question (failure, false)), RetryDecision::kFail);
        EXPECT_EQ (decideRetry (question (failure, true)), RetryDecision::kRetry);
        EXPECT_EQ (errorKindOf (failure, false), base::ErrorKind::kOutcomeUnknown);
    }
}

TEST (RetryPolicyTest, AnAnswerThatBeganIsResumedOrFails)
{
    RetryQuestion asked = question (AttemptFailure::kBroken, true);
    asked.hasReachedCaller = true;
    EXPECT_EQ (decideRetry (asked), RetryDecision::kFail);
    asked.canResume = true;
    EXPECT_EQ (decideRetry (asked), RetryDecision::kResume);
    asked.attemptsMade = 3;
    EXPECT_EQ (decideRetry (asked), RetryDecision::kFail);
}

TEST (AttemptTest, TheTimeoutMovesWithEachSignOfLife)
{
    const base::TimePoint start (milliseconds (1000));
    Attempt attempt (1, {}, start + milliseconds (500), milliseconds (200));
    EXPECT_EQ (attempt.timeoutAt(), start + milliseconds (500));
    attempt.onHeaders (200, start + milliseconds (400));
    EXPECT_TRUE (attempt.hasHeaders());
    EXPECT_EQ (attempt.timeoutAt(), start + milliseconds (600));
    attempt.onPart (start + milliseconds (590));
    EXPECT_EQ (attempt.timeoutAt(), start + milliseconds (790));
}

}  // namespace
}  // namespace fernlift::dispatch
