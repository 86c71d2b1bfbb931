/**
 * Which model goes to which engine, and what makes way for it.
 */

#include <algorithm>
#include <utility>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{
namespace
{

// Costs are in seconds of a request that waits.
constexpr double kUnloadCost = 0.3;
constexpr double kSpareReplicaCost = 0.2;
/// A replica beyond those that requests need, which a burst may need.
constexpr double kReserveReplicaCost = 2.0;
constexpr double kNeededReplicaCost = 30.0;
/// Held more than once from the beginning, so it probably was busy; nobody has asked yet.
constexpr double kUnknownReplicaCost = 1.0;
/// The next request for the model waits for a load.
constexpr double kLastReplicaCost = 1.5;
constexpr double kCheapestLastReplicaCost = 0.3;
constexpr double kAdapterTroubleCost = 4.0;
/// A model that only this engine could load quickly waits until the load from the store is done.
constexpr double kBlockedCopyCost = 1.0;
/// Requests for a model that comes to an engine at its limit are answered this much later.
constexpr double kCrowdCost = 1.0;
/// Part of an engine's limit that requests may take where a replica is to relieve others.
constexpr double kHighestShareForReplica = 0.5;
/// Loading ahead of requests may cost this much beside the load itself.
constexpr double kHighestFetchCost = 2.0;
/// Engines for each that is blocked by a load which nobody waits for. The others go on changing
/// models for those who wait. Without this bound five of nine engines were loading when requests
/// began, and 15 of 88 requests for rare models were answered in time in place of 37 (one play
/// each).
constexpr std::size_t kEnginesForFetch = 12;
/// The same before anybody has asked for a model: loads that begin then may not be done when the
/// first requests come.
constexpr std::size_t kIdleEnginesForFetch = 4;
constexpr base::Duration kAdapterUse = base::seconds (10);
/// Seconds of silence after which the last replica of a model is worth the least.
constexpr double kForgottenAfter = 20.0;
/// A request waits this long for an engine that has a copy rather than for the weight store.
constexpr base::Duration kPatienceForCopy = base::milliseconds (1500);
/// Plans of a round that may look at every engine: more would hold up the leader's event loop.
constexpr std::size_t kMostFullPlansInRound = 12;
/// The same in a large cell, in engines looked at for all plans of a round, some 1 us each; with
/// 3,000 engines twelve plans held up a leader, which has a share of a core, for 0.2 s.
constexpr std::size_t kMostEnginesInRound = 12'000;

}  // namespace

void EnginePlacement::planModels (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    const std::size_t most =
        std::min (kMostFullPlansInRound * m_engines.size(), kMostEnginesInRound);
    std::size_t lookedAt = 0;
    for (const ModelNeed& need : modelNeeds (now))
    {
        if (lookedAt >= most)
            break;
        const std::vector<Engine*> engines = enginesToWeigh (need, now);
        lookedAt += engines.size();
        if (planModel (need, engines, now) && need.isSpare)
            m_spareAddedAt[need.model] = now;
    }
    continuePlans (commands, now);
}

