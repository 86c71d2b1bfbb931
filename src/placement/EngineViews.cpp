/**
 * What EnginePlacement reads off its state: demand for a model, who holds it, memory and places
 * that are taken, what the weight store allows. Changes nothing but the window of loads.
 */

#include <algorithm>
#include <cmath>
#include <utility>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{

std::string EnginePlacement::adapterKey (std::string_view model, std::string_view adapter)
{
    return std::string (model).append ("/").append (adapter);
}

double EnginePlacement::decayedArrivals (const TargetDemand& target, base::TimePoint now)
{
    const double seconds = std::chrono::duration<double> (now - target.countedAt).count();
    return target.arrivals * std::exp (-seconds / kRateMemorySeconds);
}

std::uint32_t EnginePlacement::waitingFor (const TargetKey& key) const
{
    const auto found = m_demands.find (key);
    if (found == m_demands.end())
        return 0;
    std::uint32_t waiting = 0;
    for (const auto& [router, demand] : found->second.byRouter)
        waiting += demand.waiting;
    return waiting;
}

EnginePlacement::ModelDemand EnginePlacement::demandFor (const std::string& service,
                                                         const std::string& model,
                                                         base::TimePoint now) const
{
    ModelDemand total;
    // Keys with the same service and model stand together, the model itself first.
    for (auto item = m_demands.lower_bound ({ service, model, "" });
         item != m_demands.end() && item->first.service == service && item->first.model == model;
         ++item)
    {
        total.askedAt = std::max (total.askedAt, item->second.askedAt);
        total.perSecond += decayedArrivals (item->second, now) / kRateMemorySeconds;
        for (const auto& [router, demand] : item->second.byRouter)
        {
            total.waiting += demand.waiting;
            total.running += demand.running;
        }
    }
    return total;
}

std::size_t EnginePlacement::holdersOf (const std::string& service, const std::string& model) const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_engines,
        [&] (const auto& item)
        {
            const Engine& engine = item.second;
            return engine.service == service && engine.isUsable && engine.models.contains (model)
                   && ! engine.withdrawn.contains (model);
        }));
}

bool EnginePlacement::isModelOnItsWay (const std::string& service, const std::string& model) const
{
    return std::ranges::any_of (
        m_engines,
        [&] (const auto& item)
        {
            const Engine& engine = item.second;
            if (engine.service != service || ! engine.isUsable)
                return false;
            const auto loads = [&] (const std::optional<PendingOrder>& pending)
            {
                return pending && pending->order.isLoad && pending->order.model == model
                       && pending->order.adapter.empty();
            };
            return engine.reservedFor == model || loads (engine.unanswered)
                   || loads (engine.modelOrder);
        });
}

const config::EngineSpec* EnginePlacement::specOf (const Engine& engine) const
{
    const config::Service* service = m_catalogue.findService (engine.service);
    return service == nullptr || ! service->engine ? nullptr : &*service->engine;
}

double EnginePlacement::usedMemory (const Engine& engine, const config::EngineSpec& spec)
{
    double used = 0;
    std::set<std::string> counted;
    const auto count = [&] (const std::string& name)
    {
        const config::EngineModel* model = spec.findModel (name);
        if (model != nullptr && counted.insert (name).second)
            used += model->memoryMb;
    };
    for (const auto& [name, state] : engine.models)
        count (name);
    for (const auto* pending : { &engine.unanswered, &engine.modelOrder, &engine.doubtful })
    {
        if (*pending && (*pending)->order.isLoad)
            count ((*pending)->order.model);
    }
    return used;
}

double EnginePlacement::adapterReserve (const config::EngineSpec& spec)
{
    double largest = 0;
    for (const config::EngineModel& model : spec.models)
    {
        if (model.adapters > 0)
            largest = std::max (largest, model.adapterMemoryMb);
    }
    return largest * spec.adapterSlots;
}

std::set<std::string> EnginePlacement::adaptersOf (const Engine& engine)
{
    std::set<std::string> adapters;
    for (const auto& [name, state] : engine.models)
    {
        for (const std::string& adapter : state.adapters)
            adapters.insert (adapterKey (name, adapter));
    }
    for (const auto& [key, due] : engine.adaptersDue)
        adapters.insert (key);
    return adapters;
}

bool EnginePlacement::mayTakeOrder (const Engine& engine)
{
    return engine.isUsable && ! engine.isPaused && engine.sequence && ! engine.unanswered
           && ! engine.modelOrder;
}

bool EnginePlacement::isLocal (const Engine& engine, const std::string& model)
{
    return engine.inMemory.contains (model) || engine.onDisk.contains (model);
}

bool EnginePlacement::mayLoadFromStore (const std::string& service, base::TimePoint now)
{
    while (! m_storeLoads.empty() && now - m_storeLoads.front() >= m_options.storeWindow)
    {
        m_storeLoads.pop_front();
    }
    const config::Service* found = m_catalogue.findService (service);
    const double seconds = std::chrono::duration<double> (m_options.storeWindow).count();
    const double allowed = m_options.storeShare * found->engine->loadsPerSecond * seconds;
    const auto loading =
        std::ranges::count_if (m_engines,
                               [] (const auto& item)
                               {
                                   const Engine& engine = item.second;
                                   return engine.modelOrder && engine.modelOrder->isFromStore;
                               });
    return static_cast<double> (m_storeLoads.size()) + 1 <= allowed
           && static_cast<double> (loading) < concurrentLoads (*found->engine);
}

double EnginePlacement::concurrentLoads (const config::EngineSpec& spec)
{
    double seconds = 0;
    for (const config::EngineModel& model : spec.models)
    {
        seconds = std::max (seconds, std::chrono::duration<double> (model.loadTime).count());
    }
    return std::max (spec.loadsPerSecond * seconds, 1.0);
}

std::optional<std::vector<cell::HeldModel>> EnginePlacement::routableModels (
    const std::string& instance, base::TimePoint now) const
{
    const auto found = m_engines.find (instance);
    if (found == m_engines.end() || ! found->second.hasTold)
        return std::nullopt;
    const Engine& engine = found->second;
    std::vector<cell::HeldModel> models;
    for (const auto& [name, state] : engine.models)
    {
        if (engine.withdrawn.contains (name) || isUnloading (engine, name))
            continue;
        std::set<std::string> adapters = state.adapters;
        for (const auto& [key, due] : engine.adaptersDue)
        {
            const std::size_t slash = key.find ('/');
            if (key.substr (0, slash) == name && now >= due)
                adapters.insert (key.substr (slash + 1));
        }
        models.push_back ({ name, state.version, { adapters.begin(), adapters.end() } });
    }
    return models;
}

}  // namespace fernlift::placement
