#include "router/ControllerLink.h"

#include <optional>
#include <utility>

#include "log/Log.h"
#include "wire/Codec.h"

namespace fernlift::router
{

ControllerLink::ControllerLink (std::vector<base::SocketAddress> controllers,
                                std::size_t firstIndex, Handlers handlers)
    : controllers_ (std::move (controllers)),
      nextIndex_ (firstIndex % controllers_.size()),
      handlers_ (std::move (handlers))
{
}

base::SocketAddress ControllerLink::nextAddress (const std::string& address)
{
    auto named = base::handleErrors ([&] { return base::SocketAddress::parse (address); },
                                     [] (const base::Error&) { return base::SocketAddress(); });
    if (! named.host.empty())
        return named;
    base::SocketAddress next = controllers_[nextIndex_];
    nextIndex_ = (nextIndex_ + 1) % controllers_.size();
    return next;
}

void ControllerLink::connect (const std::string& address)
{
    close();
    wire::FrameConnection::Handlers handlers;
    handlers.onConnected = [this] { handlers_.onConnected(); };
    handlers.onFrame = [this] (const wire::Frame& frame) { onFrame (frame); };
    handlers.onClosed = [this] { onClosed(); };
    connection_ = wire::FrameConnection::connectTo (nextAddress (address), {}, std::move (handlers),
                                                    &traffic_);
}

void ControllerLink::setControllers (std::vector<base::SocketAddress> controllers)
{
    if (controllers.empty())
        return;
    controllers_ = std::move (controllers);
    nextIndex_ %= controllers_.size();
}

void ControllerLink::send (const cell::RouterToController& message)
{
    if (! connection_)
        return;
    connection_->send (wire::Channel::kRouterToController, wire::encodeMessage (message));
}

void ControllerLink::close() { connection_.reset(); }

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
        handlers_.onMessage (*message);
    }
    else
    {
        onClosed();
    }
}

void ControllerLink::onClosed()
{
    close();
    handlers_.onLost();
}

}  // namespace fernlift::router