std::vector<EnginePlacement::Engine*> EnginePlacement::enginesToWeigh (const ModelNeed& need,
                                                                       base::TimePoint now)
{
    const auto& [service, name] = need.model;
    const ModelView& view = viewOf (service, name);
    const bool isMissing = view.holders() == 0;
    const bool waitsForCopy = isMissing && need.age < kPatienceForCopy && isLocalSoon (view);
    if (waitsForCopy || ! m_hasStorePlace || ! mayLoadFromStore (service, now))
        return { view.places->copies.begin(), view.places->copies.end() };
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
    Victims bestVictims;
    double lowest = 0;
    for (Engine* const each : engines)
    {
        const Engine& engine = *each;
        // One whose sequence is not known is asked for it once it is chosen.
        const bool mayBeOrdered = mayTakeOrder (engine) || mayBeAsked (engine);
        const bool isCandidate = engine.service == service && engine.reservedFor.empty()
                                 && mayBeOrdered && ! engine.models.contains (name)
                                 && ! m_rateLimited.contains (engine.id)
                                 && ! (need.isForCrowd && isTooCrowded (engine));
        if (! isCandidate)
            continue;
        weigh (*each, now);
        const EngineSpecIndex* spec = specOf (engine);
        const config::EngineModel* model = spec == nullptr ? nullptr : spec->findModel (name);
        if (model == nullptr)
            return false;
        std::optional<Victims> victims = victimsFor (engine, *spec, *model, now);
        if (! victims)
            continue;
        double cost = victims->cost + loadSeconds (engine, *model) + engine.adapterTrouble
                      + crowdCost (engine);
        if (! isLocal (engine, name))
            cost += engine.blockedCopies;
        if (cost > need.highestCost || (best != nullptr && cost >= lowest))
            continue;
        best = each;
        bestVictims = std::move (*victims);
        lowest = cost;
    }
    if (best == nullptr)
        return false;
    best->reservedFor = name;
    best->withdrawn = { bestVictims.models.begin(), bestVictims.models.end() };
    best->withdrawnAt = now;
    noteChange (*best);
    ++viewFor (service, name).coming;
    m_hasStorePlace = hasStorePlace();
    return true;
}

bool EnginePlacement::isTooCrowded (const Engine& engine) const
{
    return requestsOf (engine) > kHighestShareForReplica * crowdLimit (engine);
}

double EnginePlacement::crowdCost (const Engine& engine) const
{
    return kCrowdCost * requestsOf (engine) / std::max (crowdLimit (engine), 1.0);
}

bool EnginePlacement::isLocalSoon (const ModelView& view) const
{
    const auto loadsFromStore = [] (const Engine& engine)
    {
        return (engine.modelOrder && engine.modelOrder->isFromStore)
               || (engine.unanswered && engine.unanswered->isFromStore)
               || (! engine.reservedFor.empty() && ! isLocal (engine, engine.reservedFor));
    };
    return std::ranges::any_of (
        view.places->copies, [&] (const Engine* engine)
        { return m_now >= engine->ordersFrom && ! loadsFromStore (*engine); });
}

