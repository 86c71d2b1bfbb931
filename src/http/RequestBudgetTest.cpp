// Tests of the common bound of the requests of all callers.

#include <gtest/gtest.h>

#include "http/RequestBudget.h"

namespace fernlift::http::test
{
namespace
{

constexpr std::size_t kKiB = 1024;

class RequestBudgetTest : public ::testing::Test
{
protected:
    RequestBudget m_budget{ 100 * kKiB };
    int m_refusals = 0;
};

TEST_F (RequestBudgetTest, LargestRequestMakesRoomForOthers)
{
    RequestBudget::Usage large (m_budget,
                                [&]
                                {
                                    ++m_refusals;
                                    large.release();
                                });
    RequestBudget::Usage other (m_budget, [] { FAIL() << "the other one is larger"; });
    EXPECT_TRUE (large.receive (60 * kKiB));
    EXPECT_TRUE (other.receive (30 * kKiB));
    EXPECT_TRUE (other.receive (50 * kKiB));
    EXPECT_EQ (m_refusals, 1);
    EXPECT_EQ (m_budget.used(), 50 * kKiB);
    EXPECT_EQ (m_budget.refused(), 1U);
}

TEST_F (RequestBudgetTest, RequestThatIsTheLargestIsRefusedItself)
{
    RequestBudget::Usage other (m_budget, [] { FAIL() << "it is smaller"; });
    RequestBudget::Usage large (m_budget, [] { FAIL() << "the caller of receive() refuses it"; });
    EXPECT_TRUE (other.receive (30 * kKiB));
    EXPECT_TRUE (large.receive (60 * kKiB));
    EXPECT_FALSE (large.receive (80 * kKiB));
}

TEST_F (RequestBudgetTest, SmallRequestsAreReceivedWhileOpenOnesHoldAll)
{
    RequestBudget::Usage open (m_budget, [] { FAIL() << "it was received whole"; });
    open.hold (120 * kKiB);
    RequestBudget::Usage small (m_budget, [] { FAIL() << "it is small"; });
    EXPECT_TRUE (small.receive (RequestBudget::kMinBytesPerRequest));
    EXPECT_FALSE (small.receive (RequestBudget::kMinBytesPerRequest + 1));
}

TEST_F (RequestBudgetTest, EndedUsageIsFreeAgain)
{
    {
        RequestBudget::Usage usage (m_budget, [] {});
        EXPECT_TRUE (usage.receive (90 * kKiB));
    }
    EXPECT_EQ (m_budget.used(), 0U);
    RequestBudget::Usage usage (m_budget, [] {});
    EXPECT_TRUE (usage.receive (90 * kKiB));
}

}  // namespace
}  // namespace fernlift::http::test
