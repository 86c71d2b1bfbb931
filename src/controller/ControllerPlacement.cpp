// Runs placement on the leader's view and proposes its decisions.

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Demand of many routers that comes within this time is placed in one round.
constexpr base::Duration kPlacementSpacing = base::milliseconds (20);

}  // namespace

void ControllerCore::Implementation::placeIfDue()
{
    const bool isDue = leader_->isPlacementDue && leader_->placementProposals == 0
                       && now_ >= leader_->nextPlacementAt;
    if (! isDue || isStopping_ || ! holdsLease())
        return;
    leader_->isPlacementDue = false;
    leader_->nextPlacementAt = now_ + kPlacementSpacing;
    ++counters_.placementRounds;
    const placement::Snapshot snapshot = placementSnapshot();
    for (const placement::Decision& decision : placement::decide (snapshot))
    {
        proposeDecision (decision);
    }
}

placement::Snapshot ControllerCore::Implementation::placementSnapshot()
{
    placement::Snapshot snapshot;
    snapshot.catalogue = state_.configuration().catalogue();
    snapshot.demands = leader_->demands.totals();
    snapshot.keepAlive = options_.keepAlive;
    std::erase_if (leader_->failures, [&] (const auto& entry)
                   { return now_ > entry.second.avoidedUntil + base::seconds (600); });
    for (const auto& [key, failure] : leader_->failures)
    {
        if (now_ < failure.avoidedUntil)
            snapshot.avoided.insert (key);
    }
    forgetGoneReplicas();
    addRunnerViews (snapshot);
    addReplicaViews (snapshot);
    if (snapshot.catalogue != nullptr)
    {
        leader_->storePace.observe (snapshot.catalogue->weightStore, snapshot.replicas, now_);
        snapshot.storeConcurrency = leader_->storePace.concurrency();
        snapshot.storeStarts = leader_->storePace.startsAllowed();
    }
    return snapshot;
}

void ControllerCore::Implementation::addRunnerViews (placement::Snapshot& snapshot) const
{
    for (const auto& [id, runner] : state_.replicas().runners())
    {
        if (runner.machine.role != engine::MachineRole::kModelRunner)
            continue;
        placement::RunnerView view;
        view.runner = id;
        view.incarnation = runner.incarnation;
        view.zone = runner.machine.zone;
        view.totalMemory = runner.machine.memory;
        view.reservedMemory = state_.replicas().reservedMemory (id);
        view.accelerators = std::max (runner.machine.accelerators, 1U);
        view.takesNewWork = runner.takesNewWork();
        view.isResponsive = leader_->watch.isResponsive (id, now_);
        const RunnerSight* sight = leader_->watch.find (id);
        if (sight != nullptr && sight->report)
        {
            view.slots = std::max (sight->report->slots, 1U);
            view.checkpoints = &sight->checkpoints;
        }
        snapshot.runners.push_back (std::move (view));
    }
}

void ControllerCore::Implementation::addReplicaViews (placement::Snapshot& snapshot)
{
    std::map<base::ReplicaId, std::uint32_t> active;
    for (const auto& [runner, sight] : leader_->watch.sights())
    {
        if (! sight.report)
            continue;
        for (const engine::ReplicaReport& replica : sight.report->replicas)
        {
            active[replica.replica] = replica.runningRequests + replica.waitingRequests;
        }
    }
    for (const auto& [id, replica] : state_.replicas().replicas())
    {
        placement::ReplicaView view;
        view.replica = replica;
        view.activeRequests = active[id];
        base::TimePoint& lastUse = leader_->lastUse.try_emplace (id, now_).first->second;
        const bool isAskedFor = snapshot.demands.count (replica.target()) != 0;
        if (isAskedFor)
            lastUse = now_;
        view.idleFor = now_ - lastUse;
        view.usesStore =
            leader_->usesStore.try_emplace (id, loadsFromStore (replica)).first->second;
        if (replica.readyAt != 0)
        {
            const base::UnixMilliseconds readyFor = cellTime() - replica.readyAt;
            view.readyFor = base::milliseconds (std::max<base::UnixMilliseconds> (readyFor, 0));
        }
        snapshot.replicas.push_back (std::move (view));
    }
}

void ControllerCore::Implementation::forgetGoneReplicas()
{
    const auto isGone = [&] (const auto& entry)
    { return state_.replicas().findReplica (entry.first) == nullptr; };
    std::erase_if (leader_->lastUse, isGone);
    std::erase_if (leader_->usesStore, isGone);
}

bool ControllerCore::Implementation::loadsFromStore (const cell::Replica& replica) const
{
    const RunnerSight* sight = leader_->watch.find (replica.runner);
    // Of a load that began under an earlier leader only the worst can be assumed.
    if (sight == nullptr || replica.decidedAt < leader_->unixSince)
        return true;
    return sight->checkpoints.count (replica.target()) == 0;
}

void ControllerCore::Implementation::proposeDecision (const placement::Decision& decision)
{
    cell::Command command;
    if (const auto* load = std::get_if<placement::LoadDecision> (&decision))
    {
        command =
            cell::DecideLoad{ load->runner,      load->incarnation, load->model, load->adapter,
                              load->baseReplica, load->reason,      cellTime() };
    }
    else
    {
        const auto& unload = std::get<placement::UnloadDecision> (decision);
        if (leader_->busyReplicas.count (unload.replica) != 0)
            return;
        command = cell::DecideUnload{ unload.replica, unload.reason, cellTime() };
    }
    if (propose (command, ForPlacement{}))
        ++leader_->placementProposals;
}

}  // namespace fernlift::controller
