#include <gtest/gtest.h>

#include "consensus/ConsensusCodec.h"
#include "controller/ControllerTestSupport.h"
#include "controller/PeerListener.h"
#include "controller/PeerTransport.h"
#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

class PeerTransportTest : public testing::Test
{
protected:
    PeerTransportTest()
    {
        ensureApplication();
        startListener ({ "127.0.0.1", 0 });
    }

    void startListener (const base::SocketAddress& address)
    {
        m_listener.reset();
        PeerListener::Handlers handlers;
        handlers.onMemberMessage = [this] (const consensus::Message& message)
        { m_terms.push_back (message.term); };
        handlers.onRouterMessage =
            [this] (RouterConnection connection, const cell::RouterToController& message)
        { m_routerMessages.emplace_back (connection, message.index()); };
        handlers.onRouterDisconnected = [this] (RouterConnection connection)
        { m_disconnected.push_back (connection); };
        m_listener = std::make_unique<PeerListener> (handlers, &m_traffic);
        const auto bound = m_listener->listen (address);
        ASSERT_TRUE (bound);
        m_address = *bound;
    }

    static std::string messageOfTerm (base::Term term)
    {
        return consensus::encode ({ 1, 2, term, consensus::VoteRequest{} });
    }

    ControlTraffic m_traffic;
    std::vector<base::Term> m_terms;
    std::vector<std::pair<RouterConnection, std::size_t>> m_routerMessages;
    std::vector<RouterConnection> m_disconnected;
    base::SocketAddress m_address;
    std::unique_ptr<PeerListener> m_listener;
};

TEST_F (PeerTransportTest, DeliversAllMessagesInOrder)
{
    PeerTransport transport (1);
    for (base::Term term = 1; term <= 20; ++term)
    {
        transport.send (m_address.toString(), messageOfTerm (term));
    }
    ASSERT_TRUE (runUntil ([&] { return m_terms.size() == 20; }));
    EXPECT_TRUE (std::ranges::is_sorted (m_terms));
    EXPECT_NE (m_traffic.metricsText().find (
                   "fernlift_control_messages_total{direction=\"in\",kind=\"vote_request\"} 20"),
               std::string::npos);
}

TEST_F (PeerTransportTest, ReconnectsAfterPeerRestart)
{
    PeerTransport transport (1);
    transport.send (m_address.toString(), messageOfTerm (1));
    ASSERT_TRUE (runUntil ([&] { return m_terms.size() == 1; }));
    startListener (m_address);
    ASSERT_TRUE (runUntil (
        [&]
        {
            transport.send (m_address.toString(), messageOfTerm (2));
            return m_terms.size() >= 2;
        }));
}

TEST_F (PeerTransportTest, DropsMessagesToUnreachableAddress)
{
    const std::string address = m_address.toString();
    m_listener.reset();
    PeerTransport transport (1);
    for (int round = 0; round < 50; ++round)
    {
        transport.send (address, messageOfTerm (1));
        QCoreApplication::processEvents();
    }
    startListener (m_address);
    ASSERT_TRUE (runUntil (
        [&]
        {
            transport.send (address, messageOfTerm (2));
            return ! m_terms.empty();
        }));
    EXPECT_EQ (m_terms.front(), 2U);
}

TEST_F (PeerTransportTest, ReportsRouterConnectionsAndTheirEnd)
{
    std::vector<std::size_t> replies;
    auto router = wire::FrameConnection::connectTo (
        m_address, {},
        { {},
          [&] (const wire::Frame& frame)
          {
              const auto reply = wire::decodeMessage<cell::ControllerToRouter> (frame.payload);
              ASSERT_TRUE (reply);
              replies.push_back (reply->index());
          },
          {} },
        nullptr);
    ASSERT_TRUE (runUntil ([&] { return router->isOpen(); }));
    router->send (wire::Channel::kRouterToController,
                  wire::encodeMessage (cell::RouterToController (cell::LeaseRequest{})));
    ASSERT_TRUE (runUntil ([&] { return m_routerMessages.size() == 1; }));
    const RouterConnection connection = m_routerMessages[0].first;
    m_listener->sendToRouters ({ &connection, 1 }, cell::LeaseGrant{});
    ASSERT_TRUE (runUntil ([&] { return replies.size() == 1; }));
    EXPECT_EQ (replies[0], cell::ControllerToRouter (cell::LeaseGrant{}).index());
    router.reset();
    ASSERT_TRUE (runUntil ([&] { return m_disconnected.size() == 1; }));
    EXPECT_EQ (m_disconnected[0], connection);
}

TEST_F (PeerTransportTest, ClosesConnectionAfterInvalidMessage)
{
    bool isClosed = false;
    auto peer = wire::FrameConnection::connectTo (m_address, {},
                                                  { {}, {}, [&] { isClosed = true; } }, nullptr);
    ASSERT_TRUE (runUntil ([&] { return peer->isOpen(); }));
    peer->send (wire::Channel::kMember, "x");
    EXPECT_TRUE (runUntil ([&] { return isClosed; }));
    EXPECT_EQ (m_listener->openConnections(), 0U);
}

}  // namespace
}  // namespace fernlift::controller
