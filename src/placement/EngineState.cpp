#include "placement/EngineState.h"

namespace fernlift::placement
{

std::string adapterKey (std::string_view model, std::string_view adapter)
{
    return std::string (model).append ("/").append (adapter);
}

std::set<std::string> adaptersOf (const EngineState& engine)
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

bool isUnloading (const EngineState& engine, const std::string& model)
{
    const auto unloads = [&] (const std::optional<PendingOrder>& pending)
    { return pending && ! pending->order.isLoad && pending->order.model == model; };
    return unloads (engine.modelOrder) || unloads (engine.unanswered);
}

bool isRoutable (const EngineState& engine, const std::string& model)
{
    return ! engine.withdrawn.contains (model) && ! isUnloading (engine, model);
}

}  // namespace fernlift::placement
