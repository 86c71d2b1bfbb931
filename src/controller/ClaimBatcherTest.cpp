#include <gtest/gtest.h>

#include "controller/ClaimBatcher.h"

namespace fernlift::controller
{
namespace
{

using cell::ClaimVerdict;

cell::ClaimRequest requestOf (std::uint64_t sequence, std::size_t claims)
{
    cell::ClaimRequest request{ sequence, {} };
    for (std::size_t number = 0; number < claims; ++number)
    {
        cell::Claim claim;
        claim.key =
            base::IdempotencyKey (std::to_string (sequence) + "-" + std::to_string (number));
        claim.request = base::RequestId ("request");
        request.claims.push_back (claim);
    }
    return request;
}

TEST (ClaimBatcherTest, CombinesClaimsOfAllRoutersIntoOneEntry)
{
    ClaimBatcher batcher;
    EXPECT_FALSE (batcher.add (1, requestOf (10, 2)));
    EXPECT_FALSE (batcher.add (2, requestOf (20, 1)));
    std::uint64_t batch = 0;
    const auto command = batcher.takeClaims (&batch);
    ASSERT_TRUE (command);
    ASSERT_EQ (command->claims.size(), 3U);
    cell::ClaimResult result;
    for (const cell::Claim& claim : command->claims)
    {
        result.answers.push_back ({ claim.key, claim.request, ClaimVerdict::kGranted, 0 });
    }
    const auto replies = batcher.onCommitted (batch, result);
    ASSERT_EQ (replies.size(), 2U);
    EXPECT_EQ (replies[0].source, 1U);
    EXPECT_EQ (replies[0].reply.sequence, 10U);
    EXPECT_EQ (replies[0].reply.answers.size(), 2U);
    EXPECT_EQ (replies[1].reply.answers.at (0).key.value, "20-0");
    EXPECT_TRUE (batcher.onCommitted (batch, result).empty());
}

TEST (ClaimBatcherTest, QueuesClaimsWhileTheMaximumNumberOfBatchesIsInFlight)
{
    ClaimBatcher batcher;
    std::uint64_t batch = 0;
    for (std::size_t number = 0; number < ClaimBatcher::kMaxBatchesInFlight; ++number)
    {
        batcher.add (1, requestOf (number, 1));
        ASSERT_TRUE (batcher.takeClaims (&batch));
    }
    batcher.add (1, requestOf (100, 1));
    batcher.add (1, requestOf (101, 1));
    EXPECT_FALSE (batcher.takeClaims (&batch));
    EXPECT_EQ (batcher.onCommitted (batch, { { {} } }).size(), 1U);
    EXPECT_EQ (batcher.takeClaims (&batch)->claims.size(), 2U);
}

TEST (ClaimBatcherTest, RefusesClaimsWhenTheQueueIsFull)
{
    ClaimBatcher batcher;
    batcher.add (1, requestOf (1, ClaimBatcher::kMaxWaitingClaims));
    const auto refusal = batcher.add (2, requestOf (2, 1));
    ASSERT_TRUE (refusal);
    EXPECT_EQ (refusal->sequence, 2U);
    EXPECT_EQ (refusal->answers.at (0).verdict, ClaimVerdict::kTableFull);
    std::uint64_t batch = 0;
    EXPECT_EQ (batcher.takeClaims (&batch)->claims.size(), ClaimBatcher::kMaxWaitingClaims);
    EXPECT_FALSE (batcher.add (2, requestOf (3, 1)));
}

}  // namespace
}  // namespace fernlift::controller
