#pragma once

/// Listener on the peer port, for connections of other members and of routers.

#include <QTcpServer>
#include <functional>
#include <map>
#include <memory>

#include "base/SocketAddress.h"
#include "cell/RouterMessages.h"
#include "consensus/Messages.h"
#include "controller/ControlTraffic.h"
#include "controller/ControllerCore.h"
#include "wire/FrameConnection.h"

namespace fernlift::controller
{

/// Decodes incoming messages and passes them to the handlers. A connection that sends a message
/// that cannot be decoded is closed. Runs on the thread of the Qt event loop.
class PeerListener
{
public:
    struct Handlers
    {
        std::function<void (const consensus::Message& message)> onMemberMessage;
        std::function<void (RouterConnection connection, const cell::RouterToController& message)>
            onRouterMessage;
        std::function<void (RouterConnection connection)> onRouterDisconnected;
    };

    /// `traffic` must outlive the listener.
    PeerListener (Handlers handlers, ControlTraffic* traffic);

    /// Starts to listen; port 0 lets the system choose. Returns the address with the real port;
    /// fails with kConnectionFailed.
    base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    /// Sends one message to each of the routers; closed connections are skipped.
    void sendToRouters (std::span<const RouterConnection> connections,
                        const cell::ControllerToRouter& message);
    [[nodiscard]] std::size_t openConnections() const { return m_connections.size(); }

private:
    struct Connection
    {
        std::unique_ptr<wire::FrameConnection> frames;
        bool isRouter = false;
    };

    void acceptAll();
    void onFrame (RouterConnection number, const wire::Frame& frame);
    /// Decodes one frame and passes it to its handler; fails with kMessageInvalid.
    base::Result<void> dispatch (RouterConnection number, const wire::Frame& frame);
    void forget (RouterConnection number);

    Handlers m_handlers;
    ControlTraffic* m_traffic;
    RouterConnection m_lastNumber = 0;
    std::map<RouterConnection, Connection> m_connections;
    QTcpServer m_server;
};

}  // namespace fernlift::controller
