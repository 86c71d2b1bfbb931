#pragma once

/// Decides what to load and unload on the model runners of a cell: a pure function from a snapshot
/// of the cell to a list of decisions with reasons.

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

/// State of a model runner in a snapshot.
struct RunnerView
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    base::ZoneName zone;
    engine::Megabytes totalMemory = 0;
    engine::Megabytes reservedMemory = 0;  ///< Memory of its replicas in any stage.
    bool takesNewWork = true;              ///< False while leaving or draining.
    bool isResponsive = true;              ///< Whether its reports arrive.
    std::uint32_t slots = 1;               ///< Limit of concurrent requests.
    std::uint32_t accelerators = 1;
    const std::map<std::string, engine::CheckpointPlace>* checkpoints = nullptr;  ///< May be null.
};

/// State of a replica in a snapshot.
struct ReplicaView
{
    cell::Replica replica;
    std::uint32_t activeRequests = 0;  ///< Requests running or queued at the engine.
    base::Duration idleFor{};          ///< Time since it was last in use or requested.
    base::Duration readyFor{};         ///< Time since it became ready; zero before.
    bool usesStore = true;             ///< Whether its load reads from the weight store.
};

/// Requests for one model or adapter, summed over all routers.
struct TargetDemand
{
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    /// Most urgent (lowest) value among the waiting requests; while none wait, among the running
    /// ones that have waited.
    int mostUrgent = 9;
    std::int64_t oldestWaitMilliseconds = 0;
    std::int64_t nearestDeadlineMilliseconds = 0;
};

/// All inputs of decide().
struct Snapshot
{
    const config::Catalogue* catalogue = nullptr;  ///< Null: nothing is decided.
    std::vector<RunnerView> runners;
    std::vector<ReplicaView> replicas;
    std::map<std::string, TargetDemand> demands;  ///< By target.
    /// Targets that are not loaded on a runner for now because a load there failed recently.
    std::set<std::pair<std::string, base::RunnerId>> avoided;
    /// Upper limit of the keep-alive time; the prices may shorten it.
    base::Duration keepAlive{};
    /// Limit of concurrent loads from the weight store, as determined by StoreLoadLimiter. The
    /// limit of the catalogue applies as well.
    std::uint32_t storeConcurrency = std::numeric_limits<std::uint32_t>::max();
    /// Number of loads from the store that may begin now within its rate limit.
    std::uint32_t storeStarts = std::numeric_limits<std::uint32_t>::max();
};

/// Decision to load a model or adapter.
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

/// Decisions for the snapshot, most urgent first. Deterministic.
[[nodiscard]] std::vector<Decision> decide (const Snapshot& snapshot);

}  // namespace fernlift::placement
