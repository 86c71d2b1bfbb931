// Duties of the leader towards registered runners.

#include <functional>
#include <utility>

#include "base/Overloaded.h"
#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

constexpr base::Duration kHeldModelsInterval = base::milliseconds (300);
/// Time without heartbeats after which an instance is removed; its next heartbeat registers it
/// again.
constexpr base::Duration kRemovalSilence = base::seconds (30);
/// Interval of the search for instances to remove; short compared with kRemovalSilence.
constexpr base::Duration kRemovalInterval = base::seconds (1);
/// Rate of heartbeats up to which the leader keeps the runners that send to it; above it, runners
/// are sent to other controllers. A heartbeat takes about 0.1 ms of processor time, and runners
/// whose controller had no leader for a while all connect to the leader, which can be a third of
/// 3,000 runners.
constexpr double kMaxHeartbeatsPerSecond = 40;
constexpr base::Duration kHeartbeatRateWindow = base::seconds (2);
/// Minimum interval between changes of the table, for each router that receives them.
constexpr base::Duration kTableIntervalForRouter = std::chrono::microseconds (1000);
/// Additional interval, for each row, between whole tables and between sweeps over all rows.
constexpr base::Duration kTableIntervalForRow = std::chrono::microseconds (100);

}  // namespace

void ControllerCore::Implementation::onControl (ControlTicket ticket, const ControlRequest& request)
{
    const auto* heartbeat = std::get_if<InstanceHeartbeat> (&request);
    if (heartbeat != nullptr && ! isUsable (*heartbeat))
    {
        // A refused runner would try one controller after the other, so the heartbeat is
        // acknowledged.
        answerControl (ticket, { ControlVerdict::kDone, "", "" });
        return;
    }
    if (! m_leader || ! holdsLease())
    {
        if (! m_leader && heartbeat != nullptr && relayHeartbeat (*heartbeat))
            answerControl (ticket, { ControlVerdict::kDone, ownAdminAddress(), "" });
        else
            answerNotLeader (ticket);
        return;
    }
    // Requests that change the log are drained at once, all others by the next tick.
    std::visit ([&] (const auto& value) { control (ticket, value); }, request);
}

void ControllerCore::Implementation::control (ControlTicket ticket,
                                              const InstanceHeartbeat& heartbeat)
{
    if (m_leader->instances.isFromPredecessor (heartbeat, m_now))
    {
        answerControl (ticket, { ControlVerdict::kDone, ownAdminAddress(), "" });
        return;
    }
    const cell::ServiceInstance* known = m_state.instances().find (heartbeat.instance.id);
    if (known != nullptr && isOfEarlierIncarnation (heartbeat.instance))
    {
        // The sender has ended; the state of the later incarnation remains valid.
        answerControl (ticket, { ControlVerdict::kDone, ownAdminAddress(), "" });
        return;
    }
    applyHeartbeat (heartbeat);
    if (known != nullptr)
        recordSoftwareVersion (*known, heartbeat.instance.startedAt, heartbeat.softwareVersion);
    m_leader->instanceTable.request();
    const LeavingInstance leaving{ heartbeat.instance.id, false, heartbeat.instance.startedAt };
    if (m_state.instances().differsFromRecorded (heartbeat.instance) || known == nullptr)
    {
        removePredecessors (heartbeat.instance);
        if (heartbeat.instance.isDraining)
            proposeFor (ticket, additionOf (heartbeat), ForLeavingInstance{ ticket, leaving });
        // Additions of one tick are replicated to the other members together.
        else if (! propose (additionOf (heartbeat), ForControl{ ticket }))
            answerNotLeader (ticket);
    }
    else if (heartbeat.instance.isDraining && ! known->isDraining)
    {
        proposeFor (
            ticket,
            cell::DrainInstance{ heartbeat.instance.id, cellTime(), heartbeat.instance.startedAt },
            ForLeavingInstance{ ticket, leaving });
    }
    else if (heartbeat.instance.isDraining)
    {
        // The drain is already committed, perhaps by an earlier leader, but routers may not have
        // received it yet.
        awaitLeaveConfirmation (ticket, leaving);
    }
    else
    {
        answerControl (ticket, { ControlVerdict::kDone, heartbeatAddressFor (known->id), "" });
    }
}

