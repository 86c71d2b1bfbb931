// Runs the placement policy on the leader's view of the cell and proposes its decisions.

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Minimum time between placement rounds, so that the demand of many routers that arrives within it
/// is placed in one round.
constexpr base::Duration kPlacementSpacing = base::milliseconds (20);

}  // namespace

void ControllerCore::Implementation::placeIfDue()
{
    const bool isDue = m_leader->isPlacementDue && m_leader->placementProposals == 0
                       && m_now >= m_leader->nextPlacementAt;
    if (! isDue || m_isStopping || ! holdsLease())
        return;
    m_leader->isPlacementDue = false;
    m_leader->nextPlacementAt = m_now + kPlacementSpacing;
    ++m_counters.placementRounds;
    const placement::Snapshot snapshot = placementSnapshot();
    for (const placement::Decision& decision : placement::decide (snapshot))
    {
        proposeDecision (decision);
    }
}

placement::Snapshot ControllerCore::Implementation::placementSnapshot()
{
    placement::Snapshot snapshot;
    snapshot.catalogue = m_state.configuration().catalogue();
    snapshot.demands = m_leader->demands.totals();
    snapshot.keepAlive = m_options.keepAlive;
    std::erase_if (m_leader->failures, [&] (const auto& entry)
                   { return m_now > entry.second.avoidedUntil + base::seconds (600); });
    for (const auto& [key, failure] : m_leader->failures)
    {
        if (m_now < failure.avoidedUntil)
            snapshot.avoided.insert (key);
    }
    removeStaleReplicaRecords();
    addRunnerViews (snapshot);
    addReplicaViews (snapshot);
    if (snapshot.catalogue != nullptr)
    {
        m_leader->storeLoadLimiter.observe (snapshot.catalogue->weightStore, snapshot.replicas,
                                            m_now);
        snapshot.storeConcurrency = m_leader->storeLoadLimiter.concurrency();
        snapshot.storeStarts = m_leader->storeLoadLimiter.startsAllowed();
    }
    return snapshot;
}

void ControllerCore::Implementation::addRunnerViews (placement::Snapshot& snapshot) const
{
    for (const auto& [id, runner] : m_state.replicas().runners())
    {
        if (runner.machine.role != engine::MachineRole::kModelRunner)
            continue;
        placement::RunnerView view;
        view.runner = id;
        view.incarnation = runner.incarnation;
        view.zone = runner.machine.zone;
        view.totalMemory = runner.machine.memory;
        view.reservedMemory = m_state.replicas().reservedMemory (id);
        view.accelerators = std::max (runner.machine.accelerators, 1U);
        view.takesNewWork = runner.takesNewWork();
        view.isResponsive = m_leader->watch.isResponsive (id, m_now);
        const RunnerObservation* observation = m_leader->watch.find (id);
        if (observation != nullptr && observation->report)
        {
            view.slots = std::max (observation->report->slots, 1U);
            view.checkpoints = &observation->checkpoints;
        }
        snapshot.runners.push_back (std::move (view));
    }
}

void ControllerCore::Implementation::addReplicaViews (placement::Snapshot& snapshot)
{
    std::map<base::ReplicaId, std::uint32_t> active;
    for (const auto& [runner, observation] : m_leader->watch.observations())
    {
        if (! observation.report)
            continue;
        for (const engine::ReplicaReport& replica : observation.report->replicas)
        {
            active[replica.replica] = replica.runningRequests + replica.waitingRequests;
        }
    }
    for (const auto& [id, replica] : m_state.replicas().replicas())
    {
        placement::ReplicaView view;
        view.replica = replica;
        view.activeRequests = active[id];
        base::TimePoint& lastUse = m_leader->lastUse.try_emplace (id, m_now).first->second;
        const bool isAskedFor = snapshot.demands.count (replica.target()) != 0;
        if (isAskedFor)
            lastUse = m_now;
        view.idleFor = m_now - lastUse;
        view.usesStore =
            m_leader->usesStore.try_emplace (id, loadsFromStore (replica)).first->second;
        if (replica.readyAt != 0)
        {
            const base::UnixMilliseconds readyFor = cellTime() - replica.readyAt;
            view.readyFor = base::milliseconds (std::max<base::UnixMilliseconds> (readyFor, 0));
        }
        snapshot.replicas.push_back (std::move (view));
    }
}

void ControllerCore::Implementation::removeStaleReplicaRecords()
{
    const auto isGone = [&] (const auto& entry)
    { return m_state.replicas().findReplica (entry.first) == nullptr; };
    std::erase_if (m_leader->lastUse, isGone);
    std::erase_if (m_leader->usesStore, isGone);
}

bool ControllerCore::Implementation::loadsFromStore (const cell::Replica& replica) const
{
    const RunnerObservation* observation = m_leader->watch.find (replica.runner);
    // A load that began under an earlier leader is assumed to use the store, which is the worst
    // case.
    if (observation == nullptr || replica.decidedAt < m_leader->unixSince)
        return true;
    return observation->checkpoints.count (replica.target()) == 0;
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
        if (m_leader->busyReplicas.count (unload.replica) != 0)
            return;
        command = cell::DecideUnload{ unload.replica, unload.reason, cellTime() };
    }
    if (propose (command, ForPlacement{}))
        ++m_leader->placementProposals;
}

}  // namespace fernlift::controller
