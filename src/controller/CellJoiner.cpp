#include "controller/CellJoiner.h"

#include <optional>
#include <utility>

#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

constexpr base::milliseconds kRequestInterval (250);

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
    : m_request (std::move (request)), m_handlers (std::move (handlers))
{
    QObject::connect (&m_timer, &QTimer::timeout, &m_context, [this] { requestIfDue(); });
}

void CellJoiner::start() { m_timer.start (kRequestInterval); }

void CellJoiner::requestIfDue()
{
    m_connection.reset();
    if (! m_handlers.mustRequest())
    {
        m_leader = {};
        return;
    }
    const base::SocketAddress address = nextAddress();
    if (! address.host.empty())
        connectTo (address);
}

base::SocketAddress CellJoiner::nextAddress()
{
    if (! m_leader.host.empty())
        return std::exchange (m_leader, {});
    const std::vector<base::SocketAddress> controllers = m_handlers.controllers();
    if (controllers.empty())
        return {};
    return controllers[m_nextIndex++ % controllers.size()];
}

void CellJoiner::connectTo (const base::SocketAddress& address)
{
    m_current = address;
    wire::FrameConnection::Handlers handlers;
    handlers.onConnected = [this]
    {
        m_connection->send (wire::Channel::kRouterToController,
                            wire::encodeMessage (cell::RouterToController (m_request)));
    };
    handlers.onFrame = [this] (const wire::Frame& frame) { onFrame (frame); };
    m_connection = wire::FrameConnection::connectTo (address, {}, std::move (handlers), nullptr);
}

void CellJoiner::onFrame (const wire::Frame& frame)
{
    const auto message = decode (frame);
    if (! message)
        return;
    if (const auto* other = std::get_if<cell::NotLeaderReply> (&*message))
    {
        m_leader = parseOrNone (other->leaderAddress);
    }
    else if (std::holds_alternative<cell::MemberJoinReply> (*message))
    {
        m_leader = m_current;
        m_handlers.onLeaderFound (m_current.toString());
    }
}

}  // namespace fernlift::controller
