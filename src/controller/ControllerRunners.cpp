// Duties of the leader towards runners: polls, reconciliation and orders.

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
    pollMachineList();
    pollRunners();
    for (const base::RunnerId& runner : leader_->orders.waitingRunners())
        sendOrders (runner);
    sendTablesIfDue();
    if (now_ < leader_->nextRoutineAt)
        return;
    leader_->nextRoutineAt = now_ + kRoutineInterval;
    leader_->demands.expire (now_);
    runInstanceRoutine();
    changeMembersIfDue();
    leader_->isPlacementDue = true;
    placeIfDue();
    if (options_.plantedFault == cell::PlantedFault::kReplicaReleasedOnSilence)
    {
        const auto sights = leader_->watch.sights();  // A copy: removeRunner changes it.
        for (const auto& [runner, sight] : sights)
        {
            if (sight.report && ! leader_->watch.isResponsive (runner, now_))
                removeRunner (runner);
        }
    }
}

void ControllerCore::Implementation::pollMachineList()
{
    if (! options_.hasMachineList || leader_->isMachineListPolled
        || now_ < leader_->nextMachineListAt)
        return;
    leader_->isMachineListPolled = true;
    leader_->nextMachineListAt = now_ + options_.machineListInterval;
    effects_.emplace_back (PollMachineList{});
}

void ControllerCore::Implementation::pollRunners()
{
    for (const base::RunnerId& runner : leader_->watch.takeDuePolls (now_))
    {
        const RunnerSight* sight = leader_->watch.find (runner);
        const cell::Runner* known = state_.replicas().findRunner (runner);
        if (! sight->listed && known == nullptr)
        {
            leader_->watch.onReportFailed (runner, now_);
            continue;
        }
        const std::string& address =
            sight->listed ? sight->listed->address : known->machine.address;
        effects_.emplace_back (PollRunner{ runner, address });
    }
}

void ControllerCore::Implementation::onMachineList (const engine::MachineList& list)
{
    if (! leader_)
        return;
    leader_->isMachineListPolled = false;
    const std::vector<base::RunnerId> gone = leader_->watch.onMachineList (list);
    for (const base::RunnerId& runner : gone)
        removeRunner (runner);
    for (const engine::Machine& machine : list.machines)
        observe (machine.runner);
    pollRunners();
    drain();
}

void ControllerCore::Implementation::onMachineListFailed()
{
    if (leader_)
        leader_->isMachineListPolled = false;
}

void ControllerCore::Implementation::onReport (const base::RunnerId& runner,
                                               const engine::Report& report)
{
    if (! leader_)
        return;
    ++counters_.reports;
    leader_->watch.onReport (runner, report, now_);
    noteUse (report);
    observe (runner);
    reconcile (runner);
    drain();
}

void ControllerCore::Implementation::onReportFailed (const base::RunnerId& runner)
{
    if (! leader_)
        return;
    ++counters_.reportsFailed;
    leader_->watch.onReportFailed (runner, now_);
}

void ControllerCore::Implementation::noteUse (const engine::Report& report)
{
    for (const engine::ReplicaReport& replica : report.replicas)
    {
        const bool isUsed = replica.runningRequests + replica.waitingRequests > 0;
        if (isUsed)
            leader_->lastUse[replica.replica] = now_;
    }
}

void ControllerCore::Implementation::observe (const base::RunnerId& runner)
{
    if (leader_->busyRunners.count (runner) != 0)
        return;
    const RunnerSight* sight = leader_->watch.find (runner);
    if (sight == nullptr)
        return;
    std::optional<cell::ObserveRunner> command = observationOf (runner, *sight, state_.replicas());
    if (! command)
        return;
    command->proposedAt = cellTime();
    if (propose (*command, ForRunner{ runner }))
        leader_->busyRunners.insert (runner);
}

void ControllerCore::Implementation::removeRunner (const base::RunnerId& runner)
{
    if (state_.replicas().findRunner (runner) == nullptr)
    {
        leader_->watch.forget (runner);
        return;
    }
    if (leader_->busyRunners.count (runner) != 0)
        return;
    if (! propose (cell::RemoveRunner{ runner, cellTime() }, ForRunner{ runner }))
        return;
    leader_->busyRunners.insert (runner);
    leader_->orders.forget (runner);
    leader_->watch.forget (runner);
}

