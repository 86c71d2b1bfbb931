#include "controller/PeerTransport.h"

#include <QTimer>
#include <algorithm>
#include <utility>

#include "base/SocketAddress.h"

namespace fernlift::controller
{
namespace
{

constexpr base::Duration kFirstBackoff = base::milliseconds (20);
constexpr base::Duration kMaxBackoff = base::milliseconds (500);
constexpr std::size_t kMaxWaitingBytes = 1024UL * 1024;
constexpr double kBackoffSpread = 0.5;
/// Time without acknowledgement after which a connection is closed. Members elect another leader
/// after 0.6 s without heartbeats; on a connection that loses all data the leader would be deposed
/// again and again until it opens another one. Single lost packets are retransmitted after 0.2 s
/// and 0.6 s.
constexpr base::Duration kMaxSilence = base::milliseconds (1000);

}  // namespace

PeerTransport::PeerTransport (std::uint64_t randomSeed) : m_random (randomSeed) {}

void PeerTransport::send (const std::string& address, std::string payload)
{
    Peer& peer = m_peers[address];
    if (peer.connection && peer.connection->isOpen())
    {
        peer.connection->send (wire::Channel::kMember, payload);
        // Heartbeats must not wait for the other sockets of a busy event loop.
        peer.connection->flush();
        return;
    }
    if (peer.isBackingOff)
        return;
    if (! peer.connection)
        connect (address, peer);
    if (peer.unsentBytes + payload.size() > kMaxWaitingBytes)
        return;
    peer.unsentBytes += payload.size();
    peer.unsent.push_back (std::move (payload));
}

void PeerTransport::connect (const std::string& address, Peer& peer)
{
    const base::SocketAddress parsed =
        base::handleErrors ([&] { return base::SocketAddress::parse (address); },
                            [] (const base::Error&) { return base::SocketAddress(); });
    wire::FrameConnection::Handlers handlers;
    handlers.onConnected = [this, address] { onConnected (address); };
    handlers.onClosed = [this, address] { onClosed (address); };
    wire::FrameConnectionOptions options;
    options.unacknowledgedTimeout = kMaxSilence;
    peer.connection =
        wire::FrameConnection::connectTo (parsed, options, std::move (handlers), nullptr);
}

void PeerTransport::onConnected (const std::string& address)
{
    Peer& peer = m_peers[address];
    peer.backoff = {};
    for (const std::string& payload : peer.unsent)
    {
        peer.connection->send (wire::Channel::kMember, payload);
    }
    peer.unsent.clear();
    peer.unsentBytes = 0;
}

void PeerTransport::onClosed (const std::string& address)
{
    Peer& peer = m_peers[address];
    peer.connection.reset();
    peer.unsent.clear();
    peer.unsentBytes = 0;
    peer.isBackingOff = true;
    const auto delay = std::chrono::duration_cast<base::milliseconds> (nextBackoff (peer));
    QTimer::singleShot (delay, &m_context,
                        [this, address] { m_peers[address].isBackingOff = false; });
}

base::Duration PeerTransport::nextBackoff (Peer& peer)
{
    peer.backoff = std::clamp (2 * peer.backoff, kFirstBackoff, kMaxBackoff);
    const double factor = 1.0 - kBackoffSpread * m_random.uniformReal();
    return std::chrono::duration_cast<base::Duration> (peer.backoff * factor);
}

}  // namespace fernlift::controller
