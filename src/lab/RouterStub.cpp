#include "lab/RouterStub.h"

#include <utility>
#include <variant>

#include "wire/Codec.h"

namespace fernlift::lab
{
namespace
{

constexpr std::chrono::milliseconds kLeaseInterval (600);
constexpr std::chrono::milliseconds kReconnectPause (50);

}  // namespace

RouterStub::RouterStub (std::string id, std::string cell, Handlers handlers)
    : m_id (std::move (id)), m_cell (std::move (cell)), m_handlers (std::move (handlers))
{
    QObject::connect (&m_leaseTimer, &QTimer::timeout, &m_context, [this] { requestLease(); });
    m_leaseTimer.start (kLeaseInterval);
    QObject::connect (&m_reconnectTimer, &QTimer::timeout, &m_context,
                      [this] { connectTo (m_address); });
    m_reconnectTimer.setSingleShot (true);
}

void RouterStub::connectTo (const base::SocketAddress& controller)
{
    m_address = controller;
    m_isReady = false;
    m_tableVersion = 0;
    wire::FrameConnection::Handlers handlers;
    handlers.onConnected = [this] { sendHello(); };
    handlers.onFrame = [this] (const wire::Frame& frame) { onFrame (frame); };
    handlers.onClosed = [this] { reconnectSoon (m_address); };
    m_connection = wire::FrameConnection::connectTo (controller, {}, std::move (handlers), nullptr);
}

void RouterStub::reconnectSoon (const base::SocketAddress& address)
{
    m_address = address;
    m_reconnectTimer.start (kReconnectPause);
}

void RouterStub::send (const cell::RouterToController& message)
{
    if (! m_connection)
        return;
    m_connection->send (wire::Channel::kRouterToController, wire::encodeMessage (message));
}

void RouterStub::sendHello()
{
    cell::RouterHello hello;
    hello.router = base::RouterId (m_id);
    hello.cell = base::CellId (m_cell);
    hello.zone = base::ZoneName ("z1");
    hello.configurationVersion = m_version;
    hello.configurationDigest = m_digest;
    send (hello);
    requestLease();
}

void RouterStub::requestLease()
{
    if (! m_connection || ! m_connection->isOpen())
        return;
    send (cell::LeaseRequest{ ++m_leaseSequence, m_version, m_digest, m_tableVersion });
}

void RouterStub::onFrame (const wire::Frame& frame)
{
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (message,
                             wire::decodeMessage<cell::ControllerToRouter> (frame.payload));
            std::visit ([this] (const auto& value) { on (value); }, message);
            return {};
        },
        [] (const base::Error&) {});
}

void RouterStub::on (const cell::NotLeaderReply& reply)
{
    const base::SocketAddress next =
        base::handleErrors ([&] { return base::SocketAddress::parse (reply.leaderAddress); },
                            [this] (const base::Error&) { return m_address; });
    reconnectSoon (next);
}

void RouterStub::on (const cell::ConfigurationUpdate& update)
{
    m_version = update.version;
    m_digest = update.digest;
    if (m_handlers.onConfiguration)
        m_handlers.onConfiguration (m_version);
    requestLease();
}

void RouterStub::on (const cell::LeaseGrant& grant)
{
    m_isReady = grant.configurationVersion == m_version;
}

void RouterStub::on (const cell::ReplicaUpdate& update) { m_tableVersion = update.toVersion; }

void RouterStub::on (const cell::ClaimReply& reply)
{
    if (m_handlers.onClaims)
        m_handlers.onClaims (reply);
}

}  // namespace fernlift::lab
