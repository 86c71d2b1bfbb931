#include "placement/Plan.h"

#include <algorithm>

namespace fernlift::placement
{
namespace
{

using cell::ReplicaStage;

/// A base model that was loaded for an adapter counts as in use for this long after it became
/// ready.
constexpr base::Duration kAdapterGrace = base::seconds (10);
/// Time without waiting requests after which a load counts as abandoned.
constexpr base::Duration kAbandonedAfter = base::seconds (2);

}  // namespace

Plan::Plan (const Snapshot& snapshot)
    : m_snapshot (snapshot),
      m_storeStarts (snapshot.storeStarts),
      m_storeConcurrency (
          std::min (snapshot.storeConcurrency, snapshot.catalogue->weightStore.concurrentLoads))
{
    for (const RunnerView& runner : snapshot.runners)
    {
        m_runnerIndex[runner.runner] = m_plannedRunners.size();
        const engine::Megabytes free = runner.totalMemory > runner.reservedMemory
                                           ? runner.totalMemory - runner.reservedMemory
                                           : 0;
        m_plannedRunners.push_back (PlannedRunner{ &runner, free, 0, {} });
    }
    for (const ReplicaView& view : snapshot.replicas)
    {
        const cell::Replica& replica = view.replica;
        ++m_counts[replica.target()];
        m_byTarget[replica.target()].push_back (&view);
        m_byId[replica.id] = &view;
        if (replica.isAdapter())
            m_adapters[replica.baseReplica].push_back (&view);
        if (replica.stage == ReplicaStage::kLoading && view.usesStore)
            ++m_storeLoads;
        const auto planned = m_runnerIndex.find (replica.runner);
        if (planned == m_runnerIndex.end())
            continue;
        m_plannedRunners[planned->second].replicas.push_back (&view);
        if (replica.stage == ReplicaStage::kUnloading)
        {
            m_plannedRunners[planned->second].beingFreed += replica.memory;
        }
    }
}

const Plan::PlannedRunner* Plan::plannedRunnerOf (const base::RunnerId& runner) const
{
    const auto found = m_runnerIndex.find (runner);
    return found == m_runnerIndex.end() ? nullptr : &m_plannedRunners[found->second];
}

Plan::PlannedRunner& Plan::mutableRunner (const base::RunnerId& runner)
{
    return m_plannedRunners[m_runnerIndex.at (runner)];
}

Target Plan::targetNamed (const std::string& name) const
{
    const config::Catalogue& catalogue = *m_snapshot.catalogue;
    if (const config::Model* model = catalogue.findModel (base::ModelName (name)))
    {
        return { model, nullptr };
    }
    const config::Adapter* adapter = catalogue.findAdapter (base::AdapterName (name));
    if (adapter == nullptr)
        return {};
    return { catalogue.findModel (adapter->base), adapter };
}

const TargetDemand& Plan::demandOf (const std::string& target) const
{
    static const TargetDemand kNone;
    const auto found = m_snapshot.demands.find (target);
    return found == m_snapshot.demands.end() ? kNone : found->second;
}

int Plan::urgencyOf (const std::string& name) const
{
    const Target target = targetNamed (name);
    if (target.model == nullptr)
        return kMinUrgency;
    const base::RequestClassName& className =
        target.adapter != nullptr ? target.adapter->defaultClass : target.model->defaultClass;
    const config::RequestClass* requestClass = m_snapshot.catalogue->findClass (className);
    const TargetDemand& demand = demandOf (name);
    int urgency = requestClass == nullptr ? kMinUrgency : requestClass->urgency;
    if (demand.running > 0)
        urgency = std::min (urgency, demand.mostUrgent);
    if (demand.running == 0 && demand.waiting > 0)
        urgency = demand.mostUrgent;
    if (target.adapter != nullptr)
        return urgency;
    for (const config::Adapter& adapter : m_snapshot.catalogue->adapters)
    {
        if (adapter.base != target.model->name)
            continue;
        const TargetDemand& adapterDemand = demandOf (adapter.name.value);
        if (adapterDemand.waiting > 0)
            urgency = std::min (urgency, adapterDemand.mostUrgent);
    }
    return urgency;
}

std::uint32_t Plan::counted (const Target& target) const
{
    const auto found = m_counts.find (target.name());
    return found == m_counts.end() ? 0 : found->second;
}

std::vector<const ReplicaView*> Plan::all (const std::string& target) const
{
    const auto found = m_byTarget.find (target);
    return found == m_byTarget.end() ? std::vector<const ReplicaView*>() : found->second;
}

std::vector<const ReplicaView*> Plan::usable (const std::string& target) const
{
    std::vector<const ReplicaView*> result;
    for (const ReplicaView* view : all (target))
    {
        const PlannedRunner* planned = plannedRunnerOf (view->replica.runner);
        const bool isServing = planned != nullptr && planned->runner->takesNewWork
                               && planned->runner->isResponsive && ! isUnloading (*view)
                               && ! isOutdated (*view);
        if (isServing)
            result.push_back (view);
    }
    return result;
}

const std::vector<const ReplicaView*>& Plan::adaptersOn (base::ReplicaId replica) const
{
    static const std::vector<const ReplicaView*> kNone;
    const auto found = m_adapters.find (replica);
    return found == m_adapters.end() ? kNone : found->second;
}

bool Plan::isUnloading (const ReplicaView& view) const
{
    return view.replica.stage == ReplicaStage::kUnloading
           || m_unloaded.count (view.replica.id) != 0;
}

bool Plan::isOutdated (const ReplicaView& view) const
{
    const cell::Replica& replica = view.replica;
    if (! hasCurrentVersion (replica))
        return true;
    if (! replica.isAdapter())
        return false;
    const auto base = m_byId.find (replica.baseReplica);
    return base == m_byId.end() || ! hasCurrentVersion (base->second->replica);
}

bool Plan::hasCurrentVersion (const cell::Replica& replica) const
{
    const Target target = targetNamed (replica.target());
    if (target.model == nullptr || target.model->name != replica.model)
        return false;
    if ((target.adapter != nullptr) != replica.isAdapter())
        return false;
    if (target.memory() != replica.memory || target.model->version != replica.version)
        return false;
    const PlannedRunner* planned = plannedRunnerOf (replica.runner);
    return planned == nullptr || config::allowsZone (target.model->zones, planned->runner->zone);
}

bool Plan::isInUse (const ReplicaView& view) const
{
    const TargetDemand& demand = demandOf (view.replica.target());
    const bool isRequested = view.activeRequests > 0 || demand.waiting > 0 || demand.running > 0;
    return isRequested || isWantedForAdapter (view);
}

bool Plan::isWantedForAdapter (const ReplicaView& view) const
{
    const bool isFresh =
        view.replica.stage == ReplicaStage::kLoading || view.readyFor < kAdapterGrace;
    if (view.replica.isAdapter() || ! isFresh)
        return false;
    const std::vector<config::Adapter>& adapters = m_snapshot.catalogue->adapters;
    return std::any_of (adapters.begin(), adapters.end(),
                        [&] (const config::Adapter& adapter) {
                            return adapter.base == view.replica.model
                                   && demandOf (adapter.name.value).waiting > 0;
                        });
}

bool Plan::isAbandonedLoad (const ReplicaView& view) const
{
    return view.replica.stage == ReplicaStage::kLoading && ! isUnloading (view) && ! isInUse (view)
           && ! isKeptByMinimum (view) && view.idleFor >= kAbandonedAfter;
}

bool Plan::isKeptByMinimum (const ReplicaView& view) const
{
    if (view.replica.isAdapter())
        return false;
    const Target target = targetNamed (view.replica.target());
    if (target.model == nullptr)
        return false;
    return usable (view.replica.target()).size() <= target.model->minReplicas;
}

engine::CheckpointPlace Plan::placeOf (const RunnerView& runner, const std::string& target)
{
    if (runner.checkpoints == nullptr)
        return engine::CheckpointPlace::kRemote;
    const auto found = runner.checkpoints->find (target);
    return found == runner.checkpoints->end() ? engine::CheckpointPlace::kRemote : found->second;
}

bool Plan::mayLoad (const std::string& target, const RunnerView& runner) const
{
    if (placeOf (runner, target) != engine::CheckpointPlace::kRemote)
        return true;
    return ! isStoreFull() && m_storeStarts > 0;
}

bool Plan::isAvoided (const std::string& target, const base::RunnerId& runner) const
{
    return m_snapshot.avoided.count ({ target, runner }) != 0;
}

void Plan::load (const Target& target, const base::RunnerId& runner, base::ReplicaId baseReplica,
                 std::string reason)
{
    PlannedRunner& planned = mutableRunner (runner);
    const base::AdapterName adapter =
        target.adapter != nullptr ? target.adapter->name : base::AdapterName();
    planned.free -= std::min (planned.free, target.memory());
    ++m_counts[target.name()];
    m_plannedZones[target.name()].insert (planned.runner->zone);
    if (placeOf (*planned.runner, target.name()) == engine::CheckpointPlace::kRemote)
    {
        ++m_storeLoads;
        --m_storeStarts;
    }
    if (target.adapter == nullptr)
        m_plannedModels.insert (target.model->name);
    m_decisions.emplace_back (LoadDecision{ runner, planned.runner->incarnation, target.model->name,
                                            adapter, baseReplica, std::move (reason) });
}

std::set<base::ZoneName> Plan::plannedZones (const std::string& target) const
{
    const auto found = m_plannedZones.find (target);
    return found == m_plannedZones.end() ? std::set<base::ZoneName>() : found->second;
}

bool Plan::takeBaseLoad (const base::ModelName& model)
{
    const auto found = m_baseLoads.find (model);
    if (found == m_baseLoads.end() || found->second == 0)
        return false;
    --found->second;
    return true;
}

void Plan::unload (const ReplicaView& view, const std::string& reason)
{
    bool adaptersRide = false;
    for (const ReplicaView* adapter : adaptersOn (view.replica.id))
    {
        adaptersRide = true;
        unloadOne (*adapter, reason);
    }
    if (! adaptersRide)
        unloadOne (view, reason);
}

void Plan::unloadOne (const ReplicaView& view, const std::string& reason)
{
    if (isUnloading (view))
        return;
    m_unloaded.insert (view.replica.id);
    const bool givesBackStore = view.replica.stage == ReplicaStage::kLoading && view.usesStore;
    if (givesBackStore)
        --m_storeLoads;
    if (m_runnerIndex.count (view.replica.runner) != 0)
    {
        mutableRunner (view.replica.runner).beingFreed += view.replica.memory;
    }
    m_decisions.emplace_back (UnloadDecision{ view.replica.id, reason });
}

void Plan::setAside (const base::RunnerId& runner, engine::Megabytes memory)
{
    PlannedRunner& planned = mutableRunner (runner);
    const engine::Megabytes fromFree = std::min (planned.free, memory);
    planned.free -= fromFree;
    planned.beingFreed -= std::min (planned.beingFreed, memory - fromFree);
}

}  // namespace fernlift::placement
