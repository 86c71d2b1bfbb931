#pragma once

/// Outgoing connections to the other members. Each member sends on the connections that it opened
/// and receives on those that the others opened.

#include <QObject>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "base/Random.h"
#include "base/Time.h"
#include "wire/FrameConnection.h"

namespace fernlift::controller
{

/// Sends messages to addresses, connecting as needed. Delivery is not guaranteed: messages to an
/// unreachable peer are dropped, and consensus sends them again.
class PeerTransport
{
public:
    explicit PeerTransport (std::uint64_t randomSeed);

    /// Sends one member message to `address` ("ip:port").
    void send (const std::string& address, std::string payload);

private:
    struct Peer
    {
        std::unique_ptr<wire::FrameConnection> connection;
        std::deque<std::string> unsent;  ///< Messages that wait for the connection to open.
        std::size_t unsentBytes = 0;
        bool isBackingOff = false;
        base::Duration backoff{};
    };

    void connect (const std::string& address, Peer& peer);
    void onConnected (const std::string& address);
    void onClosed (const std::string& address);
    /// Delay before the next attempt: doubles up to a limit, with a random spread.
    base::Duration nextBackoff (Peer& peer);

    base::Random m_random;
    std::map<std::string, Peer> m_peers;
    QObject m_context;  ///< Last member: its timers end before the peers are destroyed.
};

}  // namespace fernlift::controller
