#include "controller/PeerListener.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <utility>

#include "consensus/Durable.h"
#include "log/Log.h"
#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

constexpr std::size_t kMaximumConnections = 8192;
constexpr int kListenBacklog = 1024;
/// Routers renew their lease and leaders send heartbeats far more often than this.
constexpr base::Duration kIdleTimeout = base::seconds (60);

}  // namespace

PeerListener::PeerListener (Handlers handlers, ControlTraffic* traffic)
    : handlers_ (std::move (handlers)), traffic_ (traffic)
{
    QObject::connect (&server_, &QTcpServer::newConnection, &server_, [this] { acceptAll(); });
}

base::Result<base::SocketAddress> PeerListener::listen (const base::SocketAddress& address)
{
    server_.setListenBacklogSize (kListenBacklog);
    if (! server_.listen (QHostAddress (QString::fromStdString (address.host)), address.port))
    {
        return base::fail (base::ErrorKind::kConnectionFailed,
                           address.toString() + ": " + server_.errorString().toStdString());
    }
    return base::SocketAddress{ address.host, server_.serverPort() };
}

void PeerListener::sendToRouter (RouterConnection connection,
                                 const cell::ControllerToRouter& message)
{
    const auto found = connections_.find (connection);
    if (found == connections_.end())
        return;
    const std::string payload = wire::encodeMessage (message);
    traffic_->record (Direction::kOut, kindOf (message), payload.size());
    found->second.frames->send (wire::Channel::kControllerToRouter, payload);
}

void PeerListener::acceptAll()
{
    while (QTcpSocket* accepted = server_.nextPendingConnection())
    {
        accepted->setParent (nullptr);
        std::unique_ptr<QTcpSocket> socket (accepted);
        if (connections_.size() >= kMaximumConnections)
            continue;
        const RouterConnection number = ++lastNumber_;
        wire::FrameConnectionOptions options;
        options.idleTimeout = kIdleTimeout;
        wire::FrameConnection::Handlers handlers;
        handlers.onFrame = [this, number] (const wire::Frame& frame) { onFrame (number, frame); };
        handlers.onClosed = [this, number] { forget (number); };
        connections_[number].frames = std::make_unique<wire::FrameConnection> (
            std::move (socket), options, std::move (handlers), nullptr);
    }
}

void PeerListener::onFrame (RouterConnection number, const wire::Frame& frame)
{
    const bool isSound = base::handleErrors (
        [&]() -> base::Result<bool>
        {
            BOOST_LEAF_CHECK (dispatch (number, frame));
            return true;
        },
        [] (const base::Error& error)
        {
            log::write (log::Event::kPeerMessageInvalid, { { "error", error.message } });
            return false;
        });
    if (! isSound)
        forget (number);
}

base::Result<void> PeerListener::dispatch (RouterConnection number, const wire::Frame& frame)
{
    switch (frame.channel)
    {
        case wire::Channel::kMember:
        {
            BOOST_LEAF_AUTO (message, consensus::decode (frame.payload));
            traffic_->record (Direction::kIn, kindOf (message.payload), frame.payload.size());
            handlers_.onMemberMessage (message);
            return {};
        }
        case wire::Channel::kRouterToController:
        {
            BOOST_LEAF_AUTO (message,
                             wire::decodeMessage<cell::RouterToController> (frame.payload));
            traffic_->record (Direction::kIn, kindOf (message), frame.payload.size());
            connections_[number].isRouter = true;
            handlers_.onRouterMessage (number, message);
            return {};
        }
        case wire::Channel::kControllerToRouter:
            break;
    }
    return base::fail (base::ErrorKind::kMessageInvalid, "a controller does not take this channel");
}

void PeerListener::forget (RouterConnection number)
{
    const auto found = connections_.find (number);
    if (found == connections_.end())
        return;
    const bool isRouter = found->second.isRouter;
    connections_.erase (found);
    if (isRouter)
        handlers_.onRouterGone (number);
}

}  // namespace fernlift::controller
