#pragma once

/// Decides which models and adapters the engines of registered services hold. Requested models and
/// adapters that no engine holds are loaded, and the least recently requested ones are evicted.
/// Inputs are demand, heartbeats, reports and answers to orders; outputs are orders and polls. No
/// I/O and no clock: time is passed in. Not thread-safe; owned by the leader's event loop.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/DecayingRate.h"
#include "base/Time.h"
#include "base/TokenBucket.h"
#include "cell/RouterMessages.h"
#include "config/ServiceCatalogue.h"
#include "engine/ServiceEngine.h"
#include "placement/EngineIndex.h"
#include "placement/EnginePlacementFigures.h"
#include "placement/EngineSpecIndex.h"
#include "placement/EngineState.h"
#include "placement/ModelView.h"
#include "placement/StoreConcurrency.h"

namespace fernlift::placement
{

struct EnginePlacementOptions
{
    std::string holder;       ///< Name of this controller in orders.
    std::uint64_t fence = 0;  ///< Term of this leader.
    /// Returns the time from which an engine may be sent orders. An earlier leader may have sent it
    /// an order recently.
    std::function<base::TimePoint (const std::string& instance)> ordersFrom;
    /// Start times of loads from the weight store by earlier leaders, oldest first.
    std::deque<base::TimePoint> earlierStoreLoads;
    /// Number of loads from the weight store that may begin within `storeWindow`, as a multiple of
    /// what the rate of the store allows.
    double storeRateFactor = 1.05;
    base::Duration storeWindow = base::seconds (5);
    /// Whether to prefetch models that no engine holds or has a copy of, while the weight store has
    /// free slots.
    bool fetchesAhead = false;
};

/// Models of an engine as stated in its last heartbeat or report.
struct EngineHeldModels
{
    std::vector<cell::HeldModel> models;
    std::set<std::string> inMemory;  ///< Models that can be loaded from host memory.
    std::set<std::string> onDisk;    ///< Models that can be loaded from the engine's own disk.
};

struct SendEngineOrder
{
    std::string address;
    engine::ServiceOrder order;
    bool isFromStore = false;  ///< Whether the load counts against the rate of the weight store.
    std::string reason;        ///< For the log.
};
struct PollEngine
{
    std::string instance;
    std::string address;
};
using EngineCommand = std::variant<SendEngineOrder, PollEngine>;

/// A model order that is complete according to heartbeats and reports.
struct EngineOrderDone
{
    engine::ServiceOrder order;
    bool isFromStore = false;
    base::Duration duration{};       ///< Time since the engine accepted the order.
    std::size_t storeLoads = 0;      ///< Store loads in progress when it ended, including it.
    std::size_t storeLoadLimit = 0;  ///< Limit of concurrent store loads.
};

/// Counters and gauges for metrics.
struct EnginePlacementStatus
{
    std::size_t engines = 0;
    std::size_t unknownEngines = 0;     ///< Engines with unknown sequence; polled before an order.
    std::size_t enginesWithOrders = 0;  ///< Engines with a pending, planned or unconfirmed order.
    std::size_t waitingAdapters = 0;    ///< Adapters with waiting requests.
    std::uint64_t adapterOrders = 0;    ///< Load orders for adapters with waiting requests.
    base::Duration adapterWait{};       ///< Sum of the times from the first wait to the order.
};

/// Placement on registered engines during one term of leadership.
class EnginePlacement
{
public:
    explicit EnginePlacement (EnginePlacementOptions options);

    /// Replaces the services unless `version` is the current one.
    void setServices (std::uint64_t version, const std::vector<config::Service>& services);
    /// Updates all engines from the instance table. Removed and draining engines get no orders.
    void refresh (const std::map<std::string, cell::RoutableInstance>& rows, base::TimePoint now);
    /// Updates one engine from its row; null removes the engine.
    void refreshRow (const std::string& instance, const cell::RoutableInstance* row,
                     base::TimePoint now);
    void onHeartbeat (const std::string& instance, const EngineHeldModels& heldModels,
                      base::TimePoint now);
    /// Replaces the demand that `router` reported before.
    void onDemand (std::uint64_t router, const std::vector<cell::EngineDemand>& demands,
                   base::TimePoint now);
    void onRouterDisconnected (std::uint64_t router);
    /// Sets the ids of the engines that announce a request rate limit in their answers. Nothing is
    /// loaded on these engines. A model that only they hold is loaded on another engine while
    /// requests wait for it.
    void setRateLimited (std::set<std::string> engines) { m_rateLimited = std::move (engines); }
    void onOrderAnswer (const engine::ServiceOrder& order, engine::OrderOutcome outcome,
                        base::TimePoint now);
    void onReport (const std::string& instance, const engine::ServiceReport& report,
                   base::TimePoint now);
    void onReportFailed (const std::string& instance, base::TimePoint now);

