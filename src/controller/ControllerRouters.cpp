// Duties of the leader towards routers: leases, replica tables and claims. The configuration is
// handled in ControllerConfiguration.cpp, registered runners in ControllerInstances.cpp.

#include <bit>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Interval at which exact shares are adapted to the demand.
constexpr base::Duration kExactInterval = base::milliseconds (100);

/// Minimum interval between whole shared tables, which are sent one at a time.
constexpr base::Duration kWholeTableInterval = base::milliseconds (10);

/// Rounds the load down to a power of two, so that small changes cause no message.
std::uint32_t quantised (std::uint32_t load) { return std::bit_floor (load); }

}  // namespace

void ControllerCore::Implementation::onRouterMessage (RouterConnection connection,
                                                      const cell::RouterToController& message)
{
    if (! m_leader)
    {
        if (relayRouterMessage (connection, message))
            return;
        const auto* hello = std::get_if<cell::RouterHello> (&message);
        if (hello != nullptr && hello->cell == m_options.cell)
            admitWatcher (connection, *hello);
        replyNotLeader (connection);
        return;
    }
    if (const auto* join = std::get_if<cell::MemberJoinRequest> (&message))
    {
        onJoinRequest (connection, *join);
        drain();
        return;
    }
    if (const auto* hello = std::get_if<cell::RouterHello> (&message))
    {
        onHello (connection, *hello);
    }
    else if (m_leader->sessions.find (connection) == nullptr)
    {
        replyNotLeader (connection);
    }
    else if (const auto* lease = std::get_if<cell::LeaseRequest> (&message))
    {
        onLeaseRequest (connection, *lease);
        return;
    }
    else if (const auto* demand = std::get_if<cell::DemandReport> (&message))
    {
        onDemand (connection, *demand);
    }
    else if (const auto* claim = std::get_if<cell::ClaimRequest> (&message))
    {
        m_counters.claims += claim->claims.size();
        if (auto refusal = m_leader->claims.add (connection, *claim))
        {
            sendToRouter (connection, std::move (*refusal));
        }
    }
    else if (const auto* outcome = std::get_if<cell::OutcomeReport> (&message))
    {
        m_leader->claims.add (*outcome);
    }
    else if (const auto* engineDemand = std::get_if<cell::EngineDemandReport> (&message))
    {
        m_leader->engines.onDemand (connection, engineDemand->demands, m_now);
        requestPlacement();
        return;
    }
    else if (const auto* loads = std::get_if<cell::InstanceLoadReport> (&message))
    {
        m_leader->loadSum.onReport (connection, *loads, m_now);
        return;
    }
    else if (const auto* quota = std::get_if<cell::QuotaRequest> (&message))
    {
        grantQuota (connection, *quota);
        return;
    }
    else if (const auto* rates = std::get_if<cell::InstanceRateReport> (&message))
    {
        onRateReport (*rates);
        return;
    }
    else if (const auto* permits = std::get_if<cell::InstancePermitRequest> (&message))
    {
        grantPermits (connection, *permits);
        return;
    }
    else if (const auto* slots = std::get_if<cell::SlotReports> (&message))
    {
        onSlotReports (connection, *slots);
        return;
    }
    else if (const auto* reserve = std::get_if<cell::RetryReserveRequests> (&message))
    {
        grantRetryReserve (connection, *reserve);
        return;
    }
    else if (onStreamMessage (connection, message))
    {
        return;
    }
    else if (const auto* suspects = std::get_if<cell::SuspectReport> (&message))
    {
        // The reports of one tick are proposed together.
        recordReporter (*m_leader->sessions.find (connection), *suspects);
        onSuspectReport (*suspects);
        return;
    }
    else if (const auto* unreachable = std::get_if<cell::InstanceUnreachable> (&message))
    {
        m_effects.emplace_back (InstanceReportedUnreachable{
            unreachable->instance, m_leader->sessions.find (connection)->router.value });
        m_leader->instances.onUnreachable (unreachable->instance, m_now);
        m_leader->instanceTable.request();
        requestPlacement();
    }
    else if (const auto* relayedHeartbeats = std::get_if<cell::RelayedHeartbeats> (&message))
    {
        onRelayedHeartbeats (*relayedHeartbeats);
        return;
    }
    else if (const auto* peers = std::get_if<cell::RouterPeers> (&message))
    {
        m_leader->peers.set (connection, peers->peers);
    }
    else if (const auto* seen = std::get_if<cell::RunnerLeavingReport> (&message))
    {
        onLeavingSeen (*seen);
    }
    drain();
}

