/**
 * Placement of models on engines, and evictions for them.
 */

#include <algorithm>
#include <utility>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{
namespace
{

// Costs are in seconds of waiting of one request.
constexpr double kUnloadCost = 0.3;
constexpr double kSurplusReplicaCost = 0.2;
/// Cost of a replica that only a burst or crash would need.
constexpr double kStandbyReplicaCost = 2.0;
constexpr double kNeededReplicaCost = 30.0;
/// Cost of one of several replicas of a model without any request yet. Several replicas suggest
/// that the model was busy before.
constexpr double kUnknownReplicaCost = 1.0;
/// Cost of the last replica: the next request for the model waits for a load.
constexpr double kLastReplicaCost = 1.5;
constexpr double kCheapestLastReplicaCost = 0.3;
constexpr double kAdapterDelayCost = 4.0;
/// Cost for each model that only this engine could load quickly: it waits for the end of the load
/// from the store.
constexpr double kBlockedCopyCost = 1.0;
/// Delay of the requests for a model that is loaded on an engine at its congestion limit.
constexpr double kCongestionCost = 1.0;
/// Limits of the requests of an engine that may get a replica to relieve other engines: a share of
/// its congestion limit, or of the requests of the least busy holder.
constexpr double kMaxShareForReplica = 0.5;
constexpr double kMaxShareOfHolder = 2.0 / 3.0;
/// Limit of the cost of a prefetch beyond that of the load itself.
constexpr double kMaxFetchCost = 2.0;
/// Number of engines per concurrent prefetch, so that the other engines stay available for loads
/// that requests wait for. Without this limit five of nine engines are loading when requests begin,
/// and 17 % of the requests for rare models are answered in time, against 42 % with it.
constexpr std::size_t kEnginesForFetch = 12;
/// Number of engines per concurrent prefetch before the first request. These loads may still be in
/// progress when the first requests arrive.
constexpr std::size_t kIdleEnginesForFetch = 4;
/// A model with adapters counts as in use for this long after its last request.
constexpr base::Duration kAdapterUseWindow = base::seconds (10);
/// Seconds without a request after which the last replica of a model has its minimum cost.
constexpr double kIdleSecondsToMinCost = 20.0;
/// Limit of the wait for an engine with a copy before the model is loaded from the weight store.
constexpr base::Duration kMaxWaitForCopy = base::milliseconds (1500);
/// Limit of the plans of a round that examine every engine; more would block the event loop of the
/// leader.
constexpr std::size_t kMaxFullPlansInRound = 12;
/// Limit of the engines examined by all plans of a round, at about 1 us each, for large cells.
/// Twelve plans over 3,000 engines block the leader for 0.2 s if it has only a share of a core.
constexpr std::size_t kMaxEnginesInRound = 12'000;

}  // namespace

void EnginePlacement::planModels (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    const std::size_t most = std::min (kMaxFullPlansInRound * m_engines.size(), kMaxEnginesInRound);
    std::size_t visited = 0;
    for (const ModelNeed& need : modelNeeds (now))
    {
        if (visited >= most)
            break;
        const std::vector<Engine*> engines = candidateEngines (need, now);
        visited += engines.size();
        if (planModel (need, engines, now) && need.isSpare)
            m_spareAddedAt[need.model] = now;
    }
    continuePlans (commands, now);
}

std::vector<EnginePlacement::Engine*> EnginePlacement::candidateEngines (const ModelNeed& need,
                                                                         base::TimePoint now)
{
    const auto& [service, name] = need.model;
    const ModelView& view = viewOf (service, name);
    const bool isMissing = view.holders() == 0;
    const bool waitsForCopy = isMissing && need.age < kMaxWaitForCopy && isCopyAvailableSoon (view);
    if (waitsForCopy || ! m_hasStoreSlot || ! mayLoadFromStore (service, now))
        return { view.locations->copies.begin(), view.locations->copies.end() };
    std::vector<Engine*> engines;
    engines.reserve (m_engines.size());
    for (auto& [id, engine] : m_engines)
        engines.push_back (&engine);
    return engines;
}

bool EnginePlacement::planModel (const ModelNeed& need, std::span<Engine* const> engines,
                                 base::TimePoint now)
{
    const auto& [service, name] = need.model;
    Engine* best = nullptr;
    Evictions bestEvictions;
    double lowest = 0;
    for (Engine* const each : engines)
    {
        const Engine& engine = *each;
        // An engine with unknown sequence is polled once it has been chosen.
        const bool mayBeOrdered = mayTakeOrder (engine) || mayBePolled (engine);
        const bool isCandidate =
            engine.service == service && engine.reservedFor.empty() && mayBeOrdered
            && ! engine.models.contains (name) && ! m_rateLimited.contains (engine.id)
            && ! (need.relievesCongestion && isTooBusyToRelieve (engine, viewOf (service, name)));
        if (! isCandidate)
            continue;
        updateLoadCosts (*each, now);
        const EngineSpecIndex* spec = specOf (engine);
        const config::EngineModel* model = spec == nullptr ? nullptr : spec->findModel (name);
        if (model == nullptr)
            return false;
        std::optional<Evictions> evictions = evictionsFor (engine, *spec, *model, now);
        if (! evictions)
            continue;
        double cost = evictions->cost + loadSeconds (engine, *model) + engine.adapterDelayCost
                      + congestionCost (engine);
        if (! isLocal (engine, name))
            cost += engine.blockedCopyCost;
        if (cost > need.maxCost || (best != nullptr && cost >= lowest))
            continue;
        best = each;
        bestEvictions = std::move (*evictions);
        lowest = cost;
    }
    if (best == nullptr)
        return false;
    best->reservedFor = name;
    best->withdrawn = { bestEvictions.models.begin(), bestEvictions.models.end() };
    best->withdrawnAt = now;
    updateDerivedState (*best);
    ++viewFor (service, name).pendingLoads;
    m_hasStoreSlot = hasStoreSlot();
    return true;
}

