#include <gtest/gtest.h>

#include "consensus/Durable.h"
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
        listener_.reset();
        PeerListener::Handlers handlers;
        handlers.onMemberMessage = [this] (const consensus::Message& message)
        { terms_.push_back (message.term); };
        handlers.onRouterMessage =
            [this] (RouterConnection connection, const cell::RouterToController& message)
        { routerMessages_.emplace_back (connection, message.index()); };
        handlers.onRouterGone = [this] (RouterConnection connection)
        { gone_.push_back (connection); };
        listener_ = std::make_unique<PeerListener> (handlers, &traffic_);
        const auto bound = listener_->listen (address);
        ASSERT_TRUE (bound);
        address_ = *bound;
    }

    static std::string messageOfTerm (base::Term term)
    {
        return consensus::encode ({ 1, 2, term, consensus::VoteRequest{} });
    }

    ControlTraffic traffic_;
    std::vector<base::Term> terms_;
    std::vector<std::pair<RouterConnection, std::size_t>> routerMessages_;
    std::vector<RouterConnection> gone_;
    base::SocketAddress address_;
    std::unique_ptr<PeerListener> listener_;
};

TEST_F (PeerTransportTest, deliversInOrderFromTheFirstMessageOn)
{
    PeerTransport transport (1);
    for (base::Term term = 1; term <= 20; ++term)
    {
        transport.send (address_.toString(), messageOfTerm (term));
    }
    ASSERT_TRUE (runUntil ([&] { return terms_.size() == 20; }));
    EXPECT_TRUE (std::ranges::is_sorted (terms_));
    EXPECT_NE (traffic_.metricsText().find (
                   "fernlift_control_messages_total{direction=\"in\",kind=\"vote_request\"} 20"),
               std::string::npos);
}

TEST_F (PeerTransportTest, connectsAgainAfterThePeerRestarts)
{
    PeerTransport transport (1);
    transport.send (address_.toString(), messageOfTerm (1));
    ASSERT_TRUE (runUntil ([&] { return terms_.size() == 1; }));
    startListener (address_);
    ASSERT_TRUE (runUntil (
        [&]
        {
            transport.send (address_.toString(), messageOfTerm (2));
            return terms_.size() >= 2;
        }));
}

TEST_F (PeerTransportTest, dropsMessagesToAnAddressThatCannotBeReached)
{
    const std::string address = address_.toString();
    listener_.reset();
    PeerTransport transport (1);
    for (int round = 0; round < 50; ++round)
    {
        transport.send (address, messageOfTerm (1));
        QCoreApplication::processEvents();
    }
    startListener (address_);
    ASSERT_TRUE (runUntil (
        [&]
        {
            transport.send (address, messageOfTerm (2));
            return ! terms_.empty();
        }));
    EXPECT_EQ (terms_.front(), 2U);
}

TEST_F (PeerTransportTest, tellsRoutersFromMembersAndReportsTheirEnd)
{
    std::vector<std::size_t> replies;
    auto router = wire::FrameConnection::connectTo (
        address_, {},
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
    ASSERT_TRUE (runUntil ([&] { return routerMessages_.size() == 1; }));
    const RouterConnection connection = routerMessages_[0].first;
    listener_->sendToRouter (connection, cell::LeaseGrant{});
    ASSERT_TRUE (runUntil ([&] { return replies.size() == 1; }));
    EXPECT_EQ (replies[0], cell::ControllerToRouter (cell::LeaseGrant{}).index());
    router.reset();
    ASSERT_TRUE (runUntil ([&] { return gone_.size() == 1; }));
    EXPECT_EQ (gone_[0], connection);
}

TEST_F (PeerTransportTest, closesAConnectionThatSendsDamagedMessages)
{
    bool isClosed = false;
    auto peer = wire::FrameConnection::connectTo (address_, {},
                                                  { {}, {}, [&] { isClosed = true; } }, nullptr);
    ASSERT_TRUE (runUntil ([&] { return peer->isOpen(); }));
    peer->send (wire::Channel::kMember, "x");
    EXPECT_TRUE (runUntil ([&] { return isClosed; }));
    EXPECT_EQ (listener_->openConnections(), 0U);
}

}  // namespace
}  // namespace fernlift::controller
