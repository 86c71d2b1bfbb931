#pragma once

/// Working copy of a snapshot while decisions are made. Tracks the memory of the runners, the
/// replica counts and the load slots of the weight store.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "placement/Placement.h"

namespace fernlift::placement
{

/// A model of the catalogue, or an adapter with its base model.
struct Target
{
    const config::Model* model = nullptr;
    const config::Adapter* adapter = nullptr;  ///< Null for a base model.

    [[nodiscard]] const std::string& name() const
    {
        return adapter != nullptr ? adapter->name.value : model->name.value;
    }
    [[nodiscard]] engine::Megabytes memory() const
    {
        return adapter != nullptr ? adapter->memory : model->memory;
    }
    [[nodiscard]] std::uint32_t maximumReplicas() const
    {
        return adapter != nullptr ? adapter->maxReplicas : model->maxReplicas;
    }
};

/// Urgency of a target of unknown class without waiting requests.
constexpr int kMinUrgency = 9;

class Plan
{
public:
    /// Memory and replicas of one runner, with the decisions made so far.
    struct PlannedRunner
    {
        const RunnerView* runner = nullptr;
        engine::Megabytes free = 0;        ///< Available to a load now.
        engine::Megabytes beingFreed = 0;  ///< Memory of replicas that are unloading.
        std::vector<const ReplicaView*> replicas;
    };

    explicit Plan (const Snapshot& snapshot);

    [[nodiscard]] const Snapshot& snapshot() const { return m_snapshot; }
    [[nodiscard]] const std::vector<PlannedRunner>& plannedRunners() const
    {
        return m_plannedRunners;
    }
    [[nodiscard]] const PlannedRunner* plannedRunnerOf (const base::RunnerId& runner) const;
    /// Looks up a name in the catalogue; `model` is null when there is none.
    [[nodiscard]] Target targetNamed (const std::string& name) const;
    [[nodiscard]] const TargetDemand& demandOf (const std::string& target) const;
    /// Urgency that protects the replicas of a target from eviction: that of its requests and of
    /// those that wait for its adapters, else that of its default class.
    [[nodiscard]] int urgencyOf (const std::string& target) const;

    /// Number of replicas of a target that count against maxReplicas, planned ones included.
    [[nodiscard]] std::uint32_t counted (const Target& target) const;
    /// Replicas of a target that accept new requests, or will once loaded.
    [[nodiscard]] std::vector<const ReplicaView*> usable (const std::string& target) const;
    /// All replicas of a target, in any stage.
    [[nodiscard]] std::vector<const ReplicaView*> all (const std::string& target) const;
    /// Adapters on a base replica.
    [[nodiscard]] const std::vector<const ReplicaView*>& adaptersOn (base::ReplicaId replica) const;
    [[nodiscard]] bool isUnloading (const ReplicaView& replica) const;
    [[nodiscard]] bool isOutdated (const ReplicaView& replica) const;
    /// True while requests run on it, wait for it, or wait for an adapter that will be loaded on
    /// it.
    [[nodiscard]] bool isInUse (const ReplicaView& replica) const;
    /// True while it is loading although no request has waited for it for some time.
    [[nodiscard]] bool isAbandonedLoad (const ReplicaView& replica) const;
    /// True when the target would fall below minReplicas without this replica.
    [[nodiscard]] bool isKeptByMinimum (const ReplicaView& replica) const;
    /// Location of the checkpoint of a target, as seen from a runner.
    [[nodiscard]] static engine::CheckpointPlace placeOf (const RunnerView& runner,
                                                          const std::string& target);
    /// True when the weight store accepts another load, or the load does not need it.
    [[nodiscard]] bool mayLoad (const std::string& target, const RunnerView& runner) const;
    /// True when the limit of concurrent loads from the weight store is reached.
    [[nodiscard]] bool isStoreFull() const { return m_storeLoads >= m_storeConcurrency; }
    [[nodiscard]] bool isAvoided (const std::string& target, const base::RunnerId& runner) const;

    void load (const Target& target, const base::RunnerId& runner, base::ReplicaId baseReplica,
               std::string reason);
    /// Records that a base model is being loaded for an adapter.
    void addBaseLoad (const base::ModelName& model) { ++m_baseLoads[model]; }
    /// Consumes a load recorded by addBaseLoad() for a need of the model itself; false if none is
    /// left.
    bool takeBaseLoad (const base::ModelName& model);
    /// True when this plan loads the model.
    [[nodiscard]] bool plansLoad (const base::ModelName& model) const
    {
        return m_plannedModels.count (model) != 0;
    }
    /// Zones in which this plan loads a target.
    [[nodiscard]] std::set<base::ZoneName> plannedZones (const std::string& target) const;
    /// Unloads the adapters on a replica if there are any, otherwise the replica itself, which is
    /// thus unloaded in a later plan.
    void unload (const ReplicaView& replica, const std::string& reason);
    /// Reserves memory that is free or being freed, so that later needs cannot use it.
    void setAside (const base::RunnerId& runner, engine::Megabytes memory);

    [[nodiscard]] std::vector<Decision> takeDecisions() { return std::move (m_decisions); }

private:
    PlannedRunner& mutableRunner (const base::RunnerId& runner);
    [[nodiscard]] bool hasCurrentVersion (const cell::Replica& replica) const;
    [[nodiscard]] bool isWantedForAdapter (const ReplicaView& replica) const;
    void unloadOne (const ReplicaView& replica, const std::string& reason);

    const Snapshot& m_snapshot;
    std::vector<PlannedRunner> m_plannedRunners;
    std::map<base::RunnerId, std::size_t> m_runnerIndex;
    std::map<std::string, std::uint32_t> m_counts;  ///< By target.
    std::map<std::string, std::vector<const ReplicaView*>> m_byTarget;
    std::map<base::ReplicaId, std::vector<const ReplicaView*>> m_adapters;
    std::map<base::ReplicaId, const ReplicaView*> m_byId;
    std::set<base::ReplicaId> m_unloaded;  ///< Replicas unloaded by this plan.
    std::set<base::ModelName> m_plannedModels;
    std::map<base::ModelName, std::uint32_t> m_baseLoads;
    std::map<std::string, std::set<base::ZoneName>> m_plannedZones;  ///< By target.
    std::uint32_t m_storeLoads = 0;
    std::uint32_t m_storeStarts = 0;
    std::uint32_t m_storeConcurrency = 1;
    std::vector<Decision> m_decisions;
};

}  // namespace fernlift::placement
