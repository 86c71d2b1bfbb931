#include "controller/CellJoiner.h"

#include <optional>
#include <utility>

#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

constexpr base::milliseconds kAskInterval (250);

std::optional<cell::ControllerToRouter> decode (const wire::Frame& frame)
{
    return base::handleErrors (
        [&]() -> base::Result<std::optional<cell::ControllerToRouter>>
        {
            BOOST_LEAF_AUTO (message,
                             wire::decodeMessage<cell::ControllerToRouter> (frame.payload));
            return std::optional (std::move (message));
        },
        [] (const base::Error&) { return std::optional<cell::ControllerToRouter>(); });
}

base::SocketAddress parseOrNone (const std::string& address)
{
    return base::handleErrors ([&] { return base::SocketAddress::parse (address); },
                               [] (const base::Error&) { return base::SocketAddress(); });
}

}  // namespace

CellJoiner::CellJoiner (cell::MemberJoinRequest request, Handlers handlers)
    : request_ (std::move (request)), handlers_ (std::move (handlers))
{
    QObject::connect (&timer_, &QTimer::timeout, &context_, [this] { askIfDue(); });
}

void CellJoiner::start() { timer_.start (kAskInterval); }

void CellJoiner::askIfDue()
{
    connection_.reset();
    if (! handlers_.mustAsk())
    {
        leader_ = {};
        return;
    }
    const base::SocketAddress address = nextAddress();
    if (! address.host.empty())
        connectTo (address);
}

base::SocketAddress CellJoiner::nextAddress()
{
    if (! leader_.host.empty())
        return std::exchange (leader_, {});
    const std::vector<base::SocketAddress> controllers = handlers_.controllers();
    if (controllers.empty())
        return {};
    return controllers[nextIndex_++ % controllers.size()];
}

void CellJoiner::connectTo (const base::SocketAddress& address)
{
    current_ = address;
    wire::FrameConnection::Handlers handlers;
    handlers.onConnected = [this]
    {
        connection_->send (wire::Channel::kRouterToController,
                           wire::encodeMessage (cell::RouterToController (request_)));
    };
    handlers.onFrame = [this] (const wire::Frame& frame) { onFrame (frame); };
    connection_ = wire::FrameConnection::connectTo (address, {}, std::move (handlers), nullptr);
}

void CellJoiner::onFrame (const wire::Frame& frame)
{
    const auto message = decode (frame);
    if (! message)
        return;
    if (const auto* other = std::get_if<cell::NotLeaderReply> (&*message))
    {
        leader_ = parseOrNone (other->leaderAddress);
    }
    else if (std::holds_alternative<cell::MemberJoinReply> (*message))
    {
        leader_ = current_;
        handlers_.onLeaderFound (current_.toString());
    }
}

}  // namespace fernlift::controller
