// Test support: network faults between one router and all runners. See RunnerLinkTestSupport.h.

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QHostAddress>
#include <QTimer>
#include <utility>

#include "http/HttpTestSupport.h"
#include "lab/RunnerLinkTestSupport.h"
#include "wire/Codec.h"

namespace fernlift::lab::test
{
namespace
{

/// Time for which a connection stays open with LinkFault::kResetsLater.
constexpr std::chrono::milliseconds kTimeToReset (40);

QHostAddress hostAddress (const std::string& host)
{
    return QHostAddress (QString::fromStdString (host));
}

base::SocketAddress listenOrNone (FaultProxy& proxy, PortReservations& ports)
{
    return base::handleErrors (
        [&]() -> base::Result<base::SocketAddress>
        {
            BOOST_LEAF_AUTO (address, ports.reserve());
            return proxy.listen (address);
        },
        [] (const base::Error& error)
        {
            ADD_FAILURE() << error.message;
            return base::SocketAddress();
        });
}

/// Binds a listener with the shortest queue to a port on which connections may still be open.
int listenWithoutQueue (const base::SocketAddress& address)
{
    const int descriptor = ::socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    constexpr int kOn = 1;
    ::setsockopt (descriptor, SOL_SOCKET, SO_REUSEADDR, &kOn, sizeof kOn);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons (address.port);
    target.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    // bind() takes the generic address type.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const auto* const general = reinterpret_cast<const sockaddr*> (&target);
    EXPECT_EQ (::bind (descriptor, general, sizeof target), 0);
    EXPECT_EQ (::listen (descriptor, 0), 0);
    return descriptor;
}

ProxyFaults faultsOf (LinkFault fault)
{
    const bool isAccepting = fault == LinkFault::kNone || fault == LinkFault::kResetsRequests
                             || fault == LinkFault::kSilent;
    const bool isCut = fault == LinkFault::kHangs || fault == LinkFault::kSilent;
    ProxyFaults faults;
    faults.refuses = ! isAccepting;
    faults.toTarget.isCut = faults.toCaller.isCut = isCut;
    if (fault == LinkFault::kResetsRequests)
        faults.toTarget.resetAfterBytes = 1;
    return faults;
}

}  // namespace

std::string toString (LinkFault fault)
{
    switch (fault)
    {
        case LinkFault::kHangs:
            return "Hangs";
        case LinkFault::kResets:
            return "Resets";
        case LinkFault::kRefusesNew:
            return "RefusesNew";
        case LinkFault::kResetsLater:
            return "ResetsLater";
        case LinkFault::kResetsRequests:
            return "ResetsRequests";
        case LinkFault::kSilent:
            return "Silent";
        case LinkFault::kNone:
            break;
    }
    return "None";
}

RunnerLink::RunnerLink (const base::SocketAddress& runner)
    : m_proxy (runner), m_address (listenOrNone (m_proxy, m_ports))
{
    QObject::connect (&m_resetting, &QTcpServer::newConnection, &m_resetting,
                      [this] { acceptAndReset(); });
}

RunnerLink::~RunnerLink() { stopDropping(); }

void RunnerLink::setFault (LinkFault fault)
{
    stopDropping();
    m_resetting.close();
    base::handleErrors ([&] { return m_proxy.setFaults (faultsOf (fault)); },
                        [] (const base::Error& error) { ADD_FAILURE() << error.message; });
    if (fault == LinkFault::kResets || fault == LinkFault::kResetsLater)
        m_proxy.resetConnections();
    if (fault == LinkFault::kHangs)
        startDropping();
    if (fault == LinkFault::kResetsLater)
    {
        EXPECT_TRUE (m_resetting.listen (hostAddress (m_address.host), m_address.port));
    }
}

void RunnerLink::acceptAndReset()
{
    while (QTcpSocket* socket = m_resetting.nextPendingConnection())
    {
        socket->setParent (nullptr);
        QTimer::singleShot (kTimeToReset, socket,
                            [socket]
                            {
                                http::test::resetConnection (*socket);
                                socket->deleteLater();
                            });
    }
}

void RunnerLink::startDropping()
{
    m_droppingListener = listenWithoutQueue (m_address);
    constexpr int kConnections = 3;  // More than the kernel queues with this backlog.
    for (int number = 0; number < kConnections; ++number)
    {
        m_queued.push_back (std::make_unique<QTcpSocket>());
        m_queued.back()->connectToHost (hostAddress (m_address.host), m_address.port);
    }
}

void RunnerLink::stopDropping()
{
    for (const auto& socket : m_queued)
        socket->abort();
    m_queued.clear();
    if (m_droppingListener >= 0)
        ::close (std::exchange (m_droppingListener, -1));
}

/// Forwards the connections of the router to one controller and rewrites what the controller sends.
class RouterNetwork::ControllerPath
{
public:
    ControllerPath (RouterNetwork& network, const std::string& host, base::SocketAddress controller)
        : m_network (network), m_controller (std::move (controller))
    {
        QObject::connect (&m_server, &QTcpServer::newConnection, &m_server,
                          [this]
                          {
                              while (QTcpSocket* socket = m_server.nextPendingConnection())
                                  accept (socket);
                          });
        EXPECT_TRUE (m_server.listen (hostAddress (host), m_controller.port))
            << m_server.errorString().toStdString();
    }

private:
    struct Connection
    {
        std::unique_ptr<wire::FrameConnection> router;
        std::unique_ptr<wire::FrameConnection> controller;
        std::vector<wire::Frame> early;  ///< Received before the controller was connected.
    };