void ControllerCore::Implementation::onDemand (RouterConnection connection,
                                               const cell::DemandReport& report)
{
    m_leader->demands.report (connection, report, m_now);
    for (const cell::Demand& demand : report.demands)
    {
        if (demand.waiting > 0)
            m_leader->isPlacementDue = true;
        const auto sent = m_leader->sharers.find (demand.target);
        const bool hasMoreSharers = sent != m_leader->sharers.end()
                                    && m_leader->demands.sourceCount (demand.target) > sent->second;
        if (hasMoreSharers)
            m_leader->isTableDue = true;
    }
}

void ControllerCore::Implementation::admitWatcher (RouterConnection connection,
                                                   const cell::RouterHello& hello)
{
    m_watchers.insert (connection);
    if (hello.acceptsLastKnownState && hello.configurationVersion == 0)
        sendLastKnownState (connection);
}

void ControllerCore::Implementation::sendLastKnownState (RouterConnection connection)
{
    const cell::ConfigurationIdentity& known = m_state.configuration().identity();
    if (known.version == 0)
        return;
    cell::ConfigurationUpdate configuration;
    configuration.version = known.version;
    configuration.digest = known.digest;
    configuration.text = m_state.configuration().text();
    sendToRouter (connection, std::move (configuration));
    cell::InstanceUpdate instances;
    instances.term = cell::kTermOfLastKnownState;
    instances.toVersion = 1;
    for (const auto& [id, instance] : m_state.instances().all())
        instances.upserts.push_back ({ instance, false });
    if (! instances.upserts.empty())
        sendToRouter (connection, std::move (instances));
}

void ControllerCore::Implementation::notifyWatchers()
{
    for (const RouterConnection connection : m_watchers)
        replyNotLeader (connection);
}

void ControllerCore::Implementation::onRouterDisconnected (RouterConnection connection)
{
    m_watchers.erase (connection);
    if (! m_leader)
    {
        relayRouterGone (connection);
        return;
    }
    m_leader->sessions.close (connection);
    m_leader->demands.forget (connection);
    m_leader->engines.onRouterDisconnected (connection);
    m_leader->loadSum.onReporterDisconnected (connection);
    m_leader->peers.remove (connection);
    std::erase_if (m_leader->slotHolders,
                   [&] (const auto& holder) { return holder.second == connection; });
    m_leader->isTableDue = true;
}

void ControllerCore::Implementation::onHello (RouterConnection connection,
                                              const cell::RouterHello& hello)
{
    if (hello.cell != m_options.cell)
    {
        replyNotLeader (connection);
        return;
    }
    RouterSession& session = m_leader->sessions.open (connection, hello, m_now);
    sendInitialRates (connection, session, hello);
    announceSlots (connection, hello);
    announceRetryReserve (connection, hello);
    announceStreams (connection, hello);
    recordPeer (connection, hello);
    // A router that reconnects to the same leader needs only the changes since.
    const bool holdsTable = m_leader->isTableShared && hello.replicaTableTerm == m_leader->term
                            && hello.replicaTableVersion <= m_leader->table.version();
    if (holdsTable)
    {
        session.isTableShared = true;
        session.tableVersion = hello.replicaTableVersion;
    }
    applyInstanceVersion (session, hello);
    m_leader->configurationSend.request();
    sendTable (connection, session);
    m_leader->instanceTable.request();
    m_suspectsSend.request();
}

