#include <gtest/gtest.h>

#include "quota/QuotaPool.h"

namespace fernlift::quota
{
namespace
{

constexpr base::TimePoint kStart = base::TimePoint{} + base::seconds (100);

QuotaClaim claim (std::uint64_t units) { return { "farm", units, 0, {}, {} }; }

cell::QuotaGrant grant (std::uint64_t sequence, std::uint64_t units, std::int64_t wait = 0)
{
    return { sequence, { { "farm", units, 500, wait } } };
}

class QuotaPoolTest : public ::testing::Test
{
protected:
    QuotaPool pool{ base::Duration::zero() };
};

TEST_F (QuotaPoolTest, RequestsAClaimOnceAndUsesItsGrant)
{
    QuotaClaim first = claim (10);
    EXPECT_EQ (pool.take (first, kStart), QuotaAnswer::kPending);
    const auto request = pool.takeRequest (kStart);
    ASSERT_TRUE (request);
    EXPECT_EQ (request->needs, (std::vector<cell::QuotaNeed>{ { "farm", { 10 } } }));
    EXPECT_FALSE (pool.takeRequest (kStart));
    EXPECT_EQ (pool.take (first, kStart), QuotaAnswer::kPending);
    pool.onGrant (grant (request->sequence, 10));
    EXPECT_EQ (pool.take (first, kStart), QuotaAnswer::kGranted);
    EXPECT_EQ (first.until, kStart + base::milliseconds (500));
}

TEST_F (QuotaPoolTest, AnAnswerWithoutUnitsRefusesWithARetryDelay)
{
    QuotaClaim first = claim (10);
    static_cast<void> (pool.take (first, kStart));
    pool.onGrant (grant (pool.takeRequest (kStart)->sequence, 0, 700));
    EXPECT_EQ (pool.take (first, kStart), QuotaAnswer::kRefused);
    EXPECT_EQ (pool.waitOf ("farm"), base::milliseconds (700));
}

TEST_F (QuotaPoolTest, AGrantIsReservedForThePendingClaim)
{
    QuotaClaim first = claim (10);
    static_cast<void> (pool.take (first, kStart));
    pool.onGrant (grant (pool.takeRequest (kStart)->sequence, 10));
    QuotaClaim later = claim (10);
    EXPECT_EQ (pool.take (later, kStart), QuotaAnswer::kPending);
    EXPECT_EQ (pool.take (first, kStart), QuotaAnswer::kGranted);
}

TEST_F (QuotaPoolTest, UnitsExpireByTheirLifetimeCountedFromTheRequest)
{
    QuotaClaim first = claim (10);
    static_cast<void> (pool.take (first, kStart));
    pool.onGrant (grant (pool.takeRequest (kStart)->sequence, 10));
    pool.giveUp (first);
    QuotaClaim second = claim (10);
    EXPECT_EQ (pool.take (second, kStart + base::milliseconds (500)), QuotaAnswer::kPending);
    QuotaClaim third = claim (4);
    EXPECT_EQ (pool.take (third, kStart + base::milliseconds (499)), QuotaAnswer::kPending);
}

TEST_F (QuotaPoolTest, RequestsAgainAfterATimeoutAndIgnoresTheLateAnswer)
{
    QuotaClaim first = claim (10);
    static_cast<void> (pool.take (first, kStart));
    const auto lost = pool.takeRequest (kStart);
    const base::TimePoint later = kStart + base::milliseconds (200);
    const auto again = pool.takeRequest (later);
    ASSERT_TRUE (again);
    EXPECT_EQ (again->needs, lost->needs);
    pool.onGrant (grant (lost->sequence, 10));
    EXPECT_EQ (pool.take (first, later), QuotaAnswer::kPending);
    pool.onLinkLost();
    EXPECT_TRUE (pool.takeRequest (later));
}

TEST_F (QuotaPoolTest, DoesNotRequestAClaimThatWasGivenUp)
{
    QuotaClaim first = claim (10);
    static_cast<void> (pool.take (first, kStart));
    pool.giveUp (first);
    EXPECT_FALSE (pool.takeRequest (kStart));
}

}  // namespace
}  // namespace fernlift::quota
