/**
 * Duties of a member that does not lead: it serves routers and accepts heartbeats on behalf of the
 * leader, so that the leader's work grows with the number of controllers and not with the number of
 * routers. See RouterRelay.h.
 */

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Interval at which the lease of the leader is renewed; short, so that the leases passed on are
/// nearly as long.
constexpr base::Duration kRenewInterval = base::milliseconds (250);
/// Time without a connection to the leader for which heartbeats are still accepted and kept. An
/// election takes up to 0.6 s, and a runner that is turned away opens connections to one controller
/// after the other. It is well below the 3.5 s after which the leader considers a runner silent, in
/// case this member is cut off.
constexpr base::Duration kHeartbeatRetention = base::milliseconds (1500);
/// The same time while consensus has a leader. Otherwise the runners of all members would connect
/// to the new leader while it is still collecting what it needs to serve.
constexpr base::Duration kHeartbeatRetentionWithLeader = base::milliseconds (3000);

}  // namespace

bool ControllerCore::Implementation::relayRouterMessage (RouterConnection connection,
                                                         const cell::RouterToController& message)
{
    if (const auto* hello = std::get_if<cell::RouterHello> (&message))
        return relayHello (connection, *hello);
    RouterSession* session = m_relay->sessions.find (connection);
    if (session == nullptr)
        return false;
    const bool isDone = relayRateMessage (connection, message)
                        || relaySlotReports (connection, message)
                        || onStreamMessage (connection, message);
    if (isDone)
        return true;
    if (const auto* lease = std::get_if<cell::LeaseRequest> (&message))
    {
        relayLeaseRequest (connection, *session, *lease);
    }
    else if (const auto* demand = std::get_if<cell::EngineDemandReport> (&message))
    {
        m_relay->demands.onReport (connection, demand->demands);
    }
    else if (const auto* loads = std::get_if<cell::InstanceLoadReport> (&message))
    {
        m_relay->loadSum.onReport (connection, *loads, m_now);
    }
    else if (const auto* quota = std::get_if<cell::QuotaRequest> (&message))
    {
        if (auto answer = m_relay->quotas.onRequest (connection, *quota, m_now))
            sendToRouter (connection, std::move (answer->grant));
    }
    else if (const auto* reserve = std::get_if<cell::RetryReserveRequests> (&message))
    {
        m_relay->retryReserve.onRequests (connection, *reserve);
    }
    else if (const auto* suspects = std::get_if<cell::SuspectReport> (&message))
    {
        recordReporter (*session, *suspects);
        if (m_relay->session.isConnected())
            m_effects.emplace_back (SendToLeader{ message });
    }
    else if (const auto* unreachable = std::get_if<cell::InstanceUnreachable> (&message))
    {
        m_effects.emplace_back (
            InstanceReportedUnreachable{ unreachable->instance, session->router.value });
        if (m_relay->session.isConnected())
            m_effects.emplace_back (SendToLeader{ message });
    }
    runRelay();
    return true;
}

bool ControllerCore::Implementation::relayHello (RouterConnection connection,
                                                 const cell::RouterHello& hello)
{
    const bool mayServe =
        hello.cell == m_options.cell && hello.acceptsLastKnownState && ! hello.isRelay;
    if (! mayServe)
        return false;
    RouterSession& session = m_relay->sessions.open (connection, hello, m_now);
    sendInitialRates (connection, session, hello);
    announceSlots (connection, hello);
    announceRetryReserve (connection, hello);
    announceStreams (connection, hello);
    recordPeer (connection, hello);
    applyInstanceVersion (session, hello, m_relay->instances.term());
    if (! m_relay->instances.hasTable() && hello.configurationVersion == 0)
    {
        sendLastKnownState (connection);
        session.sentVersion = m_state.configuration().identity().version;
        session.configurationSentAt = m_now;
    }
    m_relay->configurationSend.request();
    m_relay->instanceTable.request();
    m_suspectsSend.request();
    runRelay();
    return true;
}

void ControllerCore::Implementation::applyInstanceVersion (RouterSession& session,
                                                           const cell::RouterHello& hello,
                                                           base::Term term)
{
    // A router that comes from another controller continues with the table it holds, also when that
    // is newer than the one here: an older one would contain runners that have left since.
    if (hello.instanceTerm == term)
        session.instanceVersion = hello.instanceVersion;
}

base::TimePoint ControllerCore::Implementation::relayedLeaseEnd() const
{
    const std::uint64_t version = m_state.configuration().identity().version;
    return version == 0 ? base::TimePoint{} : m_relay->session.leaseEnd (version);
}

