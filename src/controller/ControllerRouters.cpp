// Duties of the leader towards routers: configuration, leases, replica tables and claims.

#include <bit>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Exact shares follow the demand at this interval.
constexpr base::Duration kExactInterval = base::milliseconds (100);

/// Whole shared tables go out one after the other at this interval at least.
constexpr base::Duration kWholeTableInterval = base::milliseconds (10);

/// Load in steps of a power of two, so that small changes cost no message.
std::uint32_t quantised (std::uint32_t load) { return std::bit_floor (load); }

}  // namespace

void ControllerCore::Implementation::onRouterMessage (RouterConnection connection,
                                                      const cell::RouterToController& message)
{
    if (! leader_)
    {
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
    else if (leader_->sessions.find (connection) == nullptr)
    {
        replyNotLeader (connection);
    }
    else if (const auto* lease = std::get_if<cell::LeaseRequest> (&message))
    {
        onLeaseRequest (connection, *lease);
    }
    else if (const auto* demand = std::get_if<cell::DemandReport> (&message))
    {
        onDemand (connection, *demand);
    }
    else if (const auto* claim = std::get_if<cell::ClaimRequest> (&message))
    {
        counters_.claims += claim->claims.size();
        if (auto refusal = leader_->claims.add (connection, *claim))
        {
            sendToRouter (connection, std::move (*refusal));
        }
    }
    else if (const auto* outcome = std::get_if<cell::OutcomeReport> (&message))
    {
        leader_->claims.add (*outcome);
    }
    else if (const auto* engineDemand = std::get_if<cell::EngineDemandReport> (&message))
    {
        leader_->engines.onDemand (connection, engineDemand->demands, now_);
        leader_->isEnginePlacementDue = true;
    }
    else if (const auto* unreachable = std::get_if<cell::InstanceUnreachable> (&message))
    {
        leader_->instances.onUnreachable (unreachable->instance, now_);
        leader_->isInstanceTableDue = true;
        leader_->isEnginePlacementDue = true;
    }
    else if (const auto* seen = std::get_if<cell::RunnerLeavingSeen> (&message))
    {
        onLeavingSeen (*seen);
    }
    drain();
}

void ControllerCore::Implementation::onDemand (RouterConnection connection,
                                               const cell::DemandReport& report)
{
    leader_->demands.report (connection, report, now_);
    for (const cell::Demand& demand : report.demands)
    {
        if (demand.waiting > 0)
            leader_->isPlacementDue = true;
        const auto told = leader_->sharers.find (demand.target);
        const bool isCrowded = told != leader_->sharers.end()
                               && leader_->demands.askers (demand.target) > told->second;
        if (isCrowded)
            leader_->isTableDue = true;
    }
}

void ControllerCore::Implementation::onRouterGone (RouterConnection connection)
{
    if (! leader_)
        return;
    leader_->sessions.close (connection);
    leader_->demands.forget (connection);
    leader_->engines.onRouterGone (connection);
    leader_->isTableDue = true;
}

void ControllerCore::Implementation::onHello (RouterConnection connection,
                                              const cell::RouterHello& hello)
{
    if (hello.cell != options_.cell)
    {
        replyNotLeader (connection);
        return;
    }
    RouterSession& session = leader_->sessions.open (connection, hello, now_);
    // A router that comes back to the same leader only needs what changed since.
    const bool holdsTable = leader_->isTableShared && hello.replicaTableTerm == leader_->term
                            && hello.replicaTableVersion <= leader_->table.version();
    if (holdsTable)
    {
        session.isTableShared = true;
        session.tableVersion = hello.replicaTableVersion;
    }
    sendConfiguration (connection, session);
    sendTable (connection, session);
    sendInstances (connection, session);
}

void ControllerCore::Implementation::onLeaseRequest (RouterConnection connection,
                                                     const cell::LeaseRequest& request)
{
    const bool mayGrant =
        holdsLease() || options_.plantedFault == cell::PlantedFault::kLeaseWithoutLeaderLease;
    if (! mayGrant)
    {
        ++counters_.leasesWithheld;
        return;
    }
    RouterSession& session = *leader_->sessions.find (connection);
    const cell::ConfigurationIdentity& inForce = state_.configuration().identity();
    if (leader_->sessions.onLeaseRequest (session, request, inForce, now_))
    {
        session.sentVersion = 0;
        sendConfiguration (connection, session);
    }
    sendTable (connection, session);
    sendInstances (connection, session);
    // Nothing can be granted before there is a configuration.
    if (inForce.version == 0)
        return;
    ++counters_.leasesGranted;
    cell::LeaseGrant grant =
        leader_->sessions.grant (session, request, inForce, leader_->term, now_);
    grant.cellTime = cellTime();
    sendToRouter (connection, std::move (grant));
}

void ControllerCore::Implementation::onLeavingSeen (const cell::RunnerLeavingSeen& seen)
{
    leader_->watch.onLeavingSign (seen.runner, seen.incarnation);
    observe (seen.runner);
}

void ControllerCore::Implementation::sendConfiguration (RouterConnection connection,
                                                        RouterSession& session)
{
    const cell::ConfigurationIdentity& inForce = state_.configuration().identity();
    const bool isSame =
        session.sentVersion == inForce.version && session.sentDigest == inForce.digest;
    // A router's configuration never goes back, whatever it claims to have.
    if (isSame || inForce.version == 0 || session.configurationVersion > inForce.version)
        return;
    if (! holdsLease())
        return;
    leader_->configurationChange.note (inForce, state_.configuration().text());
    cell::ConfigurationUpdate update =
        leader_->configurationChange.updateFrom (session.sentVersion, session.sentDigest);
    session.sentVersion = inForce.version;
    session.sentDigest = inForce.digest;
    session.configurationSentAt = now_;
    sendToRouter (connection, std::move (update));
}

void ControllerCore::Implementation::announceConfiguration()
{
    const std::uint64_t version = state_.configuration().identity().version;
    if (leader_->announcedVersion == version || ! holdsLease())
        return;
    leader_->announcedVersion = version;
    sendConfigurationToAll();
}

void ControllerCore::Implementation::sendConfigurationToAll()
{
    for (auto& [connection, session] : leader_->sessions.sessions())
    {
        sendConfiguration (connection, session);
    }
}

void ControllerCore::Implementation::sendTablesIfDue()
{
    const bool isDue = leader_->isTableDue || now_ >= leader_->nextTableAt;
    if (isDue)
        refreshTable();
    for (auto& [connection, session] : leader_->sessions.sessions())
    {
        const bool isBehind =
            session.isTableShared && session.tableVersion != leader_->table.version();
        if (isDue || isBehind)
            sendTable (connection, session);
    }
}

void ControllerCore::Implementation::refreshTable()
{
    refreshEstimates();
    std::vector<cell::RoutableReplica> replicas = routableReplicas();
    const std::size_t routers = leader_->sessions.sessions().size();
    leader_->isTableDue = false;
    // Once shared, the table stays so until the cell is half as large.
    const std::size_t limit = options_.exactShareLimit / (leader_->isTableShared ? 2 : 1);
    leader_->isTableShared = routers * replicas.size() > limit;
    leader_->nextTableAt =
        now_ + (leader_->isTableShared ? options_.reportInterval : kExactInterval);
    if (leader_->isTableShared)
    {
        shareCredits (replicas);
        leader_->table.replace (std::move (replicas), leader_->estimates, now_);
        return;
    }
    leader_->rows = std::move (replicas);
    leader_->exactShare.emplace (leader_->rows, leader_->demands, routers);
}

void ControllerCore::Implementation::sendTable (RouterConnection connection, RouterSession& session)
{
    if (! holdsLease())
        return;
    if (leader_->nextTableAt == base::TimePoint{})
        refreshTable();
    if (session.isTableShared != leader_->isTableShared)
    {
        session.forgetTable();
        session.isTableShared = leader_->isTableShared;
    }
    if (leader_->isTableShared)
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
    std::vector<cell::RoutableReplica> replicas = leader_->rows;
    for (cell::RoutableReplica& replica : replicas)
    {
        replica.load = quantised (replica.load);
        replica.credits = leader_->exactShare->creditsFor (connection, replica);
    }
    auto update = updateTable (session, std::move (replicas), leader_->estimates, now_);
    if (! update)
        return;
    ++counters_.replicaUpdates;
    sendToRouter (connection, std::move (*update));
}

void ControllerCore::Implementation::sendSharedTable (RouterConnection connection,
                                                      RouterSession& session)
{
    if (! leader_->table.keepsChangesSince (session.tableVersion))
    {
        // Whole tables for all routers at once would hold up the leader's heartbeats.
        if (now_ < leader_->nextWholeTableAt)
            return;
        leader_->nextWholeTableAt = now_ + kWholeTableInterval;
    }
    for (cell::ReplicaUpdate& update : leader_->table.updatesSince (session.tableVersion, now_))
    {
        ++counters_.replicaUpdates;
        update.term = leader_->term;
        session.tableVersion = update.toVersion;
        session.tableSentAt = now_;
        if (update.fromVersion == 0)
            session.wholeTableSentAt = now_;
        sendToRouter (connection, std::move (update));
    }
}

std::vector<cell::RoutableReplica> ControllerCore::Implementation::routableReplicas() const
{
    std::vector<cell::RoutableReplica> routable;
    const config::Catalogue* catalogue = state_.configuration().catalogue();
    if (catalogue == nullptr)
        return routable;
    for (const auto& [id, runner] : state_.replicas().runners())
    {
        if (! runner.takesNewWork())
            continue;
        cell::RoutableReplica entry;
        entry.runner = id;
        entry.incarnation = runner.incarnation;
        entry.zone = runner.machine.zone;
        entry.address = runner.machine.address;
        const RunnerSight* sight = leader_->watch.find (id);
        const bool isReported = sight != nullptr && sight->report;
        entry.slots = isReported ? sight->report->slots : 1;
        entry.load =
            isReported ? sight->report->runningRequests + sight->report->waitingRequests : 0;
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
        for (const base::ReplicaId replicaId : state_.replicas().replicasOn (id))
        {
            const cell::Replica& replica = *state_.replicas().findReplica (replicaId);
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
    const config::Catalogue* catalogue = state_.configuration().catalogue();
    if (catalogue == nullptr)
        return;
    ReadyEstimates fresh = estimateTargets (state_.replicas(), *catalogue, cellTime(), now_);
    leader_->estimates = keepStated (leader_->estimates, std::move (fresh), now_);
}

void ControllerCore::Implementation::shareCredits (std::vector<cell::RoutableReplica>& replicas)
{
    const auto routers = static_cast<std::uint32_t> (leader_->sessions.sessions().size());
    leader_->enteringSharers = steadySharers (leader_->enteringSharers, routers);
    std::map<std::string, std::uint32_t> sharers;
    for (cell::RoutableReplica& replica : replicas)
    {
        auto told = sharers.find (replica.target);
        if (told == sharers.end())
        {
            const auto earlier = leader_->sharers.find (replica.target);
            const std::uint32_t steady =
                steadySharers (earlier == leader_->sharers.end() ? 0 : earlier->second,
                               leader_->demands.askers (replica.target));
            told = sharers.emplace (replica.target, steady).first;
        }
        replica.credits = std::max (replica.slots / told->second, 1U);
        replica.entryCredits = std::max (replica.slots / leader_->enteringSharers, 1U);
    }
    leader_->sharers = std::move (sharers);
}

void ControllerCore::Implementation::flushClaims()
{
    if (auto outcomes = leader_->claims.takeOutcomes())
    {
        outcomes->proposedAt = cellTime();
        propose (*outcomes, ForNothing{});
    }
    std::uint64_t batch = 0;
    while (auto claims = leader_->claims.takeClaims (&batch))
    {
        claims->proposedAt = cellTime();
        propose (*claims, ForClaims{ batch });
    }
}

void ControllerCore::Implementation::replyNotLeader (RouterConnection connection)
{
    cell::NotLeaderReply reply;
    for (const consensus::Member& member : status_.members.members)
    {
        if (member.id == status_.leader)
            reply.leaderAddress = member.peerAddress;
    }
    sendToRouter (connection, std::move (reply));
}

void ControllerCore::Implementation::sendToRouter (RouterConnection connection,
                                                   cell::ControllerToRouter message)
{
    effects_.emplace_back (SendToRouter{ connection, std::move (message) });
}

}  // namespace fernlift::controller
