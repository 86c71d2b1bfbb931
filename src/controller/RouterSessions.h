#pragma once

/// The routers connected to a leader: what each has in force, until when its lease may run, and
/// which replica table it was sent.

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
    std::uint64_t configurationVersion = 0;  ///< In force there, as last stated.
    std::string configurationDigest;
    std::uint64_t sentVersion = 0;  ///< Configuration last sent or stated.
    base::TimePoint configurationSentAt{};
    bool needsWholeConfiguration = false;  ///< It was sent a change that did not fit.
    cell::ConfigurationLeases leases;      ///< Granted to it here, with allowance for its clock.
    bool isCountedBehind = false;          ///< Its last grant named a later version than it stated.
    bool isRelay = false;       ///< A controller that serves routers on behalf of this one.
    std::uint32_t routers = 1;  ///< Served by a relay; 1 for a router.
    bool isSuperseded = false;  ///< The router has come on another connection; this one is dead.
    base::TimePoint heardAt{};

    /// Version of the replica table that the router has once it has read everything sent; 0: none.
    std::uint64_t tableVersion = 0;
    base::TimePoint tableSentAt{};
    base::TimePoint wholeTableSentAt{};
    bool isTableShared = false;  ///< The version is one of the table that all routers share.

    /// Digests of requests that it reported, and when it did last; it waits to be shown what became
    /// of them. Kept for some seconds: of an instance that leaves nothing is ever noted.
    std::map<std::string, base::TimePoint> reportedSuspects;
    base::LogIndex suspectVersion = 0;  ///< Of the table of suspects last sent; 0: none.
    std::uint64_t instanceVersion = 0;  ///< Of the instances last sent; 0: none.
    base::TimePoint instancesSentAt{};
    std::uint64_t statedInstanceVersion = 0;  ///< Applied there, as last stated; of this term.
    std::uint64_t loadVersion = 0;            ///< Of the loads of instances last sent; 0: none.
    std::uint32_t features = 0;               ///< Of cell::RouterFeature.
    /// The same of a relay itself; its routers may be behind. Of a router: what it stated.
    std::uint64_t heldInstanceVersion = 0;

    // While not shared: the table as the router has it once it has read everything sent.
    using ReplicaKey = std::tuple<base::ReplicaId, base::RunnerId, std::string>;
    std::map<ReplicaKey, cell::RoutableReplica> table;
    ReadyEstimates estimates;

    /// The next update will hold the whole table.
    void forgetTable();
};

/// Difference between what a session was sent and what it should have; none when equal. The session
/// is taken as having it. For tables that are not shared.
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

    /// Notes a lease request.
    void onLeaseRequest (RouterSession& session, const cell::LeaseRequest& request, base::Term term,
                         base::TimePoint now);
    /// Whether the router should be sent the configuration: it is behind, and nothing is on its
    /// way. One at a time goes to a router, so that a slow one skips versions instead of queueing
    /// them.
    [[nodiscard]] bool needsConfiguration (const RouterSession& session,
                                           const cell::ConfigurationIdentity& inForce,
                                           base::TimePoint now) const;
    /// The grant that answers the request, for `length` from now or the usual length if that is
    /// shorter. The caller must hold the leader's lease, or one that ends no sooner.
    [[nodiscard]] cell::LeaseGrant grant (RouterSession& session, const cell::LeaseRequest& request,
                                          const cell::ConfigurationIdentity& inForce,
                                          base::Term term, base::Duration length,
                                          base::TimePoint now) const;

    /// The newest version, up to `newest`, below which no router can admit requests: each connected
    /// one stated it or a later one, and leases of the others on earlier ones, also those of
    /// earlier leaders, have run out. 0: nothing is known yet.
    [[nodiscard]] std::uint64_t confirmedVersion (std::uint64_t newest, base::TimePoint leaderSince,
                                                  base::TimePoint now) const;
    [[nodiscard]] bool isInForceEverywhere (const cell::ConfigurationIdentity& inForce,
                                            base::TimePoint leaderSince, base::TimePoint now) const;

    /// Whether no router may send by an earlier table of instances than this version of the
    /// leader's term: all state it, and leases of those that left, also of earlier leaders, have
    /// run out.
    [[nodiscard]] bool isInstanceTableEverywhere (std::uint64_t version,
                                                  base::TimePoint leaderSince,
                                                  base::TimePoint now) const;
    /// The newest version, up to `newest`, of the table of instances that every router states,
    /// apart from those whose leases are over.
    [[nodiscard]] std::uint64_t confirmedInstanceVersion (std::uint64_t newest,
                                                          base::TimePoint now) const;
    /// Another leader numbers its tables anew: nobody has stated any of them yet.
    void forgetInstanceVersions();
    /// Routers that are connected, also by way of relays.
    [[nodiscard]] std::uint32_t countRouters() const;
    /// No lease granted now runs longer, by the leader's clock.
    [[nodiscard]] base::Duration longestLease() const;
    /// Fills in which connected routers have not confirmed the late version.
    void describeBehind (ConfigurationLate& late) const;

private:
    /// What a router that is no longer connected may still serve under.
    struct Departed
    {
        std::uint64_t version = 0;  ///< In force there, as last stated.
        std::uint64_t instanceVersion = 0;
        cell::ConfigurationLeases leases;
    };

    cell::ConfigurationLeases supersede (const base::RouterId& router);

    base::Duration m_leaseDuration;
    std::map<SessionId, RouterSession> m_sessions;
    std::map<base::RouterId, Departed> m_departed;  ///< Until they come back or their leases end.
};

}  // namespace fernlift::controller
