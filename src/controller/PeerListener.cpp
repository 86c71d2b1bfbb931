#include "controller/PeerListener.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <utility>

#include "consensus/ConsensusCodec.h"
#include "log/Log.h"
#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

constexpr std::size_t kMaxConnections = 8192;
constexpr int kListenBacklog = 1024;
/// Time without messages after which a connection is closed. Lease renewals of routers and
/// heartbeats of leaders arrive far more often.
constexpr base::Duration kIdleTimeout = base::seconds (60);

}  // namespace

PeerListener::PeerListener (Handlers handlers, ControlTraffic* traffic)
    : m_handlers (std::move (handlers)), m_traffic (traffic)
{
    QObject::connect (&m_server, &QTcpServer::newConnection, &m_server, [this] { acceptAll(); });
}

base::Result<base::SocketAddress> PeerListener::listen (const base::SocketAddress& address)
{
    m_server.setListenBacklogSize (kListenBacklog);
    if (! m_server.listen (QHostAddress (QString::fromStdString (address.host)), address.port))
    {
        return base::fail (base::ErrorKind::kConnectionFailed,
                           address.toString() + ": " + m_server.errorString().toStdString());
    }
    return base::SocketAddress{ address.host, m_server.serverPort() };
}

void PeerListener::sendToRouters (std::span<const RouterConnection> connections,
                                  const cell::ControllerToRouter& message)
{
    constexpr wire::Channel kChannel = wire::Channel::kControllerToRouter;
    const std::string frame = wire::encodeFrame (kChannel, wire::encodeMessage (message));
    for (const RouterConnection connection : connections)
    {
        const auto found = m_connections.find (connection);
        if (found == m_connections.end())
            continue;
        m_traffic->record (Direction::kOut, kindOf (message), frame.size());
        found->second.frames->sendFrame (kChannel, frame);
    }
}

void PeerListener::acceptAll()
{
    while (QTcpSocket* accepted = m_server.nextPendingConnection())
    {
        accepted->setParent (nullptr);
        std::unique_ptr<QTcpSocket> socket (accepted);
        if (m_connections.size() >= kMaxConnections)
            continue;
        const RouterConnection number = ++m_lastNumber;
        wire::FrameConnectionOptions options;
        options.idleTimeout = kIdleTimeout;
        wire::FrameConnection::Handlers handlers;
        handlers.onFrame = [this, number] (const wire::Frame& frame) { onFrame (number, frame); };
        handlers.onClosed = [this, number] { forget (number); };
        m_connections[number].frames = std::make_unique<wire::FrameConnection> (
            std::move (socket), options, std::move (handlers), nullptr);
    }
}

void PeerListener::onFrame (RouterConnection number, const wire::Frame& frame)
{
    const bool isValid = base::handleErrors (
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
    if (! isValid)
        forget (number);
}

base::Result<void> PeerListener::dispatch (RouterConnection number, const wire::Frame& frame)
{
    switch (frame.channel)
    {
        case wire::Channel::kMember:
        {
            BOOST_LEAF_AUTO (message, consensus::decode (frame.payload));
            m_traffic->record (Direction::kIn, kindOf (message.payload), frame.payload.size());
            m_handlers.onMemberMessage (message);
            return {};
        }
        case wire::Channel::kRouterToController:
        {
            BOOST_LEAF_AUTO (message,
                             wire::decodeMessage<cell::RouterToController> (frame.payload));
            m_traffic->record (Direction::kIn, kindOf (message), frame.payload.size());
            m_connections[number].isRouter = true;
            m_handlers.onRouterMessage (number, message);
            return {};
        }
        case wire::Channel::kControllerToRouter:
            break;
    }
    return base::fail (base::ErrorKind::kMessageInvalid,
                       "a controller does not receive on this channel");
}

void PeerListener::forget (RouterConnection number)
{
    const auto found = m_connections.find (number);
    if (found == m_connections.end())
        return;
    const bool isRouter = found->second.isRouter;
    m_connections.erase (found);
    if (isRouter)
        m_handlers.onRouterDisconnected (number);
}

}  // namespace fernlift::controller