void ControllerCore::Implementation::reconcile (const base::RunnerId& runner)
{
    const engine::Report& report = *leader_->watch.find (runner)->report;
    const ReportFindings findings = examineReport (runner, report, state_.replicas());
    for (const base::ReplicaId replica : findings.ready)
    {
        leader_->failures.erase ({ state_.replicas().findReplica (replica)->target(), runner });
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
    for (const StrayReplica& stray : findings.strays)
        proposeStray (stray);
}

void ControllerCore::Implementation::failReplica (base::ReplicaId id, const std::string& reason)
{
    if (leader_->busyReplicas.count (id) != 0)
        return;
    const cell::Replica replica = *state_.replicas().findReplica (id);
    if (replica.stage == cell::ReplicaStage::kLoading)
    {
        LoadFailure& failure = leader_->failures[{ replica.target(), replica.runner }];
        const std::uint32_t doublings = std::min (failure.count++, kAvoidanceDoublings);
        failure.avoidedUntil = now_ + kFirstAvoidance * (1 << doublings);
    }
    for (const base::ReplicaId other : state_.replicas().replicasOn (replica.runner))
    {
        const cell::Replica& riding = *state_.replicas().findReplica (other);
        if (riding.baseReplica != id || riding.stage == cell::ReplicaStage::kUnloading)
            continue;
        proposeForReplica (other,
                           cell::DecideUnload{ other, "its base replica: " + reason, cellTime() });
    }
    if (state_.replicas().hasAdapters (id))
        return;
    proposeForReplica (id, cell::DecideUnload{ id, reason, cellTime() });
}

void ControllerCore::Implementation::proposeForReplica (base::ReplicaId replica,
                                                        const cell::Command& command)
{
    if (leader_->busyReplicas.count (replica) != 0)
        return;
    if (propose (command, ForReplica{ replica }))
        leader_->busyReplicas.insert (replica);
}

void ControllerCore::Implementation::proposeStray (const StrayReplica& stray)
{
    const std::pair key (stray.runner, stray.report.replica);
    std::erase_if (leader_->strayPauses, [&] (const auto& entry) { return now_ >= entry.second; });
    if (leader_->busyStrays.count (key) != 0 || leader_->strayPauses.count (key) != 0)
        return;
    if (leader_->orders.hasStray (stray.runner, stray.report.replica))
        return;
    const cell::DecideUnload command{ stray.report.replica, "held by an engine but not decided",
                                      cellTime() };
    if (! propose (command, ForStray{ stray }))
        return;
    ++counters_.strayReplicas;
    leader_->busyStrays.insert (key);
}

void ControllerCore::Implementation::sendOrders()
{
    if (! holdsLease())
        return;
    std::set<base::RunnerId> due;
    due.swap (leader_->ordersDue);
    for (const base::RunnerId& runner : due)
        sendOrders (runner);
}

void ControllerCore::Implementation::sendOrders (const base::RunnerId& runner)
{
    const cell::Runner* known = state_.replicas().findRunner (runner);
    if (known == nullptr)
    {
        leader_->orders.forget (runner);
        return;
    }
    std::optional<engine::Order> order = leader_->orders.next (runner, state_.replicas(), now_);
    if (! order)
        return;
    ++counters_.ordersSent;
    effects_.emplace_back (SendOrder{ runner, known->machine.address, std::move (*order) });
}

void ControllerCore::Implementation::onOrderAnswer (const base::RunnerId& runner,
                                                    const engine::Order& order,
                                                    const engine::OrderAnswer& answer)
{
    if (! leader_)
        return;
    leader_->watch.pollSoon (runner, now_);
    if (answer.accepted)
    {
        ++counters_.ordersAccepted;
        leader_->orders.onAnswered (runner, order.fence);
    }
    else
    {
        ++counters_.ordersRefused;
        onOrderRefused (runner, order, answer);
    }
    leader_->ordersDue.insert (runner);
    drain();
}

void ControllerCore::Implementation::onOrderRefused (const base::RunnerId& runner,
                                                     const engine::Order& order,
                                                     const engine::OrderAnswer& answer)
{
    const bool isLoad = order.kind == engine::OrderKind::kLoadModel
                        || order.kind == engine::OrderKind::kLoadAdapter;
    const cell::Replica* replica = state_.replicas().findReplica (order.replica);
    const bool isCurrent = replica != nullptr && replica->fence == order.fence;
    if (answer.refusal == base::ErrorKind::kIncarnationMismatch)
    {
        // The next report shows the new incarnation; until then the order waits.
        leader_->orders.onFailed (runner, order.fence, now_);
        return;
    }
    if (! isLoad && answer.refusal != base::ErrorKind::kFenceStale)
    {
        leader_->orders.onFailed (runner, order.fence, now_);
        return;
    }
    leader_->orders.onAnswered (runner, order.fence);
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
    // A stale load was taken earlier or never will be: the next report tells which.
}

void ControllerCore::Implementation::onOrderFailed (const base::RunnerId& runner,
                                                    const engine::Order& order)
{
    if (! leader_)
        return;
    ++counters_.ordersFailed;
    leader_->orders.onFailed (runner, order.fence, now_);
}

}  // namespace fernlift::controller
