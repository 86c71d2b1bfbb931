// Which model or adapter goes to which engine, and what makes way.

#include <algorithm>
#include <functional>
#include <utility>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{
namespace
{

constexpr const char* kAdapterMakesWay = "not asked for longest";
// Costs are in seconds of a request that waits.
constexpr double kUnloadCost = 0.3;
constexpr double kSpareReplicaCost = 0.2;
/// A further replica may cost this much, its load included.
constexpr double kHighestReplicaCost = 4.5;
constexpr double kAnyCost = 1e9;
constexpr double kNeededReplicaCost = 6.0;
constexpr double kLastReplicaCost = 4.0;
constexpr double kCheapestLastReplicaCost = 0.3;
constexpr double kAdapterTroubleCost = 4.0;
constexpr base::Duration kAdapterUse = base::seconds (10);
/// Seconds of silence after which the last replica of a model is worth the least.
constexpr double kForgottenAfter = 20.0;

double secondsOf (base::Duration duration)
{
    return std::chrono::duration<double> (duration).count();
}

}  // namespace

void EnginePlacement::planModels (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    for (const ModelNeed& need : modelNeeds (now))
    {
        const double highestCost = need.isMissing ? kAnyCost : kHighestReplicaCost;
        if (! planModel (need.key, highestCost, now))
            continue;
        if (! need.isMissing)
            m_replicaAddedAt[need.key.model] = now;
    }
    continuePlans (commands, now);
}

std::vector<EnginePlacement::ModelNeed> EnginePlacement::modelNeeds (base::TimePoint now) const
{
    std::vector<ModelNeed> needs;
    const std::map<ServiceModel, std::size_t> holdersByModel = countHolders();
    ServiceModel last;
    for (const auto& [key, target] : m_demands)
    {
        // Keys of one model stand together.
        if (ServiceModel model{ key.service, key.model }; model != last)
            last = std::move (model);
        else
            continue;
        const ModelDemand demand = demandFor (key.service, key.model, now);
        const auto counted = holdersByModel.find (last);
        const std::size_t holders = counted == holdersByModel.end() ? 0 : counted->second;
        const bool isMissing = holders == 0 && demand.waiting > 0;
        if (! isMissing && ! isCrowded (key, demand, holders, now))
            continue;
        if (isModelOnItsWay (key.service, key.model))
            continue;
        const double requests = demand.waiting + demand.running + demand.perSecond;
        needs.push_back ({ key, isMissing, requests / static_cast<double> (holders + 1) });
    }
    std::ranges::stable_sort (needs, std::greater<>(), &ModelNeed::requestsForReplica);
    return needs;
}

std::map<EnginePlacement::ServiceModel, std::size_t> EnginePlacement::countHolders() const
{
    std::map<ServiceModel, std::size_t> holders;
    for (const auto& [id, engine] : m_engines)
    {
        if (! engine.isUsable)
            continue;
        for (const auto& [model, state] : engine.models)
        {
            if (! engine.withdrawn.contains (model))
                ++holders[{ engine.service, model }];
        }
    }
    return holders;
}

bool EnginePlacement::isCrowded (const TargetKey& key, const ModelDemand& demand,
                                 std::size_t holders, base::TimePoint now) const
{
    const config::Service* service = m_catalogue.findService (key.service);
    if (holders == 0 || service == nullptr || ! service->engine)
        return false;
    const auto added = m_replicaAddedAt.find (key.model);
    if (added != m_replicaAddedAt.end() && now - added->second < kReplicaPause)
        return false;
    return holders < wantedReplicas (demand);
}

std::size_t EnginePlacement::wantedReplicas (const ModelDemand& demand)
{
    const std::size_t byRequests =
        (demand.running + demand.waiting + kCrowdedRequests - 1) / kCrowdedRequests;
    const auto byRate = static_cast<std::size_t> (1 + demand.perSecond / kRequestsForReplica);
    return std::max (byRequests, std::min (byRate, kMostReplicasByRate));
}

