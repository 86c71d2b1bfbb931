#pragma once

/// Decides which models and adapters the engines of registered services hold: what is asked for and
/// held nowhere is loaded, what was not asked for longest makes way. Pure: inputs are demand,
/// heartbeats, reports and answers to orders; outputs are orders and polls.

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
#include "placement/EnginePlacementConstants.h"
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
    /// The time from which an engine may be ordered: an earlier leader may have ordered it lately.
    std::function<base::TimePoint (const std::string& instance)> ordersFrom;
    /// Loads from the weight store by earlier leaders, oldest first.
    std::deque<base::TimePoint> earlierStoreLoads;
    /// Loads from the weight store that may begin in `storeWindow`, in shares of what its rate
    /// allows.
    double storeRateFactor = 1.05;
    base::Duration storeWindow = base::seconds (5);
    /// Models that no engine holds and none has a copy of are fetched before anybody asks for them,
    /// while the weight store has places to spare.
    bool fetchesAhead = false;
};

/// What an engine told in a heartbeat or report about its models.
struct EngineHoldings
{
    std::vector<cell::HeldModel> models;
    std::set<std::string> inMemory;  ///< Models it can load from host memory.
    std::set<std::string> onDisk;    ///< Models it can load from its own disk.
};

struct SendEngineOrder
{
    std::string address;
    engine::ServiceOrder order;
    bool isFromStore = false;  ///< A load that takes from the weight store's rate.
    std::string reason;        ///< For the log.
};
struct PollEngine
{
    std::string instance;
    std::string address;
};
using EngineCommand = std::variant<SendEngineOrder, PollEngine>;

/// A model order is done, as far as heartbeats and reports show.
struct EngineOrderDone
{
    engine::ServiceOrder order;
    bool isFromStore = false;
    base::Duration duration{};       ///< Since the engine took it.
    std::size_t storeLoads = 0;      ///< Under way when it ended, itself included.
    std::size_t storeLoadLimit = 0;  ///< That may be under way at once.
};

/// How placement keeps up with what it is asked for; for metrics.
struct EnginePlacementStatus
{
    std::size_t engines = 0;
    std::size_t unknownEngines = 0;   ///< Whose sequence is not known: asked before an order.
    std::size_t attendedEngines = 0;  ///< With an order under way, planned or in doubt.
    std::size_t waitingAdapters = 0;  ///< That requests wait for.
    std::uint64_t adapterOrders = 0;  ///< For adapters that requests waited for.
    base::Duration adapterWait{};     ///< From the first wait to the order; sum over these.
};

/// Lives as long as one term of leadership.
class EnginePlacement
{
public:
    explicit EnginePlacement (EnginePlacementOptions options);

    /// Takes over the services of a configuration; nothing is done when it is the one held.
    void setServices (std::uint64_t version, const std::vector<config::Service>& services);
    /// Takes over the instances. Engines that are gone or drain get no orders.
    void refresh (const std::map<std::string, cell::RoutableInstance>& rows, base::TimePoint now);
    /// The same for one instance, whose row has changed; null: it is gone.
    void refreshRow (const std::string& instance, const cell::RoutableInstance* row,
                     base::TimePoint now);
    void onHeartbeat (const std::string& instance, const EngineHoldings& heldModels,
                      base::TimePoint now);
    /// Replaces what one router reported before.
    void onDemand (std::uint64_t router, const std::vector<cell::EngineDemand>& demands,
                   base::TimePoint now);
    void onRouterGone (std::uint64_t router);
    /// Engines that state in their answers how many requests a second they take, by id. A model
    /// that only they hold, and that requests wait for, is loaded elsewhere; nothing is loaded on
    /// them.
    void setRateLimited (std::set<std::string> engines) { m_rateLimited = std::move (engines); }
    void onOrderAnswer (const engine::ServiceOrder& order, engine::OrderOutcome outcome,
                        base::TimePoint now);
    void onReport (const std::string& instance, const engine::ServiceReport& report,
                   base::TimePoint now);
    void onReportFailed (const std::string& instance, base::TimePoint now);

    /// What is to be sent now. Looks at every model that is in use and at its holders.
    [[nodiscard]] std::vector<EngineCommand> decide (base::TimePoint now);
    /// What cannot wait for that: adapters that requests wait for, and what has been begun. Looks
    /// only at what waits and at the engines concerned.
    [[nodiscard]] std::vector<EngineCommand> decideUrgent (base::TimePoint now);

