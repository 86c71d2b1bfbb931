#include "cell/ReplicaTable.h"

#include <algorithm>
#include <utility>

namespace fernlift::cell
{
namespace
{

constexpr std::size_t kMaxFormerIncarnations = 16;

bool isFormer (const Runner& runner, base::Incarnation incarnation)
{
    const auto& former = runner.formerIncarnations;
    return std::find (former.begin(), former.end(), incarnation) != former.end();
}

void addFormerIncarnation (Runner& runner)
{
    runner.formerIncarnations.push_back (runner.incarnation);
    if (runner.formerIncarnations.size() > kMaxFormerIncarnations)
    {
        runner.formerIncarnations.erase (runner.formerIncarnations.begin());
    }
}

}  // namespace

std::string_view toString (LoadRefusal refusal)
{
    switch (refusal)
    {
        case LoadRefusal::kNone:
            return "granted";
        case LoadRefusal::kNoConfiguration:
            return "no_configuration";
        case LoadRefusal::kUnknownTarget:
            return "unknown_target";
        case LoadRefusal::kUnknownRunner:
            return "unknown_runner";
        case LoadRefusal::kWrongIncarnation:
            return "wrong_incarnation";
        case LoadRefusal::kRunnerNotAvailable:
            return "runner_not_available";
        case LoadRefusal::kZoneNotAllowed:
            return "zone_not_allowed";
        case LoadRefusal::kReplicaBound:
            return "replica_bound";
        case LoadRefusal::kMemory:
            return "memory";
        case LoadRefusal::kBaseNotReady:
            return "base_not_ready";
    }
    return "unknown";
}

std::string_view toString (UnloadRefusal refusal)
{
    switch (refusal)
    {
        case UnloadRefusal::kNone:
            return "granted";
        case UnloadRefusal::kUnknownReplica:
            return "unknown_replica";
        case UnloadRefusal::kHasAdapters:
            return "adapters_ride";
    }
    return "unknown";
}

bool ReplicaTable::observe (const ObserveRunner& command, std::vector<Replica>* released)
{
    const auto found = m_runners.find (command.machine.runner);
    if (found == m_runners.end())
    {
        m_runners[command.machine.runner] =
            Runner{ command.machine, command.incarnation, command.isLeaving, false, {} };
        return true;
    }
    Runner& runner = found->second;
    if (isFormer (runner, command.incarnation))
        return false;
    const Runner before = runner;
    if (runner.incarnation != command.incarnation)
    {
        eraseAllOn (command.machine.runner, released);
        addFormerIncarnation (runner);
        runner.incarnation = command.incarnation;
        runner.isLeaving = command.isLeaving;
    }
    runner.machine = command.machine;
    runner.isLeaving = runner.isLeaving || command.isLeaving;
    return ! (runner == before);
}

bool ReplicaTable::removeRunner (const base::RunnerId& runner, std::vector<Replica>* released)
{
    if (m_runners.count (runner) == 0)
        return false;
    eraseAllOn (runner, released);
    m_uses.erase (runner);
    m_runners.erase (runner);
    return true;
}

bool ReplicaTable::setDraining (const base::RunnerId& runner, bool isDraining)
{
    const auto found = m_runners.find (runner);
    if (found == m_runners.end() || found->second.isDraining == isDraining)
        return false;
    found->second.isDraining = isDraining;
    return true;
}

LoadRefusal ReplicaTable::load (base::LogIndex index, const DecideLoad& command,
                                const config::Catalogue* catalogue)
{
    if (catalogue == nullptr)
        return LoadRefusal::kNoConfiguration;
    Requirement requirement;
    LoadRefusal refusal = checkTarget (command, *catalogue, &requirement);
    if (refusal == LoadRefusal::kNone)
        refusal = checkRunner (command, *catalogue);
    if (refusal == LoadRefusal::kNone)
        refusal = checkCapacity (command, requirement);
    if (refusal != LoadRefusal::kNone)
        return refusal;
    Replica replica;
    replica.id = index;
    replica.model = command.model;
    replica.version = requirement.version;
    replica.adapter = command.adapter;
    replica.baseReplica = command.adapter.empty() ? 0 : command.baseReplica;
    replica.runner = command.runner;
    replica.incarnation = command.incarnation;
    replica.memory = requirement.memory;
    replica.fence = index;
    replica.decidedAt = command.proposedAt;
    insert (replica);
    return LoadRefusal::kNone;
}

LoadRefusal ReplicaTable::checkTarget (const DecideLoad& command,
                                       const config::Catalogue& catalogue,
                                       Requirement* requirement) const
{
    const config::Model* model = catalogue.findModel (command.model);
    if (model == nullptr)
        return LoadRefusal::kUnknownTarget;
    if (command.adapter.empty())
    {
        *requirement = { model->version, model->memory, model->maxReplicas };
        return LoadRefusal::kNone;
    }
    const config::Adapter* adapter = catalogue.findAdapter (command.adapter);
    if (adapter == nullptr || adapter->base != command.model)
        return LoadRefusal::kUnknownTarget;
    const Replica* base = findReplica (command.baseReplica);
    const bool baseFits = base != nullptr && base->stage == ReplicaStage::kReady
                          && base->runner == command.runner && base->model == command.model
                          && ! base->isAdapter();
    if (! baseFits)
        return LoadRefusal::kBaseNotReady;
    *requirement = { base->version, adapter->memory, adapter->maxReplicas };
    return LoadRefusal::kNone;
}

LoadRefusal ReplicaTable::checkRunner (const DecideLoad& command,
                                       const config::Catalogue& catalogue) const
{
    const Runner* runner = findRunner (command.runner);
    if (runner == nullptr)
        return LoadRefusal::kUnknownRunner;
    if (runner->incarnation != command.incarnation)
        return LoadRefusal::kWrongIncarnation;
    if (! runner->takesNewWork() || runner->machine.role != engine::MachineRole::kModelRunner)
    {
        return LoadRefusal::kRunnerNotAvailable;
    }
    const config::Model* model = catalogue.findModel (command.model);
    if (! config::allowsZone (model->zones, runner->machine.zone))
        return LoadRefusal::kZoneNotAllowed;
    return LoadRefusal::kNone;
}

LoadRefusal ReplicaTable::checkCapacity (const DecideLoad& command,
                                         const Requirement& requirement) const
{
    const std::string& target =
        command.adapter.empty() ? command.model.value : command.adapter.value;
    if (count (target) >= requirement.maximumReplicas)
    {
        return LoadRefusal::kReplicaBound;
    }
    const engine::Megabytes total = findRunner (command.runner)->machine.memory;
    const engine::Megabytes reserved = unavailableMemory (command.runner);
    if (reserved > total || requirement.memory > total - reserved)
        return LoadRefusal::kMemory;
    return LoadRefusal::kNone;
}

UnloadRefusal ReplicaTable::unload (base::LogIndex index, base::ReplicaId replica)
{
    const auto found = m_replicas.find (replica);
    if (found == m_replicas.end())
        return UnloadRefusal::kUnknownReplica;
    if (hasAdapters (replica))
        return UnloadRefusal::kHasAdapters;
    found->second.stage = ReplicaStage::kUnloading;
    found->second.fence = index;
    return UnloadRefusal::kNone;
}

bool ReplicaTable::ready (base::ReplicaId replica, base::UnixMilliseconds at)
{
    const auto found = m_replicas.find (replica);
    if (found == m_replicas.end() || found->second.stage != ReplicaStage::kLoading)
        return false;
    found->second.stage = ReplicaStage::kReady;
    found->second.readyAt = at;
    return true;
}

bool ReplicaTable::release (base::ReplicaId replica)
{
    const auto found = m_replicas.find (replica);
    if (found == m_replicas.end() || found->second.stage != ReplicaStage::kUnloading)
        return false;
    erase (replica);
    return true;
}

const Runner* ReplicaTable::findRunner (const base::RunnerId& runner) const
{
    const auto found = m_runners.find (runner);
    return found == m_runners.end() ? nullptr : &found->second;
}

const Replica* ReplicaTable::findReplica (base::ReplicaId replica) const
{
    const auto found = m_replicas.find (replica);
    return found == m_replicas.end() ? nullptr : &found->second;
}

const std::set<base::ReplicaId>& ReplicaTable::replicasOn (const base::RunnerId& runner) const
{
    static const std::set<base::ReplicaId> kNone;
    const auto found = m_uses.find (runner);
    return found == m_uses.end() ? kNone : found->second.replicas;
}

std::uint32_t ReplicaTable::count (const std::string& target) const
{
    const auto found = m_counts.find (target);
    return found == m_counts.end() ? 0 : found->second;
}

engine::Megabytes ReplicaTable::reservedMemory (const base::RunnerId& runner) const
{
    const auto found = m_uses.find (runner);
    return found == m_uses.end() ? 0 : found->second.reserved;
}

engine::Megabytes ReplicaTable::unavailableMemory (const base::RunnerId& runner) const
{
    if (m_fault != PlantedFault::kMemoryCountedWhenReady)
        return reservedMemory (runner);
    engine::Megabytes memory = 0;
    for (const base::ReplicaId id : replicasOn (runner))
    {
        const Replica& replica = *findReplica (id);
        if (replica.stage == ReplicaStage::kReady)
            memory += replica.memory;
    }
    return memory;
}

bool ReplicaTable::hasAdapters (base::ReplicaId replica) const
{
    return m_adaptersOn.count (replica) != 0;
}

void ReplicaTable::insert (const Replica& replica)
{
    m_replicas[replica.id] = replica;
    RunnerUse& use = m_uses[replica.runner];
    use.replicas.insert (replica.id);
    use.reserved += replica.memory;
    ++m_counts[replica.target()];
    if (replica.isAdapter())
        ++m_adaptersOn[replica.baseReplica];
}

void ReplicaTable::erase (base::ReplicaId id)
{
    const auto found = m_replicas.find (id);
    const Replica& replica = found->second;
    RunnerUse& use = m_uses[replica.runner];
    use.replicas.erase (id);
    use.reserved -= replica.memory;
    const auto counted = m_counts.find (replica.target());
    if (--counted->second == 0)
        m_counts.erase (counted);
    if (replica.isAdapter())
    {
        const auto riding = m_adaptersOn.find (replica.baseReplica);
        if (--riding->second == 0)
            m_adaptersOn.erase (riding);
    }
    m_replicas.erase (found);
}

void ReplicaTable::eraseAllOn (const base::RunnerId& runner, std::vector<Replica>* released)
{
    const std::set<base::ReplicaId> ids = replicasOn (runner);
    for (const base::ReplicaId id : ids)
    {
        released->push_back (m_replicas.at (id));
        erase (id);
    }
}

void ReplicaTable::replaceWith (ReplicaTable other)
{
    const PlantedFault fault = m_fault;
    *this = std::move (other);
    m_fault = fault;
}

void ReplicaTable::rebuildIndexes()
{
    m_uses.clear();
    m_counts.clear();
    m_adaptersOn.clear();
    const std::map<base::ReplicaId, Replica> replicas = m_replicas;
    for (const auto& [id, replica] : replicas)
        insert (replica);
}

}  // namespace fernlift::cell
