#include "scale/HollowRunner.h"

#include <variant>
#include <vector>

namespace fernlift::scale
{

HollowRunner::HollowRunner (const standin::EngineOptions& options, LoadWalkOptions load,
                            std::uint64_t seed, base::TimePoint now)
    : m_model (options, now), m_load (load, seed, now)
{
}

engine::OrderAnswer HollowRunner::order (const engine::Order& order, base::TimePoint now)
{
    settle (now);
    const engine::OrderAnswer answer = m_model.onOrder (order, now);
    settle (now);
    return answer;
}

engine::Report HollowRunner::report (base::TimePoint now)
{
    settle (now);
    engine::Report report = m_model.report();
    const std::uint32_t running = m_load.advance (now);
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
    m_model.advance (now);
    while (true)
    {
        const std::vector<standin::EngineEffect> effects = m_model.takeEffects();
        if (effects.empty())
            return;
        for (const standin::EngineEffect& effect : effects)
        {
            if (const auto* fetch = std::get_if<standin::FetchWeights> (&effect))
            {
                m_model.onFetched (fetch->fetch, now);
            }
        }
        m_model.advance (now);
    }
}

}  // namespace fernlift::scale