void ControllerCore::Implementation::relayLeaseRequest (RouterConnection connection,
                                                        RouterSession& session,
                                                        const cell::LeaseRequest& request)
{
    const cell::ConfigurationIdentity& inForce = m_state.configuration().identity();
    m_relay->sessions.onLeaseRequest (session, request, m_relay->instances.term(), m_now);
    if (m_relay->sessions.needsConfiguration (session, inForce, m_now))
        m_relay->configurationSend.request();
    if (session.instanceVersion != m_relay->instances.version())
        m_relay->instanceTable.request();
    forwardLease (connection, session, request);
    requestLeaseIfConfirmed();
}

void ControllerCore::Implementation::forwardLease (RouterConnection connection,
                                                   RouterSession& session,
                                                   const cell::LeaseRequest& request)
{
    const base::TimePoint end = relayedLeaseEnd();
    if (end <= m_now)
    {
        ++m_counters.leasesWithheld;
        // After a lease has expired here, another controller may still have one.
        if (end != base::TimePoint{})
            sendToRouter (connection, cell::NotLeaderReply{});
        else
            m_relay->pendingLeaseRequests[connection] = request;
        return;
    }
    if (session.reportedInstanceVersion < m_relay->instances.requiredVersion())
    {
        ++m_counters.leasesWithheld;
        return;
    }
    ++m_counters.leasesGranted;
    cell::LeaseGrant grant =
        m_relay->sessions.grant (session, request, m_state.configuration().identity(),
                                 m_relay->session.term(), end - m_now, m_now);
    grant.routers = m_relay->cellRouters;
    sendToRouter (connection, std::move (grant));
}

/// The leader may be waiting for confirmations that routers have just sent.
void ControllerCore::Implementation::requestLeaseIfConfirmed()
{
    const std::uint64_t version = m_state.configuration().identity().version;
    const bool hasAdvanced =
        m_relay->sessions.confirmedVersion (version, {}, m_now) > m_relay->reportedVersion
        || m_relay->sessions.confirmedInstanceVersion (m_relay->instances.version(), m_now)
               > m_relay->reportedInstanceVersion;
    if (hasAdvanced)
        m_relay->session.requestSoon (m_now);
}

void ControllerCore::Implementation::relayRouterGone (RouterConnection connection)
{
    m_relay->pendingLeaseRequests.erase (connection);
    m_relay->sessions.close (connection);
    m_relay->demands.onRouterDisconnected (connection);
    m_relay->loadSum.onReporterDisconnected (connection);
    m_relay->peers.remove (connection);
    m_relay->quotas.onRouterDisconnected (connection);
    m_relay->retryReserve.onRouterDisconnected (connection);
    m_relay->slots.onRouterDisconnected (connection);
    m_relay->streamLookups.onRouterDisconnected (connection);
}

bool ControllerCore::Implementation::relayHeartbeat (const InstanceHeartbeat& heartbeat)
{
    m_relay->hasRunners = true;
    const cell::ServiceInstance* known = m_state.instances().find (heartbeat.instance.id);
    // The acknowledgement of a drain is a guarantee that only the leader can give.
    const bool isPlain =
        ! heartbeat.instance.isDraining && (known == nullptr || ! known->isDraining);
    const base::Duration retention =
        m_status.leader != 0 ? kHeartbeatRetentionWithLeader : kHeartbeatRetention;
    const bool mayKeep =
        m_relay->session.isConnected() || m_now - m_relay->leaderlessSince < retention;
    if (! isPlain || ! mayKeep)
        return false;
    const bool isKnown =
        known != nullptr && ! m_state.instances().differsFromRecorded (heartbeat.instance);
    m_relay->heartbeats.add (heartbeat, isKnown, m_now);
    return true;
}

void ControllerCore::Implementation::runRelay()
{
    if (m_leader || ! m_relay)
        return;
    followLeader();
    sendConfigurationTo (m_relay->sessions, m_relay->configurationSend, m_relay->announcedVersion);
    sendRelayedInstances();
    sendSuspectsTo (m_relay->sessions);
    relayLoads();
    sendRatesTo (m_relay->sessions, m_relay->rateUpdateState);
    sendBrittleServicesTo (m_relay->sessions, m_relay->brittleUpdateState);
    sendPeers();
    if (! m_relay->session.isConnected())
        return;
    reportPeersToLeader();
    sendSlotReportsToLeader();
    if (auto demands = m_relay->demands.takeDue (m_now); ! demands.empty())
        m_effects.emplace_back (SendToLeader{ cell::EngineDemandReport{ std::move (demands) } });
    if (auto quota = m_relay->quotas.takeRequest (m_now))
        m_effects.emplace_back (SendToLeader{ std::move (*quota) });
    if (auto reserve = m_relay->retryReserve.takeRequests (m_now))
        m_effects.emplace_back (SendToLeader{ std::move (*reserve) });
    if (auto relayedHeartbeats = m_relay->heartbeats.takeDue (m_now); ! relayedHeartbeats.empty())
        m_effects.emplace_back (
            SendToLeader{ cell::RelayedHeartbeats{ std::move (relayedHeartbeats) } });
}