void ControllerCore::Implementation::applyInstanceVersion (RouterSession& session,
                                                           const cell::RouterHello& hello)
{
    InstanceTable& instances = m_leader->instances;
    if (hello.instanceTerm > instances.term())
    {
        // This member continued a table that another leader had replaced.
        instances.restartVersions (m_leader->term);
        m_leader->sessions.forgetInstanceVersions();
        return;
    }
    const bool isOfThisLeader = hello.instanceVersion >= firstVersionOf (m_leader->term);
    const bool mayFollow =
        ! hello.isRelay || (hello.features & cell::kFollowsTableOfNextLeader) != 0;
    if (isOfThisLeader || mayFollow)
        applyInstanceVersion (session, hello, instances.term());
}

void ControllerCore::Implementation::onLeaseRequest (RouterConnection connection,
                                                     const cell::LeaseRequest& request)
{
    const bool mayGrant =
        holdsLease() || m_options.plantedFault == cell::PlantedFault::kLeaseWithoutLeaderLease;
    if (! mayGrant)
    {
        ++m_counters.leasesWithheld;
        return;
    }
    RouterSession& session = *m_leader->sessions.find (connection);
    const cell::ConfigurationIdentity& inForce = m_state.configuration().identity();
    m_leader->sessions.onLeaseRequest (session, request, m_leader->instances.term(), m_now);
    if (m_leader->sessions.needsConfiguration (session, inForce, m_now))
        m_leader->configurationSend.request();
    sendTable (connection, session);
    if (session.instanceVersion != m_leader->instances.version())
        m_leader->instanceTable.request();
    // No lease is granted before there is a configuration, nor to a router that may still use an
    // instance table in which an instance with an acknowledged drain takes requests.
    const bool mayServe =
        inForce.version != 0 && session.heldInstanceVersion >= requiredInstanceVersion();
    if (mayServe)
        grantLease (connection, session, request);
}

std::uint64_t ControllerCore::Implementation::requiredInstanceVersion() const
{
    return m_state.instances().all().empty() ? 0 : m_leader->requiredInstanceVersion;
}

void ControllerCore::Implementation::grantLease (RouterConnection connection,
                                                 RouterSession& session,
                                                 const cell::LeaseRequest& request)
{
    const cell::ConfigurationIdentity& inForce = m_state.configuration().identity();
    ++m_counters.leasesGranted;
    cell::LeaseGrant grant = m_leader->sessions.grant (session, request, inForce, m_leader->term,
                                                       m_options.routerLease, m_now);
    grant.cellTime = cellTime();
    grant.routers = m_leader->sessions.countRouters();
    sendToRouter (connection, std::move (grant));
}

QuotaBasis ControllerCore::Implementation::quotaBasis() const
{
    return { m_state.configuration().identity().version, m_raft.members().members.size() };
}

void ControllerCore::Implementation::applyTenants()
{
    const config::Catalogue* catalogue = m_state.configuration().catalogue();
    if (catalogue == nullptr)
        return;
    const QuotaBasis basis = quotaBasis();
    const std::vector<config::Tenant>& tenants = catalogue->services.tenants;
    if (m_leader)
    {
        m_leader->quotas.setRouters (m_leader->sessions.countRouters(), m_now);
        if (std::exchange (m_leader->quotaBasis, basis) == basis)
            return;
        m_leader->quotas.setPart (partOfLeader (basis.grantingControllers), m_now);
        m_leader->quotas.setTenants (tenants, m_now);
    }
    else if (m_relay && std::exchange (m_relay->quotaBasis, basis) != basis)
    {
        m_relay->quotas.setTenants (tenants, basis.grantingControllers, m_now);
    }
}

void ControllerCore::Implementation::grantQuota (RouterConnection connection,
                                                 const cell::QuotaRequest& request)
{
    // Another member may be the leader by now and grant from its own bucket.
    if (! holdsLease())
        return;
    sendToRouter (connection, m_leader->quotas.answer (request, m_now));
}

