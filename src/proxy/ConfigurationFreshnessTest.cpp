#include <gtest/gtest.h>

#include "proxy/ConfigurationFreshness.h"

namespace fernlift::proxy
{
namespace
{

using base::milliseconds;
using base::seconds;

class ConfigurationFreshnessTest : public ::testing::Test
{
protected:
    [[nodiscard]] Freshness after (base::Duration time) const
    {
        return m_freshness.at (m_now + time);
    }

    base::TimePoint m_now{ seconds (100) };
    ConfigurationFreshness m_freshness{ { seconds (1), seconds (10) } };
};

TEST_F (ConfigurationFreshnessTest, ServesUntilTheLeaseAndTheGraceAreOverThenHoldsThenRefuses)
{
    m_freshness.onApplied (m_now);
    m_freshness.onLease (m_now + seconds (2));
    EXPECT_EQ (after (milliseconds (2999)), Freshness::kConfirmed);
    EXPECT_EQ (after (seconds (3)), Freshness::kUnconfirmed);
    EXPECT_EQ (after (milliseconds (3999)), Freshness::kUnconfirmed);
    EXPECT_EQ (after (seconds (4)), Freshness::kExpired);
}

TEST_F (ConfigurationFreshnessTest, AnotherLeaseConfirmsAgain)
{
    m_freshness.onLease (m_now + seconds (2));
    ASSERT_EQ (after (seconds (5)), Freshness::kExpired);
    m_freshness.onLease (m_now + seconds (7));
    EXPECT_EQ (after (seconds (5)), Freshness::kConfirmed);
    m_freshness.onLease (m_now + seconds (1));
    EXPECT_EQ (after (seconds (5)), Freshness::kConfirmed)
        << "a late grant does not shorten the lease";
}

TEST_F (ConfigurationFreshnessTest, TheFirstConfigurationServesForTheGrace)
{
    m_freshness.onApplied (m_now);
    EXPECT_EQ (after (milliseconds (999)), Freshness::kConfirmed);
    EXPECT_EQ (after (seconds (1)), Freshness::kUnconfirmed);
    m_freshness.onApplied (m_now + seconds (5));
    EXPECT_EQ (after (seconds (5)), Freshness::kExpired)
        << "no leader has confirmed the second configuration";
}

TEST_F (ConfigurationFreshnessTest, ARouterThatReachesNoControllerServesLonger)
{
    m_freshness.onLease (m_now);
    for (int attempt = 0; attempt < 3; ++attempt)
        m_freshness.onConnectionTried();
    EXPECT_EQ (after (milliseconds (9999)), Freshness::kConfirmed);
    EXPECT_EQ (after (seconds (10)), Freshness::kUnconfirmed);
    m_freshness.onContact();
    EXPECT_EQ (after (seconds (5)), Freshness::kExpired)
        << "a controller is reachable, but no leader";
}

TEST_F (ConfigurationFreshnessTest, SuspendedProcessDoesNotCountAsIsolated)
{
    m_freshness.onLease (m_now);
    m_freshness.onConnectionTried();
    EXPECT_EQ (after (seconds (5)), Freshness::kExpired);
}

}  // namespace
}  // namespace fernlift::proxy