void ControllerCore::Implementation::followLeader()
{
    const bool isNeeded = m_relay->session.isConnected() || m_relay->hasRunners
                          || ! m_relay->sessions.sessions().empty();
    if (! isNeeded || m_status.leader == 0 || m_status.leader == m_self)
        return;
    const std::string address = peerAddressOf (m_status.leader);
    if (address.empty())
        return;
    if (std::exchange (m_relay->leader, m_status.leader) != m_status.leader)
        m_relay->session.onNotLeader ({ address }, m_now, m_relay->random);
    const auto due = m_relay->session.poll (m_now);
    if (! due)
        return;
    if (std::holds_alternative<cell::ConnectController> (*due))
        m_effects.emplace_back (ConnectToLeader{ address });
    else
        sendStateToLeader (std::get<cell::LeaseRequest> (*due));
}

void ControllerCore::Implementation::sendStateToLeader (cell::LeaseRequest request)
{
    const cell::ConfigurationIdentity& applied = m_state.configuration().identity();
    request.configurationVersion = m_relay->sessions.confirmedVersion (applied.version, {}, m_now);
    request.configurationDigest = applied.digest;
    request.instanceTerm = m_relay->instances.term();
    request.heldInstanceVersion = m_relay->instances.version();
    request.instanceVersion =
        m_relay->sessions.confirmedInstanceVersion (m_relay->instances.version(), m_now);
    request.routers = m_relay->sessions.countRouters();
    m_relay->reportedVersion = request.configurationVersion;
    m_relay->reportedInstanceVersion = request.instanceVersion;
    m_effects.emplace_back (SendToLeader{ std::move (request) });
}

void ControllerCore::Implementation::onLeaderConnected()
{
    if (m_leader)
        return;
    m_relay->session.onConnected (m_now);
    m_relay->leaderPeers.reset();
    m_relay->cellRouters.reset();
    cell::RouterHello hello;
    hello.router = base::RouterId (m_relay->id);
    hello.cell = m_options.cell;
    hello.isRelay = true;
    hello.features = cell::kReadsInstanceRates | cell::kFollowsTableOfNextLeader
                     | cell::kReadsRouterPeers | cell::kReadsRetryReserve | cell::kReadsStreams
                     | cell::kReadsSlotGrants;
    hello.address = ownAdminAddress();
    hello.configurationVersion =
        m_relay->sessions.confirmedVersion (m_state.configuration().identity().version, {}, m_now);
    hello.instanceTerm = m_relay->instances.term();
    hello.instanceVersion = m_relay->needsWholeTable ? 0 : m_relay->instances.version();
    m_effects.emplace_back (SendToLeader{ std::move (hello) });
    m_relay->demands.resendAll();
    m_relay->loadSum.resendAll();
    m_relay->heartbeats.resendAll();
    m_relay->quotas.onLeaderLost();
    m_relay->rates.onLeaderLost();
    m_relay->retryReserve.onLeaderLost();
    m_relay->slots.onLeaderLost();
    m_relay->streamLookups.onLeaderLost();
    runRelay();
}

void ControllerCore::Implementation::onLeaderLost()
{
    if (m_leader)
        return;
    if (m_relay->session.isConnected())
        m_relay->leaderlessSince = m_now;
    m_relay->session.onLost (m_now, m_relay->random);
    m_relay->quotas.onLeaderLost();
    m_relay->rates.onLeaderLost();
    m_relay->retryReserve.onLeaderLost();
    m_relay->slots.onLeaderLost();
    m_relay->streamLookups.onLeaderLost();
    runRelay();
}