void ControllerCore::Implementation::onLeavingSeen (const cell::RunnerLeavingReport& seen)
{
    m_leader->watch.onLeavingNotice (seen.runner, seen.incarnation);
    observe (seen.runner);
}

void ControllerCore::Implementation::sendTablesIfDue()
{
    const bool isDue = m_leader->isTableDue || m_now >= m_leader->nextTableAt;
    if (isDue)
        refreshTable();
    for (auto& [connection, session] : m_leader->sessions.sessions())
    {
        const bool isBehind =
            session.isTableShared && session.tableVersion != m_leader->table.version();
        if (isDue || isBehind)
            sendTable (connection, session);
    }
}

void ControllerCore::Implementation::refreshTable()
{
    refreshEstimates();
    std::vector<cell::RoutableReplica> replicas = routableReplicas();
    const std::size_t routers = m_leader->sessions.sessions().size();
    m_leader->isTableDue = false;
    // A shared table stays shared until the cell has shrunk to half of the limit.
    const std::size_t limit = m_options.exactShareLimit / (m_leader->isTableShared ? 2 : 1);
    m_leader->isTableShared = routers * replicas.size() > limit;
    m_leader->nextTableAt =
        m_now + (m_leader->isTableShared ? m_options.reportInterval : kExactInterval);
    if (m_leader->isTableShared)
    {
        shareCredits (replicas);
        m_leader->table.replace (std::move (replicas), m_leader->estimates, m_now);
        return;
    }
    m_leader->rows = std::move (replicas);
    m_leader->exactShare.emplace (m_leader->rows, m_leader->demands, routers);
}

void ControllerCore::Implementation::sendTable (RouterConnection connection, RouterSession& session)
{
    if (! holdsLease())
        return;
    if (m_leader->nextTableAt == base::TimePoint{})
        refreshTable();
    if (session.isTableShared != m_leader->isTableShared)
    {
        session.forgetTable();
        session.isTableShared = m_leader->isTableShared;
    }
    if (m_leader->isTableShared)
    {
        sendSharedTable (connection, session);
    }
    else
    {
        sendExactTable (connection, session);
    }
}

void ControllerCore::Implementation::sendExactTable (RouterConnection connection,
                                                     RouterSession& session)
{
    std::vector<cell::RoutableReplica> replicas = m_leader->rows;
    for (cell::RoutableReplica& replica : replicas)
    {
        replica.load = quantised (replica.load);
        replica.credits = m_leader->exactShare->creditsFor (connection, replica);
    }
    auto update = updateTable (session, std::move (replicas), m_leader->estimates, m_now);
    if (! update)
        return;
    ++m_counters.replicaUpdates;
    sendToRouter (connection, std::move (*update));
}

void ControllerCore::Implementation::sendSharedTable (RouterConnection connection,
                                                      RouterSession& session)
{
    if (! m_leader->table.keepsChangesSince (session.tableVersion))
    {
        // Sending whole tables to all routers at once would delay the leader's heartbeats.
        if (m_now < m_leader->nextWholeTableAt)
            return;
        m_leader->nextWholeTableAt = m_now + kWholeTableInterval;
    }
    for (cell::ReplicaUpdate& update : m_leader->table.updatesSince (session.tableVersion, m_now))
    {
        ++m_counters.replicaUpdates;
        update.term = m_leader->term;
        session.tableVersion = update.toVersion;
        session.tableSentAt = m_now;
        if (update.fromVersion == 0)
            session.wholeTableSentAt = m_now;
        sendToRouter (connection, std::move (update));
    }
}

