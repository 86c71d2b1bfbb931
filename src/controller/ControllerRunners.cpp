// Duties of the leader towards runners: polling, reconciliation and orders.

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

constexpr base::Duration kRoutineInterval = base::milliseconds (100);
constexpr base::Duration kFirstAvoidance = base::seconds (1);
constexpr std::uint32_t kAvoidanceDoublings = 6;

}  // namespace

void ControllerCore::Implementation::runRoutine()
{
    if (! holdsLease())
        return;
    proposeSuspectsIfDue();
    announceLateCrashes();
    pollMachineList();
    pollRunners();
    for (const base::RunnerId& runner : m_leader->orders.waitingRunners())
        sendOrders (runner);
    sendTablesIfDue();
    shareLoads();
    sendRatesTo (m_leader->sessions, m_leader->rateUpdateState);
    pollSlots();
    if (m_now < m_leader->nextRoutineAt)
        return;
    m_leader->nextRoutineAt = m_now + kRoutineInterval;
    m_leader->demands.expire (m_now);
    runInstanceRoutine();
    removeLoadsOfGoneInstances();
    removeRatesOfGoneInstances();
    shareRates();
    shareSlots();
    updatePlacementRates();
    changeMembersIfDue();
    m_leader->isPlacementDue = true;
    placeIfDue();
    if (m_options.plantedFault == cell::PlantedFault::kReplicaReleasedOnSilence)
    {
        const auto observations =
            m_leader->watch.observations();  // A copy: removeRunner changes it.
        for (const auto& [runner, observation] : observations)
        {
            if (observation.report && ! m_leader->watch.isResponsive (runner, m_now))
                removeRunner (runner);
        }
    }
}

void ControllerCore::Implementation::pollMachineList()
{
    if (! m_options.hasMachineList || m_leader->isMachineListPolled
        || m_now < m_leader->nextMachineListAt)
        return;
    m_leader->isMachineListPolled = true;
    m_leader->nextMachineListAt = m_now + m_options.machineListInterval;
    m_effects.emplace_back (PollMachineList{});
}

void ControllerCore::Implementation::pollRunners()
{
    for (const base::RunnerId& runner : m_leader->watch.takeDuePolls (m_now))
    {
        const RunnerObservation* observation = m_leader->watch.find (runner);
        const cell::Runner* known = m_state.replicas().findRunner (runner);
        if (! observation->listed && known == nullptr)
        {
            m_leader->watch.onReportFailed (runner, m_now);
            continue;
        }
        const std::string& address =
            observation->listed ? observation->listed->address : known->machine.address;
        m_effects.emplace_back (PollRunner{ runner, address });
    }
}

void ControllerCore::Implementation::onMachineList (const engine::MachineList& list)
{
    if (! m_leader)
        return;
    m_leader->isMachineListPolled = false;
    const std::vector<base::RunnerId> gone = m_leader->watch.onMachineList (list);
    for (const base::RunnerId& runner : gone)
        removeRunner (runner);
    for (const engine::Machine& machine : list.machines)
        observe (machine.runner);
    pollRunners();
    drain();
}

void ControllerCore::Implementation::onMachineListFailed()
{
    if (m_leader)
        m_leader->isMachineListPolled = false;
}

void ControllerCore::Implementation::onReport (const base::RunnerId& runner,
                                               const engine::Report& report)
{
    if (! m_leader)
        return;
    ++m_counters.reports;
    m_leader->watch.onReport (runner, report, m_now);
    recordUse (report);
    observe (runner);
    reconcile (runner);
    drain();
}

void ControllerCore::Implementation::onReportFailed (const base::RunnerId& runner)
{
    if (! m_leader)
        return;
    ++m_counters.reportsFailed;
    m_leader->watch.onReportFailed (runner, m_now);
}

void ControllerCore::Implementation::recordUse (const engine::Report& report)
{
    for (const engine::ReplicaReport& replica : report.replicas)
    {
        const bool isUsed = replica.runningRequests + replica.waitingRequests > 0;
        if (isUsed)
            m_leader->lastUse[replica.replica] = m_now;
    }
}

void ControllerCore::Implementation::observe (const base::RunnerId& runner)
{
    if (m_leader->busyRunners.count (runner) != 0)
        return;
    const RunnerObservation* observation = m_leader->watch.find (runner);
    if (observation == nullptr)
        return;
    std::optional<cell::ObserveRunner> command =
        observationOf (runner, *observation, m_state.replicas());
    if (! command)
        return;
    command->proposedAt = cellTime();
    if (propose (*command, ForRunner{ runner }))
        m_leader->busyRunners.insert (runner);
}

void ControllerCore::Implementation::removeRunner (const base::RunnerId& runner)
{
    if (m_state.replicas().findRunner (runner) == nullptr)
    {
        m_leader->watch.forget (runner);
        return;
    }
    if (m_leader->busyRunners.count (runner) != 0)
        return;
    if (! propose (cell::RemoveRunner{ runner, cellTime() }, ForRunner{ runner }))
        return;
    m_leader->busyRunners.insert (runner);
    m_leader->orders.forget (runner);
    m_leader->watch.forget (runner);
}

void ControllerCore::Implementation::reconcile (const base::RunnerId& runner)
{
    const engine::Report& report = *m_leader->watch.find (runner)->report;
    const ReportFindings findings = examineReport (runner, report, m_state.replicas());
    for (const base::ReplicaId replica : findings.ready)
    {
        m_leader->failures.erase ({ m_state.replicas().findReplica (replica)->target(), runner });
        proposeForReplica (replica, cell::ReplicaReady{ replica, cellTime() });
    }
    for (const base::ReplicaId replica : findings.released)
    {
        proposeForReplica (
            replica, cell::ReplicaReleased{ replica, "the engine no longer holds it", cellTime() });
    }
    for (const base::ReplicaId replica : findings.failed)
    {
        failReplica (replica, "the engine reports it failed or no longer holds it");
    }
    for (const OrphanedReplica& orphan : findings.orphans)
        proposeOrphanUnload (orphan);
}

