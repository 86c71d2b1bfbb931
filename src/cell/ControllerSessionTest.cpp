#include <gtest/gtest.h>

#include "cell/ControllerSession.h"

namespace fernlift::cell
{
namespace
{

using base::milliseconds;

class ControllerSessionTest : public ::testing::Test
{
protected:
    /// Address of the connection that is due, if any.
    std::optional<std::string> connectionDue()
    {
        const auto due = m_session.poll (m_now);
        if (! due || ! std::holds_alternative<ConnectController> (*due))
            return std::nullopt;
        return std::get<ConnectController> (*due).address;
    }
    void connect()
    {
        ASSERT_TRUE (connectionDue());
        m_session.onConnected (m_now);
    }

    base::TimePoint m_now{ base::seconds (1) };
    base::Random m_random{ 1 };
    ControllerSession m_session{ m_now, ControllerSession::kShortLeaderWaitAfterLoss };
};

TEST_F (ControllerSessionTest, ConnectsToTheLeaderNamedByAFollower)
{
    connect();
    m_session.onNotLeader ({ "10.0.0.2:7" }, m_now, m_random);
    m_now += milliseconds (10);
    EXPECT_EQ (connectionDue(), "10.0.0.2:7");
}

TEST_F (ControllerSessionTest, StaysForAWhileAtAControllerWithoutALeader)
{
    connect();
    m_session.onNotLeader ({ "" }, m_now, m_random);
    m_now += milliseconds (300);
    EXPECT_EQ (connectionDue(), std::nullopt)
        << "the controller reports the leader as soon as it has one";
    m_session.onNotLeader ({ "10.0.0.3:7" }, m_now, m_random);
    m_now += milliseconds (10);
    EXPECT_EQ (connectionDue(), "10.0.0.3:7");
}

TEST_F (ControllerSessionTest, TriesAnotherControllerIfTheFirstFindsNoLeader)
{
    connect();
    m_session.onNotLeader ({ "" }, m_now, m_random);
    m_now += milliseconds (600);
    EXPECT_EQ (connectionDue(), "");
}

TEST_F (ControllerSessionTest, TriesAnotherControllerAfterAnUnansweredRequest)
{
    connect();
    const auto request = m_session.poll (m_now);
    ASSERT_TRUE (request && std::holds_alternative<LeaseRequest> (*request));
    m_now += milliseconds (599);
    EXPECT_EQ (connectionDue(), std::nullopt);
    m_now += milliseconds (61);
    EXPECT_EQ (connectionDue(), "");
}

TEST_F (ControllerSessionTest, StaysAtALeaderThatSendsMessagesButGrantsNoLease)
{
    connect();
    const auto request = m_session.poll (m_now);
    ASSERT_TRUE (request && std::holds_alternative<LeaseRequest> (*request));
    m_now += milliseconds (500);
    m_session.onMessageReceived (m_now);
    m_now += milliseconds (600);
    EXPECT_EQ (connectionDue(), std::nullopt);
    m_now += milliseconds (60);
    EXPECT_EQ (connectionDue(), "");
}

TEST_F (ControllerSessionTest, RetriesSoonerUntilItHasFoundALeader)
{
    connect();
    m_session.onLost (m_now, m_random);
    m_now += milliseconds (50);
    EXPECT_TRUE (connectionDue());
    m_session.onConnected (m_now);
    const auto request = m_session.poll (m_now);
    ASSERT_TRUE (request && std::holds_alternative<LeaseRequest> (*request));
    m_session.onGrant ({ std::get<LeaseRequest> (*request).sequence, 1, "d", 1, 600, 0 });
    m_session.onLost (m_now, m_random);
    m_now += milliseconds (49);
    EXPECT_FALSE (connectionDue())
        << "the rate of connections to a cell without a leader must be limited";
    m_now += milliseconds (101);
    EXPECT_TRUE (connectionDue());
}

TEST_F (ControllerSessionTest, LeavesControllersWithoutALeaderSoonAfterHavingFoundOne)
{
    connect();
    const auto request = m_session.poll (m_now);
    ASSERT_TRUE (request && std::holds_alternative<LeaseRequest> (*request));
    m_session.onGrant ({ std::get<LeaseRequest> (*request).sequence, 1, "d", 1, 600, 0 });
    const base::TimePoint lostAt = m_now;
    for (int controller = 0; controller < 4; ++controller)
    {
        m_session.onNotLeader ({ "" }, m_now, m_random);
        m_now += milliseconds (150);
        ASSERT_EQ (connectionDue(), "");
        m_session.onConnected (m_now);
    }
    EXPECT_LE (m_now - lostAt, milliseconds (600))
        << "four of nine controllers may be partitioned from the leader";
}

TEST_F (ControllerSessionTest, GivesUpAConnectionThatIsNotEstablished)
{
    ASSERT_TRUE (connectionDue());
    m_now += milliseconds (399);
    EXPECT_EQ (connectionDue(), std::nullopt);
    m_now += milliseconds (1);
    EXPECT_EQ (connectionDue(), "");
}

}  // namespace
}  // namespace fernlift::cell
