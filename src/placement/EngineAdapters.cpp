/**
 * Which adapter goes to which engine, and which makes way.
 *
 * An engine has few places for adapters, and a model may have ten times as many. Where requests
 * wait for one, the adapter that was not asked for longest, on any engine that holds the model,
 * makes way; adapters that requests use stay.
 */

#include <algorithm>
#include <utility>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{

void EnginePlacement::planAdapters (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    // Who has waited longest is served first, or a few adapters could take all turns.
    std::vector<std::pair<base::TimePoint, const TargetKey*>> waiting;
    for (const auto& [key, target] : m_demands)
    {
        if (! key.adapter.empty() && target.waiting > 0)
            waiting.emplace_back (target.waitingSince, &key);
    }
    std::ranges::stable_sort (waiting, {}, &decltype (waiting)::value_type::first);
    for (const auto& [since, key] : waiting)
        planAdapter (*key, commands, now);
}

void EnginePlacement::planAdapter (const TargetKey& key, std::vector<EngineCommand>& commands,
                                   base::TimePoint now)
{
    const std::string wanted = adapterKey (key.model, key.adapter);
    Engine* roomiest = nullptr;
    std::size_t fewest = 0;
    Engine* evictor = nullptr;
    AdapterVictim victim;
    for (auto& [id, engine] : m_engines)
    {
        const bool holdsModel = engine.service == key.service && engine.isUsable
                                && engine.models.contains (key.model)
                                && ! engine.withdrawn.contains (key.model);
        if (! holdsModel)
            continue;
        const EngineSpecIndex* spec = specOf (engine);
        if (spec == nullptr)
            continue;
        const std::set<std::string> adapters = adaptersOf (engine);
        const bool isThere = adapters.contains (wanted);
        const bool isComing = engine.unanswered && engine.unanswered->order.model == key.model
                              && engine.unanswered->order.adapter == key.adapter;
        if (isThere || isComing)
            return;
        if (! mayTakeOrder (engine))
            continue;
        if (adapters.size() < spec->spec().adapterSlots)
        {
            if (roomiest == nullptr || adapters.size() < fewest)
            {
                roomiest = &engine;
                fewest = adapters.size();
            }
            continue;
        }
        const std::optional<AdapterVictim> here = adapterVictim (engine);
        if (here && (evictor == nullptr || here->askedAt < victim.askedAt))
        {
            evictor = &engine;
            victim = *here;
        }
    }
    if (roomiest != nullptr)
    {
        send (*roomiest, { true, key.model, key.adapter, "requests wait for it" }, commands, now);
    }
    else if (evictor != nullptr)
    {
        send (*evictor, { false, victim.model, victim.adapter, "not asked for longest" }, commands,
              now);
    }
}

std::optional<EnginePlacement::AdapterVictim> EnginePlacement::adapterVictim (
    const Engine& engine) const
{
    std::optional<AdapterVictim> oldest;
    for (const std::string& adapter : adaptersOf (engine))
    {
        const std::size_t slash = adapter.find ('/');
        AdapterVictim victim{ adapter.substr (0, slash), adapter.substr (slash + 1), {} };
        const auto found = m_demands.find ({ engine.service, victim.model, victim.adapter });
        if (found != m_demands.end())
        {
            const TargetDemand& demand = found->second;
            if (demand.waiting > 0 || demand.running > 0)
                continue;
            victim.askedAt = demand.askedAt;
        }
        if (! oldest || victim.askedAt < oldest->askedAt)
            oldest = std::move (victim);
    }
    return oldest;
}

}  // namespace fernlift::placement
