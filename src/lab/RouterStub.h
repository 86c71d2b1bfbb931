#pragma once

/// A router reduced to its connection with the leader: real frames, leases and claims, but no
/// callers.

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "cell/RouterMessages.h"
#include "wire/FrameConnection.h"

namespace fernlift::lab
{

/// Renews its lease and acknowledges configurations. Belongs to the thread of its Qt event loop.
class RouterStub
{
public:
    struct Handlers
    {
        /// Called when a configuration has come into force at this stub.
        std::function<void (std::uint64_t version)> onConfiguration;
        std::function<void (const cell::ClaimReply& reply)> onClaims;
    };

    RouterStub (std::string id, std::string cell, Handlers handlers);

    /// Connects to the peer address of a controller, and then to the leader that it names.
    void connectTo (const base::SocketAddress& controller);
    /// True once the stub has received a lease.
    [[nodiscard]] bool isReady() const { return m_isReady; }
    [[nodiscard]] std::uint64_t configurationVersion() const { return m_version; }
    [[nodiscard]] const std::string& id() const { return m_id; }
    void send (const cell::RouterToController& message);

private:
    void sendHello();
    void requestLease();
    void onFrame (const wire::Frame& frame);
    void on (const cell::NotLeaderReply& reply);
    void on (const cell::ConfigurationUpdate& update);
    void on (const cell::LeaseGrant& grant);
    void on (const cell::ReplicaUpdate& update);
    void on (const cell::ClaimReply& reply);
    // The stub ignores messages about registered services and joining members.
    void on (const cell::InstanceUpdate& /*update*/) {}
    void on (const cell::MemberJoinReply& /*reply*/) {}
    void on (const cell::QuotaGrant& /*grant*/) {}
    void on (const cell::SuspectUpdate& /*update*/) {}
    void on (const cell::SuspectReport& /*report*/) {}
    void on (const cell::InstanceLoadUpdate& /*update*/) {}
    void on (const cell::InstanceRateUpdate& /*update*/) {}
    void on (const cell::InstancePermitGrant& /*grant*/) {}
    void on (const cell::RouterPeers& /*peers*/) {}
    void on (const cell::RetryReserveGrants& /*grants*/) {}
    void on (const cell::StreamRecords& /*records*/) {}
    void on (const cell::StreamLookupReply& /*reply*/) {}
    void on (const cell::BrittleServices& /*services*/) {}
    void on (const cell::SlotGrants& /*grants*/) {}
    void reconnectSoon (const base::SocketAddress& address);

    std::string m_id;
    std::string m_cell;
    Handlers m_handlers;
    base::SocketAddress m_address;
    std::uint64_t m_version = 0;
    std::string m_digest;
    std::uint64_t m_tableVersion = 0;
    std::uint64_t m_leaseSequence = 0;
    bool m_isReady = false;
    QObject m_context;
    QTimer m_leaseTimer;
    QTimer m_reconnectTimer;
    std::unique_ptr<wire::FrameConnection> m_connection;
};

}  // namespace fernlift::lab
