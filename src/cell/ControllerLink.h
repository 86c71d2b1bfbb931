#pragma once

/// The router's one connection to a controller.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "cell/RouterMessages.h"
#include "wire/FrameConnection.h"

namespace fernlift::cell
{

class ControllerLink
{
public:
    struct Handlers
    {
        std::function<void()> onConnected;
        std::function<void (const ControllerToRouter&)> onMessage;
        std::function<void()> onLost;
    };

    /// `firstIndex` chooses the first of the configured addresses, so that routers spread. Without
    /// any, only named addresses are connected to.
    ControllerLink (std::vector<base::SocketAddress> controllers, std::size_t firstIndex,
                    Handlers handlers);

    /// Closes the connection and opens one to `address`; empty: the next configured.
    void connect (const std::string& address);
    /// Replaces the addresses that are tried in turn, the first one next; does nothing with an
    /// empty list or the one that is known.
    void setControllers (std::vector<base::SocketAddress> controllers);
    /// Returns the bytes of the message; does nothing without a connection.
    std::size_t send (const RouterToController& message);
    /// Address that the connection goes to, or went to last.
    [[nodiscard]] const base::SocketAddress& address() const { return m_address; }
    void close();
    [[nodiscard]] const wire::FrameTraffic& traffic() const { return m_traffic; }

private:
    [[nodiscard]] base::SocketAddress nextAddress (const std::string& address);
    void onFrame (const wire::Frame& frame);
    void onClosed();

    std::vector<base::SocketAddress> m_controllers;
    std::size_t m_nextIndex;
    base::SocketAddress m_address;
    Handlers m_handlers;
    wire::FrameTraffic m_traffic;
    std::unique_ptr<wire::FrameConnection> m_connection;
};

}  // namespace fernlift::cell