    /// Full round: returns the commands to send now. Visits every model in use and its holders.
    [[nodiscard]] std::vector<EngineCommand> decide (base::TimePoint now);
    /// Short round between full ones: loads adapters with waiting requests and continues plans in
    /// progress. Visits only the waiting adapters and the engines concerned.
    [[nodiscard]] std::vector<EngineCommand> decideUrgent (base::TimePoint now);

    /// Whether takeChangedEngines() returns a non-empty set.
    [[nodiscard]] bool hasChangedEngines (base::TimePoint now) const;
    /// Returns the engines whose routableModels() may have changed since the last call.
    [[nodiscard]] std::set<std::string> takeChangedEngines (base::TimePoint now);

    [[nodiscard]] EnginePlacementStatus status() const;

    /// Returns the model orders completed since the last call.
    [[nodiscard]] std::vector<EngineOrderDone> takeCompletedOrders()
    {
        return std::exchange (m_done, {});
    }

    /// Models to publish to routers for the engine, without those about to be unloaded; nullopt for
    /// an engine that is unknown or has not reported yet.
    [[nodiscard]] std::optional<std::vector<cell::HeldModel>> routableModels (
        const std::string& instance, base::TimePoint now) const;
    /// Cheap check without a copy: true only when routableModels() surely equals `shown`, or has no
    /// value. May return false for an equal list.
    [[nodiscard]] bool isKnownCurrent (const std::string& instance,
                                       const std::vector<cell::HeldModel>& shown) const;

private:
    using Engine = EngineState;

    struct TargetKey
    {
        std::string service;
        std::string model;
        std::string adapter;
        auto operator<=> (const TargetKey&) const = default;  // NOLINT(modernize-use-nullptr)
    };

    struct TargetDemand
    {
        /// Last report of each router; routers without requests are omitted.
        std::map<std::uint64_t, cell::EngineDemand> byRouter;
        std::uint32_t waiting = 0;       ///< Sum over `byRouter`.
        std::uint32_t running = 0;       ///< Sum over `byRouter`.
        std::uint32_t unread = 0;        ///< Requests in prefill; sum over `byRouter`.
        base::TimePoint requestedAt{};   ///< Time of the last request.
        base::TimePoint waitingSince{};  ///< Zero while no request waits.
        base::DecayingRate arrivals;
        base::DecayingRate promptTokens;
    };

    /// Models of an engine to evict, and the cost of losing them in seconds of waiting.
    struct Evictions
    {
        std::vector<std::string> models;
        double cost = 0;
    };

