#pragma once

/// Sessions of the routers connected to a leader: the configuration that each has in force, the end
/// of its leases, and the tables that it was sent.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/ConfigurationLeases.h"
#include "cell/ConfigurationState.h"
#include "cell/RouterMessages.h"
#include "controller/ConfigurationRollout.h"
#include "controller/LoadEstimates.h"

namespace fernlift::controller
{

/// Identifies a connection of a router, as in ControllerCore.h.
using SessionId = std::uint64_t;

struct RouterSession
{
    base::RouterId router;
    base::ZoneName zone;
    std::string address;
    std::uint64_t configurationVersion = 0;  ///< Version in force there, as last reported.
    std::string configurationDigest;
    std::uint64_t sentVersion = 0;  ///< Configuration version last sent or reported.
    base::TimePoint configurationSentAt{};
    bool needsWholeConfiguration = false;  ///< Reported that a change did not fit its version.
    cell::ConfigurationLeases leases;   ///< Leases granted to it, with allowance for clock drift.
    bool wasBehindAtLastGrant = false;  ///< The last grant named a later version than reported.
    bool isRelay = false;               ///< Controller that serves routers on behalf of this one.
    std::uint32_t routers = 1;          ///< Number of routers behind a relay; 1 for a router.
    bool isSuperseded = false;  ///< The router has connected again; this connection is dead.
    base::TimePoint lastMessageAt{};

    /// Version of the replica table that the router has after all sent updates; 0: none.
    std::uint64_t tableVersion = 0;
    base::TimePoint tableSentAt{};
    base::TimePoint wholeTableSentAt{};
    bool isTableShared = false;  ///< `tableVersion` refers to the table shared by all routers.

    /// Digests of suspect requests that the router reported, with the time of the last report; the
    /// router waits to be sent the outcome. Kept for some seconds only, since no outcome is ever
    /// recorded for an instance that is leaving.
    std::map<std::string, base::TimePoint> reportedSuspects;
    base::LogIndex suspectVersion = 0;  ///< Version of the suspect table last sent; 0: none.
    std::uint64_t instanceVersion = 0;  ///< Version of the instance table last sent; 0: none.
    base::TimePoint instancesSentAt{};
    std::uint64_t reportedInstanceVersion = 0;  ///< Instance table reported in this term.
    std::uint64_t loadVersion = 0;   ///< Version of the instance loads last sent; 0: none.
    std::uint32_t features = 0;      ///< Bits of cell::RouterFeature.
    std::uint64_t peersVersion = 0;  ///< Version of the group of routers last sent; 0: none.
    /// Version of the instance table that a relay holds itself, while its routers may be behind;
    /// for a router, the version that it reported.
    std::uint64_t heldInstanceVersion = 0;

    // Used while the table is not shared: the table that the router has after all sent updates.
    using ReplicaKey = std::tuple<base::ReplicaId, base::RunnerId, std::string>;
    std::map<ReplicaKey, cell::RoutableReplica> table;
    ReadyEstimates estimates;

    /// Discards the sent table, so that the next update contains the whole table.
    void forgetTable();
};

/// Returns the difference between the table that a session was sent and the given one, or none when
/// they are equal, and records the given table as sent. Only for tables that are not shared.
[[nodiscard]] std::optional<cell::ReplicaUpdate> updateTable (
    RouterSession& session, std::vector<cell::RoutableReplica> replicas,
    const ReadyEstimates& estimates, base::TimePoint now);

class RouterSessions
{
public:
    explicit RouterSessions (base::Duration leaseDuration) : m_leaseDuration (leaseDuration) {}

    RouterSession& open (SessionId id, const cell::RouterHello& hello, base::TimePoint now);
    void close (SessionId id);
    [[nodiscard]] RouterSession* find (SessionId id);
    [[nodiscard]] std::map<SessionId, RouterSession>& sessions() { return m_sessions; }
    [[nodiscard]] const std::map<SessionId, RouterSession>& sessions() const { return m_sessions; }

    /// Records the versions that a lease request reports.
    void onLeaseRequest (RouterSession& session, const cell::LeaseRequest& request, base::Term term,
                         base::TimePoint now);
    /// Whether to send the configuration to the router: it is behind, and no configuration is on
    /// the way to it. Only one is on the way at a time, so that a slow router skips versions
    /// instead of queueing them.
    [[nodiscard]] bool needsConfiguration (const RouterSession& session,
                                           const cell::ConfigurationIdentity& inForce,
                                           base::TimePoint now) const;
    /// Returns the grant that answers the request, for `length` from now but at most the configured
    /// lease duration. The caller must hold the leader's lease, or a lease that ends no earlier
    /// than the granted one.
    [[nodiscard]] cell::LeaseGrant grant (RouterSession& session, const cell::LeaseRequest& request,
                                          const cell::ConfigurationIdentity& inForce,
                                          base::Term term, base::Duration length,
                                          base::TimePoint now) const;

    /// Returns the newest version, up to `newest`, below which no router can admit requests: each
    /// connected router reported it or a later one, and all leases of other routers on earlier
    /// versions, including those granted by earlier leaders, have expired. 0: not known yet.
    [[nodiscard]] std::uint64_t confirmedVersion (std::uint64_t newest, base::TimePoint leaderSince,
                                                  base::TimePoint now) const;
    [[nodiscard]] bool isInForceEverywhere (const cell::ConfigurationIdentity& inForce,
                                            base::TimePoint leaderSince, base::TimePoint now) const;

    /// Whether no router can use an earlier table of instances than this version of the leader's
    /// term: all connected routers reported it, and the leases of disconnected ones, including
    /// those granted by earlier leaders, have expired.
    [[nodiscard]] bool isInstanceTableEverywhere (std::uint64_t version,
                                                  base::TimePoint leaderSince,
                                                  base::TimePoint now) const;
    /// Returns the newest version, up to `newest`, of the table of instances that all routers have
    /// reported, except those whose leases have expired.
    [[nodiscard]] std::uint64_t confirmedInstanceVersion (std::uint64_t newest,
                                                          base::TimePoint now) const;
    /// Resets all reported instance versions after a change of leader, whose versions differ.
    void forgetInstanceVersions();
    /// Returns the number of connected routers, including those behind relays.
    [[nodiscard]] std::uint32_t countRouters() const;
    /// Sessions whose router or relay stated the feature in its hello.
    [[nodiscard]] std::vector<SessionId> sessionsWith (cell::RouterFeature feature) const;
    /// Share of the routers that have the feature, from 0 to 1; none while there are no routers.
    [[nodiscard]] std::optional<double> shareWith (cell::RouterFeature feature) const;
    /// Maximum duration, on the leader's clock, of a lease granted now.
    [[nodiscard]] base::Duration maxLeaseDuration() const;
    /// Fills in the connected routers that have not confirmed the late version.
    void describeLateRouters (ConfigurationLate& late) const;

private:
    /// Versions and leases that a disconnected router may still use.
    struct DisconnectedRouter
    {
        std::uint64_t version = 0;  ///< Configuration in force there, as last reported.
        std::uint64_t instanceVersion = 0;
        cell::ConfigurationLeases leases;
    };

    cell::ConfigurationLeases supersede (const base::RouterId& router);

    base::Duration m_leaseDuration;
    std::map<SessionId, RouterSession> m_sessions;
    mutable std::optional<std::uint32_t> m_routerCount;  ///< Cached countRouters().
    /// Disconnected routers, until they reconnect or their leases expire.
    std::map<base::RouterId, DisconnectedRouter> m_disconnected;
};

}  // namespace fernlift::controller