std::vector<cell::RoutableReplica> ControllerCore::Implementation::routableReplicas() const
{
    std::vector<cell::RoutableReplica> routable;
    const config::Catalogue* catalogue = m_state.configuration().catalogue();
    if (catalogue == nullptr)
        return routable;
    for (const auto& [id, runner] : m_state.replicas().runners())
    {
        if (! runner.takesNewWork())
            continue;
        cell::RoutableReplica entry;
        entry.runner = id;
        entry.incarnation = runner.incarnation;
        entry.zone = runner.machine.zone;
        entry.address = runner.machine.address;
        const RunnerObservation* observation = m_leader->watch.find (id);
        const bool isReported = observation != nullptr && observation->report;
        entry.slots = isReported ? observation->report->slots : 1;
        entry.load =
            isReported ? observation->report->runningRequests + observation->report->waitingRequests
                       : 0;
        for (const base::ApplicationName& name : runner.machine.applications)
        {
            const config::Application* application = catalogue->findApplication (name);
            if (application == nullptr || ! config::allowsZone (application->zones, entry.zone))
                continue;
            cell::RoutableReplica applicationEntry = entry;
            applicationEntry.target = name.value;
            applicationEntry.isApplication = true;
            routable.push_back (std::move (applicationEntry));
        }
        for (const base::ReplicaId replicaId : m_state.replicas().replicasOn (id))
        {
            const cell::Replica& replica = *m_state.replicas().findReplica (replicaId);
            if (replica.stage != cell::ReplicaStage::kReady)
                continue;
            const config::Model* model = catalogue->findModel (replica.model);
            const bool isCurrent = model != nullptr && model->version == replica.version
                                   && config::allowsZone (model->zones, entry.zone);
            if (! isCurrent)
                continue;
            cell::RoutableReplica replicaEntry = entry;
            replicaEntry.replica = replicaId;
            replicaEntry.target = replica.target();
            if (replica.isAdapter())
                replicaEntry.baseModel = replica.model.value;
            routable.push_back (std::move (replicaEntry));
        }
    }
    return routable;
}

void ControllerCore::Implementation::refreshEstimates()
{
    const config::Catalogue* catalogue = m_state.configuration().catalogue();
    if (catalogue == nullptr)
        return;
    ReadyEstimates fresh = estimateTargets (m_state.replicas(), *catalogue, cellTime(), m_now);
    m_leader->estimates = keepSentEstimates (m_leader->estimates, std::move (fresh), m_now);
}

void ControllerCore::Implementation::shareCredits (std::vector<cell::RoutableReplica>& replicas)
{
    const auto routers = static_cast<std::uint32_t> (m_leader->sessions.sessions().size());
    m_leader->newRouterSharers = stableSharerCount (m_leader->newRouterSharers, routers);
    std::map<std::string, std::uint32_t> sharers;
    for (cell::RoutableReplica& replica : replicas)
    {
        auto found = sharers.find (replica.target);
        if (found == sharers.end())
        {
            const auto earlier = m_leader->sharers.find (replica.target);
            const std::uint32_t steady =
                stableSharerCount (earlier == m_leader->sharers.end() ? 0 : earlier->second,
                                   m_leader->demands.sourceCount (replica.target));
            found = sharers.emplace (replica.target, steady).first;
        }
        replica.credits = std::max (replica.slots / found->second, 1U);
        replica.entryCredits = std::max (replica.slots / m_leader->newRouterSharers, 1U);
    }
    m_leader->sharers = std::move (sharers);
}

void ControllerCore::Implementation::flushClaims()
{
    if (auto outcomes = m_leader->claims.takeOutcomes())
    {
        outcomes->proposedAt = cellTime();
        propose (*outcomes, ForNothing{});
    }
    std::uint64_t batch = 0;
    while (auto claims = m_leader->claims.takeClaims (&batch))
    {
        claims->proposedAt = cellTime();
        propose (*claims, ForClaims{ batch });
    }
}

void ControllerCore::Implementation::replyNotLeader (RouterConnection connection)
{
    sendToRouter (connection, cell::NotLeaderReply{ peerAddressOf (m_status.leader) });
}

void ControllerCore::Implementation::sendToRouter (RouterConnection connection,
                                                   cell::ControllerToRouter message)
{
    m_effects.emplace_back (SendToRouter{ connection, std::move (message) });
}

}  // namespace fernlift::controller