    // Views of demand and held models (EngineViews.cpp, EngineCongestion.cpp).
    /// Replaces the demand that `router` reported for a target.
    static void setDemand (TargetDemand& target, std::uint64_t router,
                           const cell::EngineDemand& demand);
    /// Adds the target to m_waitingAdapters or removes it.
    void updateWaitingAdapters (const TargetKey& key, const TargetDemand& target);
    /// Updates the index and the sets derived from the engine; called after each change of it.
    void updateDerivedState (Engine& engine);
    /// Removes the engine from the index and from all derived sets.
    void removeFromIndexes (Engine& engine);
    /// Recomputes m_models from demands and engines.
    void updateModelViews (base::TimePoint now);
    void countDemands (base::TimePoint now);
    void countPendingLoads();
    void countRateLimited();
    /// Computes the free memory of the engine and what a load there would cost other requests.
    void updateLoadCosts (Engine& engine, base::TimePoint now);
    /// Computes the number of requests of each engine over all its models, and the capacity that
    /// leaves for each model.
    void measureCongestion();
    /// Estimates the stream duration of each service.
    void measureStreamDurations();
    /// Number of requests that an engine can run before its streams slow down.
    [[nodiscard]] static double congestionLimit (const config::EngineSpec& spec);
    [[nodiscard]] double congestionLimit (const Engine& engine) const;
    /// Number of requests of the engine as of the current round.
    [[nodiscard]] double requestsOf (const Engine& engine) const;
    /// Part of congestionLimit() that the requests for other models leave for the model of `view`.
    [[nodiscard]] double capacityFor (const Engine& engine, const ModelView& view) const;
    /// Whether the other holders of the model would be congested without this engine.
    [[nodiscard]] bool isCongestedWithout (const Engine& engine, const ModelView& view) const;
    [[nodiscard]] const ModelView& viewOf (std::string_view service, std::string_view model) const;
    ModelView& viewFor (const std::string& service, const std::string& model);
    [[nodiscard]] const EngineSpecIndex* specOf (const Engine& engine) const;
    /// Memory of the models that the engine holds or may be loading, without adapters.
    [[nodiscard]] static double usedMemory (const Engine& engine, const EngineSpecIndex& spec);
    /// Whether the engine has no pending order, neither of this leader nor of an earlier one.
    [[nodiscard]] bool isFree (const Engine& engine) const;
    /// Whether an order may be sent now: the engine is free and its sequence is known.
    [[nodiscard]] bool mayTakeOrder (const Engine& engine) const;
    /// Whether the engine is free but its sequence unknown, and it may be polled for it now.
    [[nodiscard]] bool mayBePolled (const Engine& engine) const;
    /// Whether the engine was polled less than kReportTimeout ago and has not answered.
    [[nodiscard]] bool isReportDue (const Engine& engine) const;
    [[nodiscard]] static bool isLocal (const Engine& engine, const std::string& model);
    [[nodiscard]] static double loadSeconds (const Engine& engine,
                                             const config::EngineModel& model);

    /// Number of loads from the weight store that are in progress or planned.
    [[nodiscard]] std::size_t storeLoads() const;

    [[nodiscard]] double adapterDelayCost (const Engine& engine, const EngineSpecIndex& spec,
                                           base::TimePoint now) const;
    [[nodiscard]] double blockedCopyCost (const Engine& engine, base::TimePoint now) const;

    /// Replicas of a model that its demand calls for.
    struct ReplicaTargets
    {
        std::size_t needed = 0;  ///< Without these, requests wait.
        std::size_t spare = 0;   ///< Replicas with spares for a crash or burst; at least `needed`.
    };
    /// Whether requests wait for a model that only rate-limited engines hold.
    [[nodiscard]] static bool isThrottled (const ModelView& view);
    [[nodiscard]] static ReplicaTargets replicaTargets (const ModelView& view,
                                                        const config::EngineSpec& spec);

    /// A model that needs another replica.
    struct ModelNeed
    {
        ServiceModel model;
        double maxCost = 0;    ///< Limit of the cost of the load, in seconds of waiting.
        base::Duration age{};  ///< Longest wait of a request for a model that no engine holds.
        bool isSpare = false;
        bool relievesCongestion = false;  ///< Must be placed on an engine with few requests.
        double requestsPerReplica = 0;    ///< Requests per replica; sort key, highest first.
    };
    /// Needs of all models, most pressing first.
    [[nodiscard]] std::vector<ModelNeed> modelNeeds (base::TimePoint now) const;
    void addNeeds (const ServiceModel& model, const ModelView& view, base::TimePoint now,
                   std::vector<ModelNeed>& needs) const;

