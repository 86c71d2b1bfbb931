/**
 * Placement and eviction of adapters on engines.
 *
 * An engine has few adapter slots, and a model may have ten times as many adapters. When requests
 * wait for an adapter and no slot is free, the least recently requested adapter on any engine that
 * holds the model is evicted. Adapters in use are never evicted.
 */

#include <algorithm>
#include <utility>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{

void EnginePlacement::planAdapters (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    // Longest wait first, so that a few busy adapters cannot starve the others.
    std::vector<std::pair<base::TimePoint, const TargetKey*>> waiting;
    for (const TargetKey& key : m_waitingAdapters)
    {
        if (! m_index.hasAdapter (key.service, key.model, key.adapter))
            waiting.emplace_back (m_demands.at (key).waitingSince, &key);
    }
    std::ranges::stable_sort (waiting, {}, &decltype (waiting)::value_type::first);
    PolledEngines polled;
    for (const auto& [since, key] : waiting)
        planAdapter (*key, polled, commands, now);
}

void EnginePlacement::planAdapter (const TargetKey& key, PolledEngines& polled,
                                   std::vector<EngineCommand>& commands, base::TimePoint now)
{
    Engine* evictor = nullptr;
    EvictableAdapter candidate;
    std::size_t visited = 0;
    for (const EngineIndex::Holder& holder : m_index.locationsOf (key.service, key.model).holders)
    {
        if (++visited > kMaxHoldersForAdapter)
            break;
        Engine& engine = *holder.engine;
        const EngineSpecIndex* spec = specOf (engine);
        if (spec == nullptr)
            return;
        const bool hasFreeSlot = holder.usedAdapterSlots < spec->spec().adapterSlots;
        const bool isUnknown = mayBePolled (engine) || isReportDue (engine);
        if (isUnknown && (hasFreeSlot || evictor == nullptr))
        {
            // Each engine is polled for one adapter only; the next adapter polls another engine.
            if (! polled.insert (&engine).second)
                continue;
            if (! engine.isPolled)
                poll (engine, commands, now);
            return;
        }
        if (! mayTakeOrder (engine))
            continue;
        if (hasFreeSlot)
        {
            send (engine, { true, key.model, key.adapter, "requests wait for it" }, commands, now);
            ++m_adapterOrders;
            m_adapterWait += now - m_demands.at (key).waitingSince;
            return;
        }
        const std::optional<EvictableAdapter> here = adapterToEvict (engine);
        if (here && (evictor == nullptr || here->requestedAt < candidate.requestedAt))
        {
            evictor = &engine;
            candidate = *here;
        }
    }
    if (evictor != nullptr)
    {
        send (*evictor, { false, candidate.model, candidate.adapter, "not asked for longest" },
              commands, now);
    }
}

std::optional<EnginePlacement::EvictableAdapter> EnginePlacement::adapterToEvict (
    const Engine& engine) const
{
    std::optional<EvictableAdapter> oldest;
    for (const std::string& adapter : adaptersOf (engine))
    {
        const std::size_t slash = adapter.find ('/');
        EvictableAdapter candidate{ adapter.substr (0, slash), adapter.substr (slash + 1), {} };
        const auto found = m_demands.find ({ engine.service, candidate.model, candidate.adapter });
        if (found != m_demands.end())
        {
            const TargetDemand& demand = found->second;
            if (demand.waiting > 0 || demand.running > 0)
                continue;
            candidate.requestedAt = demand.requestedAt;
        }
        if (! oldest || candidate.requestedAt < oldest->requestedAt)
            oldest = std::move (candidate);
    }
    return oldest;
}

}  // namespace fernlift::placement
