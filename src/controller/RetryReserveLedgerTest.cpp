// Tests of the leader's account of the reserve of retries.

#include <gtest/gtest.h>

#include "controller/RetryReserveLedger.h"

namespace fernlift::controller::test
{
namespace
{

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint kSince (seconds (100));
/// All shares of earlier leaders have ended by then.
constexpr base::TimePoint kSettled = kSince + seconds (60);
constexpr double kMinShare = 0.01;

class RetryReserveLedgerTest : public ::testing::Test
{
protected:
    double request (std::uint64_t holder, double held, base::TimePoint at, bool isShort = false,
                    double minShare = kMinShare)
    {
        const auto grant = m_ledger.answer ({ holder, ++m_sequence, held, minShare, isShort }, at);
        return grant ? grant->share : -1;
    }

    std::uint64_t m_sequence = 0;
    RetryReserveLedger m_ledger{ kSince };
};

TEST_F (RetryReserveLedgerTest, RouterThatComesLaterGetsWhatOthersHaveGivenUp)
{
    m_ledger.setRouters (1);
    EXPECT_DOUBLE_EQ (request (1, 0, kSettled), 1);
    m_ledger.setRouters (2);
    EXPECT_DOUBLE_EQ (request (2, 0, kSettled), 0) << "the first one still holds all";
    EXPECT_DOUBLE_EQ (request (1, 1, kSettled + seconds (1)), 0.5);
    EXPECT_DOUBLE_EQ (request (2, 0, kSettled + seconds (2)), 0) << "its answer may have been lost";
    EXPECT_DOUBLE_EQ (request (1, 0.5, kSettled + seconds (3)), 0.5);
    EXPECT_DOUBLE_EQ (request (2, 0, kSettled + seconds (4)), 0.5);
}

TEST_F (RetryReserveLedgerTest, ShareOfVanishedRouterIsGrantedAfterItsEnd)
{
    m_ledger.setRouters (2);
    EXPECT_DOUBLE_EQ (request (1, 0, kSettled), 0.5);
    EXPECT_DOUBLE_EQ (request (2, 0, kSettled), 0.5);
    m_ledger.setRouters (1);
    EXPECT_DOUBLE_EQ (request (1, 0.5, kSettled + seconds (5)), 0.5);
    EXPECT_DOUBLE_EQ (request (1, 0.5, kSettled + milliseconds (6100)), 1);
}

TEST_F (RetryReserveLedgerTest, NewLeaderRenewsOnlyStatedSharesUntilEarlierOnesHaveEnded)
{
    m_ledger.setRouters (2);
    EXPECT_DOUBLE_EQ (request (1, 0.25, kSince + seconds (1)), 0.25);
    EXPECT_DOUBLE_EQ (request (2, 0, kSince + seconds (6)), 0);
    EXPECT_DOUBLE_EQ (request (2, 0, kSince + milliseconds (6100)), 0.5);
}

TEST_F (RetryReserveLedgerTest, OvertakenRequestIsNotAnswered)
{
    m_ledger.setRouters (1);
    EXPECT_TRUE (m_ledger.answer ({ 1, 2, 0, kMinShare, false }, kSettled));
    EXPECT_FALSE (m_ledger.answer ({ 1, 1, 0, kMinShare, false }, kSettled));
}

TEST_F (RetryReserveLedgerTest, RoutersThatRequestNothingKeepAnEqualShare)
{
    m_ledger.setRouters (4);
    EXPECT_DOUBLE_EQ (request (1, 0, kSettled), 0.25);
    EXPECT_DOUBLE_EQ (m_ledger.sharesInUse (kSettled), 0.25);
}

TEST_F (RetryReserveLedgerTest, RouterThatIsShortGetsTheRetryOfOneThatIsNot)
{
    // Three routers share two retries.
    constexpr double kOneOfTwo = 0.5;
    m_ledger.setRouters (3);
    for (const std::uint64_t holder : { 1U, 2U, 3U })
        EXPECT_DOUBLE_EQ (request (holder, 0, kSettled, false, 2), 0);
    EXPECT_DOUBLE_EQ (request (1, 0, kSettled, false, kOneOfTwo), kOneOfTwo);
    EXPECT_DOUBLE_EQ (request (2, 0, kSettled, false, kOneOfTwo), kOneOfTwo);
    EXPECT_DOUBLE_EQ (request (3, 0, kSettled, true, kOneOfTwo), 0);
    EXPECT_DOUBLE_EQ (request (1, kOneOfTwo, kSettled + seconds (2), true, kOneOfTwo), kOneOfTwo);
    EXPECT_DOUBLE_EQ (request (2, kOneOfTwo, kSettled + seconds (2), false, kOneOfTwo), 0);
    EXPECT_DOUBLE_EQ (request (2, 0, kSettled + seconds (2), false, kOneOfTwo), 0);
    EXPECT_DOUBLE_EQ (request (3, 0, kSettled + seconds (3), true, kOneOfTwo), kOneOfTwo);
}

}  // namespace
}  // namespace fernlift::controller::test
