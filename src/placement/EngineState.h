#pragma once

/**
 * State of one registered engine as known to the leader: held models, pending orders and the
 * entries of EngineIndex.
 */

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Time.h"
#include "engine/ServiceEngine.h"

namespace fernlift::placement
{

struct ModelView;

/// An order that an engine is executing or may be executing.
struct PendingOrder
{
    engine::ServiceOrder order;
    base::TimePoint sentAt{};
    bool isFromStore = false;  ///< Whether the load counts against the rate of the weight store.
};

/// A model that an engine holds.
struct HeldState
{
    std::uint64_t version = 0;
    std::set<std::string> adapters;
    base::TimePoint confirmedAt{};  ///< Time of the last report or completed order that showed it.
    ModelView* view = nullptr;      ///< Set when the engine is indexed.
};

/// Entries of an engine in EngineIndex; empty while the engine accepts no requests.
struct IndexedModels
{
    std::string service;
    std::vector<std::string> models;    ///< Models that routers may send requests for.
    std::vector<std::string> adapters;  ///< MODEL/ADAPTER of `models`, held or loading.
    std::vector<std::string> copies;    ///< Models in host memory or on disk.
    std::size_t usedAdapterSlots = 0;   ///< Adapters of all models of the engine.

    bool operator== (const IndexedModels&) const = default;
};

struct EngineState
{
    std::string id;
    std::string address;
    std::string service;
    base::UnixMilliseconds startedAt = 0;   ///< Start time of the incarnation; 0: not reported.
    bool isUsable = false;                  ///< Accepts requests and orders.
    base::TimePoint ordersFrom{};           ///< Earliest time of an order.
    bool hasReported = false;               ///< Whether a heartbeat or report has arrived.
    std::optional<std::uint64_t> sequence;  ///< Number of accepted orders, if known.
    std::map<std::string, HeldState> models;
    std::set<std::string> inMemory;
    std::set<std::string> onDisk;
    std::optional<PendingOrder> unanswered;   ///< Order without an answer; at most one.
    std::optional<PendingOrder> modelOrder;   ///< Accepted model order in progress.
    std::optional<PendingOrder> unconfirmed;  ///< May have been accepted; resolved by a report.
    std::map<std::string, base::TimePoint> adaptersDue;  ///< Load times by MODEL/ADAPTER.
    std::string reservedFor;          ///< Model to load once memory has been freed.
    std::set<std::string> withdrawn;  ///< Models no longer published to routers.
    base::TimePoint withdrawnAt{};
    bool isPolled = false;  ///< Whether a poll has not been answered yet.
    base::TimePoint polledAt{};
    base::TimePoint pollAt{};  ///< Earliest time of the next poll.
    IndexedModels indexed;     ///< Written by EngineIndex only.

    // Values of one placement round, not valid in later ones:
    std::uint64_t requestsRound = 0;   ///< Round of `requests`.
    double requests = 0;               ///< Estimated waiting and running requests for its models.
    std::uint64_t loadCostsRound = 0;  ///< Round of the members below.
    double freeMemory = 0;             ///< Free memory for models, in megabytes.
    double adapterDelayCost = 0;       ///< Cost of a load for requests that need adapters here.
    /// Cost of a load from the store for requests that need models of which only this engine has a
    /// copy.
    double blockedCopyCost = 0;
};

/// Returns MODEL/ADAPTER.
[[nodiscard]] std::string adapterKey (std::string_view model, std::string_view adapter);
/// Adapters that are held or loading, as MODEL/ADAPTER.
[[nodiscard]] std::set<std::string> adaptersOf (const EngineState& engine);
/// Whether an order to unload the model is pending.
[[nodiscard]] bool isUnloading (const EngineState& engine, const std::string& model);
/// Whether routers may send requests for a held model to the engine.
[[nodiscard]] bool isRoutable (const EngineState& engine, const std::string& model);

}  // namespace fernlift::placement
