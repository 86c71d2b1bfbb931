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
    RouterSession& open (SessionId id) { return sessions_.open (id, {}, now_); }
    /// A lease request of a router that has `version` in force, and the grant.
    void renew (RouterSession& session, std::uint64_t version)
    {
        cell::LeaseRequest request;
        request.configurationVersion = version;
        request.configurationDigest = std::to_string (version);
        sessions_.onLeaseRequest (session, request, inForce_, now_);
        static_cast<void> (sessions_.grant (session, request, inForce_, 1, now_));
    }
    [[nodiscard]] bool isEverywhere() const
    {
        return sessions_.isInForceEverywhere (inForce_, leaderSince_, now_);
    }

    cell::ConfigurationIdentity inForce_{ 2, "2", 0, 1 };
    base::TimePoint leaderSince_{ base::seconds (1) };
    base::TimePoint now_{ base::seconds (100) };
    RouterSessions sessions_{ kLease };
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
    now_ += kLease;
    EXPECT_FALSE (isEverywhere()) << "its clock may be slow";
    now_ += kLease / 50;
    EXPECT_TRUE (isEverywhere());
    renew (open (2), 1);
    sessions_.close (2);
    EXPECT_FALSE (isEverywhere());
    now_ += kLease + kLease / 50;
    EXPECT_TRUE (isEverywhere());
}

TEST_F (RouterSessionsTest, LeasesOfEarlierLeadersCount)
{
    leaderSince_ = now_;
    EXPECT_FALSE (isEverywhere());
    now_ += kLease + kLease / 50;
    EXPECT_TRUE (isEverywhere());
}

TEST_F (RouterSessionsTest, TableIsSentWholeAgainWhenItWasLost)
{
    RouterSession& session = open (1);
    cell::RoutableReplica replica;
    replica.runner = base::RunnerId ("r");
    replica.target = "a";
    const auto first = updateTable (session, { replica }, {}, now_);
    ASSERT_TRUE (first);
    EXPECT_EQ (first->fromVersion, 0U);
    EXPECT_FALSE (updateTable (session, { replica }, {}, now_)) << "nothing changed";
    replica.load = 8;
    EXPECT_EQ (updateTable (session, { replica }, {}, now_)->fromVersion, first->toVersion);
    now_ += base::seconds (3);
    renew (session, 2);  // States table version 0.
    const auto whole = updateTable (session, { replica }, {}, now_);
    ASSERT_TRUE (whole);
    EXPECT_EQ (whole->fromVersion, 0U);
    EXPECT_EQ (updateTable (session, {}, {}, now_)->removals.size(), 1U);
}

}  // namespace
}  // namespace fernlift::controller