double EnginePlacement::blockedCopies (const Engine& engine, base::TimePoint now) const
{
    double cost = 0;
    const auto count = [&] (const std::string& name)
    {
        const ModelView& view = viewOf (engine.service, name);
        const bool isOnlyHere = view.isMissing() && view.places->copies.size() == 1;
        const base::TimePoint askedAt = view.demand.askedAt;
        const bool isWanted =
            askedAt != base::TimePoint{} && base::toSeconds (now - askedAt) < kForgottenAfter;
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
    // What an engine has is known once it has told; a new leader hears of all within one interval.
    if (! m_untold.empty())
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
    // One place stays free for what requests wait for.
    constexpr std::size_t kSparePlaces = 1;
    const bool isInUse = ! m_demands.empty();
    const std::size_t share = isInUse ? kEnginesForFetch : kIdleEnginesForFetch;
    const std::size_t most = std::max<std::size_t> (m_engines.size() / share, 1);
    for (const config::EngineModel& model : service.engine->models)
    {
        const ServiceModel key{ service.name, model.name };
        const ModelView& view = viewOf (service.name, model.name);
        const bool isNowhere = view.isMissing() && view.places->copies.empty();
        if (! isNowhere || m_fetched.contains (key))
            continue;
        // Looks at every engine: for each of 330 models, held or not, it took half of a round.
        if (! hasStorePlace (isInUse ? kSparePlaces : 0) || storeLoads() >= most)
            return;
        ModelNeed need;
        need.model = key;
        need.highestCost = base::toSeconds (model.loadTime) + kHighestFetchCost;
        if (! planModel (need, enginesToWeigh (need, now), now))
            return;
        m_fetched.insert (key);
    }
}

double EnginePlacement::adapterTrouble (const Engine& engine, const EngineSpecIndex& spec,
                                        base::TimePoint now) const
{
    // No adapter can come to an engine while it loads a model.
    for (const auto& [name, state] : engine.models)
    {
        const config::EngineModel* model = spec.findModel (name);
        if (model == nullptr || model->adapters == 0)
            continue;
        const base::TimePoint askedAt =
            state.view == nullptr ? base::TimePoint{} : state.view->demand.askedAt;
        const bool isInUse = askedAt != base::TimePoint{} && now - askedAt < kAdapterUse;
        if (isInUse)
            return kAdapterTroubleCost;
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

std::optional<EnginePlacement::Victims> EnginePlacement::victimsFor (
    const Engine& engine, const EngineSpecIndex& spec, const config::EngineModel& model,
    base::TimePoint now) const
{
    Victims victims;
    double free = engine.freeMemory;
    if (free >= model.memoryMb)
        return victims;
    std::vector<std::pair<double, std::string_view>> candidates;
    for (const auto& [name, state] : engine.models)
    {
        if (const auto cost = costOfLosing (engine, state, now))
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
        victims.cost += cost + kUnloadCost;
        victims.models.emplace_back (name);
    }
    if (free < model.memoryMb)
        return std::nullopt;
    return victims;
}

std::optional<double> EnginePlacement::costOfLosing (const Engine& engine, const HeldState& held,
                                                     base::TimePoint now) const
{
    const ModelView& view = *held.view;
    const ModelDemand& demand = view.demand;
    const bool isUnknown = demand.askedAt == base::TimePoint{};
    if (view.holders() > 1)
    {
        if (isUnknown)
            return kUnknownReplicaCost;
        const ReplicaTargets targets = replicaTargets (view, specOf (engine)->spec());
        const double drain = drainSeconds (engine.service, view);
        // Without this one the others would be crowded, and it would be loaded again.
        if (targets.needed >= view.holders() || isCrowdedWithout (engine, view))
            return kNeededReplicaCost + drain;
        const bool isReserve = targets.spare >= view.holders();
        return (isReserve ? kReserveReplicaCost : kSpareReplicaCost) + drain;
    }
    if (isUnknown)
        return kCheapestLastReplicaCost;
    if (demand.waiting > 0)
        return std::nullopt;
    if (demand.running > 0)
        return kLastReplicaCost + drainSeconds (engine.service, view);
    const double idle = base::toSeconds (now - demand.askedAt);
    return std::max (kLastReplicaCost * (1 - idle / kForgottenAfter), kCheapestLastReplicaCost);
}

double EnginePlacement::drainSeconds (const std::string& service, const ModelView& view) const
{
    const auto found = m_streamSeconds.find (service);
    if (found == m_streamSeconds.end() || view.holders() == 0)
        return 0;
    // Streams that began at any time: of one, half is left in the mean, of many nearly all.
    const double streams = view.demand.running / static_cast<double> (view.holders());
    return found->second * streams / (streams + 1);
}

std::set<EngineState*, EngineIndex::ById> EnginePlacement::enginesToFill() const
{
    std::set<Engine*, EngineIndex::ById> engines;
    for (const auto& [key, view] : m_models)
    {
        if (view.isMissing())
            engines.insert (view.places->copies.begin(), view.places->copies.end());
    }
    return engines;
}

void EnginePlacement::fillFreeMemory (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    for (Engine* const each : enginesToFill())
    {
        Engine& engine = *each;
        if (! engine.reservedFor.empty() || ! mayTakeOrder (engine) || ! engine.hasTold)
            continue;
        const EngineSpecIndex* spec = specOf (engine);
        if (spec == nullptr)
            continue;
        weigh (engine, now);
        const config::EngineModel* model = modelToFillWith (engine, *spec);
        if (model == nullptr)
            continue;
        send (engine, { true, model->name, "", "memory is free" }, commands, now);
        ++viewFor (engine.service, model->name).coming;
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
