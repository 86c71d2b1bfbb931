// Tests that streams which routers record at any controller are known at all of them, and that
// routers of an earlier version receive nothing of it.

#include <gtest/gtest.h>

#include "controller/ControllerCore.h"
#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;
using base::seconds;
using test::TestCell;

constexpr std::size_t kControllers = 3;
constexpr std::size_t kRouters = 4;
/// Index of the router that does not read messages about streams: the last one.
constexpr std::size_t kEarlierRouter = 3;
constexpr base::Duration kLifetime = seconds (60);

/// One router at each of three controllers, of which one leads, and a router of an earlier version.
class ControllerStreamsTest : public ::testing::Test
{
protected:
    ControllerStreamsTest() : m_cell (test::forwardingOptions (kRouters))
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            m_cell.router (number).acceptsLastKnownState = true;
            m_cell.router (number).features =
                number == kEarlierRouter ? 0U : std::uint32_t{ cell::kReadsStreams };
        }
        EXPECT_TRUE (m_cell.awaitLeader());
        connectAll();
        const auto answer =
            m_cell.sendControlRequest (m_cell.leader(), ReplaceConfiguration{ "1 " }, seconds (4));
        EXPECT_TRUE (answer && answer->verdict == ControlVerdict::kDone);
        m_cell.run (seconds (2));
    }

    /// Router 0 connects to the leader, the others to controllers that do not lead.
    void connectAll()
    {
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.reconnect (number, (m_cell.leader() + number - 1) % kControllers + 1);
    }
    void record (std::size_t router, const std::string& key)
    {
        m_cell.sendFromRouter (router, cell::StreamRecords{ { { key, "v1", kLifetime } } });
        m_cell.run (milliseconds (500));
    }
    /// Returns the version that the router's controller states; empty if it does not know the
    /// stream, none without an answer.
    std::optional<std::string> lookUp (std::size_t router, const std::string& key)
    {
        m_cell.router (router).streamReplies.clear();
        m_cell.sendFromRouter (router, cell::StreamLookup{ ++m_sequence, { key } });
        m_cell.run (milliseconds (300));
        for (const cell::StreamLookupReply& reply : m_cell.router (router).streamReplies)
        {
            if (reply.sequence == m_sequence)
                return reply.streams.empty() ? "" : reply.streams.front().softwareVersion;
        }
        return std::nullopt;
    }

    TestCell m_cell;
    std::uint64_t m_sequence = 0;
};

TEST_F (ControllerStreamsTest, StreamRecordedAtAnyControllerIsKnownAtAllOfThem)
{
    for (std::size_t recorder = 0; recorder < kControllers; ++recorder)
    {
        const std::string key = "stream-" + std::to_string (recorder);
        record (recorder, key);
        for (std::size_t router = 0; router < kControllers; ++router)
            EXPECT_EQ (lookUp (router, key), "v1") << recorder << ' ' << router;
    }
}

TEST_F (ControllerStreamsTest, StreamIsStillKnownAfterItsControllerOrTheLeaderWasKilled)
{
    record (0, "at-leader");
    record (1, "at-relay");
    m_cell.kill (m_cell.leader());
    ASSERT_TRUE (m_cell.awaitLeader());
    for (std::size_t number = 0; number < kRouters; ++number)
        m_cell.reconnect (number, m_cell.leader());
    m_cell.run (seconds (1));
    EXPECT_EQ (lookUp (0, "at-leader"), "v1");
    EXPECT_EQ (lookUp (0, "at-relay"), "v1");
}

TEST_F (ControllerStreamsTest, RestartedControllerAsksTheLeader)
{
    record (0, "stream");
    const base::MemberId other = m_cell.leader() % kControllers + 1;
    m_cell.kill (other);
    m_cell.restart (other);
    m_cell.reconnect (1, other);
    m_cell.run (seconds (2));
    EXPECT_EQ (lookUp (1, "stream"), "v1");
}

TEST_F (ControllerStreamsTest, UnknownStreamIsAnsweredAtOnce)
{
    for (std::size_t router = 0; router < kControllers; ++router)
        EXPECT_EQ (lookUp (router, "never recorded"), "") << router;
}

TEST_F (ControllerStreamsTest, StreamIsForgottenAfterItsLifetime)
{
    record (1, "stream");
    m_cell.run (kLifetime);
    EXPECT_EQ (lookUp (0, "stream"), "");
    EXPECT_EQ (lookUp (1, "stream"), "");
}

TEST_F (ControllerStreamsTest, OnlyRoutersThatReadStreamsAreToldThatTheyAreKept)
{
    record (0, "stream");
    for (std::size_t number = 0; number < kRouters; ++number)
        EXPECT_EQ (m_cell.router (number).streamRecords.empty(), number == kEarlierRouter)
            << number;
}

}  // namespace
}  // namespace fernlift::controller
