#pragma once

/// Other routers of the cell, and the choice of one that serves a request for this router.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "cell/RouterPeerMessages.h"

namespace fernlift::proxy
{

/// Router that a request is sent to.
struct PeerChoice
{
    std::string router;
    base::SocketAddress address;
    std::uint64_t key = 0;  ///< Key that the request has to state.
};

/// Pure. Threading: none; owned by one router.
class PeerRouters
{
public:
    PeerRouters (std::string router, std::string zone)
        : m_router (std::move (router)), m_zone (std::move (zone))
    {
    }

    /// Applies a list of all routers. Routers that are missing in it stay usable for a while, as a
    /// new leader sends its first lists before all routers have connected to it.
    void apply (const cell::RouterPeers& list, base::TimePoint now);

    /// Returns the router with the fewest requests of this one, preferably in the same zone. None
    /// if all are excluded or avoided. `draw` in [0, 1) decides between equal ones.
    [[nodiscard]] std::optional<PeerChoice> choose (const std::set<std::string>& excluded,
                                                    double draw, base::TimePoint now) const;
    /// Calls `visit` for each router.
    void visit (const std::function<void (const PeerChoice& peer)>& visit) const;
    void onBegin (const std::string& router);
    void onEnd (const std::string& router);
    /// Chooses the router no more before `until`.
    void avoid (const std::string& router, base::TimePoint until);

    /// Records that other routers cannot reach a runner for these requests either.
    void onUnservable (const std::string& target, base::TimePoint until);
    [[nodiscard]] bool isUnservable (const std::string& target, base::TimePoint now) const;

    /// Drops what has lapsed.
    void expire (base::TimePoint now);
    [[nodiscard]] std::size_t size() const { return m_peers.size(); }

private:
    struct Peer
    {
        cell::RouterPeer row;
        base::SocketAddress address;
        std::uint32_t requests = 0;  ///< Open requests of this router there.
        base::TimePoint avoidedUntil{};
        std::optional<base::TimePoint> missingSince;  ///< Time of the first list without it.
    };

    [[nodiscard]] double costOf (const Peer& peer) const;

    std::string m_router;
    std::string m_zone;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, base::TimePoint> m_unservableUntil;
};

}  // namespace fernlift::proxy