    // Steps of a decision.
    void pollWhereNeeded (std::vector<EngineCommand>& commands, base::TimePoint now);
    /// Requests a report from the engine.
    void poll (Engine& engine, std::vector<EngineCommand>& commands, base::TimePoint now);
    void endPoll (Engine& engine);
    void expireOrders (base::TimePoint now);
    void continuePlans (std::vector<EngineCommand>& commands, base::TimePoint now);
    void continuePlan (Engine& engine, const EngineSpecIndex& spec,
                       const config::EngineModel& model, std::vector<EngineCommand>& commands,
                       base::TimePoint now);
    void dropPlan (Engine& engine);
    void planModels (std::vector<EngineCommand>& commands, base::TimePoint now);
    /// Engines that could load the model: all of them, or only those with a copy while the weight
    /// store has no slot or rate left.
    [[nodiscard]] std::vector<Engine*> candidateEngines (const ModelNeed& need,
                                                         base::TimePoint now);
    /// Reserves the cheapest of these engines for the model. Returns false when none can load it
    /// now within the cost limit.
    bool planModel (const ModelNeed& need, std::span<Engine* const> engines, base::TimePoint now);
    /// Whether the engine has too many requests to host a replica that relieves the holders of the
    /// model.
    [[nodiscard]] bool isTooBusyToRelieve (const Engine& engine, const ModelView& view) const;
    /// Delay that the engine's requests cause for those of a newly loaded model, in seconds.
    [[nodiscard]] double congestionCost (const Engine& engine) const;
    /// Whether some engine with a copy of the model will be free shortly, so that waiting for it is
    /// better than a load from the store.
    [[nodiscard]] bool isCopyAvailableSoon (const ModelView& view) const;
    /// Loads models that no engine holds from local copies into free memory.
    void fillFreeMemory (std::vector<EngineCommand>& commands, base::TimePoint now);
    [[nodiscard]] const config::EngineModel* modelToFillWith (const Engine& engine,
                                                              const EngineSpecIndex& spec) const;
    /// Engines with a copy of a model that no engine holds.
    [[nodiscard]] std::set<Engine*, EngineIndex::ById> enginesToFill() const;
    /// Prefetches models without any copy, so that they can be loaded quickly later.
    void fetchAhead (std::vector<EngineCommand>& commands, base::TimePoint now);
    void fetchAhead (const config::Service& service, base::TimePoint now);
    void planAdapters (std::vector<EngineCommand>& commands, base::TimePoint now);
    /// Engines polled on behalf of an adapter in this call of planAdapters().
    using PolledEngines = std::set<const Engine*>;
    void planAdapter (const TargetKey& key, PolledEngines& polled,
                      std::vector<EngineCommand>& commands, base::TimePoint now);
    /// An adapter of an engine that may be evicted.
    struct EvictableAdapter
    {
        std::string model;
        std::string adapter;
        base::TimePoint requestedAt{};  ///< Zero: never.
    };
    /// The least recently requested adapter of the engine; nullopt while all are in use.
    [[nodiscard]] std::optional<EvictableAdapter> adapterToEvict (const Engine& engine) const;
    /// Evictions that free enough memory for a model; nullopt when that is impossible.
    [[nodiscard]] std::optional<Evictions> evictionsFor (const Engine& engine,
                                                         const EngineSpecIndex& spec,
                                                         const config::EngineModel& model,
                                                         base::TimePoint now) const;
    /// Cost of losing a model at this engine; nullopt when it must not be evicted.
    [[nodiscard]] std::optional<double> evictionCost (const Engine& engine, const HeldState& held,
                                                      base::TimePoint now) const;
    /// Expected time that an unload of a model waits for its streams.
    [[nodiscard]] double drainSeconds (const std::string& service, const ModelView& view) const;
    /// Whether the rate limit of the weight store allows a load to begin now.
    [[nodiscard]] bool mayLoadFromStore (const std::string& service, base::TimePoint now);
    /// Whether the store serves another load at full speed with `spare` slots left free.
    [[nodiscard]] bool hasStoreSlot (std::size_t spare = 0) const;
    /// An order to send and its reason for the log.
    struct PlannedOrder
    {
        bool isLoad = true;
        std::string model;
        std::string adapter;
        std::string reason;
    };
    void send (Engine& engine, const PlannedOrder& intention, std::vector<EngineCommand>& commands,
               base::TimePoint now);

