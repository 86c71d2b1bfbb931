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
/// Cost of a zone whose routers are all known to be isolated.
constexpr double kIsolatedZoneCost = 16;
/// A router that is isolated is worth a request only when no other one is left.
constexpr double kIsolatedCost = 1000;
/// A router that is missing in the list is probably gone.
constexpr double kMissingCost = 10'000;

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
        {
            peer.avoidedUntil = {};
            peer.pathUntil = {};
        }
    }
    for (auto& [router, peer] : m_peers)
    {
        if (! listed.contains (router) && ! peer.missingSince)
            peer.missingSince = now;
    }
}

PeerRouters::ZoneShares PeerRouters::isolatedShares (base::TimePoint now) const
{
    struct Counts
    {
        double isolated = 0;
        double serving = 0;
    };
    std::map<std::string_view, Counts> zones;
    for (const auto& [router, peer] : m_peers)
    {
        const Path path = peer.pathAt (now);
        if (path == Path::kUnknown)
            continue;
        Counts& counts = zones[peer.row.zone];
        ++(path == Path::kIsolated ? counts.isolated : counts.serving);
    }
    ZoneShares shares;
    for (const auto& [zone, counts] : zones)
    {
        // Counting one more router keeps the statement of a single one from deciding for its zone.
        if (counts.isolated > 0)
            shares.emplace (zone, counts.isolated / (counts.isolated + counts.serving + 1));
    }
    return shares;
}

double PeerRouters::costOf (const Peer& peer, const ZoneShares& isolatedShares,
                            base::TimePoint now) const
{
    double cost = peer.requests;
    if (peer.row.zone != m_zone)
        cost += kZoneCost;
    if (peer.missingSince)
        cost += kMissingCost;
    const Path path = peer.pathAt (now);
    if (path == Path::kIsolated)
        cost += kIsolatedCost;
    const auto share = isolatedShares.find (peer.row.zone);
    if (path != Path::kServing && share != isolatedShares.end())
        cost += kIsolatedZoneCost * share->second;
    return cost;
}

std::optional<PeerChoice> PeerRouters::choose (const std::set<std::string>& excluded, double draw,
                                               base::TimePoint now) const
{
    const ZoneShares shares = isolatedShares (now);
    std::vector<const Peer*> best;
    double lowest = 0;
    for (const auto& [router, peer] : m_peers)
    {
        if (excluded.contains (router) || now < peer.avoidedUntil)
            continue;
        const double cost = costOf (peer, shares, now);
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
    const bool isIsolated = chosen.pathAt (now) == Path::kIsolated;
    return PeerChoice{ chosen.row.router, chosen.address, chosen.row.key, isIsolated };
}

void PeerRouters::visit (const std::function<void (const PeerChoice& peer)>& visit) const
{
    for (const auto& [router, peer] : m_peers)
        visit ({ router, peer.address, peer.row.key });
}

void PeerRouters::visitOwnZone (const std::function<void (const PeerChoice& peer)>& visit) const
{
    for (const auto& [router, peer] : m_peers)
    {
        if (peer.row.zone == m_zone)
            visit ({ router, peer.address, peer.row.key });
    }
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

void PeerRouters::setPath (const std::string& router, Path path, base::TimePoint now)
{
    const auto found = m_peers.find (router);
    if (found == m_peers.end())
        return;
    found->second.path = path;
    found->second.pathUntil = now + kPathLifetime;
}

void PeerRouters::onIsolated (const std::string& router, base::TimePoint now)
{
    setPath (router, Path::kIsolated, now);
}

void PeerRouters::onServing (const std::string& router, base::TimePoint now)
{
    setPath (router, Path::kServing, now);
}

bool PeerRouters::isIsolated (const std::string& router, base::TimePoint now) const
{
    const auto found = m_peers.find (router);
    return found != m_peers.end() && found->second.pathAt (now) == Path::kIsolated;
}

bool PeerRouters::isInOwnZone (const std::string& router) const
{
    const auto found = m_peers.find (router);
    return found != m_peers.end() && found->second.row.zone == m_zone;
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