bool EnginePlacement::planModel (const TargetKey& key, double highestCost, base::TimePoint now)
{
    Engine* best = nullptr;
    std::vector<std::string> bestVictims;
    double lowest = 0;
    for (auto& [id, engine] : m_engines)
    {
        const bool isCandidate = engine.service == key.service && engine.reservedFor.empty()
                                 && mayTakeOrder (engine) && ! engine.models.contains (key.model);
        if (! isCandidate)
            continue;
        const config::EngineSpec* spec = specOf (engine);
        const config::EngineModel* model = spec == nullptr ? nullptr : spec->findModel (key.model);
        if (model == nullptr)
            return false;
        const std::optional<Victims> victims = victimsFor (engine, *spec, *model, now);
        if (! victims)
            continue;
        const double cost =
            victims->cost + loadSeconds (engine, *model) + adapterTrouble (engine, *spec, now);
        if (cost > highestCost || (best != nullptr && cost >= lowest))
            continue;
        best = &engine;
        bestVictims = victims->models;
        lowest = cost;
    }
    if (best == nullptr)
        return false;
    best->reservedFor = key.model;
    best->withdrawn = { bestVictims.begin(), bestVictims.end() };
    best->withdrawnAt = now;
    return true;
}

double EnginePlacement::adapterTrouble (const Engine& engine, const config::EngineSpec& spec,
                                        base::TimePoint now) const
{
    // No adapter can come to an engine while it loads a model.
    for (const auto& [name, state] : engine.models)
    {
        const config::EngineModel* model = spec.findModel (name);
        if (model == nullptr || model->adapters == 0)
            continue;
        const base::TimePoint askedAt = demandFor (engine.service, name, now).askedAt;
        const bool isInUse = askedAt != base::TimePoint{} && now - askedAt < kAdapterUse;
        if (isInUse)
            return kAdapterTroubleCost;
    }
    return 0;
}

double EnginePlacement::loadSeconds (const Engine& engine, const config::EngineModel& model)
{
    if (engine.inMemory.contains (model.name))
        return secondsOf (model.warmLoadTime);
    if (engine.onDisk.contains (model.name))
        return secondsOf (model.diskLoadTime);
    return secondsOf (model.loadTime);
}

std::optional<EnginePlacement::Victims> EnginePlacement::victimsFor (
    const Engine& engine, const config::EngineSpec& spec, const config::EngineModel& model,
    base::TimePoint now) const
{
    Victims victims;
    double free = spec.memoryMb - adapterReserve (spec) - usedMemory (engine, spec);
    std::vector<std::pair<double, std::string>> candidates;
    for (const auto& [name, state] : engine.models)
    {
        if (const auto cost = costOfLosing (engine, name, now))
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
        victims.models.push_back (name);
    }
    if (free < model.memoryMb)
        return std::nullopt;
    return victims;
}

std::optional<double> EnginePlacement::costOfLosing (const Engine& engine, const std::string& model,
                                                     base::TimePoint now) const
{
    const ModelDemand demand = demandFor (engine.service, model, now);
    const std::size_t holders = holdersOf (engine.service, model);
    if (holders > 1)
    {
        // Without this one the others would be crowded, and it would be loaded again.
        const bool isNeeded = wantedReplicas (demand) >= holders;
        return isNeeded ? kNeededReplicaCost : kSpareReplicaCost;
    }
    const bool isInUse = demand.running > 0 || demand.waiting > 0;
    const bool isRecent = demand.askedAt != base::TimePoint{} && now - demand.askedAt < kRecentUse;
    if (isInUse || isRecent)
        return std::nullopt;
    if (demand.askedAt == base::TimePoint{})
        return kCheapestLastReplicaCost;
    const double idle = secondsOf (now - demand.askedAt);
    return std::max (kLastReplicaCost * (1 - idle / kForgottenAfter), kCheapestLastReplicaCost);
}

