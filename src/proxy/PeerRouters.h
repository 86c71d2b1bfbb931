#pragma once

/**
 * Other routers of the cell, what is known of their paths to the runners, and the choice of one
 * that serves a request for this router.
 */

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

/** Router that a request is sent to. */
struct PeerChoice
{
    std::string router;
    base::SocketAddress address;
    std::uint64_t key = 0;    ///< Key that the request has to state.
    bool isIsolated = false;  ///< Known to reach no runner, as of its last statement.
};

/** Pure. Threading: none; owned by one router. */
class PeerRouters
{
public:
    PeerRouters (std::string router, std::string zone)
        : m_router (std::move (router)), m_zone (std::move (zone))
    {
    }

    /** Applies a list of all routers. Routers that are missing in it stay usable for a while, as a
        new leader sends its first lists before all routers have connected to it.
    */
    void apply (const cell::RouterPeers& list, base::TimePoint now);

    /** Returns the router with the fewest requests of this one, preferably in the same zone. Paths
        to the runners often fail for a whole zone, so that a zone is avoided by the share of its
        routers that are isolated; a router that is isolated itself is the last choice. None if all
        are excluded or avoided. `draw` in [0, 1) decides between equal ones.
    */
    [[nodiscard]] std::optional<PeerChoice> choose (const std::set<std::string>& excluded,
                                                    double draw, base::TimePoint now) const;
    /** Calls `visit` for each router. */
    void visit (const std::function<void (const PeerChoice& peer)>& visit) const;
    /** The same for the routers in the zone of this one. */
    void visitOwnZone (const std::function<void (const PeerChoice& peer)>& visit) const;
    void onBegin (const std::string& router);
    void onEnd (const std::string& router);
    /** Chooses the router no more before `until`. */
    void avoid (const std::string& router, base::TimePoint until);

    /** The router stated that it reaches no runner. Holds until it states or shows the opposite, at
        most for kPathLifetime.
    */
    void onIsolated (const std::string& router, base::TimePoint now);
    /** The router stated that it reaches the runners, or served a request. */
    void onServing (const std::string& router, base::TimePoint now);
    [[nodiscard]] bool isIsolated (const std::string& router, base::TimePoint now) const;
    /** Whether the router is in the zone of this one. */
    [[nodiscard]] bool isInOwnZone (const std::string& router) const;

    /** Records that other routers cannot reach a runner for these requests either. */
    void onUnservable (const std::string& target, base::TimePoint until);
    [[nodiscard]] bool isUnservable (const std::string& target, base::TimePoint now) const;

    /** Drops what has lapsed. */
    void expire (base::TimePoint now);
    [[nodiscard]] std::size_t size() const { return m_peers.size(); }

    /** Time for which a statement on the path of a router is used. Isolated routers repeat theirs
        earlier.
    */
    static constexpr base::Duration kPathLifetime = base::seconds (12);

private:
    enum class Path : std::uint8_t
    {
        kUnknown,
        kServing,
        kIsolated,
    };

    struct Peer
    {
        cell::RouterPeer row;
        base::SocketAddress address;
        std::uint32_t requests = 0;  ///< Open requests of this router there.
        base::TimePoint avoidedUntil{};
        Path path = Path::kUnknown;
        base::TimePoint pathUntil{};                  ///< End of the time for which `path` is used.
        std::optional<base::TimePoint> missingSince;  ///< Time of the first list without it.

        [[nodiscard]] Path pathAt (base::TimePoint now) const
        {
            return now < pathUntil ? path : Path::kUnknown;
        }
    };

    /** Share of isolated routers by zone, from 0 to 1; zones without isolated routers are missing.
     */
    using ZoneShares = std::map<std::string, double, std::less<>>;

    [[nodiscard]] ZoneShares isolatedShares (base::TimePoint now) const;
    [[nodiscard]] double costOf (const Peer& peer, const ZoneShares& isolatedShares,
                                 base::TimePoint now) const;
    void setPath (const std::string& router, Path path, base::TimePoint now);

    std::string m_router;
    std::string m_zone;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, base::TimePoint> m_unservableUntil;
};

}  // namespace fernlift::proxy