    /// Whether takeUnshown() has something.
    [[nodiscard]] bool hasUnshown (base::TimePoint now) const;
    /// Engines whose routableModels() may have changed since the last call.
    [[nodiscard]] std::set<std::string> takeUnshown (base::TimePoint now);

    [[nodiscard]] EnginePlacementStatus status() const;

    /// Model orders that were done since the last call.
    [[nodiscard]] std::vector<EngineOrderDone> takeDone() { return std::exchange (m_done, {}); }

    /// What routers may be told that the engine holds; without what is about to be unloaded. None
    /// for an engine that is not known or has not told yet.
    [[nodiscard]] std::optional<std::vector<cell::HeldModel>> routableModels (
        const std::string& instance, base::TimePoint now) const;
    /// Whether routableModels() has nothing new beside `shown`, as can be said without making a
    /// copy of it; false when in doubt.
    [[nodiscard]] bool isPlainlyShown (const std::string& instance,
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
        /// As last reported; routers without requests are left out.
        std::map<std::uint64_t, cell::EngineDemand> byRouter;
        std::uint32_t waiting = 0;  ///< Sum over `byRouter`, as are the next two.
        std::uint32_t running = 0;
        std::uint32_t unread = 0;
        base::TimePoint requestedAt{};   ///< Last time that anybody asked for it.
        base::TimePoint waitingSince{};  ///< Zero: nobody waits.
        base::DecayingRate arrivals;
        base::DecayingRate promptTokens;
    };

    /// Models of an engine that make way, and what losing them costs in seconds of waiting.
    struct Evictions
    {
        std::vector<std::string> models;
        double cost = 0;
    };

    // Views of demand and holdings (EngineViews.cpp).
    /// Replaces what one router reported for a target.
    static void setDemand (TargetDemand& target, std::uint64_t router,
                           const cell::EngineDemand& demand);
    /// Keeps m_waitingAdapters.
    void updateWaitingAdapters (const TargetKey& key, const TargetDemand& target);
    /// Brings what is derived from the engine up to date; called after each change of it.
    void updateDerivedState (Engine& engine);
    /// Nothing of the engine is noted any more.
    void removeFromIndexes (Engine& engine);
    /// Works out m_models from demands and engines.
    void updateModelViews (base::TimePoint now);
    void countDemands (base::TimePoint now);
    void countPendingLoads();
    void countRateLimited();
    /// Works out what a load at the engine would cost others.
    void updateEvictionInputs (Engine& engine, base::TimePoint now);
    /// Works out how many requests each engine has, of all its models together, and what room that
    /// leaves for each model.
    void measureCongestion();
    /// Works out how long streams of each service take.
    void measureStreamDurations();
    /// Requests that an engine can run before its streams become slow.
    [[nodiscard]] static double congestionLimit (const config::EngineSpec& spec);
    [[nodiscard]] double congestionLimit (const Engine& engine) const;
    /// Requests of the engine as of the round.
    [[nodiscard]] double requestsOf (const Engine& engine) const;
    /// Of congestionLimit(), what requests for other models than the one of the view leave.
    [[nodiscard]] double capacityFor (const Engine& engine, const ModelView& view) const;
    /// Whether the other holders would be crowded without this one.
    [[nodiscard]] bool isCongestedWithout (const Engine& engine, const ModelView& view) const;
    [[nodiscard]] const ModelView& viewOf (std::string_view service, std::string_view model) const;
    ModelView& viewFor (const std::string& service, const std::string& model);
    [[nodiscard]] const EngineSpecIndex* specOf (const Engine& engine) const;
    /// Memory of models that are held or may be, without adapters.
    [[nodiscard]] static double usedMemory (const Engine& engine, const EngineSpecIndex& spec);
    /// Whether no order of an earlier leader or of this one stands in the way of another.
    [[nodiscard]] bool isFree (const Engine& engine) const;
    /// The same, and the engine's sequence is known.
    [[nodiscard]] bool mayTakeOrder (const Engine& engine) const;
    /// An order may go out once the engine has told its sequence, for which it may be asked now.
    [[nodiscard]] bool mayBePolled (const Engine& engine) const;
    /// It was asked a moment ago.
    [[nodiscard]] bool isReportDue (const Engine& engine) const;
    [[nodiscard]] static bool isLocal (const Engine& engine, const std::string& model);
    [[nodiscard]] static double loadSeconds (const Engine& engine,
                                             const config::EngineModel& model);

    /// Loads from the weight store that are under way or planned.
    [[nodiscard]] std::size_t storeLoads() const;

