#pragma once

/// The connection of a router to a controller. A router has at most one at a time; which controller
/// it connects to is decided by ControllerSession. Runs in the thread of its event loop.

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

    /// `firstIndex` selects the configured address that is tried first, so that routers distribute
    /// themselves over the controllers. With an empty list, connect() needs an address.
    ControllerLink (std::vector<base::SocketAddress> controllers, std::size_t firstIndex,
                    Handlers handlers);

    /// Closes the connection and opens one to `address`, or to the next configured controller if
    /// `address` is empty.
    void connect (const std::string& address);
    /// Replaces the addresses that are tried in turn, beginning with the first. Does nothing if the
    /// list is empty or unchanged.
    void setControllers (std::vector<base::SocketAddress> controllers);
    /// Returns the size of the message in bytes; does nothing and returns 0 without a connection.
    std::size_t send (const RouterToController& message);
    /// Address of the current connection, or of the last one.
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
