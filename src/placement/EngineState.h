#pragma once

/**
 * What the leader knows of one registered engine: what it holds, the orders that are under way
 * there, and what EngineIndex has noted of it.
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

/// An order that is under way at an engine, or may be.
struct PendingOrder
{
    engine::ServiceOrder order;
    base::TimePoint sentAt{};
    bool isFromStore = false;  ///< A load that takes from the weight store's rate.
};

/// A model that an engine holds.
struct HeldState
{
    std::uint64_t version = 0;
    std::set<std::string> adapters;
    base::TimePoint confirmedAt{};  ///< When it was last told or done.
    ModelView* view = nullptr;      ///< Set before anybody else reads it.
};

/// What EngineIndex has noted of an engine; empty while it takes no requests.
struct IndexedModels
{
    std::string service;
    std::vector<std::string> models;    ///< That routers may send requests for there.
    std::vector<std::string> adapters;  ///< MODEL/ADAPTER of these, held or on their way.
    std::vector<std::string> copies;    ///< Models in host memory or on disk.
    std::size_t usedAdapterSlots = 0;   ///< Adapters of all its models.

    bool operator== (const IndexedModels&) const = default;
};

struct EngineState
{
    std::string id;
    std::string address;
    std::string service;
    base::UnixMilliseconds startedAt = 0;   ///< Of the incarnation; 0: it does not tell.
    bool isUsable = false;                  ///< Takes requests and orders.
    base::TimePoint ordersFrom{};           ///< No order goes out before.
    bool hasReported = false;               ///< A heartbeat or report has come.
    std::optional<std::uint64_t> sequence;  ///< Orders it has taken, as far as is known.
    std::map<std::string, HeldState> models;
    std::set<std::string> inMemory;
    std::set<std::string> onDisk;
    std::optional<PendingOrder> unanswered;              ///< One at a time.
    std::optional<PendingOrder> modelOrder;              ///< Taken, for a model, not finished.
    std::optional<PendingOrder> unconfirmed;             ///< Perhaps taken; the next report tells.
    std::map<std::string, base::TimePoint> adaptersDue;  ///< MODEL/ADAPTER; held from then on.
    std::string reservedFor;          ///< Model that is to be loaded after unloads.
    std::set<std::string> withdrawn;  ///< Models that routers no longer are told of.
    base::TimePoint withdrawnAt{};
    bool isPolled = false;  ///< A report was asked for and has not come.
    base::TimePoint polledAt{};
    base::TimePoint pollAt{};  ///< No report is asked for before.
    IndexedModels indexed;     ///< Written by EngineIndex only.

    // Of one round of decisions, and not valid in a later one:
    std::uint64_t requestsRound = 0;  ///< Of the next member.
    double requests = 0;  ///< That wait for its models or run there, as far as is known.
    std::uint64_t evictionInputsRound = 0;  ///< Of the next members.
    double freeMemory = 0;                  ///< For models, in megabytes.
    double adapterDelayCost = 0;  ///< What a load costs those who want adapters of its models.
    /// What a load from the store costs those who want models of which only this engine has a
    /// copy, and could load it soon.
    double blockedCopyCost = 0;
};

/// MODEL/ADAPTER.
[[nodiscard]] std::string adapterKey (std::string_view model, std::string_view adapter);
/// Adapters that are held or on their way, as MODEL/ADAPTER.
[[nodiscard]] std::set<std::string> adaptersOf (const EngineState& engine);
/// Whether an order to unload the model is under way.
[[nodiscard]] bool isUnloading (const EngineState& engine, const std::string& model);
/// Whether routers send requests for a model that it holds there.
[[nodiscard]] bool isRoutable (const EngineState& engine, const std::string& model);

}  // namespace fernlift::placement
