#include "placement/EngineIndex.h"

#include <algorithm>
#include <tuple>

namespace fernlift::placement
{

bool EngineIndex::Holder::operator<(const Holder& other) const
{
    return std::tie (takenAdapterPlaces, engine->id)
           < std::tie (other.takenAdapterPlaces, other.engine->id);
}

bool EngineIndex::update (EngineState& engine)
{
    IndexedHoldings present = holdingsOf (engine);
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

IndexedHoldings EngineIndex::holdingsOf (const EngineState& engine)
{
    IndexedHoldings holdings;
    if (! engine.isUsable)
        return holdings;
    holdings.service = engine.service;
    for (const auto& [model, state] : engine.models)
    {
        if (isRoutable (engine, model))
            holdings.models.push_back (model);
    }
    std::set<std::string> adapters = adaptersOf (engine);
    holdings.takenAdapterPlaces = adapters.size();
    if (engine.unanswered && ! engine.unanswered->order.adapter.empty())
    {
        const engine::ServiceOrder& order = engine.unanswered->order;
        adapters.insert (adapterKey (order.model, order.adapter));
    }
    for (const std::string& adapter : adapters)
    {
        const std::string_view model = std::string_view (adapter).substr (0, adapter.find ('/'));
        if (std::ranges::find (holdings.models, model) != holdings.models.end())
            holdings.adapters.push_back (adapter);
    }
    holdings.copies.assign (engine.inMemory.begin(), engine.inMemory.end());
    std::ranges::copy_if (engine.onDisk, std::back_inserter (holdings.copies),
                          [&] (const std::string& model)
                          { return ! engine.inMemory.contains (model); });
    return holdings;
}

void EngineIndex::addAll (EngineState& engine)
{
    const IndexedHoldings& holdings = engine.indexed;
    for (const std::string& model : holdings.models)
    {
        placesFor (holdings.service, model)
            .holders.insert ({ holdings.takenAdapterPlaces, &engine });
    }
    for (const std::string& model : holdings.copies)
        placesFor (holdings.service, model).copies.insert (&engine);
    for (const std::string& adapter : holdings.adapters)
        ++m_adapters[{ holdings.service, adapter }];
}

void EngineIndex::dropAll (EngineState& engine)
{
    const IndexedHoldings& holdings = engine.indexed;
    for (const std::string& model : holdings.models)
        placesFor (holdings.service, model)
            .holders.erase ({ holdings.takenAdapterPlaces, &engine });
    for (const std::string& model : holdings.copies)
        placesFor (holdings.service, model).copies.erase (&engine);
    for (const std::string& adapter : holdings.adapters)
    {
        const auto found = m_adapters.find (ServiceModelOrder::Names (holdings.service, adapter));
        if (--found->second == 0)
            m_adapters.erase (found);
    }
}

EngineIndex::Places& EngineIndex::placesFor (std::string_view service, std::string_view model)
{
    const ServiceModelOrder::Names names{ service, model };
    const auto found = m_places.lower_bound (names);
    if (found != m_places.end() && ! ServiceModelOrder() (names, found->first))
        return found->second;
    return m_places.emplace_hint (found, ServiceModel (service, model), Places())->second;
}

const EngineIndex::Places& EngineIndex::placesOf (std::string_view service, std::string_view model)
{
    return placesFor (service, model);
}

bool EngineIndex::hasAdapter (std::string_view service, std::string_view model,
                              std::string_view adapter) const
{
    const std::string key = adapterKey (model, adapter);
    return m_adapters.contains (ServiceModelOrder::Names (service, key));
}

}  // namespace fernlift::placement
