#include <gtest/gtest.h>

#include "routing/RunnerAvailability.h"

namespace fernlift::routing
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (100) };
const cell::Incarnation kRunner{ "i-1", 1000 };

class RunnerAvailabilityTest : public ::testing::Test
{
protected:
    /// Begins attempts at `now` for as long as the runner accepts them, up to `most`.
    std::size_t beginAttempts (base::TimePoint now, std::size_t most = 100)
    {
        std::size_t begun = 0;
        for (; begun < most && m_availability.waitFor (kRunner, now) == base::Duration::zero();
             ++begun)
            m_availability.onAttemptBegin (kRunner, now);
        return begun;
    }

    RunnerAvailability m_availability;
};

TEST_F (RunnerAvailabilityTest, LaterEndOfTwoBackoffsApplies)
{
    EXPECT_TRUE (m_availability.onBackoff (kRunner, base::seconds (3), kStart));
    EXPECT_FALSE (
        m_availability.onBackoff (kRunner, base::seconds (1), kStart + base::seconds (1)));
    EXPECT_EQ (m_availability.waitFor (kRunner, kStart + base::seconds (2)), base::seconds (1));
    m_availability.onBackoff (kRunner, base::seconds (3), kStart + base::seconds (2));
    EXPECT_EQ (m_availability.waitFor (kRunner, kStart + base::seconds (3)), base::seconds (2));
    EXPECT_EQ (m_availability.counters().backoffAnswers, 3U);
}

TEST_F (RunnerAvailabilityTest, SuccessDoesNotEndBackoff)
{
    m_availability.onBackoff (kRunner, base::seconds (3), kStart);
    m_availability.onSuccess (kRunner, kStart, kStart + base::milliseconds (10));
    EXPECT_TRUE (m_availability.isBackingOff (kRunner, kStart + base::seconds (2)));
}

TEST_F (RunnerAvailabilityTest, IgnoresZeroAndUnreadableBackoffs)
{
    EXPECT_FALSE (m_availability.onBackoff (kRunner, {}, kStart));
    m_availability.onUnreadableBackoff (kRunner, "soon", kStart);
    EXPECT_EQ (m_availability.waitFor (kRunner, kStart), base::Duration::zero());
    EXPECT_EQ (m_availability.backingOff (kStart), 0U);
}

TEST_F (RunnerAvailabilityTest, SlowStartGrowsWithSuccessesAndEnds)
{
    m_availability.onBackoff (kRunner, base::seconds (3), kStart);
    const base::TimePoint end = kStart + base::seconds (3);
    EXPECT_EQ (beginAttempts (end), 2U);
    m_availability.onSuccess (kRunner, end, end + base::milliseconds (100));
    m_availability.onSuccess (kRunner, end, end + base::milliseconds (100));
    EXPECT_EQ (beginAttempts (end + base::milliseconds (100)), 4U);
    EXPECT_EQ (beginAttempts (end + base::milliseconds (1200), 1000), 1000U);
}

TEST_F (RunnerAvailabilityTest, SlowStartContinuesWhenAttemptsEndWithoutAnswer)
{
    m_availability.onBackoff (kRunner, base::seconds (3), kStart);
    const base::TimePoint end = kStart + base::seconds (3);
    EXPECT_EQ (beginAttempts (end), 2U);
    EXPECT_EQ (beginAttempts (end + base::milliseconds (499)), 0U);
    EXPECT_EQ (beginAttempts (end + base::milliseconds (500)), 1U);
    EXPECT_EQ (beginAttempts (end + base::seconds (10), 1000), 1000U);
}

TEST_F (RunnerAvailabilityTest, StatementsBelongToOneIncarnation)
{
    m_availability.onBackoff (kRunner, base::seconds (3), kStart);
    m_availability.onLeaving (kRunner, kStart);
    const cell::Incarnation next{ "i-1", 2000 };
    EXPECT_EQ (m_availability.waitFor (next, kStart), base::Duration::zero());
    EXPECT_FALSE (m_availability.isLeaving (next, kStart));
    const cell::Incarnation unreported{ "i-1", 0 };
    EXPECT_EQ (m_availability.waitFor (unreported, kStart), base::seconds (3));
    EXPECT_TRUE (m_availability.isLeaving (unreported, kStart));
}

TEST_F (RunnerAvailabilityTest, ForgetsRunnersWhoseStatementsHaveLapsed)
{
    m_availability.onBackoff (kRunner, base::seconds (3), kStart);
    m_availability.onLeaving ({ "i-2", 0 }, kStart);
    EXPECT_EQ (m_availability.leaving (kStart), 1U);
    m_availability.expire (kStart + base::seconds (601));
    EXPECT_TRUE (m_availability.isEmpty());
}

}  // namespace
}  // namespace fernlift::routing
