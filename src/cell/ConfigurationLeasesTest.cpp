#include <gtest/gtest.h>

#include "cell/ConfigurationLeases.h"

namespace fernlift::cell
{
namespace
{

using base::seconds;

class ConfigurationLeasesTest : public ::testing::Test
{
protected:
    base::TimePoint m_now{ seconds (100) };
    ConfigurationLeases m_leases;
};

TEST_F (ConfigurationLeasesTest, ALeaseCoversItsVersionAndLaterOnes)
{
    m_leases.extend (5, m_now + seconds (2), m_now);
    EXPECT_EQ (m_leases.endUpTo (4), base::TimePoint{});
    EXPECT_EQ (m_leases.endUpTo (5), m_now + seconds (2));
    EXPECT_EQ (m_leases.endUpTo (6), m_now + seconds (2));
}

TEST_F (ConfigurationLeasesTest, ALeaseOnALaterVersionDoesNotProlongAnEarlierOne)
{
    m_leases.extend (5, m_now + seconds (2), m_now);
    m_leases.extend (6, m_now + seconds (3), m_now);
    EXPECT_EQ (m_leases.endUpTo (5), m_now + seconds (2));
    EXPECT_TRUE (m_leases.isHeldBelow (6, m_now + seconds (1)));
    EXPECT_FALSE (m_leases.isHeldBelow (6, m_now + seconds (2)));
    EXPECT_TRUE (m_leases.isHeldBelow (7, m_now + seconds (2)));
}

TEST_F (ConfigurationLeasesTest, AnEarlierEndDoesNotShortenALease)
{
    m_leases.extend (5, m_now + seconds (2), m_now);
    m_leases.extend (5, m_now + seconds (1), m_now);
    EXPECT_EQ (m_leases.endUpTo (5), m_now + seconds (2));
}

TEST_F (ConfigurationLeasesTest, RemovesExpiredLeases)
{
    m_leases.extend (5, m_now + seconds (2), m_now);
    m_leases.extend (6, m_now + seconds (4), m_now + seconds (2));
    EXPECT_EQ (m_leases.endUpTo (5), base::TimePoint{});
}

}  // namespace
}  // namespace fernlift::cell