    // State changes by answers and reports.
    /// Discards the state of an earlier incarnation than that of the row. Returns whether there was
    /// one.
    bool resetForNewIncarnation (Engine& engine, const cell::RoutableInstance& row,
                                 base::TimePoint now);
    /// Updates the models that the engine holds.
    void applyHeldModels (Engine& engine, const EngineHeldModels& heldModels, base::TimePoint now);
    /// Updates the held models and the local copies of weights.
    void applyHeartbeat (Engine& engine, const EngineHeldModels& heldModels, base::TimePoint now);
    /// Sets the initial state of an engine that the cell has just accepted: from an earlier
    /// heartbeat if there was one, else from the replicated instance.
    void applyInitialState (Engine& engine, const cell::ServiceInstance& instance,
                            base::TimePoint now);
    void onOrderAccepted (Engine& engine, PendingOrder pending, base::TimePoint now);
    void beginModelOrder (Engine& engine, PendingOrder pending, base::TimePoint now);
    /// Ends the model order of the engine; `isHeld` is whether the engine now holds the model.
    void endModelOrder (Engine& engine, bool isHeld, base::TimePoint now);
    void applyCompletedOrder (Engine& engine, const engine::ServiceOrder& order,
                              base::TimePoint now);
    /// Records that the engine holds the adapter from `due` on.
    void expectAdapter (Engine& engine, std::string adapter, base::TimePoint due);
    void applyReport (Engine& engine, const engine::ServiceReport& report, base::TimePoint now);
    void applyAnswer (Engine& engine, const engine::ServiceOrder& order,
                      engine::OrderOutcome outcome, base::TimePoint now);

    EnginePlacementOptions m_options;
    std::uint64_t m_servicesVersion = 0;
    config::ServiceCatalogue m_catalogue;                         ///< Services only.
    std::map<std::string, EngineSpecIndex, std::less<>> m_specs;  ///< By service of m_catalogue.
    std::map<std::string, Engine> m_engines;
    EngineIndex m_index;  ///< Index over m_engines.
    struct EarlyHeldModels
    {
        EngineHeldModels heldModels;
        base::TimePoint receivedAt{};
    };
    /// Heartbeats of engines that are not in m_engines yet. The first heartbeat arrives before the
    /// cell has committed the engine, and the next one with held models may be much later.
    std::map<std::string, EarlyHeldModels> m_earlyHeldModels;
    /// Ids of engines with a pending, planned or unconfirmed order.
    std::set<std::string> m_withOrders;
    std::set<std::string> m_unknownSequence;  ///< Ids of usable engines with unknown sequence.
    std::set<std::string> m_unreported;       ///< Ids of usable engines that have not reported yet.
    std::set<std::string> m_changed;  ///< Ids of engines changed since takeChangedEngines().
    /// Times at which adapters are expected to be loaded; takeChangedEngines() removes past ones.
    std::set<std::pair<base::TimePoint, std::string>> m_adaptersDueAt;
    std::uint64_t m_adapterOrders = 0;
    base::Duration m_adapterWait{};
    std::size_t m_polls = 0;  ///< Number of engines with `isPolled` set.
    base::TokenBucket m_pollsWithoutNeed{ kMaxPollsWithoutNeed, kPollsWithoutNeedPerSecond };
    std::set<std::string> m_rateLimited;  ///< Ids of engines that announce a rate limit.
    std::map<TargetKey, TargetDemand> m_demands;
    std::set<TargetKey> m_waitingAdapters;  ///< Adapters in m_demands with waiting requests.
    base::TimePoint m_now{};                ///< Time of the last decision.
    std::uint64_t m_round = 0;              ///< Number of calls of updateModelViews().
    /// State of the last updateModelViews(). Entries are never removed, as HeldState points to
    /// them.
    std::map<ServiceModel, ModelView, ServiceModelOrder> m_models;
    std::deque<base::TimePoint> m_storeLoads;  ///< Times at which store loads were ordered.
    StoreConcurrency m_store;
    bool m_hasStoreSlot = true;  ///< State of the last updateModelViews() or plan.
    /// Duration of the longest streams in seconds, by service, as of the last round.
    std::map<std::string, double> m_streamSeconds;
    std::map<ServiceModel, base::TimePoint> m_spareAddedAt;
    std::set<ServiceModel> m_fetched;  ///< Prefetched models; each is prefetched once.
    std::vector<EngineOrderDone> m_done;
};

}  // namespace fernlift::placement
