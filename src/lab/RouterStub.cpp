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
    : id_ (std::move (id)), cell_ (std::move (cell)), handlers_ (std::move (handlers))
{
    QObject::connect (&leaseTimer_, &QTimer::timeout, &context_, [this] { requestLease(); });
    leaseTimer_.start (kLeaseInterval);
    QObject::connect (&reconnectTimer_, &QTimer::timeout, &context_,
                      [this] { connectTo (address_); });
    reconnectTimer_.setSingleShot (true);
}

void RouterStub::connectTo (const base::SocketAddress& controller)
{
    address_ = controller;
    isReady_ = false;
    tableVersion_ = 0;
    wire::FrameConnection::Handlers handlers;
    handlers.onConnected = [this] { sendHello(); };
    handlers.onFrame = [this] (const wire::Frame& frame) { onFrame (frame); };
    handlers.onClosed = [this] { reconnectSoon (address_); };
    connection_ = wire::FrameConnection::connectTo (controller, {}, std::move (handlers), nullptr);
}

void RouterStub::reconnectSoon (const base::SocketAddress& address)
{
    address_ = address;
    reconnectTimer_.start (kReconnectPause);
}

void RouterStub::send (const cell::RouterToController& message)
{
    if (! connection_)
        return;
    connection_->send (wire::Channel::kRouterToController, wire::encodeMessage (message));
}

void RouterStub::sendHello()
{
    cell::RouterHello hello;
    hello.router = base::RouterId (id_);
    hello.cell = base::CellId (cell_);
    hello.zone = base::ZoneName ("z1");
    hello.configurationVersion = version_;
    hello.configurationDigest = digest_;
    send (hello);
    requestLease();
}

void RouterStub::requestLease()
{
    if (! connection_ || ! connection_->isOpen())
        return;
    send (cell::LeaseRequest{ ++leaseSequence_, version_, digest_, tableVersion_ });
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
                            [this] (const base::Error&) { return address_; });
    reconnectSoon (next);
}

void RouterStub::on (const cell::ConfigurationUpdate& update)
{
    version_ = update.version;
    digest_ = update.digest;
    if (handlers_.onConfiguration)
        handlers_.onConfiguration (version_);
    requestLease();
}

void RouterStub::on (const cell::LeaseGrant& grant)
{
    isReady_ = grant.configurationVersion == version_;
}

void RouterStub::on (const cell::ReplicaUpdate& update) { tableVersion_ = update.toVersion; }

void RouterStub::on (const cell::ClaimReply& reply)
{
    if (handlers_.onClaims)
        handlers_.onClaims (reply);
}

}  // namespace fernlift::lab
