#include <gtest/gtest.h>

#include "controller/RouterSessions.h"

namespace fernlift::controller
{
namespace
{

constexpr base::Duration kLease = base::seconds (2);

class RouterSessionsTest : public ::testing::Test
{
protected:
    RouterSession& open (SessionId id) { return m_sessions.open (id, {}, m_now); }
    /// A lease request of a router that has `version` in force, and the grant.
    void renew (RouterSession& session, std::uint64_t version)
    {
        cell::LeaseRequest request;
        request.configurationVersion = version;
        request.configurationDigest = std::to_string (version);
        m_sessions.onLeaseRequest (session, request, m_inForce, m_now);
        static_cast<void> (m_sessions.grant (session, request, m_inForce, 1, m_now));
    }
    [[nodiscard]] bool isEverywhere() const
    {
        return m_sessions.isInForceEverywhere (m_inForce, m_leaderSince, m_now);
    }

    cell::ConfigurationIdentity m_inForce{ 2, "2", 0, 1 };
    base::TimePoint m_leaderSince{ base::seconds (1) };
    base::TimePoint m_now{ base::seconds (100) };
    RouterSessions m_sessions{ kLease };
};

TEST_F (RouterSessionsTest, InForceOnceEveryRouterSaysSo)
{
    RouterSession& first = open (1);
    RouterSession& second = open (2);
    renew (first, 2);
    renew (second, 1);
    EXPECT_FALSE (isEverywhere());
    renew (second, 2);
    EXPECT_TRUE (isEverywhere());
}

TEST_F (RouterSessionsTest, SilentOrDepartedRouterCountsUntilItsLeaseIsOver)
{
    renew (open (1), 1);
    m_now += kLease;
    EXPECT_FALSE (isEverywhere()) << "its clock may be slow";
    m_now += kLease / 50;
    EXPECT_TRUE (isEverywhere());
    renew (open (2), 1);
    m_sessions.close (2);
    EXPECT_FALSE (isEverywhere());
    m_now += kLease + kLease / 50;
    EXPECT_TRUE (isEverywhere());
}

TEST_F (RouterSessionsTest, LeasesOfEarlierLeadersCount)
{
    m_leaderSince = m_now;
    EXPECT_FALSE (isEverywhere());
    m_now += kLease + kLease / 50;
    EXPECT_TRUE (isEverywhere());
}

TEST_F (RouterSessionsTest, TableIsSentWholeAgainWhenItWasLost)
{
    RouterSession& session = open (1);
    cell::RoutableReplica replica;
    replica.runner = base::RunnerId ("r");
    replica.target = "a";
    const auto first = updateTable (session, { replica }, {}, m_now);
    ASSERT_TRUE (first);
    EXPECT_EQ (first->fromVersion, 0U);
    EXPECT_FALSE (updateTable (session, { replica }, {}, m_now)) << "nothing changed";
    replica.load = 8;
    EXPECT_EQ (updateTable (session, { replica }, {}, m_now)->fromVersion, first->toVersion);
    m_now += base::seconds (3);
    renew (session, 2);  // States table version 0.
    const auto whole = updateTable (session, { replica }, {}, m_now);
    ASSERT_TRUE (whole);
    EXPECT_EQ (whole->fromVersion, 0U);
    EXPECT_EQ (updateTable (session, {}, {}, m_now)->removals.size(), 1U);
}

}  // namespace
}  // namespace fernlift::controller