    [[nodiscard]] double adapterDelayCost (const Engine& engine, const EngineSpecIndex& spec,
                                           base::TimePoint now) const;
    [[nodiscard]] double blockedCopyCost (const Engine& engine, base::TimePoint now) const;

    /// Replicas of a model that the demand asks for.
    struct ReplicaTargets
    {
        std::size_t needed = 0;  ///< Requests wait without them.
        std::size_t spare = 0;   ///< For a crash or a burst; at least as many as needed.
    };
    /// Whether requests wait although it is held: only engines that state a rate hold it.
    [[nodiscard]] static bool isThrottled (const ModelView& view);
    [[nodiscard]] static ReplicaTargets replicaTargets (const ModelView& view,
                                                        const config::EngineSpec& spec);

    /// A model that should be loaded once more.
    struct ModelNeed
    {
        ServiceModel model;
        double maxCost = 0;    ///< That the load may have, in seconds of waiting.
        base::Duration age{};  ///< How long a request has waited for a model nobody holds.
        bool isSpare = false;
        bool relievesCongestion = false;  ///< Only an engine with few requests helps.
        double requestsForReplica = 0;    ///< Orders needs: the most pressing first.
    };
    /// What should be loaded, the most pressing first.
    [[nodiscard]] std::vector<ModelNeed> modelNeeds (base::TimePoint now) const;
    void addNeeds (const ServiceModel& model, const ModelView& view, base::TimePoint now,
                   std::vector<ModelNeed>& needs) const;

    // Steps of a decision.
    void pollWhereNeeded (std::vector<EngineCommand>& commands, base::TimePoint now);
    /// Asks the engine for a report.
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
    /// store is not open for it.
    [[nodiscard]] std::vector<Engine*> candidateEngines (const ModelNeed& need,
                                                         base::TimePoint now);
    /// Reserves one of these engines for the model unless that costs too much; false when none can
    /// take it now.
    bool planModel (const ModelNeed& need, std::span<Engine* const> engines, base::TimePoint now);
    /// Whether it has too many requests for a replica that is to relieve other engines.
    [[nodiscard]] bool isTooBusyToRelieve (const Engine& engine) const;
    /// What its requests cost those for a model that comes, in seconds.
    [[nodiscard]] double congestionCost (const Engine& engine) const;
    /// An engine with a copy of the model that is busy for a moment; worth waiting for.
    [[nodiscard]] bool isCopyAvailableSoon (const ModelView& view) const;
    /// Loads models that nobody holds from engines' own copies into memory that is free.
    void fillFreeMemory (std::vector<EngineCommand>& commands, base::TimePoint now);
    [[nodiscard]] const config::EngineModel* modelToFillWith (const Engine& engine,
                                                              const EngineSpecIndex& spec) const;
    /// Engines with a copy of a model that nobody holds.
    [[nodiscard]] std::set<Engine*, EngineIndex::ById> enginesToFill() const;
    /// Fetches models of which there is no copy, so that they can be loaded quickly later.
    void fetchAhead (std::vector<EngineCommand>& commands, base::TimePoint now);
    void fetchAhead (const config::Service& service, base::TimePoint now);
    void planAdapters (std::vector<EngineCommand>& commands, base::TimePoint now);
    /// Engines that were asked for a report on behalf of an adapter in this run.
    using PolledEngines = std::set<const Engine*>;
    void planAdapter (const TargetKey& key, PolledEngines& polled,
                      std::vector<EngineCommand>& commands, base::TimePoint now);
    /// The adapter of an engine that was not asked for longest, and when; none while all are in
    /// use.
    struct EvictableAdapter
    {
        std::string model;
        std::string adapter;
        base::TimePoint requestedAt{};  ///< Zero: never.
    };
    [[nodiscard]] std::optional<EvictableAdapter> adapterToEvict (const Engine& engine) const;
    /// What must make way for a model; none when it cannot be done.
    [[nodiscard]] std::optional<Evictions> evictionsFor (const Engine& engine,
                                                         const EngineSpecIndex& spec,
                                                         const config::EngineModel& model,
                                                         base::TimePoint now) const;
    /// What losing a model here costs; none when it must stay.
    [[nodiscard]] std::optional<double> evictionCost (const Engine& engine, const HeldState& held,
                                                      base::TimePoint now) const;
    /// Time that an unload of a model waits for its streams.
    [[nodiscard]] double drainSeconds (const std::string& service, const ModelView& view) const;
    /// Whether the rate of the weight store allows a load to begin now.
    [[nodiscard]] bool mayLoadFromStore (const std::string& service, base::TimePoint now);
    /// Whether the store serves another load at full speed, and leaves so many places free.
    [[nodiscard]] bool hasStoreSlot (std::size_t spare = 0) const;
    /// What to order, and why.
    struct PlannedOrder
    {
        bool isLoad = true;
        std::string model;
        std::string adapter;
        std::string reason;
    };
    void send (Engine& engine, const PlannedOrder& intention, std::vector<EngineCommand>& commands,
               base::TimePoint now);