    void accept (QTcpSocket* socket)
    {
        socket->setParent (nullptr);
        m_connections.push_back (std::make_unique<Connection>());
        Connection& connection = *m_connections.back();
        wire::FrameConnection::Handlers fromRouter;
        fromRouter.onFrame = [&connection] (wire::Frame frame)
        {
            if (connection.controller && connection.controller->isOpen())
                connection.controller->send (frame.channel, frame.payload);
            else
                connection.early.push_back (std::move (frame));
        };
        fromRouter.onClosed = [this, &connection] { drop (connection); };
        connection.router = std::make_unique<wire::FrameConnection> (
            std::unique_ptr<QTcpSocket> (socket), wire::FrameConnectionOptions(),
            std::move (fromRouter), nullptr);
        wire::FrameConnection::Handlers fromController;
        fromController.onConnected = [&connection]
        {
            for (const wire::Frame& frame : std::exchange (connection.early, {}))
                connection.controller->send (frame.channel, frame.payload);
        };
        fromController.onFrame = [this, &connection] (const wire::Frame& frame)
        { toRouter (connection, frame); };
        fromController.onClosed = [this, &connection] { drop (connection); };
        connection.controller = wire::FrameConnection::connectTo (
            m_controller, wire::FrameConnectionOptions(), std::move (fromController), nullptr);
    }

    void toRouter (Connection& connection, const wire::Frame& frame)
    {
        auto message = wire::decodeMessage<cell::ControllerToRouter> (frame.payload);
        if (! message)
        {
            ADD_FAILURE() << "a controller sent an unreadable message";
            return;
        }
        m_network.rewrite (message.value());
        connection.router->send (frame.channel, wire::encodeMessage (message.value()));
    }

    /// Closes both sides from the event loop, since one of them is on the call stack.
    void drop (const Connection& closed)
    {
        QTimer::singleShot (0, &m_server,
                            [this, &closed]
                            {
                                std::erase_if (m_connections, [&] (const auto& connection)
                                               { return connection.get() == &closed; });
                            });
    }

    RouterNetwork& m_network;
    base::SocketAddress m_controller;
    std::vector<std::unique_ptr<Connection>> m_connections;
    QTcpServer m_server;
};

RouterNetwork::RouterNetwork (std::uint8_t prefix, std::size_t controllers, std::uint16_t peerPort)
    : m_prefix (prefix)
{
    for (std::size_t number = 0; number < controllers; ++number)
    {
        const base::SocketAddress controller{ "127.0.0." + std::to_string (number + 1), peerPort };
        m_paths.push_back (std::make_unique<ControllerPath> (*this, hostOf (number), controller));
    }
}

RouterNetwork::~RouterNetwork() = default;

std::string RouterNetwork::hostOf (std::size_t controller) const
{
    return "127.0." + std::to_string (m_prefix) + "." + std::to_string (controller + 1);
}

void RouterNetwork::setFault (LinkFault fault)
{
    m_fault = fault;
    for (const auto& [runner, link] : m_links)
        link->setFault (fault);
}

std::string RouterNetwork::linkTo (const std::string& runnerAddress)
{
    std::unique_ptr<RunnerLink>& link = m_links[runnerAddress];
    if (! link)
    {
        const auto runner = base::SocketAddress::tryParse (runnerAddress);
        link = std::make_unique<RunnerLink> (runner.value_or (base::SocketAddress()));
        if (m_fault != LinkFault::kNone)
            link->setFault (m_fault);
    }
    return link->address().toString();
}

std::string RouterNetwork::viewOf (const std::string& controllerAddress) const
{
    const std::string known = "127.0.0.";
    if (! controllerAddress.starts_with (known))
        return controllerAddress;
    return "127.0." + std::to_string (m_prefix) + "." + controllerAddress.substr (known.size());
}

void RouterNetwork::rewrite (cell::ControllerToRouter& message)
{
    if (auto* reply = std::get_if<cell::NotLeaderReply> (&message))
        reply->leaderAddress = viewOf (reply->leaderAddress);
    auto* update = std::get_if<cell::InstanceUpdate> (&message);
    if (update == nullptr)
        return;
    for (cell::RoutableInstance& row : update->upserts)
        row.instance.address = linkTo (row.instance.address);
    for (cell::ControllerEndpoint& controller : update->controllers)
        controller.peerAddress = viewOf (controller.peerAddress);
}

}  // namespace fernlift::lab::test
