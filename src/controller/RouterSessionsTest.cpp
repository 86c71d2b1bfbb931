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
    /// Opens a session, by default for a router that no other session has.
    RouterSession& open (SessionId id, const std::string& router = "")
    {
        cell::RouterHello hello;
        hello.router = base::RouterId (router.empty() ? "r" + std::to_string (id) : router);
        return m_sessions.open (id, hello, m_now);
    }
    /// Handles a lease request of a router that has `version` in force, and grants it.
    void renew (RouterSession& session, std::uint64_t version)
    {
        cell::LeaseRequest request;
        request.configurationVersion = version;
        request.configurationDigest = std::to_string (version);
        m_sessions.onLeaseRequest (session, request, 1, m_now);
        static_cast<void> (m_sessions.grant (session, request, m_inForce, 1, kLease, m_now));
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

TEST_F (RouterSessionsTest, InForceOnceEveryRouterReportsIt)
{
    RouterSession& first = open (1);
    RouterSession& second = open (2);
    renew (first, 2);
    renew (second, 1);
    EXPECT_FALSE (isEverywhere());
    renew (second, 2);
    EXPECT_TRUE (isEverywhere());
}

TEST_F (RouterSessionsTest, SilentOrDisconnectedRouterCountsUntilItsLeaseExpires)
{
    renew (open (1), 1);
    m_now += kLease;
    EXPECT_FALSE (isEverywhere()) << "the clock of the router may be slow";
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

TEST_F (RouterSessionsTest, ALeaseOutlivesTheConnectionOnWhichItWasGranted)
{
    renew (open (1, "a"), 1);
    m_inForce = { 3, "3", 0, 2 };
    open (2, "a");
    EXPECT_FALSE (isEverywhere()) << "the router may use version 2 until its lease expires";
    m_sessions.close (1);
    EXPECT_FALSE (isEverywhere());
    m_sessions.close (2);
    EXPECT_FALSE (isEverywhere());
    renew (open (3, "a"), 3);
    EXPECT_TRUE (isEverywhere())
        << "the router reported the newest version on its newest connection";
}

TEST_F (RouterSessionsTest, RequestsOfARouterThatIsBehindDoNotExtendItsEarlierVersion)
{
    RouterSession& session = open (1);
    renew (session, 1);  // Granted for version 2, which is in force.
    m_inForce = { 3, "3", 0, 2 };
    const base::TimePoint grantedAt = m_now;
    while (m_now < grantedAt + kLease + kLease / 50)
    {
        EXPECT_FALSE (isEverywhere());
        renew (session, 1);  // Still reports version 1, but its leases are for version 3 now.
        m_now += base::milliseconds (100);
    }
    EXPECT_TRUE (isEverywhere());
}

TEST_F (RouterSessionsTest, ConfirmsEarlierVersionsBeforeTheNewest)
{
    RouterSession& first = open (1);
    RouterSession& second = open (2);
    renew (first, 2);
    renew (second, 2);
    m_inForce = { 5, "5", 0, 2 };
    EXPECT_EQ (m_sessions.confirmedVersion (5, m_leaderSince, m_now), 2U);
    renew (first, 4);
    renew (second, 3);
    EXPECT_EQ (m_sessions.confirmedVersion (5, m_leaderSince, m_now), 3U);
}

TEST_F (RouterSessionsTest, SendsARouterOneConfigurationAtATime)
{
    RouterSession& session = open (1);
    renew (session, 1);
    EXPECT_TRUE (m_sessions.needsConfiguration (session, m_inForce, m_now));
    session.sentVersion = 2;
    session.configurationSentAt = m_now;
    m_inForce = { 5, "5", 0, 2 };
    EXPECT_FALSE (m_sessions.needsConfiguration (session, m_inForce, m_now))
        << "version 2 is on the way";
    renew (session, 1);
    EXPECT_FALSE (m_sessions.needsConfiguration (session, m_inForce, m_now));
    renew (session, 2);
    EXPECT_TRUE (m_sessions.needsConfiguration (session, m_inForce, m_now))
        << "the router skips to version 5";
}

TEST_F (RouterSessionsTest, SendsTheWholeConfigurationAtOnceAfterAChangeThatDidNotFit)
{
    RouterSession& session = open (1);
    renew (session, 1);
    session.sentVersion = 2;
    session.configurationSentAt = m_now;
    cell::LeaseRequest request;
    request.configurationVersion = 1;
    request.needsWholeConfiguration = true;
    m_sessions.onLeaseRequest (session, request, 1, m_now);
    EXPECT_TRUE (m_sessions.needsConfiguration (session, m_inForce, m_now));
    EXPECT_TRUE (session.needsWholeConfiguration);
}

TEST_F (RouterSessionsTest, SendsNothingToARouterWithALaterVersion)
{
    RouterSession& session = open (1);
    renew (session, 3);
    EXPECT_FALSE (m_sessions.needsConfiguration (session, m_inForce, m_now));
}

TEST_F (RouterSessionsTest, ResendsTheWholeTableWhenItWasLost)
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
    renew (session, 2);  // Reports table version 0.
    const auto whole = updateTable (session, { replica }, {}, m_now);
    ASSERT_TRUE (whole);
    EXPECT_EQ (whole->fromVersion, 0U);
    EXPECT_EQ (updateTable (session, {}, {}, m_now)->removals.size(), 1U);
}

}  // namespace
}  // namespace fernlift::controller
