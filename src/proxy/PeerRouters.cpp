#include "proxy/PeerRouters.h"

#include <algorithm>

namespace fernlift::proxy
{
namespace
{

/// An election takes up to a second, and routers connect to the new leader within two more.
constexpr base::Duration kMissingLifetime = base::seconds (10);
/// Requests by which a router in another zone must have fewer to be chosen.
constexpr double kZoneCost = 4;
/// A router that is missing in the list is probably gone.
constexpr double kMissingCost = 1000;

}  // namespace

void PeerRouters::apply (const cell::RouterPeers& list, base::TimePoint now)
{
    std::set<std::string> listed;
    for (const cell::RouterPeer& row : list.peers)
    {
        const auto address = base::SocketAddress::tryParse (row.address);
        if (row.router == m_router || ! address)
            continue;
        listed.insert (row.router);
        Peer& peer = m_peers[row.router];
        const bool isRestarted = peer.row.key != row.key;
        peer.row = row;
        peer.address = *address;
        peer.missingSince.reset();
        if (isRestarted)
            peer.avoidedUntil = {};
    }
    for (auto& [router, peer] : m_peers)
    {
        if (! listed.contains (router) && ! peer.missingSince)
            peer.missingSince = now;
    }
}

double PeerRouters::costOf (const Peer& peer) const
{
    return peer.requests + (peer.row.zone == m_zone ? 0 : kZoneCost)
           + (peer.missingSince ? kMissingCost : 0);
}

std::optional<PeerChoice> PeerRouters::choose (const std::set<std::string>& excluded, double draw,
                                               base::TimePoint now) const
{
    std::vector<const Peer*> best;
    double lowest = 0;
    for (const auto& [router, peer] : m_peers)
    {
        if (excluded.contains (router) || now < peer.avoidedUntil)
            continue;
        const double cost = costOf (peer);
        if (! best.empty() && cost > lowest)
            continue;
        if (best.empty() || cost < lowest)
            best.clear();
        lowest = cost;
        best.push_back (&peer);
    }
    if (best.empty())
        return std::nullopt;
    const auto index = static_cast<std::size_t> (draw * static_cast<double> (best.size()));
    const Peer& chosen = *best[std::min (index, best.size() - 1)];
    return PeerChoice{ chosen.row.router, chosen.address, chosen.row.key };
}

void PeerRouters::visit (const std::function<void (const PeerChoice& peer)>& visit) const
{
    for (const auto& [router, peer] : m_peers)
        visit ({ router, peer.address, peer.row.key });
}

void PeerRouters::onBegin (const std::string& router)
{
    const auto found = m_peers.find (router);
    if (found != m_peers.end())
        ++found->second.requests;
}

void PeerRouters::onEnd (const std::string& router)
{
    const auto found = m_peers.find (router);
    if (found != m_peers.end() && found->second.requests > 0)
        --found->second.requests;
}

void PeerRouters::avoid (const std::string& router, base::TimePoint until)
{
    const auto found = m_peers.find (router);
    if (found != m_peers.end())
        found->second.avoidedUntil = std::max (found->second.avoidedUntil, until);
}

void PeerRouters::onUnservable (const std::string& target, base::TimePoint until)
{
    m_unservableUntil[target] = until;
}

bool PeerRouters::isUnservable (const std::string& target, base::TimePoint now) const
{
    const auto found = m_unservableUntil.find (target);
    return found != m_unservableUntil.end() && now < found->second;
}

void PeerRouters::expire (base::TimePoint now)
{
    std::erase_if (m_unservableUntil, [&] (const auto& item) { return item.second <= now; });
    std::erase_if (m_peers,
                   [&] (const auto& item)
                   {
                       const Peer& peer = item.second;
                       return peer.missingSince && now - *peer.missingSince > kMissingLifetime;
                   });
}

}  // namespace fernlift::proxy
