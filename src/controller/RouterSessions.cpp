#include "controller/RouterSessions.h"

#include <algorithm>
#include <utility>

#include "controller/ClockDrift.h"

namespace fernlift::controller
{
namespace
{

/// A table or configuration that a router does not confirm for this time is sent again. Connections
/// are reliable, so this only affects a router that is too slow; a shorter time would add to its
/// load.
constexpr base::Duration kConfirmationTimeout = base::seconds (2);

/// Returns the earliest version, up to `newest`, that a router with the version `reported` may use.
std::uint64_t lowestInUse (std::uint64_t reported, const cell::ConfigurationLeases& leases,
                           std::uint64_t newest, base::TimePoint now)
{
    const bool mayServeEarlier = reported < newest && leases.isHeldBelow (newest, now);
    return mayServeEarlier ? reported : newest;
}

RouterSession::ReplicaKey keyOf (const cell::RoutableReplica& replica)
{
    return { replica.replica, replica.runner, replica.target };
}

cell::RoutableReplica keyFields (const cell::RoutableReplica& replica)
{
    cell::RoutableReplica key;
    key.replica = replica.replica;
    key.runner = replica.runner;
    key.target = replica.target;
    return key;
}

void collectUpserts (RouterSession& session, std::vector<cell::RoutableReplica>& replicas,
                     std::map<RouterSession::ReplicaKey, cell::RoutableReplica>& table,
                     cell::ReplicaUpdate& update)
{
    for (cell::RoutableReplica& replica : replicas)
    {
        const RouterSession::ReplicaKey key = keyOf (replica);
        const auto known = session.table.find (key);
        if (known == session.table.end() || ! (known->second == replica))
        {
            update.upserts.push_back (replica);
        }
        table.emplace (key, std::move (replica));
    }
}

void collectEstimates (RouterSession& session, const ReadyEstimates& estimates, base::TimePoint now,
                       cell::ReplicaUpdate& update)
{
    for (const auto& [target, estimate] : estimates)
    {
        const auto known = session.estimates.find (target);
        if (known != session.estimates.end() && known->second == estimate)
            continue;
        update.estimates.push_back (toMessage (target, estimate, now));
    }
    for (const auto& [target, estimate] : session.estimates)
    {
        // A withdrawn estimate: the target can be served, and no ready time is known.
        if (estimates.count (target) == 0)
        {
            update.estimates.push_back (toMessage (target, ReadyEstimate{ true, now }, now));
        }
    }
    session.estimates = estimates;
}

}  // namespace

std::optional<cell::ReplicaUpdate> updateTable (RouterSession& session,
                                                std::vector<cell::RoutableReplica> replicas,
                                                const ReadyEstimates& estimates,
                                                base::TimePoint now)
{
    cell::ReplicaUpdate update;
    std::map<RouterSession::ReplicaKey, cell::RoutableReplica> table;
    collectUpserts (session, replicas, table, update);
    for (const auto& [key, replica] : session.table)
    {
        if (table.count (key) == 0)
            update.removals.push_back (keyFields (replica));
    }
    collectEstimates (session, estimates, now, update);
    const bool isFirst = session.tableVersion == 0;
    const bool isEmpty =
        update.upserts.empty() && update.removals.empty() && update.estimates.empty();
    if (isEmpty && ! isFirst)
        return std::nullopt;
    session.table = std::move (table);
    update.fromVersion = session.tableVersion;
    update.toVersion = ++session.tableVersion;
    session.tableSentAt = now;
    if (isFirst)
        session.wholeTableSentAt = now;
    return update;
}

void RouterSession::forgetTable()
{
    tableVersion = 0;
    table.clear();
    estimates.clear();
}

RouterSession& RouterSessions::open (SessionId id, const cell::RouterHello& hello,
                                     base::TimePoint now)
{
    close (id);
    std::erase_if (m_disconnected,
                   [&] (const auto& item) { return item.second.leases.isOver (now); });
    cell::ConfigurationLeases leases = supersede (hello.router);
    RouterSession& session = m_sessions[id];
    session.leases = std::move (leases);
    session.router = hello.router;
    session.zone = hello.zone;
    session.address = hello.address;
    session.configurationVersion = session.sentVersion = hello.configurationVersion;
    session.configurationDigest = hello.configurationDigest;
    session.lastMessageAt = now;
    session.isRelay = hello.isRelay;
    m_routerCount.reset();
    return session;
}

void RouterSessions::close (SessionId id)
{
    const auto found = m_sessions.find (id);
    if (found == m_sessions.end())
        return;
    const RouterSession& session = found->second;
    if (! session.isSuperseded)
    {
        m_disconnected[session.router] = { session.configurationVersion,
                                           session.reportedInstanceVersion, session.leases };
    }
    m_sessions.erase (found);
    m_routerCount.reset();
}

/// A router has one connection: its reports on a new one replace those on earlier ones. Leases
/// granted on earlier connections remain valid.
cell::ConfigurationLeases RouterSessions::supersede (const base::RouterId& router)
{
    cell::ConfigurationLeases leases;
    if (const auto disconnected = m_disconnected.extract (router))
        leases = std::move (disconnected.mapped().leases);
    for (auto& [id, session] : m_sessions)
    {
        if (session.router != router || std::exchange (session.isSuperseded, true))
            continue;
        leases = std::move (session.leases);
    }
    return leases;
}

RouterSession* RouterSessions::find (SessionId id)
{
    const auto found = m_sessions.find (id);
    return found == m_sessions.end() ? nullptr : &found->second;
}

void RouterSessions::onLeaseRequest (RouterSession& session, const cell::LeaseRequest& request,
                                     base::Term term, base::TimePoint now)
{
    session.lastMessageAt = now;
    if (request.instanceTerm == term)
    {
        session.reportedInstanceVersion = request.instanceVersion;
        session.heldInstanceVersion =
            std::max (request.instanceVersion, request.heldInstanceVersion);
    }
    if (session.isRelay && session.routers != request.routers)
    {
        session.routers = request.routers;
        m_routerCount.reset();
    }
    const bool hasLostInstances = session.heldInstanceVersion < session.instanceVersion
                                  && now - session.instancesSentAt > kConfirmationTimeout;
    if (hasLostInstances)
        session.instanceVersion = 0;
    session.configurationVersion = request.configurationVersion;
    session.configurationDigest = request.configurationDigest;
    if (request.needsWholeConfiguration)
    {
        session.needsWholeConfiguration = true;
        session.sentVersion = 0;
    }
    const bool isBehind = request.replicaTableVersion != session.tableVersion
                          && now - session.tableSentAt > kConfirmationTimeout;
    // A router without a table needs the whole table, even while changes are sent all the time.
    const bool needsWholeTable =
        request.replicaTableVersion == 0 && now - session.wholeTableSentAt > kConfirmationTimeout;
    if (isBehind || needsWholeTable)
        session.forgetTable();
}

bool RouterSessions::needsConfiguration (const RouterSession& session,
                                         const cell::ConfigurationIdentity& inForce,
                                         base::TimePoint now) const
{
    // A relay gets the configuration from the log.
    if (session.isRelay)
        return false;
    // Configurations never go back, so a router that reports a later version is sent nothing.
    const bool isBehind = session.configurationVersion < inForce.version;
    const bool isUnderWay = session.sentVersion > session.configurationVersion
                            && now - session.configurationSentAt <= kConfirmationTimeout;
    return isBehind && ! isUnderWay;
}

cell::LeaseGrant RouterSessions::grant (RouterSession& session, const cell::LeaseRequest& request,
                                        const cell::ConfigurationIdentity& inForce, base::Term term,
                                        base::Duration length, base::TimePoint now) const
{
    const base::Duration granted = std::min (length, m_leaseDuration);
    session.leases.extend (inForce.version, now + withDrift (granted), now);
    // A router that is behind may use the version that it reported for one more lease, for example
    // under a lease of an earlier leader. Further requests do not extend this, since they could
    // otherwise delay a change without limit.
    const bool isBehind = session.configurationVersion < inForce.version;
    if (isBehind && ! session.wasBehindAtLastGrant)
        session.leases.extend (session.configurationVersion, now + maxLeaseDuration(), now);
    session.wasBehindAtLastGrant = isBehind;
    cell::LeaseGrant grant;
    grant.sequence = request.sequence;
    grant.configurationVersion = inForce.version;
    grant.configurationDigest = inForce.digest;
    grant.term = term;
    grant.durationMilliseconds = base::toMilliseconds (granted);
    grant.replicaTableVersion = session.tableVersion;
    return grant;
}

std::uint64_t RouterSessions::confirmedVersion (std::uint64_t newest, base::TimePoint leaderSince,
                                                base::TimePoint now) const
{
    // Routers that have not connected to this leader may hold leases of the previous one.
    if (now < leaderSince + maxLeaseDuration())
        return 0;
    std::uint64_t confirmed = newest;
    for (const auto& [id, session] : m_sessions)
    {
        if (session.isSuperseded)
            continue;
        confirmed = std::min (
            confirmed, lowestInUse (session.configurationVersion, session.leases, newest, now));
    }
    for (const auto& [router, disconnected] : m_disconnected)
    {
        confirmed = std::min (confirmed,
                              lowestInUse (disconnected.version, disconnected.leases, newest, now));
    }
    return confirmed;
}

bool RouterSessions::isInForceEverywhere (const cell::ConfigurationIdentity& inForce,
                                          base::TimePoint leaderSince, base::TimePoint now) const
{
    return confirmedVersion (inForce.version, leaderSince, now) >= inForce.version;
}

bool RouterSessions::isInstanceTableEverywhere (std::uint64_t version, base::TimePoint leaderSince,
                                                base::TimePoint now) const
{
    if (now < leaderSince + maxLeaseDuration())
        return false;
    const bool isReported = std::ranges::all_of (
        m_sessions,
        [&] (const auto& item)
        {
            const RouterSession& session = item.second;
            return session.isSuperseded || session.reportedInstanceVersion >= version;
        });
    return isReported
           && std::ranges::all_of (m_disconnected,
                                   [&] (const auto& item)
                                   {
                                       const DisconnectedRouter& disconnected = item.second;
                                       return disconnected.instanceVersion >= version
                                              || disconnected.leases.isOver (now);
                                   });
}

void RouterSessions::describeLateRouters (ConfigurationLate& late) const
{
    late.routers = m_sessions.size();
    for (const auto& [id, session] : m_sessions)
    {
        if (session.isSuperseded || session.configurationVersion >= late.version)
            continue;
        ++late.behind;
        late.router = session.router.value;
        late.holds = session.configurationVersion;
        late.wasSent = session.sentVersion;
    }
}

std::uint64_t RouterSessions::confirmedInstanceVersion (std::uint64_t newest,
                                                        base::TimePoint now) const
{
    std::uint64_t confirmed = newest;
    for (const auto& [id, session] : m_sessions)
    {
        if (! session.isSuperseded && ! session.leases.isOver (now))
            confirmed = std::min (confirmed, session.reportedInstanceVersion);
    }
    for (const auto& [router, disconnected] : m_disconnected)
    {
        if (! disconnected.leases.isOver (now))
            confirmed = std::min (confirmed, disconnected.instanceVersion);
    }
    return confirmed;
}

void RouterSessions::forgetInstanceVersions()
{
    for (auto& [id, session] : m_sessions)
        session.instanceVersion = session.reportedInstanceVersion = session.heldInstanceVersion = 0;
    for (auto& [router, disconnected] : m_disconnected)
        disconnected.instanceVersion = 0;
}

std::uint32_t RouterSessions::countRouters() const
{
    if (m_routerCount)
        return *m_routerCount;
    std::uint32_t routers = 0;
    for (const auto& [id, session] : m_sessions)
        routers += session.isSuperseded ? 0 : session.routers;
    m_routerCount = routers;
    return routers;
}

base::Duration RouterSessions::maxLeaseDuration() const { return withDrift (m_leaseDuration); }

std::vector<SessionId> RouterSessions::sessionsWith (cell::RouterFeature feature) const
{
    std::vector<SessionId> found;
    for (const auto& [connection, session] : m_sessions)
    {
        if ((session.features & feature) != 0)
            found.push_back (connection);
    }
    return found;
}

std::optional<double> RouterSessions::shareWith (cell::RouterFeature feature) const
{
    const std::uint32_t all = countRouters();
    std::uint32_t having = 0;
    for (const auto& [connection, session] : m_sessions)
    {
        if ((session.features & feature) != 0 && ! session.isSuperseded)
            having += session.routers;
    }
    if (all == 0)
        return std::nullopt;
    return std::min (1.0, static_cast<double> (having) / all);
}

}  // namespace fernlift::controller
