#pragma once

/// The working copy of a snapshot in which decisions are tried: room on runners, counts under the
/// replica bounds and the load slots of the weight store.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "placement/Placement.h"

namespace fernlift::placement
{

/// A model, or an adapter with its base model, of the catalogue.
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

/// Urgency of a target without anything waiting, when its class is unknown.
constexpr int kLeastUrgency = 9;

class Plan
{
public:
    /// Room of one runner.
    struct PlannedRunner
    {
        const RunnerView* runner = nullptr;
        engine::Megabytes free = 0;        ///< Can be given to a load now.
        engine::Megabytes beingFreed = 0;  ///< Held by replicas that are being unloaded.
        std::vector<const ReplicaView*> replicas;
    };

    explicit Plan (const Snapshot& snapshot);

    [[nodiscard]] const Snapshot& snapshot() const { return m_snapshot; }
    [[nodiscard]] const std::vector<PlannedRunner>& plannedRunners() const
    {
        return m_plannedRunners;
    }
    [[nodiscard]] const PlannedRunner* plannedRunnerOf (const base::RunnerId& runner) const;
    /// The catalogue's entry for a name; `model` is null when there is none.
    [[nodiscard]] Target targetNamed (const std::string& name) const;
    [[nodiscard]] const TargetDemand& demandOf (const std::string& target) const;
    /// Urgency that protects a target: of its requests, those that wait for adapters on it
    /// included, else of its default class.
    [[nodiscard]] int urgencyOf (const std::string& target) const;

    /// Replicas of a target that count against its bound, planned ones included.
    [[nodiscard]] std::uint32_t counted (const Target& target) const;
    /// Replicas of a target, loading or ready, that can take new requests or soon will.
    [[nodiscard]] std::vector<const ReplicaView*> usable (const std::string& target) const;
    /// Every replica of a target, in any stage.
    [[nodiscard]] std::vector<const ReplicaView*> all (const std::string& target) const;
    /// Adapters on a base replica.
    [[nodiscard]] const std::vector<const ReplicaView*>& adaptersOn (base::ReplicaId replica) const;
    [[nodiscard]] bool isUnloading (const ReplicaView& replica) const;
    [[nodiscard]] bool isOutdated (const ReplicaView& replica) const;
    /// True while requests run or wait for it, or wait for an adapter that is to ride on it.
    [[nodiscard]] bool isInUse (const ReplicaView& replica) const;
    /// True while it loads although nobody has waited for it for a while.
    [[nodiscard]] bool isAbandonedLoad (const ReplicaView& replica) const;
    /// True when the target is not to fall below minReplicas by the loss of this replica.
    [[nodiscard]] bool isKeptByMinimum (const ReplicaView& replica) const;
    /// Where a runner has a target's checkpoint.
    [[nodiscard]] static engine::CheckpointPlace placeOf (const RunnerView& runner,
                                                          const std::string& target);
    /// True when the weight store can take another load, or the load does not need it.
    [[nodiscard]] bool mayLoad (const std::string& target, const RunnerView& runner) const;
    /// True when as many loads use the weight store as it takes at once.
    [[nodiscard]] bool isStoreFull() const { return m_storeLoads >= m_storeConcurrency; }
    [[nodiscard]] bool isAvoided (const std::string& target, const base::RunnerId& runner) const;

    void load (const Target& target, const base::RunnerId& runner, base::ReplicaId baseReplica,
               std::string reason);
    /// Notes that a base model is being loaded for an adapter.
    void addBaseLoad (const base::ModelName& model) { ++m_baseLoads[model]; }
    /// Uses up one such load for a need of the model itself; false when there is none.
    bool takeBaseLoad (const base::ModelName& model);
    /// True when this plan loads the model.
    [[nodiscard]] bool plansLoad (const base::ModelName& model) const
    {
        return m_plannedModels.count (model) != 0;
    }
    /// Zones in which this plan loads a target.
    [[nodiscard]] std::set<base::ZoneName> plannedZones (const std::string& target) const;
    /// Unloads the adapters on a replica first; the replica itself follows once they are gone.
    void unload (const ReplicaView& replica, const std::string& reason);
    /// Sets memory aside that is free or will be, so that no later need counts on it.
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
    std::set<base::ReplicaId> m_unloaded;  ///< By this plan.
    std::set<base::ModelName> m_plannedModels;
    std::map<base::ModelName, std::uint32_t> m_baseLoads;
    std::map<std::string, std::set<base::ZoneName>> m_plannedZones;  ///< By target.
    std::uint32_t m_storeLoads = 0;
    std::uint32_t m_storeStarts = 0;
    std::uint32_t m_storeConcurrency = 1;
    std::vector<Decision> m_decisions;
};

}  // namespace fernlift::placement