void ControllerCore::Implementation::failReplica (base::ReplicaId id, const std::string& reason)
{
    if (m_leader->busyReplicas.count (id) != 0)
        return;
    const cell::Replica replica = *m_state.replicas().findReplica (id);
    if (replica.stage == cell::ReplicaStage::kLoading)
    {
        LoadFailure& failure = m_leader->failures[{ replica.target(), replica.runner }];
        const std::uint32_t doublings = std::min (failure.count++, kAvoidanceDoublings);
        failure.avoidedUntil = m_now + kFirstAvoidance * (1 << doublings);
    }
    for (const base::ReplicaId other : m_state.replicas().replicasOn (replica.runner))
    {
        const cell::Replica& riding = *m_state.replicas().findReplica (other);
        if (riding.baseReplica != id || riding.stage == cell::ReplicaStage::kUnloading)
            continue;
        proposeForReplica (other,
                           cell::DecideUnload{ other, "its base replica: " + reason, cellTime() });
    }
    if (m_state.replicas().hasAdapters (id))
        return;
    proposeForReplica (id, cell::DecideUnload{ id, reason, cellTime() });
}

void ControllerCore::Implementation::proposeForReplica (base::ReplicaId replica,
                                                        const cell::Command& command)
{
    if (m_leader->busyReplicas.count (replica) != 0)
        return;
    if (propose (command, ForReplica{ replica }))
        m_leader->busyReplicas.insert (replica);
}

void ControllerCore::Implementation::proposeOrphanUnload (const OrphanedReplica& orphan)
{
    const std::pair key (orphan.runner, orphan.report.replica);
    std::erase_if (m_leader->orphanUnloadDelays,
                   [&] (const auto& entry) { return m_now >= entry.second; });
    if (m_leader->busyOrphans.count (key) != 0 || m_leader->orphanUnloadDelays.count (key) != 0)
        return;
    if (m_leader->orders.hasOrphan (orphan.runner, orphan.report.replica))
        return;
    const cell::DecideUnload command{ orphan.report.replica, "held by an engine but not decided",
                                      cellTime() };
    if (! propose (command, ForOrphan{ orphan }))
        return;
    ++m_counters.orphanedReplicas;
    m_leader->busyOrphans.insert (key);
}

void ControllerCore::Implementation::sendOrders()
{
    if (! holdsLease())
        return;
    std::set<base::RunnerId> due;
    due.swap (m_leader->ordersDue);
    for (const base::RunnerId& runner : due)
        sendOrders (runner);
}

void ControllerCore::Implementation::sendOrders (const base::RunnerId& runner)
{
    const cell::Runner* known = m_state.replicas().findRunner (runner);
    if (known == nullptr)
    {
        m_leader->orders.forget (runner);
        return;
    }
    std::optional<engine::Order> order = m_leader->orders.next (runner, m_state.replicas(), m_now);
    if (! order)
        return;
    ++m_counters.ordersSent;
    m_effects.emplace_back (SendOrder{ runner, known->machine.address, std::move (*order) });
}

void ControllerCore::Implementation::onOrderAnswer (const base::RunnerId& runner,
                                                    const engine::Order& order,
                                                    const engine::OrderAnswer& answer)
{
    if (! m_leader)
        return;
    m_leader->watch.pollSoon (runner, m_now);
    if (answer.accepted)
    {
        ++m_counters.ordersAccepted;
        m_leader->orders.onAnswered (runner, order.fence);
    }
    else
    {
        ++m_counters.ordersRefused;
        onOrderRefused (runner, order, answer);
    }
    m_leader->ordersDue.insert (runner);
    drain();
}

void ControllerCore::Implementation::onOrderRefused (const base::RunnerId& runner,
                                                     const engine::Order& order,
                                                     const engine::OrderAnswer& answer)
{
    const bool isLoad = order.kind == engine::OrderKind::kLoadModel
                        || order.kind == engine::OrderKind::kLoadAdapter;
    const cell::Replica* replica = m_state.replicas().findReplica (order.replica);
    const bool isCurrent = replica != nullptr && replica->fence == order.fence;
    if (answer.refusal == base::ErrorKind::kIncarnationMismatch)
    {
        // The order waits until a report shows the new incarnation.
        m_leader->orders.onFailed (runner, order.fence, m_now);
        return;
    }
    if (! isLoad && answer.refusal != base::ErrorKind::kFenceStale)
    {
        m_leader->orders.onFailed (runner, order.fence, m_now);
        return;
    }
    m_leader->orders.onAnswered (runner, order.fence);
    if (! isCurrent)
        return;
    const std::string refusal (base::traitsOf (answer.refusal).name);
    if (! isLoad)
    {
        proposeForReplica (
            order.replica,
            cell::DecideUnload{ order.replica, "order refused: " + refusal, cellTime() });
    }
    else if (answer.refusal != base::ErrorKind::kFenceStale)
    {
        failReplica (order.replica, "order refused: " + refusal);
    }
    // A stale load was either accepted earlier or never will be; the next report shows which.
}

void ControllerCore::Implementation::onOrderFailed (const base::RunnerId& runner,
                                                    const engine::Order& order)
{
    if (! m_leader)
        return;
    ++m_counters.ordersFailed;
    m_leader->orders.onFailed (runner, order.fence, m_now);
}

}  // namespace fernlift::controller
