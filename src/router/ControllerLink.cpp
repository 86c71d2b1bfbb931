#include "router/ControllerLink.h"

#include <optional>
#include <utility>

#include "log/Log.h"
#include "wire/Codec.h"

namespace fernlift::router
{

ControllerLink::ControllerLink (std::vector<base::SocketAddress> controllers,
                                std::size_t firstIndex, Handlers handlers)
    : m_controllers (std::move (controllers)),
      m_nextIndex (firstIndex % m_controllers.size()),
      m_handlers (std::move (handlers))
{
}

base::SocketAddress ControllerLink::nextAddress (const std::string& address)
{
    if (auto named = base::SocketAddress::tryParse (address))
        return std::move (*named);
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
    m_connection = wire::FrameConnection::connectTo (nextAddress (address), {},
                                                     std::move (handlers), &m_traffic);
}

void ControllerLink::setControllers (std::vector<base::SocketAddress> controllers)
{
    if (controllers.empty())
        return;
    m_controllers = std::move (controllers);
    m_nextIndex %= m_controllers.size();
}

void ControllerLink::send (const cell::RouterToController& message)
{
    if (! m_connection)
        return;
    m_connection->send (wire::Channel::kRouterToController, wire::encodeMessage (message));
}

void ControllerLink::close() { m_connection.reset(); }

void ControllerLink::onFrame (const wire::Frame& frame)
{
    const auto message = base::handleErrors (
        [&]() -> base::Result<std::optional<cell::ControllerToRouter>>
        {
            if (frame.channel != wire::Channel::kControllerToRouter)
            {
                return base::fail (base::ErrorKind::kMessageInvalid,
                                   "a router does not take this channel");
            }
            BOOST_LEAF_AUTO (decoded,
                             wire::decodeMessage<cell::ControllerToRouter> (frame.payload));
            return std::optional (std::move (decoded));
        },
        [] (const base::Error& error)
        {
            log::write (log::Event::kControllerMessageInvalid, { { "error", error.message } });
            return std::optional<cell::ControllerToRouter>();
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

}  // namespace fernlift::router