bool EnginePlacement::isTooBusyToRelieve (const Engine& engine, const ModelView& view) const
{
    const double requests = requestsOf (engine);
    if (requests <= kMaxShareForReplica * congestionLimit (engine))
        return false;
    const auto isBusier = [&] (const EngineIndex::Holder& holder)
    { return requests <= kMaxShareOfHolder * requestsOf (*holder.engine); };
    return ! std::ranges::all_of (view.locations->holders, isBusier);
}

double EnginePlacement::congestionCost (const Engine& engine) const
{
    return kCongestionCost * requestsOf (engine) / std::max (congestionLimit (engine), 1.0);
}

bool EnginePlacement::isCopyAvailableSoon (const ModelView& view) const
{
    const auto loadsFromStore = [] (const Engine& engine)
    {
        return (engine.modelOrder && engine.modelOrder->isFromStore)
               || (engine.unanswered && engine.unanswered->isFromStore)
               || (! engine.reservedFor.empty() && ! isLocal (engine, engine.reservedFor));
    };
    return std::ranges::any_of (
        view.locations->copies, [&] (const Engine* engine)
        { return m_now >= engine->ordersFrom && ! loadsFromStore (*engine); });
}

double EnginePlacement::blockedCopyCost (const Engine& engine, base::TimePoint now) const
{
    double cost = 0;
    const auto count = [&] (const std::string& name)
    {
        const ModelView& view = viewOf (engine.service, name);
        const bool isOnlyHere = view.isMissing() && view.locations->copies.size() == 1;
        const base::TimePoint requestedAt = view.demand.requestedAt;
        const bool isWanted = requestedAt != base::TimePoint{}
                              && base::toSeconds (now - requestedAt) < kIdleSecondsToMinCost;
        if (isOnlyHere && isWanted)
            cost += kBlockedCopyCost;
    };
    for (const std::string& name : engine.inMemory)
        count (name);
    for (const std::string& name : engine.onDisk)
    {
        if (! engine.inMemory.contains (name))
            count (name);
    }
    return cost;
}

void EnginePlacement::fetchAhead (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    if (! m_options.fetchesAhead)
        return;
    // The copies of an engine are known once it has reported; a new leader receives the reports of
    // all engines within one heartbeat interval.
    if (! m_unreported.empty())
        return;
    for (const config::Service& service : m_catalogue.services)
    {
        if (service.engine)
            fetchAhead (service, now);
    }
    continuePlans (commands, now);
}

void EnginePlacement::fetchAhead (const config::Service& service, base::TimePoint now)
{
    // One slot stays free for models that requests wait for.
    constexpr std::size_t kSpareSlots = 1;
    const bool isInUse = ! m_demands.empty();
    const std::size_t share = isInUse ? kEnginesForFetch : kIdleEnginesForFetch;
    const std::size_t most = std::max<std::size_t> (m_engines.size() / share, 1);
    for (const config::EngineModel& model : service.engine->models)
    {
        const ServiceModel key{ service.name, model.name };
        const ModelView& view = viewOf (service.name, model.name);
        const bool isNowhere = view.isMissing() && view.locations->copies.empty();
        if (! isNowhere || m_fetched.contains (key))
            continue;
        // Checked only for models without copies, since it is expensive: for all of 330 models it
        // takes half of the time of a round.
        if (! hasStoreSlot (isInUse ? kSpareSlots : 0) || storeLoads() >= most)
            return;
        ModelNeed need;
        need.model = key;
        need.maxCost = base::toSeconds (model.loadTime) + kMaxFetchCost;
        if (! planModel (need, candidateEngines (need, now), now))
            return;
        m_fetched.insert (key);
    }
}

double EnginePlacement::adapterDelayCost (const Engine& engine, const EngineSpecIndex& spec,
                                          base::TimePoint now) const
{
    // An engine cannot load adapters while it loads a model.
    for (const auto& [name, state] : engine.models)
    {
        const config::EngineModel* model = spec.findModel (name);
        if (model == nullptr || model->adapters == 0)
            continue;
        const base::TimePoint requestedAt =
            state.view == nullptr ? base::TimePoint{} : state.view->demand.requestedAt;
        const bool isInUse =
            requestedAt != base::TimePoint{} && now - requestedAt < kAdapterUseWindow;
        if (isInUse)
            return kAdapterDelayCost;
    }
    return 0;
}