void ControllerCore::Implementation::onLeaderMessage (const cell::ControllerToRouter& message)
{
    if (m_leader)
        return;
    m_relay->session.onMessageReceived (m_now);
    applyLeaderRates (message);
    applyLeaderSlots (message);
    applyLeaderStreams (message);
    if (std::holds_alternative<cell::NotLeaderReply> (message))
    {
        // This member gets the identity of the leader from consensus.
        m_relay->session.onNotLeader ({}, m_now, m_relay->random);
    }
    else if (const auto* grant = std::get_if<cell::LeaseGrant> (&message))
    {
        m_relay->session.onGrant (*grant);
        m_relay->cellRouters = grant->routers;
        m_relay->session.requestBy (m_now + kRenewInterval);
        for (const auto& [connection, request] : std::exchange (m_relay->pendingLeaseRequests, {}))
        {
            if (RouterSession* session = m_relay->sessions.find (connection))
                forwardLease (connection, *session, request);
        }
    }
    else if (const auto* quota = std::get_if<cell::QuotaGrant> (&message))
    {
        for (QuotaRelay::Answer& answer : m_relay->quotas.onGrant (*quota, m_now))
            sendToRouter (answer.router, std::move (answer.grant));
    }
    else if (const auto* instances = std::get_if<cell::InstanceUpdate> (&message))
    {
        applyRelayedInstances (*instances);
    }
    else if (const auto* loads = std::get_if<cell::InstanceLoadUpdate> (&message))
    {
        m_relay->loads.apply (*loads, m_now);
    }
    else if (const auto* peers = std::get_if<cell::RouterPeers> (&message))
    {
        applyLeaderPeers (*peers);
    }
    else if (const auto* reserve = std::get_if<cell::RetryReserveGrants> (&message))
    {
        applyRetryReserveGrants (*reserve);
    }
    else if (std::holds_alternative<cell::SuspectReport> (message))
    {
        sendToAllOf (m_relay->sessions, message);
    }
    runRelay();
}

void ControllerCore::Implementation::applyRelayedInstances (const cell::InstanceUpdate& update)
{
    const base::Term earlier = m_relay->instances.term();
    if (! m_relay->instances.apply (update, m_now))
    {
        // Updates were missed: a new connection gets the whole table. Until then the version that
        // routers must hold stays in force.
        m_relay->needsWholeTable = true;
        m_relay->session.onLost (m_now, m_relay->random);
        return;
    }
    m_relay->needsWholeTable = false;
    if (earlier != update.term)
        m_relay->sessions.forgetInstanceVersions();
    m_relay->instanceTable.request();
    m_relay->loads.keepOnly ([this] (const std::string& instance)
                             { return m_relay->instances.contains (instance); });
    if (update.mustConfirm)
        m_relay->session.requestSoon (m_now);
}

void ControllerCore::Implementation::sendRelayedInstances()
{
    const RelayInstanceTable& instances = m_relay->instances;
    if (! instances.hasTable())
        return;
    const std::size_t routers = m_relay->sessions.sessions().size();
    const bool mayBeWhole =
        m_relay->wholeTable.takeDue (m_now, wholeTableInterval (routers, instances.size()));
    const bool isDue = m_relay->instanceTable.takeDue (m_now, tableInterval (routers));
    if (! mayBeWhole && ! isDue)
        return;
    const TableState table{ instances.version(), instances.knownVersions(), instances.size() };
    const bool isComplete = sendInstancesTo (m_relay->sessions, table, mayBeWhole,
                                             [&] (std::uint64_t version)
                                             { return instances.updateSince (version, m_now); });
    if (! isComplete)
        m_relay->wholeTable.request();
}

/// Called when this member becomes the leader. Its routers find another controller well within
/// their leases.
void ControllerCore::Implementation::endRelay()
{
    m_peersVersion = 0;
    if (! m_relay)
        return;
    for (const auto& [connection, session] : m_relay->sessions.sessions())
        sendToRouter (connection, cell::NotLeaderReply{});
    m_relay.reset();
}

void ControllerCore::Implementation::beginRelay()
{
    const std::string id =
        "controller-" + std::to_string (m_self) + "-" + std::to_string (m_relaySeeds.bits());
    m_peersVersion = 0;
    m_relay.emplace (id, m_relaySeeds.bits(), m_options.routerLease, m_options.quotaTolerance,
                     m_now);
}

RelayStatus ControllerCore::Implementation::relayStatus() const
{
    RelayStatus status;
    if (! m_relay)
        return status;
    status.mayServe = relayedLeaseEnd() > m_now;
    status.routers = m_relay->sessions.countRouters();
    status.configuration = m_state.configuration().identity().version;
    status.instanceVersion = m_relay->instances.version();
    status.term = m_relay->session.term();
    return status;
}

std::string ControllerCore::Implementation::peerAddressOf (base::MemberId id) const
{
    const auto& members = m_raft.members().members;
    const auto found = std::ranges::find (members, id, &consensus::Member::id);
    return found == members.end() ? std::string() : found->peerAddress;
}

}  // namespace fernlift::controller
