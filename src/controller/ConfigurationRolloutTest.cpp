#include <gtest/gtest.h>

#include "controller/ConfigurationRollout.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;

class ConfigurationRolloutTest : public ::testing::Test
{
protected:
    base::TimePoint m_now{ base::seconds (1) };
    ConfigurationRollout m_rollout;
};

TEST_F (ConfigurationRolloutTest, ReportsDurationOfNewestConfirmedVersion)
{
    m_rollout.onCommitted (4, m_now);
    m_now += milliseconds (100);
    m_rollout.onCommitted (5, m_now);
    m_rollout.onCommitted (7, m_now);
    m_now += milliseconds (50);
    const auto confirmed = m_rollout.onConfirmed (6, m_now);
    ASSERT_TRUE (confirmed);
    EXPECT_EQ (confirmed->version, 5U);
    EXPECT_EQ (confirmed->sinceCommit, milliseconds (50));
    EXPECT_EQ (m_rollout.openVersions(), 1U);
    EXPECT_FALSE (m_rollout.onConfirmed (6, m_now));
}

TEST_F (ConfigurationRolloutTest, ReportsLateVersionOnce)
{
    m_rollout.onCommitted (4, m_now);
    m_now += milliseconds (999);
    EXPECT_FALSE (m_rollout.takeLate (m_now));
    m_now += milliseconds (1);
    const auto late = m_rollout.takeLate (m_now);
    ASSERT_TRUE (late);
    EXPECT_EQ (late->version, 4U);
    EXPECT_EQ (late->sinceCommit, base::seconds (1));
    EXPECT_FALSE (m_rollout.takeLate (m_now));
}

TEST_F (ConfigurationRolloutTest, IgnoresVersionThatIsNotNew)
{
    m_rollout.onCommitted (4, m_now);
    m_rollout.onCommitted (4, m_now + milliseconds (10));
    m_rollout.onCommitted (3, m_now + milliseconds (10));
    EXPECT_EQ (m_rollout.openVersions(), 1U);
}

}  // namespace
}  // namespace fernlift::controller
