/**
 * Congestion of engines by the requests for all their models together.
 *
 * An engine runs the requests for all its models in one batch, so streams of one model slow down
 * those of the others, and a model's own requests alone do not show whether it has enough replicas.
 * The requests for a model are assumed to be spread evenly over its holders, as routers do it.
 */

#include <algorithm>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{
namespace
{

/// Ratio of the longest concurrent stream of a service to the mean.
constexpr double kMaxDurationToMean = 1.5;

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
    // Engines without a model in use are not visited; at any time these are most of them.
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
        // Mean duration by Little's law.
        const double mean = sum.perSecond > 0 ? sum.running / sum.perSecond : 0;
        m_streamSeconds[service] = kMaxDurationToMean * mean;
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
