#pragma once

/// Decides what to load and unload in a cell: a pure function of a snapshot of the cell to a list
/// of decisions with reasons.

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/ReplicaTable.h"
#include "config/Catalogue.h"
#include "engine/EngineApi.h"

namespace fernlift::placement
{

/// A model runner as placement sees it.
struct RunnerView
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    base::ZoneName zone;
    engine::Megabytes totalMemory = 0;
    engine::Megabytes reservedMemory = 0;  ///< By every replica that counts, in any stage.
    bool takesNewWork = true;              ///< Not leaving and not draining.
    bool isResponsive = true;              ///< Its reports arrive.
    std::uint32_t slots = 1;               ///< Requests it can run at once.
    std::uint32_t accelerators = 1;
    const std::map<std::string, engine::CheckpointPlace>* checkpoints = nullptr;  ///< May be null.
};

/// A replica as placement sees it.
struct ReplicaView
{
    cell::Replica replica;
    std::uint32_t activeRequests = 0;  ///< Running or waiting at the engine.
    base::Duration idleFor{};          ///< Since it was last in use or asked for.
    base::Duration readyFor{};         ///< Since it became ready; zero before.
    bool usesStore = true;             ///< While it loads: its checkpoint comes from the store.
};

/// Requests of all routers for one model or adapter.
struct TargetDemand
{
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    /// Smallest urgency among the waiting; while none wait, of those that waited before and run
    /// now.
    int mostUrgent = 9;
    std::int64_t oldestWaitMilliseconds = 0;
    std::int64_t nearestDeadlineMilliseconds = 0;
};

/// Everything a decision depends on.
struct Snapshot
{
    const config::Catalogue* catalogue = nullptr;  ///< Null: nothing is decided.
    std::vector<RunnerView> runners;
    std::vector<ReplicaView> replicas;
    std::map<std::string, TargetDemand> demands;  ///< By target.
    /// Targets not to be loaded on a runner for now, because a load there failed lately.
    std::set<std::pair<std::string, base::RunnerId>> avoided;
    /// Longest time a replica is kept idle; the prices may make it shorter.
    base::Duration keepAlive{};
    /// Loads that may use the weight store at once, as found by StorePace; not above the
    /// catalogue's.
    std::uint32_t storeConcurrency = std::numeric_limits<std::uint32_t>::max();
    /// Loads from the store that may begin now without passing its rate.
    std::uint32_t storeStarts = std::numeric_limits<std::uint32_t>::max();
};

/// Load a model or adapter.
struct LoadDecision
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    base::ModelName model;
    base::AdapterName adapter;        ///< Empty for a base model.
    base::ReplicaId baseReplica = 0;  ///< Adapters only.
    std::string reason;

    bool operator== (const LoadDecision&) const = default;
};

struct UnloadDecision
{
    base::ReplicaId replica = 0;
    std::string reason;

    bool operator== (const UnloadDecision&) const = default;
};

using Decision = std::variant<LoadDecision, UnloadDecision>;

/// Decisions for the snapshot, most urgent first. The same snapshot always gives the same list.
[[nodiscard]] std::vector<Decision> decide (const Snapshot& snapshot);

}  // namespace fernlift::placement
