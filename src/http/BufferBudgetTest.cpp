// Tests of the bytes that answers may hold in one process.

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "http/BufferBudget.h"

namespace fernlift::http
{
namespace
{

constexpr std::size_t kMaxBytes = 32UL * 1024 * 1024;

using Usages = std::vector<std::unique_ptr<BufferBudget::Usage>>;

/// Lets each of this number of answers take as much as it may.
Usages fillBy (BufferBudget& budget, std::size_t answers)
{
    Usages usages;
    for (std::size_t number = 0; number < answers; ++number)
    {
        usages.push_back (std::make_unique<BufferBudget::Usage> (budget));
        usages.back()->set (budget.maxBytesPerAnswer());
    }
    return usages;
}

TEST (BufferBudgetTest, FewAnswersHoldLongBuffers)
{
    BufferBudget budget (kMaxBytes);
    const Usages usages = fillBy (budget, 10);
    EXPECT_EQ (budget.used(), 10 * BufferBudget::kMaxBytesPerAnswer);
}

TEST (BufferBudgetTest, ManyAnswersHoldNoMoreThanTheirMinimumBeyondTheBudget)
{
    constexpr std::size_t kAnswers = 2000;
    BufferBudget budget (kMaxBytes);
    const Usages usages = fillBy (budget, kAnswers);
    EXPECT_LE (budget.used(), kMaxBytes + kAnswers * BufferBudget::kMinBytesPerAnswer);
}

TEST (BufferBudgetTest, AnswerMayHoldMinimumOfExhaustedBudget)
{
    BufferBudget budget (kMaxBytes);
    BufferBudget::Usage all (budget);
    all.set (kMaxBytes);
    EXPECT_TRUE (budget.isExhausted());
    EXPECT_EQ (budget.maxBytesPerAnswer(), BufferBudget::kMinBytesPerAnswer);
}

TEST (BufferBudgetTest, EndOfUsageFreesItsBytes)
{
    BufferBudget budget (kMaxBytes);
    {
        BufferBudget::Usage usage (budget);
        usage.set (1000);
        usage.set (400);
        EXPECT_EQ (budget.used(), 400U);
    }
    EXPECT_EQ (budget.used(), 0U);
}

}  // namespace
}  // namespace fernlift::http
