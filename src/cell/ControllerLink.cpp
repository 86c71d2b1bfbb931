#include "cell/ControllerLink.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "log/Log.h"
#include "wire/Codec.h"

namespace fernlift::cell
{

ControllerLink::ControllerLink (std::vector<base::SocketAddress> controllers,
                                std::size_t firstIndex, Handlers handlers)
    : m_controllers (std::move (controllers)),
      m_nextIndex (m_controllers.empty() ? 0 : firstIndex % m_controllers.size()),
      m_handlers (std::move (handlers))
{
}

base::SocketAddress ControllerLink::nextAddress (const std::string& address)
{
    if (auto named = base::SocketAddress::tryParse (address))
    {
        // If this connection fails, the next address of the list is tried.
        const auto found = std::ranges::find (m_controllers, *named);
        if (found != m_controllers.end())
            m_nextIndex =
                static_cast<std::size_t> (found - m_controllers.begin() + 1) % m_controllers.size();
        return std::move (*named);
    }
    if (m_controllers.empty())
        return {};
    base::SocketAddress next = m_controllers[m_nextIndex];
    m_nextIndex = (m_nextIndex + 1) % m_controllers.size();
    return next;
}

void ControllerLink::connect (const std::string& address)
{
    close();
    wire::FrameConnection::Handlers handlers;
    handlers.onConnected = [this] { m_handlers.onConnected(); };
    handlers.onFrame = [this] (const wire::Frame& frame) { onFrame (frame); };
    handlers.onClosed = [this] { onClosed(); };
    m_address = nextAddress (address);
    m_connection =
        wire::FrameConnection::connectTo (m_address, {}, std::move (handlers), &m_traffic);
}

void ControllerLink::setControllers (std::vector<base::SocketAddress> controllers)
{
    if (controllers.empty() || controllers == m_controllers)
        return;
    m_controllers = std::move (controllers);
    m_nextIndex = 0;
}

std::size_t ControllerLink::send (const RouterToController& message)
{
    if (! m_connection)
        return 0;
    const std::string bytes = wire::encodeMessage (message);
    m_connection->send (wire::Channel::kRouterToController, bytes);
    return bytes.size();
}

void ControllerLink::close() { m_connection.reset(); }

void ControllerLink::onFrame (const wire::Frame& frame)
{
    const auto message = base::handleErrors (
        [&]() -> base::Result<std::optional<ControllerToRouter>>
        {
            if (frame.channel != wire::Channel::kControllerToRouter)
            {
                return base::fail (base::ErrorKind::kMessageInvalid,
                                   "frame on a channel other than controller-to-router");
            }
            BOOST_LEAF_AUTO (decoded, wire::decodeMessage<ControllerToRouter> (frame.payload));
            return std::optional (std::move (decoded));
        },
        [] (const base::Error& error)
        {
            log::write (log::Event::kControllerMessageInvalid, { { "error", error.message } });
            return std::optional<ControllerToRouter>();
        });
    if (message)
    {
        m_handlers.onMessage (*message);
    }
    else
    {
        onClosed();
    }
}

void ControllerLink::onClosed()
{
    close();
    m_handlers.onLost();
}

}  // namespace fernlift::cell