void EnginePlacement::fillFreeMemory (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    for (auto& [id, engine] : m_engines)
    {
        if (! engine.reservedFor.empty() || ! mayTakeOrder (engine) || ! engine.hasTold)
            continue;
        const config::EngineSpec* spec = specOf (engine);
        if (spec == nullptr)
            continue;
        const config::EngineModel* model = modelToFillWith (engine, *spec);
        if (model != nullptr)
            send (engine, { true, model->name, "", "memory is free" }, commands, now);
    }
}

const config::EngineModel* EnginePlacement::modelToFillWith (const Engine& engine,
                                                             const config::EngineSpec& spec) const
{
    const double free = spec.memoryMb - adapterReserve (spec) - usedMemory (engine, spec);
    const config::EngineModel* largest = nullptr;
    for (const auto* names : { &engine.inMemory, &engine.onDisk })
    {
        for (const std::string& name : *names)
        {
            const config::EngineModel* model = spec.findModel (name);
            const bool isUseful = model != nullptr && model->memoryMb <= free
                                  && ! engine.models.contains (name)
                                  && holdersOf (engine.service, name) == 0
                                  && ! isModelOnItsWay (engine.service, name);
            if (! isUseful)
                continue;
            if (largest == nullptr || model->memoryMb > largest->memoryMb)
                largest = model;
        }
    }
    return largest;
}

void EnginePlacement::planAdapters (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    for (const auto& [key, target] : m_demands)
    {
        if (key.adapter.empty() || waitingFor (key) == 0)
            continue;
        planAdapter (key, commands, now);
    }
}

bool EnginePlacement::planAdapter (const TargetKey& key, std::vector<EngineCommand>& commands,
                                   base::TimePoint now)
{
    const std::string wanted = adapterKey (key.model, key.adapter);
    Engine* best = nullptr;
    std::size_t fewest = 0;
    for (auto& [id, engine] : m_engines)
    {
        const bool holdsModel = engine.service == key.service && engine.isUsable
                                && engine.models.contains (key.model)
                                && ! engine.withdrawn.contains (key.model);
        if (! holdsModel)
            continue;
        const std::set<std::string> adapters = adaptersOf (engine);
        const bool isThere = adapters.contains (wanted);
        const bool isComing = engine.unanswered && engine.unanswered->order.model == key.model
                              && engine.unanswered->order.adapter == key.adapter;
        if (isThere || isComing)
            return false;
        if (! mayTakeOrder (engine))
            continue;
        if (best != nullptr && adapters.size() >= fewest)
            continue;
        best = &engine;
        fewest = adapters.size();
    }
    if (best == nullptr)
        return false;
    const config::EngineSpec* spec = specOf (*best);
    if (spec == nullptr)
        return false;
    if (fewest < spec->adapterSlots)
    {
        send (*best, { true, key.model, key.adapter, "requests wait for it" }, commands, now);
        return true;
    }
    return evictAdapter (*best, commands, now);
}

bool EnginePlacement::evictAdapter (Engine& engine, std::vector<EngineCommand>& commands,
                                    base::TimePoint now)
{
    const TargetKey* oldest = nullptr;
    base::TimePoint oldestAskedAt{};
    for (const std::string& adapter : adaptersOf (engine))
    {
        const std::size_t slash = adapter.find ('/');
        TargetKey key{ engine.service, adapter.substr (0, slash), adapter.substr (slash + 1) };
        const auto found = m_demands.find (key);
        if (found == m_demands.end())
        {
            send (engine, { false, key.model, key.adapter, kAdapterMakesWay }, commands, now);
            return true;
        }
        const bool isUsed =
            std::ranges::any_of (found->second.byRouter, [] (const auto& item)
                                 { return item.second.waiting > 0 || item.second.running > 0; });
        if (isUsed || (oldest != nullptr && found->second.askedAt >= oldestAskedAt))
            continue;
        oldest = &found->first;
        oldestAskedAt = found->second.askedAt;
    }
    if (oldest == nullptr)
        return false;
    send (engine, { false, oldest->model, oldest->adapter, kAdapterMakesWay }, commands, now);
    return true;
}

}  // namespace fernlift::placement