    // What answers and reports change.
    /// Forgets what is known of an earlier incarnation than that of the row; whether there was one.
    bool resetForNewIncarnation (Engine& engine, const cell::RoutableInstance& row,
                                 base::TimePoint now);
    /// Takes over the models that it holds.
    void applyHeldModels (Engine& engine, const EngineHoldings& heldModels, base::TimePoint now);
    /// The same with copies of weights.
    void applyHeartbeat (Engine& engine, const EngineHoldings& heldModels, base::TimePoint now);
    /// Takes over what is known of an engine that was just agreed on.
    void applyInitialState (Engine& engine, const cell::ServiceInstance& instance,
                            base::TimePoint now);
    void onOrderAccepted (Engine& engine, PendingOrder pending, base::TimePoint now);
    void beginModelOrder (Engine& engine, PendingOrder pending, base::TimePoint now);
    /// The model order of the engine is over; `isHeld` tells whether the engine holds the model.
    void endModelOrder (Engine& engine, bool isHeld, base::TimePoint now);
    void applyCompletedOrder (Engine& engine, const engine::ServiceOrder& order,
                              base::TimePoint now);
    /// The adapter is held from then on.
    void expectAdapter (Engine& engine, std::string adapter, base::TimePoint due);
    void applyReport (Engine& engine, const engine::ServiceReport& report, base::TimePoint now);
    void applyAnswer (Engine& engine, const engine::ServiceOrder& order,
                      engine::OrderOutcome outcome, base::TimePoint now);

    EnginePlacementOptions m_options;
    std::uint64_t m_servicesVersion = 0;
    config::ServiceCatalogue m_catalogue;                         ///< Services only.
    std::map<std::string, EngineSpecIndex, std::less<>> m_specs;  ///< Of m_catalogue's services.
    std::map<std::string, Engine> m_engines;
    EngineIndex m_index;  ///< Of m_engines.
    struct EarlyHeldModels
    {
        EngineHoldings heldModels;
        base::TimePoint receivedAt{};
    };
    /// Told by engines that are not in m_engines yet: the first heartbeat comes before the cell has
    /// agreed on them, and the next one that tells may be long in coming.
    std::map<std::string, EarlyHeldModels> m_earlyHeldModels;
    // Ids of those engines that
    std::set<std::string> m_withOrders;  ///< have an order under way or planned, or one in doubt;
    std::set<std::string> m_unknownSequence;  ///< are usable and whose sequence is not known;
    std::set<std::string> m_unreported;       ///< are usable and have not told what they hold;
    std::set<std::string> m_changed;          ///< have changed since takeUnshown().
    /// When adapters come, by time; takeUnshown() drops what is past.
    std::set<std::pair<base::TimePoint, std::string>> m_adaptersDueAt;
    std::uint64_t m_adapterOrders = 0;
    base::Duration m_adapterWait{};
    std::size_t m_polls = 0;  ///< Engines of which `isPolled` is true.
    base::TokenBucket m_pollsWithoutNeed{ kMostPollsWithoutNeed, kPollsWithoutNeedPerSecond };
    std::set<std::string> m_rateLimited;  ///< Ids.
    std::map<TargetKey, TargetDemand> m_demands;
    std::set<TargetKey> m_waitingAdapters;  ///< Of m_demands, that requests wait for.
    base::TimePoint m_now{};                ///< Of the last decision.
    std::uint64_t m_round = 0;              ///< Counts calls of updateModelViews().
    /// As of the last updateModelViews(). Only ever grows: HeldState points into it.
    std::map<ServiceModel, ModelView, ServiceModelOrder> m_models;
    std::deque<base::TimePoint> m_storeLoads;  ///< When loads from the store were ordered.
    StoreConcurrency m_store;
    bool m_hasStoreSlot = true;  ///< As of the last updateModelViews() or plan.
    /// Time that the longest streams of a service take, by service; as of the last round.
    std::map<std::string, double> m_streamSeconds;
    std::map<ServiceModel, base::TimePoint> m_spareAddedAt;
    std::set<ServiceModel> m_fetched;  ///< Fetched ahead; once for each model.
    std::vector<EngineOrderDone> m_done;
};

}  // namespace fernlift::placement
