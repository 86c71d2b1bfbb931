// Tests of RetryBudget, RetryPolicy and Attempt.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/Random.h"
#include "dispatch/Attempt.h"
#include "dispatch/RetryBudget.h"
#include "dispatch/RetryPolicy.h"

namespace fernlift::dispatch
{
namespace
{

using base::milliseconds;

TEST (RetryBudgetTest, SpendsTheReserveOnce)
{
    RetryBudget budget (0, 2);
    EXPECT_TRUE (budget.tryRetry());
    EXPECT_TRUE (budget.allowsRetry());
    EXPECT_TRUE (budget.tryRetry());
    EXPECT_FALSE (budget.allowsRetry());
    EXPECT_FALSE (budget.tryRetry());
}

TEST (RetryBudgetTest, ChargesUnconditionalRetries)
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

// In any order of attempts and retries, retries stay within the reserve and the share of first
// attempts.
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

TEST (ServiceRetryBudgetsTest, RequestsForOneServiceEarnNoRetriesAtAnother)
{
    ServiceRetryBudgets budgets (1, 0);
    budgets.limitReserve (5);
    for (int request = 0; request < 100; ++request)
        budgets.of ("sound").onFirstAttempt();
    EXPECT_FALSE (budgets.of ("broken").tryRetry());
    budgets.of ("broken").onFirstAttempt();
    EXPECT_EQ (budgets.spent(), 0U);
    EXPECT_TRUE (budgets.of ("broken").tryRetry());
    EXPECT_EQ (budgets.spent(), 1U);
}

TEST (ServiceRetryBudgetsTest, ReserveIsLimitedForServicesThatComeLater)
{
    ServiceRetryBudgets budgets (1, 0);
    budgets.limitReserve (2);
    for (int request = 0; request < 100; ++request)
        budgets.of ("service").onFirstAttempt();
    EXPECT_TRUE (budgets.of ("service").tryRetry());
    EXPECT_TRUE (budgets.of ("service").tryRetry());
    EXPECT_FALSE (budgets.of ("service").tryRetry());
}

// In any period, whichever routers restart, the retries of all routers at a service are a share of
// its first attempts and the common reserve.
RC_GTEST_PROP (ServiceRetryBudgetsProperty, RestartedRoutersStayWithinTheCommonReserve, ())
{
    constexpr double kShare = 0.2;
    constexpr double kReserve = 8;
    constexpr std::uint32_t kRouters = 4;
    const auto startRouter = [&]
    {
        ServiceRetryBudgets budgets (kShare, 0);
        budgets.limitReserve (kReserve / kRouters);
        return budgets;
    };
    std::vector<ServiceRetryBudgets> routers;
    for (std::uint32_t number = 0; number < kRouters; ++number)
        routers.push_back (startRouter());
    base::Random random (*rc::gen::arbitrary<std::uint64_t>());
    // Largest excess of the retries over the share of first attempts in a period that ends now.
    std::map<std::string, double> excess;
    constexpr int kSteps = 2000;
    for (int step = 0; step < kSteps; ++step)
    {
        const auto number = static_cast<std::uint32_t> (random.uniformInteger (0, kRouters - 1));
        const std::string service = random.uniformReal() < 0.5 ? "a" : "b";
        const double draw = random.uniformReal();
        if (draw < 0.02)
        {
            routers[number] = startRouter();
        }
        else if (draw < 0.5)
        {
            routers[number].of (service).onFirstAttempt();
            excess[service] = std::max (excess[service] - kShare, 0.0);
        }
        else if (routers[number].of (service).tryRetry())
        {
            excess[service] += 1;
        }
        RC_ASSERT (excess[service] <= kReserve + 1e-9);
    }
}

TEST (RetryBudgetTest, BoundsTheRetriesSavedUpByFirstAttempts)
{
    RetryBudget budget (0.2);
    for (int request = 0; request < 100'000; ++request)
        budget.onFirstAttempt();
    int retries = 0;
    while (budget.tryRetry())
        retries += 1;
    EXPECT_EQ (retries, 100);
}

// Budgets that have parts of one reserve allow together, in any period, no more retries than the
// reserve and the share of first attempts.
RC_GTEST_PROP (RetryBudgetProperty, PartsOfOneReserveStayWithinItTogether, ())
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

constexpr base::TimePoint kStart (base::seconds (100));

TEST (ServiceRetryBudgetsTest, GrantedReserveEndsWithItsGrant)
{
    ServiceRetryBudgets budgets (1, 0);
    budgets.dropReserve();
    budgets.expire (kStart);
    budgets.grantReserve (5, kStart + base::seconds (6));
    for (int request = 0; request < 100; ++request)
        budgets.of ("service").onFirstAttempt();
    budgets.expire (kStart + base::milliseconds (5999));
    EXPECT_DOUBLE_EQ (budgets.of ("service").balance(), 5);
    budgets.expire (kStart + base::seconds (6));
    EXPECT_FALSE (budgets.of ("service").tryRetry());
    EXPECT_FALSE (budgets.of ("later").tryRetry());
}

TEST (ServiceRetryBudgetsTest, RequestsEarnHalfOfTheShareWithoutReserve)
{
    ServiceRetryBudgets budgets (0.2, 0);
    budgets.dropReserve();
    budgets.expire (kStart);
    int retries = 0;
    for (int request = 0; request < 100; ++request)
    {
        budgets.of ("service").onFirstAttempt();
        retries += budgets.of ("service").tryRetry() ? 1 : 0;
    }
    EXPECT_NEAR (retries, 10, 1);
}

TEST (ServiceRetryBudgetsTest, UnusedRetriesEndWithoutReserve)
{
    ServiceRetryBudgets budgets (1, 0);
    budgets.dropReserve();
    budgets.expire (kStart);
    for (int request = 0; request < 100; ++request)
        budgets.of ("service").onFirstAttempt();
    EXPECT_DOUBLE_EQ (budgets.of ("service").balance(), 1);
    budgets.expire (kStart + base::seconds (5));
    EXPECT_FALSE (budgets.of ("service").tryRetry());
}

RetryContext retryContext (AttemptFailure failure, bool isRepeatable)
{
    RetryContext context;
    context.failure = failure;
    context.isRepeatable = isRepeatable;
    context.attemptsMade = 1;
    context.maximumAttempts = 3;
    return context;
}

TEST (RetryPolicyTest, OnlyAProvenFailureIsRetriedForARequestThatMayNotBeRepeated)
{
    for (const auto failure : { AttemptFailure::kNotSent, AttemptFailure::kRefused })
    {
        EXPECT_EQ (decideRetry (retryContext (failure, false)), RetryDecision::kRetry);
        EXPECT_NE (errorKindOf (failure, false), base::ErrorKind::kOutcomeUnknown);
    }
    for (const auto failure :
         { AttemptFailure::kBroken, AttemptFailure::kTimedOut, AttemptFailure::kServerFailed })
    {
        EXPECT_EQ (decideRetry (retryContext (failure, false)), RetryDecision::kFail);
        EXPECT_EQ (decideRetry (retryContext (failure, true)), RetryDecision::kRetry);
        EXPECT_EQ (errorKindOf (failure, false), base::ErrorKind::kOutcomeUnknown);
    }
}

TEST (RetryPolicyTest, ResumesOrFailsAPartialAnswer)
{
    RetryContext context = retryContext (AttemptFailure::kBroken, true);
    context.hasReachedCaller = true;
    EXPECT_EQ (decideRetry (context), RetryDecision::kFail);
    context.canResume = true;
    EXPECT_EQ (decideRetry (context), RetryDecision::kResume);
    context.attemptsMade = 3;
    EXPECT_EQ (decideRetry (context), RetryDecision::kFail);
}

TEST (AttemptTest, EachPartOfTheAnswerExtendsTheTimeout)
{
    const base::TimePoint start (milliseconds (1000));
    Attempt attempt (1, {}, start, start + milliseconds (500), milliseconds (200));
    EXPECT_EQ (attempt.timeoutAt(), start + milliseconds (500));
    attempt.onHeaders (200, start + milliseconds (400));
    EXPECT_TRUE (attempt.hasHeaders());
    EXPECT_EQ (attempt.timeoutAt(), start + milliseconds (600));
    attempt.onPart (start + milliseconds (590));
    EXPECT_EQ (attempt.timeoutAt(), start + milliseconds (790));
}

}  // namespace
}  // namespace fernlift::dispatch