std::string ControllerCore::Implementation::heartbeatAddressFor (const std::string& instance)
{
    m_leader->heartbeats.add (1, kHeartbeatRateWindow, m_now);
    if (m_leader->heartbeats.perSecond (kHeartbeatRateWindow, m_now) <= kMaxHeartbeatsPerSecond)
        return ownAdminAddress();
    // Rendezvous hashing: spreads instances over the controllers, each always to the same one.
    std::string address = ownAdminAddress();
    std::size_t highest = 0;
    for (const auto& [connection, session] : m_leader->sessions.sessions())
    {
        if (! session.isRelay || session.isSuperseded || session.address.empty())
            continue;
        const std::size_t rank = std::hash<std::string>{}(instance + session.address);
        if (rank < highest)
            continue;
        highest = rank;
        address = session.address;
    }
    return address;
}

/// A heartbeat with a wrong service is rejected, since registering its instance would remove the
/// runner that is registered at the address in the heartbeat.
bool ControllerCore::Implementation::isUsable (const InstanceHeartbeat& heartbeat)
{
    const cell::ServiceInstance& instance = heartbeat.instance;
    const cell::ServiceInstance* known = m_state.instances().find (instance.id);
    const bool isOfOtherService =
        known != nullptr && known->service != instance.service
        && ! cell::isEarlierIncarnation (known->startedAt, instance.startedAt);
    const bool isOfNoService =
        m_state.instances().differsFromRecorded (instance) && ! hasService (instance);
    if (! isOfOtherService && ! isOfNoService)
        return true;
    m_effects.emplace_back (RunnerMessageUnusable{
        instance.id,
        (isOfNoService ? "no such service: " : "the runner belongs to another service: ")
            + instance.service });
    return false;
}

bool ControllerCore::Implementation::hasService (const cell::ServiceInstance& instance) const
{
    const config::Catalogue* catalogue = m_state.configuration().catalogue();
    // Before the first configuration with services, any service is accepted.
    const bool hasServices = catalogue != nullptr && ! catalogue->services.services.empty();
    return ! hasServices || catalogue->services.findService (instance.service) != nullptr;
}

bool ControllerCore::Implementation::isOfEarlierIncarnation (
    const cell::ServiceInstance& instance) const
{
    const cell::ServiceInstance* known = m_state.instances().find (instance.id);
    return known != nullptr && cell::isEarlierIncarnation (instance.startedAt, known->startedAt);
}

void ControllerCore::Implementation::applyHeartbeat (const InstanceHeartbeat& heartbeat)
{
    if (! m_leader->instances.onHeartbeat (heartbeat, m_now))
        return;
    placement::EngineHeldModels heldModels;
    heldModels.models = heartbeat.models;
    heldModels.inMemory.insert (heartbeat.inMemory.begin(), heartbeat.inMemory.end());
    heldModels.onDisk.insert (heartbeat.onDisk.begin(), heartbeat.onDisk.end());
    m_leader->engines.onHeartbeat (heartbeat.instance.id, heldModels, m_now);
    requestPlacement();
}

/// Guards against sending requests under the old id of a crashed runner that restarted under
/// another id. Without this removal the old ids are only marked as silent: after a crash of a
/// quarter of 140 runners the wrong instance answers 75 requests a second, and models that only the
/// crashed runners held are not loaded again.
void ControllerCore::Implementation::removePredecessors (const cell::ServiceInstance& instance)
{
    for (std::string& id : m_leader->instances.predecessorsOf (instance))
        propose (cell::RemoveInstance{ std::move (id), false, cellTime() }, ForNothing{});
}