double EnginePlacement::loadSeconds (const Engine& engine, const config::EngineModel& model)
{
    if (engine.inMemory.contains (model.name))
        return base::toSeconds (model.warmLoadTime);
    if (engine.onDisk.contains (model.name))
        return base::toSeconds (model.diskLoadTime);
    return base::toSeconds (model.loadTime);
}

std::optional<EnginePlacement::Evictions> EnginePlacement::evictionsFor (
    const Engine& engine, const EngineSpecIndex& spec, const config::EngineModel& model,
    base::TimePoint now) const
{
    Evictions evictions;
    double free = engine.freeMemory;
    if (free >= model.memoryMb)
        return evictions;
    std::vector<std::pair<double, std::string_view>> candidates;
    for (const auto& [name, state] : engine.models)
    {
        if (const auto cost = evictionCost (engine, state, now))
            candidates.emplace_back (*cost, name);
    }
    std::ranges::sort (candidates);
    for (const auto& [cost, name] : candidates)
    {
        if (free >= model.memoryMb)
            break;
        const config::EngineModel* held = spec.findModel (name);
        if (held == nullptr)
            continue;
        free += held->memoryMb;
        evictions.cost += cost + kUnloadCost;
        evictions.models.emplace_back (name);
    }
    if (free < model.memoryMb)
        return std::nullopt;
    return evictions;
}

std::optional<double> EnginePlacement::evictionCost (const Engine& engine, const HeldState& held,
                                                     base::TimePoint now) const
{
    const ModelView& view = *held.view;
    const ModelDemand& demand = view.demand;
    const bool isUnknown = demand.requestedAt == base::TimePoint{};
    if (view.holders() > 1)
    {
        if (isUnknown)
            return kUnknownReplicaCost;
        const ReplicaTargets targets = replicaTargets (view, specOf (engine)->spec());
        const double drain = drainSeconds (engine.service, view);
        // Without this replica the others would be congested and the model would be loaded again.
        if (targets.needed >= view.holders() || isCongestedWithout (engine, view))
            return kNeededReplicaCost + drain;
        const bool isStandby = targets.spare >= view.holders();
        return (isStandby ? kStandbyReplicaCost : kSurplusReplicaCost) + drain;
    }
    if (isUnknown)
        return kCheapestLastReplicaCost;
    if (demand.waiting > 0)
        return std::nullopt;
    if (demand.running > 0)
        return kLastReplicaCost + drainSeconds (engine.service, view);
    const double idle = base::toSeconds (now - demand.requestedAt);
    return std::max (kLastReplicaCost * (1 - idle / kIdleSecondsToMinCost),
                     kCheapestLastReplicaCost);
}

double EnginePlacement::drainSeconds (const std::string& service, const ModelView& view) const
{
    const auto found = m_streamSeconds.find (service);
    if (found == m_streamSeconds.end() || view.holders() == 0)
        return 0;
    // Start times are uniform: of one stream, half is left on average; of the longest of many,
    // nearly all.
    const double streams = view.demand.running / static_cast<double> (view.holders());
    return found->second * streams / (streams + 1);
}

std::set<EngineState*, EngineIndex::ById> EnginePlacement::enginesToFill() const
{
    std::set<Engine*, EngineIndex::ById> engines;
    for (const auto& [key, view] : m_models)
    {
        if (view.isMissing())
            engines.insert (view.locations->copies.begin(), view.locations->copies.end());
    }
    return engines;
}

void EnginePlacement::fillFreeMemory (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    for (Engine* const each : enginesToFill())
    {
        Engine& engine = *each;
        if (! engine.reservedFor.empty() || ! mayTakeOrder (engine) || ! engine.hasReported)
            continue;
        const EngineSpecIndex* spec = specOf (engine);
        if (spec == nullptr)
            continue;
        updateLoadCosts (engine, now);
        const config::EngineModel* model = modelToFillWith (engine, *spec);
        if (model == nullptr)
            continue;
        send (engine, { true, model->name, "", "memory is free" }, commands, now);
        ++viewFor (engine.service, model->name).pendingLoads;
    }
}

const config::EngineModel* EnginePlacement::modelToFillWith (const Engine& engine,
                                                             const EngineSpecIndex& spec) const
{
    const double free = engine.freeMemory;
    const config::EngineModel* largest = nullptr;
    for (const auto* names : { &engine.inMemory, &engine.onDisk })
    {
        for (const std::string& name : *names)
        {
            const config::EngineModel* model = spec.findModel (name);
            const ModelView& view = viewOf (engine.service, name);
            const bool isUseful = model != nullptr && model->memoryMb <= free
                                  && ! engine.models.contains (name) && view.isMissing();
            if (! isUseful)
                continue;
            if (largest == nullptr || model->memoryMb > largest->memoryMb)
                largest = model;
        }
    }
    return largest;
}

}  // namespace fernlift::placement
