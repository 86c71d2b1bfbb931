/**
 * Distribution of the routers' peer addresses: a relay reports its routers to the leader, the
 * leader sends all of them to the relays, and both send each router those of its group. See
 * docs/design/peer-forwarding.md.
 */

#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Minimum interval between two lists, which are sent whole, and the part for each receiver.
constexpr base::Duration kMinInterval = base::milliseconds (50);
constexpr base::Duration kIntervalForReceiver = base::milliseconds (10);

std::vector<cell::RouterPeer> peersOf (const cell::RouterHello& hello)
{
    if (hello.isRelay || hello.peerAddress.empty())
        return {};
    return { { hello.router.value, hello.zone.value, hello.peerAddress, hello.peerKey } };
}

}  // namespace

void ControllerCore::Implementation::recordPeer (RouterConnection connection,
                                                 const cell::RouterHello& hello)
{
    if (m_leader)
        m_leader->peers.set (connection, peersOf (hello));
    else if (m_relay)
        m_relay->peers.set (connection, peersOf (hello));
    m_peersSend.request();
}

void ControllerCore::Implementation::sendPeers()
{
    if (m_leader)
    {
        sendPeersTo (m_leader->sessions, m_leader->peers.version(),
                     [this] { return m_leader->peers.all(); });
        return;
    }
    if (m_relay && m_relay->leaderPeers)
        sendPeersTo (m_relay->sessions, m_relay->leaderPeersVersion,
                     [this] { return *m_relay->leaderPeers; });
}

void ControllerCore::Implementation::sendPeersTo (RouterSessions& sessions, std::uint64_t version,
                                                  const std::function<cell::RouterPeers()>& listOf)
{
    // Called after each input: without changes it must not copy or iterate over the routers.
    if (m_peersVersion != version)
        m_peersSend.request();
    const auto receivers = static_cast<std::int64_t> (sessions.sessions().size());
    if (! m_peersSend.takeDue (m_now, kMinInterval + receivers * kIntervalForReceiver))
        return;
    if (std::exchange (m_peersVersion, version) != version)
        m_peerGroups.set (listOf());
    std::map<std::size_t, std::vector<RouterConnection>> behind;  // By group.
    std::vector<RouterConnection> relays;
    for (auto& [connection, session] : sessions.sessions())
    {
        if ((session.features & cell::kReadsRouterPeers) == 0)
            continue;
        const std::size_t group = m_peerGroups.groupOf (session.router.value);
        const std::uint64_t wanted =
            session.isRelay ? m_peerGroups.version() : m_peerGroups.versionOf (group);
        if (std::exchange (session.peersVersion, wanted) == wanted)
            continue;
        if (session.isRelay)
            relays.push_back (connection);
        else
            behind[group].push_back (connection);
    }
    if (! relays.empty())
        m_effects.emplace_back (BroadcastToRouters{ std::move (relays), m_peerGroups.all() });
    for (auto& [group, connections] : behind)
        m_effects.emplace_back (
            BroadcastToRouters{ std::move (connections), m_peerGroups.members (group) });
}

void ControllerCore::Implementation::reportPeersToLeader()
{
    const std::uint64_t version = m_relay->peers.version();
    if (m_relay->leaderPeers && std::exchange (m_relay->reportedPeersVersion, version) != version)
        m_effects.emplace_back (SendToLeader{ m_relay->peers.all() });
}

void ControllerCore::Implementation::applyLeaderPeers (const cell::RouterPeers& list)
{
    // The first list of a connection shows that this leader reads reports of relays.
    if (! m_relay->leaderPeers)
        m_relay->reportedPeersVersion = 0;
    m_relay->leaderPeers = list;
    ++m_relay->leaderPeersVersion;
}

}  // namespace fernlift::controller