cell::AddInstance ControllerCore::Implementation::additionOf (
    const InstanceHeartbeat& heartbeat) const
{
    cell::ServiceInstance instance = heartbeat.instance;
    instance.isReported = true;
    instance.models = cell::sortedByName (heartbeat.models);
    return { std::move (instance), cellTime(), heartbeat.softwareVersion };
}

void ControllerCore::Implementation::onRelayedHeartbeats (
    const cell::RelayedHeartbeats& relayedHeartbeats)
{
    bool hasAdded = false;
    for (const cell::RelayedHeartbeat& relayed : relayedHeartbeats.relayedHeartbeats)
    {
        const cell::ServiceInstance* known = m_state.instances().find (relayed.instance);
        if (! relayed.hasHeldModels)
        {
            m_leader->instances.onUnchangedHeartbeat (relayed, m_now);
            if (known != nullptr)
                recordSoftwareVersion (*known, relayed.startedAt, relayed.softwareVersion);
            continue;
        }
        const cell::ServiceInstance* reported =
            relayed.first.empty() ? known : &relayed.first.front();
        if (reported == nullptr)
            continue;
        InstanceHeartbeat heartbeat{ *reported,        relayed.sequence, relayed.models,
                                     relayed.inMemory, relayed.onDisk,   relayed.softwareVersion };
        heartbeat.instance.startedAt = relayed.startedAt;
        if (m_leader->instances.isFromPredecessor (heartbeat, m_now)
            || isOfEarlierIncarnation (heartbeat.instance))
            continue;
        applyHeartbeat (heartbeat);
        if (known != nullptr && ! m_state.instances().differsFromRecorded (heartbeat.instance))
        {
            recordSoftwareVersion (*known, relayed.startedAt, relayed.softwareVersion);
            continue;
        }
        removePredecessors (heartbeat.instance);
        hasAdded = propose (additionOf (heartbeat), ForNothing{}) || hasAdded;
    }
    m_leader->instanceTable.request();
    if (hasAdded)
        drain();
}

void ControllerCore::Implementation::control (ControlTicket ticket,
                                              const InstanceDeregistration& request)
{
    // A late deregistration of an earlier incarnation does not concern the present one.
    const base::UnixMilliseconds startedAt =
        request.startedAt != 0 ? request.startedAt
                               : m_state.instances().lastStartOf (request.instance);
    proposeFor (ticket, cell::RemoveInstance{ request.instance, true, cellTime(), startedAt },
                ForLeavingInstance{ ticket, { request.instance, true, startedAt } });
}

void ControllerCore::Implementation::proposeFor (ControlTicket ticket, const cell::Command& command,
                                                 Purpose purpose)
{
    if (propose (command, std::move (purpose)))
        drain();
    else
        answerNotLeader (ticket);
}

void ControllerCore::Implementation::finish (const ForControl& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    m_leader->instanceTable.request();
    sendInstancesIfDue();
    answerControl (purpose.ticket, { ControlVerdict::kDone, ownAdminAddress(), "" });
}

void ControllerCore::Implementation::finish (const ForLeavingInstance& purpose,
                                             base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    awaitLeaveConfirmation (purpose.ticket, purpose.leaving);
}

void ControllerCore::Implementation::awaitLeaveConfirmation (ControlTicket ticket,
                                                             const LeavingInstance& leaving)
{
    PendingLeave& wait = m_leader->pendingLeaves[leaving];
    wait.tickets.push_back (ticket);
    if (wait.tableVersion != 0)
    {
        answerPendingLeaves();
        return;
    }
    m_leader->instanceTable.request();
    sendInstancesIfDue();
}

