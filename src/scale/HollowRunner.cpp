#include "scale/HollowRunner.h"

#include <variant>
#include <vector>

namespace fernlift::scale
{

HollowRunner::HollowRunner (const standin::EngineOptions& options, LoadWalkOptions load,
                            std::uint64_t seed, base::TimePoint now)
    : model_ (options, now), load_ (load, seed, now)
{
}

engine::OrderAnswer HollowRunner::order (const engine::Order& order, base::TimePoint now)
{
    settle (now);
    const engine::OrderAnswer answer = model_.onOrder (order, now);
    settle (now);
    return answer;
}

engine::Report HollowRunner::report (base::TimePoint now)
{
    settle (now);
    engine::Report report = model_.report();
    const std::uint32_t running = load_.advance (now);
    std::vector<engine::ReplicaReport*> loaded;
    for (engine::ReplicaReport& replica : report.replicas)
    {
        const bool servesBase =
            replica.phase == engine::ReplicaPhase::kReady && replica.adapter.empty();
        if (servesBase)
            loaded.push_back (&replica);
    }
    if (loaded.empty())
        return report;
    report.runningRequests = running;
    for (std::uint32_t request = 0; request < running; ++request)
    {
        ++loaded[request % loaded.size()]->runningRequests;
    }
    return report;
}

void HollowRunner::settle (base::TimePoint now)
{
    model_.advance (now);
    while (true)
    {
        const std::vector<standin::EngineEffect> effects = model_.takeEffects();
        if (effects.empty())
            return;
        for (const standin::EngineEffect& effect : effects)
        {
            if (const auto* fetch = std::get_if<standin::FetchWeights> (&effect))
            {
                model_.onFetched (fetch->fetch, now);
            }
        }
        model_.advance (now);
    }
}

}  // namespace fernlift::scale
