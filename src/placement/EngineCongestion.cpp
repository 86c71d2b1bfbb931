/**
 * How crowded engines are by the requests for all their models together.
 *
 * An engine runs the requests for all its models in one batch: streams of one model become slow by
 * those of the others. So whether a model has enough replicas is not told by its own requests
 * alone. Routers spread the requests for a model over its holders, which is what is assumed here.
 */

#include <algorithm>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementConstants.h"

namespace fernlift::placement
{
namespace
{

/// Longest of a service's streams that run at a time, in relation to the mean.
constexpr double kLongestToMean = 1.5;

}  // namespace

double EnginePlacement::congestionLimit (const config::EngineSpec& spec)
{
    return kMaxSlotShare * spec.slots;
}

double EnginePlacement::congestionLimit (const Engine& engine) const
{
    const EngineSpecIndex* spec = specOf (engine);
    return spec == nullptr ? 0 : congestionLimit (spec->spec());
}

double EnginePlacement::requestsOf (const Engine& engine) const
{
    return engine.requestsRound == m_round ? engine.requests : 0;
}

void EnginePlacement::measureCongestion()
{
    // Most engines hold no model that is in use at a time: they are not looked at.
    const auto visitInUse = [this] (const auto& visit)
    {
        for (auto& [key, view] : m_models)
        {
            if (view.requests() == 0)
                continue;
            for (const EngineIndex::Holder& holder : view.locations->holders)
                visit (*holder.engine, view);
        }
    };
    visitInUse (
        [this] (Engine& engine, const ModelView& view)
        {
            engine.requests = requestsOf (engine) + view.requestsAtHolder();
            engine.requestsRound = m_round;
        });
    visitInUse ([this] (const Engine& engine, ModelView& view)
                { view.capacity += capacityFor (engine, view); });
}

void EnginePlacement::measureStreamDurations()
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

double EnginePlacement::capacityFor (const Engine& engine, const ModelView& view) const
{
    const double others = requestsOf (engine) - view.requestsAtHolder();
    return std::max (congestionLimit (engine) - others, 0.0);
}

bool EnginePlacement::isCongestedWithout (const Engine& engine, const ModelView& view) const
{
    return view.requests() > 0 && view.requests() > view.capacity - capacityFor (engine, view);
}

}  // namespace fernlift::placement