void ControllerCore::Implementation::answerPendingLeaves()
{
    for (auto& [leaving, wait] : m_leader->pendingLeaves)
    {
        if (wait.tableVersion == 0 || wait.tickets.empty())
            continue;
        wait.isConfirmed = wait.isConfirmed || m_now >= wait.leasesEndAt
                           || m_leader->sessions.isInstanceTableEverywhere (wait.tableVersion,
                                                                            m_leader->since, m_now);
        if (! wait.isConfirmed)
            continue;
        for (const ControlTicket ticket : std::exchange (wait.tickets, {}))
            answerControl (ticket, { ControlVerdict::kDone, ownAdminAddress(), "" });
    }
}

void ControllerCore::Implementation::sendInstancesIfDue()
{
    if (! holdsLease())
        return;
    if (m_leader->engines.hasChangedEngines (m_now))
        m_leader->instanceTable.request();
    const std::size_t routers = m_leader->sessions.sessions().size();
    const base::Duration wholeInterval =
        wholeTableInterval (routers, m_leader->instances.rows().size());
    const bool isSweep = m_leader->instanceSweep.takeDue (m_now, wholeInterval);
    const bool mayBeWhole = m_leader->wholeTable.takeDue (m_now, wholeInterval);
    const bool isDue = m_leader->instanceTable.takeDue (m_now, tableInterval (routers));
    if (! isSweep && ! mayBeWhole && ! isDue)
        return;
    refreshInstances (isSweep);
    if (! sendInstancesToAll (mayBeWhole))
        m_leader->wholeTable.request();
}

void ControllerCore::Implementation::refreshInstances (bool isSweep)
{
    if (isSweep)
        m_leader->instances.refresh (m_state.instances(), m_now);
    else
        m_leader->instances.refreshChanged (m_state.instances(), m_now);
    stateSoftwareHistory();
    refreshEngines (isSweep);
    publishHeldModels (isSweep);
}

base::Duration ControllerCore::Implementation::tableInterval (std::size_t routers)
{
    return static_cast<std::int64_t> (routers) * kTableIntervalForRouter;
}

base::Duration ControllerCore::Implementation::wholeTableInterval (std::size_t routers,
                                                                   std::size_t rows)
{
    return tableInterval (routers) + static_cast<std::int64_t> (rows) * kTableIntervalForRow;
}

void ControllerCore::Implementation::recordAppliedInstances (const cell::Command& command)
{
    InstanceTable& instances = m_leader->instances;
    std::visit (
        base::Overloaded{
            [&] (const cell::AddInstance& add) { instances.onReplicatedChange (add.instance.id); },
            [&] (const cell::DrainInstance& drained)
            { instances.onReplicatedChange (drained.instance); },
            [&] (const cell::RemoveInstance& removed)
            { instances.onReplicatedChange (removed.instance); },
            [&] (const cell::RecordHeldModels& recorded)
            {
                for (const cell::InstanceHeldModels& heldModels : recorded.heldModels)
                    instances.onReplicatedChange (heldModels.instance);
            },
            [] (const auto& /*other*/) {},
        },
        command);
}

bool ControllerCore::Implementation::sendInstancesToAll (bool mayBeWhole)
{
    const std::uint64_t present = m_leader->instances.version();
    for (auto& [leaving, wait] : m_leader->pendingLeaves)
    {
        if (wait.tableVersion != 0)
            continue;
        wait.tableVersion = present;
        wait.leasesEndAt = m_now + m_leader->sessions.maxLeaseDuration();
        m_leader->requiredInstanceVersion = present;
    }
    const InstanceTable& instances = m_leader->instances;
    return sendInstancesTo (
        m_leader->sessions, { present, instances.knownVersions(), instances.rows().size() },
        mayBeWhole, [this] (std::uint64_t version) { return instanceUpdateSince (version); });
}

