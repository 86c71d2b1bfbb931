#pragma once

/// The router's one connection to a controller.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "cell/RouterMessages.h"
#include "wire/FrameConnection.h"

namespace fernlift::router
{

class ControllerLink
{
public:
    struct Handlers
    {
        std::function<void()> onConnected;
        std::function<void (const cell::ControllerToRouter&)> onMessage;
        std::function<void()> onLost;
    };

    /// `firstIndex` chooses the first of the configured addresses, so that routers spread.
    ControllerLink (std::vector<base::SocketAddress> controllers, std::size_t firstIndex,
                    Handlers handlers);

    /// Closes the connection and opens one to `address`; empty: the next configured.
    void connect (const std::string& address);
    /// Replaces the addresses that are tried in turn; does nothing with an empty list.
    void setControllers (std::vector<base::SocketAddress> controllers);
    /// Does nothing without a connection.
    void send (const cell::RouterToController& message);
    void close();
    [[nodiscard]] const wire::FrameTraffic& traffic() const { return m_traffic; }

private:
    [[nodiscard]] base::SocketAddress nextAddress (const std::string& address);
    void onFrame (const wire::Frame& frame);
    void onClosed();

    std::vector<base::SocketAddress> m_controllers;
    std::size_t m_nextIndex;
    Handlers m_handlers;
    wire::FrameTraffic m_traffic;
    std::unique_ptr<wire::FrameConnection> m_connection;
};

}  // namespace fernlift::router
