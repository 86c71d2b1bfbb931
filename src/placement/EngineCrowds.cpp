/**
 * How crowded engines are by the requests for all their models together.
 *
 * An engine runs the requests for all its models in one batch: streams of one model become slow by
 * those of the others. So whether a model has enough replicas is not told by its own requests
 * alone. Routers spread the requests for a model over its holders, which is what is assumed here.
 */

#include <algorithm>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{
namespace
{

/// Longest of a service's streams that run at a time, in relation to the mean.
constexpr double kLongestToMean = 1.5;

}  // namespace

bool EnginePlacement::isRoutable (const Engine& engine, const std::string& model)
{
    return ! engine.withdrawn.contains (model) && ! isUnloading (engine, model);
}

double EnginePlacement::crowdLimit (const config::EngineSpec& spec)
{
    return kFilledSlots * spec.slots;
}

void EnginePlacement::measureCrowds()
{
    const auto visitHeld = [this] (const auto& visit)
    {
        for (auto& [id, engine] : m_engines)
        {
            for (auto& [model, state] : engine.models)
            {
                if (engine.isUsable && isRoutable (engine, model))
                    visit (engine, *state.view);
            }
        }
    };
    for (auto& [id, engine] : m_engines)
    {
        const EngineSpecIndex* spec = specOf (engine);
        engine.requestLimit = spec == nullptr ? 0 : crowdLimit (spec->spec());
        engine.requests = 0;
    }
    visitHeld ([] (Engine& engine, const ModelView& view)
               { engine.requests += view.requestsAtHolder(); });
    visitHeld ([] (const Engine& engine, ModelView& view) { view.room += roomFor (engine, view); });
}

void EnginePlacement::measureStreams()
{
    struct Sums
    {
        double running = 0;
        double perSecond = 0;
    };
    std::map<std::string, Sums> sums;
    for (const auto& [model, view] : m_models)
    {
        Sums& sum = sums[model.first];
        sum.running += view.demand.running;
        sum.perSecond += view.demand.perSecond;
    }
    m_streamSeconds.clear();
    for (const auto& [service, sum] : sums)
    {
        // By Little's law.
        const double mean = sum.perSecond > 0 ? sum.running / sum.perSecond : 0;
        m_streamSeconds[service] = kLongestToMean * mean;
    }
}

double EnginePlacement::roomFor (const Engine& engine, const ModelView& view)
{
    const double others = engine.requests - view.requestsAtHolder();
    return std::max (engine.requestLimit - others, 0.0);
}

bool EnginePlacement::isCrowdedWithout (const Engine& engine, const ModelView& view)
{
    return view.requests() > view.room - roomFor (engine, view);
}

}  // namespace fernlift::placement