bool ControllerCore::Implementation::sendInstancesTo (
    RouterSessions& sessions, const TableState& table, bool mayBeWhole,
    const std::function<cell::InstanceUpdate (std::uint64_t)>& updateSince)
{
    bool isComplete = true;
    std::map<std::uint64_t, std::vector<RouterConnection>> behind;
    for (auto& [connection, session] : sessions.sessions())
    {
        // A router that holds no table does not need one without rows.
        const bool needsNothing = session.instanceVersion == 0 && table.rows == 0;
        if (session.instanceVersion >= table.version || needsNothing)
            continue;
        if (! mayBeWhole && ! table.known.contains (session.instanceVersion))
        {
            isComplete = false;
            continue;
        }
        behind[session.instanceVersion].push_back (connection);
        session.instanceVersion = table.version;
        session.instancesSentAt = m_now;
    }
    for (auto& [held, connections] : behind)
    {
        m_effects.emplace_back (BroadcastToRouters{ std::move (connections), updateSince (held) });
    }
    return isComplete;
}

cell::InstanceUpdate ControllerCore::Implementation::instanceUpdateSince (
    std::uint64_t version) const
{
    cell::InstanceUpdate update = m_leader->instances.updateSince (version);
    for (const consensus::Member& member : m_raft.members().members)
    {
        update.controllers.push_back ({ member.peerAddress, member.zone, member.id == m_self });
    }
    update.routers = m_leader->sessions.countRouters();
    update.mustConfirm = version < m_leader->requiredInstanceVersion;
    update.softwareHistory = softwareHistory();
    return update;
}

void ControllerCore::Implementation::runInstanceRoutine()
{
    m_leader->instanceTable.request();
    m_leader->instanceSweep.request();
    requestPlacement();
    sendInstancesIfDue();
    proposeHeldModelsIfDue();
    removeSilent();
}

void ControllerCore::Implementation::removeSilent()
{
    if (m_now < m_leader->nextRemovalAt)
        return;
    m_leader->nextRemovalAt = m_now + kRemovalInterval;
    for (const std::string& id : m_leader->instances.silentFor (kRemovalSilence, m_now))
    {
        const base::UnixMilliseconds startedAt =
            m_leader->instances.rows().at (id).instance.startedAt;
        propose (cell::RemoveInstance{ id, false, cellTime(), startedAt }, ForNothing{});
    }
}

void ControllerCore::Implementation::proposeHeldModelsIfDue()
{
    // The held models of a row change only together with the version of the table.
    const std::uint64_t version = m_leader->instances.version();
    if (m_now < m_leader->nextHeldModelsAt || version == m_leader->recordedHeldModelsVersion)
        return;
    m_leader->nextHeldModelsAt = m_now + kHeldModelsInterval;
    cell::RecordHeldModels command;
    m_leader->instances.visitSince (
        m_leader->recordedHeldModelsVersion,
        [&] (const std::string& id, const cell::RoutableInstance* row)
        {
            const cell::ServiceInstance* agreed = m_state.instances().find (id);
            const bool isKnown = row != nullptr && agreed != nullptr && row->instance.isReported;
            if (isKnown && agreed->models != row->instance.models)
            {
                command.heldModels.push_back (
                    { id, row->instance.models, row->instance.startedAt });
            }
        });
    command.proposedAt = cellTime();
    if (command.heldModels.empty() || propose (command, ForNothing{}))
        m_leader->recordedHeldModelsVersion = version;
}

std::string ControllerCore::Implementation::ownAdminAddress() const
{
    for (const consensus::Member& member : m_raft.members().members)
    {
        if (member.id == m_self)
            return member.adminAddress;
    }
    return {};
}

void ControllerCore::Implementation::answerNotLeader (ControlTicket ticket)
{
    ControlAnswer answer{ ControlVerdict::kUnavailable, "", "" };
    for (const consensus::Member& member : m_raft.members().members)
    {
        if (member.id != m_status.leader || member.id == m_self)
            continue;
        answer = { ControlVerdict::kNotLeader, member.adminAddress, "" };
    }
    answerControl (ticket, std::move (answer));
}

void ControllerCore::Implementation::answerControl (ControlTicket ticket, ControlAnswer answer)
{
    m_effects.emplace_back (AnswerControl{ ticket, std::move (answer) });
}

}  // namespace fernlift::controller
