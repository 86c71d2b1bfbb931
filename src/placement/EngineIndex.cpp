#include "placement/EngineIndex.h"

#include <algorithm>
#include <tuple>

namespace fernlift::placement
{

bool EngineIndex::Holder::operator<(const Holder& other) const
{
    return std::tie (usedAdapterSlots, engine->id)
           < std::tie (other.usedAdapterSlots, other.engine->id);
}

bool EngineIndex::update (EngineState& engine)
{
    IndexedModels present = heldModelsOf (engine);
    if (present == engine.indexed)
        return false;
    dropAll (engine);
    engine.indexed = std::move (present);
    addAll (engine);
    return true;
}

void EngineIndex::remove (EngineState& engine)
{
    dropAll (engine);
    engine.indexed = {};
}

IndexedModels EngineIndex::heldModelsOf (const EngineState& engine)
{
    IndexedModels heldModels;
    if (! engine.isUsable)
        return heldModels;
    heldModels.service = engine.service;
    for (const auto& [model, state] : engine.models)
    {
        if (isRoutable (engine, model))
            heldModels.models.push_back (model);
    }
    std::set<std::string> adapters = adaptersOf (engine);
    heldModels.usedAdapterSlots = adapters.size();
    if (engine.unanswered && ! engine.unanswered->order.adapter.empty())
    {
        const engine::ServiceOrder& order = engine.unanswered->order;
        adapters.insert (adapterKey (order.model, order.adapter));
    }
    for (const std::string& adapter : adapters)
    {
        const std::string_view model = std::string_view (adapter).substr (0, adapter.find ('/'));
        if (std::ranges::find (heldModels.models, model) != heldModels.models.end())
            heldModels.adapters.push_back (adapter);
    }
    heldModels.copies.assign (engine.inMemory.begin(), engine.inMemory.end());
    std::ranges::copy_if (engine.onDisk, std::back_inserter (heldModels.copies),
                          [&] (const std::string& model)
                          { return ! engine.inMemory.contains (model); });
    return heldModels;
}

void EngineIndex::addAll (EngineState& engine)
{
    const IndexedModels& heldModels = engine.indexed;
    for (const std::string& model : heldModels.models)
    {
        locationsFor (heldModels.service, model)
            .holders.insert ({ heldModels.usedAdapterSlots, &engine });
    }
    for (const std::string& model : heldModels.copies)
        locationsFor (heldModels.service, model).copies.insert (&engine);
    for (const std::string& adapter : heldModels.adapters)
        ++m_adapters[{ heldModels.service, adapter }];
}

void EngineIndex::dropAll (EngineState& engine)
{
    const IndexedModels& heldModels = engine.indexed;
    for (const std::string& model : heldModels.models)
        locationsFor (heldModels.service, model)
            .holders.erase ({ heldModels.usedAdapterSlots, &engine });
    for (const std::string& model : heldModels.copies)
        locationsFor (heldModels.service, model).copies.erase (&engine);
    for (const std::string& adapter : heldModels.adapters)
    {
        const auto found = m_adapters.find (ServiceModelOrder::Names (heldModels.service, adapter));
        if (--found->second == 0)
            m_adapters.erase (found);
    }
}

EngineIndex::ModelLocations& EngineIndex::locationsFor (std::string_view service,
                                                        std::string_view model)
{
    const ServiceModelOrder::Names names{ service, model };
    const auto found = m_locations.lower_bound (names);
    if (found != m_locations.end() && ! ServiceModelOrder() (names, found->first))
        return found->second;
    return m_locations.emplace_hint (found, ServiceModel (service, model), ModelLocations())
        ->second;
}

const EngineIndex::ModelLocations& EngineIndex::locationsOf (std::string_view service,
                                                             std::string_view model)
{
    return locationsFor (service, model);
}

bool EngineIndex::hasAdapter (std::string_view service, std::string_view model,
                              std::string_view adapter) const
{
    const std::string key = adapterKey (model, adapter);
    return m_adapters.contains (ServiceModelOrder::Names (service, key));
}

}  // namespace fernlift::placement
