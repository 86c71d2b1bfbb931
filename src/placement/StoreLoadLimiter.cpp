#include "placement/StoreLoadLimiter.h"

#include <algorithm>
#include <set>

namespace fernlift::placement
{
namespace
{

/// A load that takes more than this multiple of the nominal time per megabyte shows a slow store.
constexpr double kSlowFactor = 2.0;
/// Growth of the nominal time with each slow load. The nominal time of a store that stays slow thus
/// adapts, and the concurrency recovers.
constexpr double kNominalGrowth = 1.1;

}  // namespace

std::uint32_t StoreLoadLimiter::startsAllowed() const
{
    return static_cast<std::uint32_t> (m_tokens);
}

void StoreLoadLimiter::observe (const config::WeightStoreLimits& limits,
                                const std::vector<ReplicaView>& replicas, base::TimePoint now)
{
    refill (limits, now);
    std::set<base::ReplicaId> loading;
    for (const ReplicaView& view : replicas)
    {
        const base::ReplicaId id = view.replica.id;
        const auto tracked = m_loads.find (id);
        if (view.replica.stage == cell::ReplicaStage::kLoading && view.usesStore)
        {
            loading.insert (id);
            if (tracked != m_loads.end())
                continue;
            m_loads[id] = Load{ now, std::max<engine::Megabytes> (view.replica.memory, 1) };
            m_tokens = std::max (m_tokens - 1.0, 0.0);
        }
        else if (view.replica.stage == cell::ReplicaStage::kReady && tracked != m_loads.end())
        {
            onReady (tracked->second, now);
        }
    }
    std::erase_if (m_loads, [&] (const auto& entry) { return loading.count (entry.first) == 0; });
    findOverdue (now);
}

void StoreLoadLimiter::refill (const config::WeightStoreLimits& limits, base::TimePoint now)
{
    const double burst = std::max (limits.loadsPerSecond, 1.0);
    if (m_limit != limits.concurrentLoads)
    {
        m_limit = std::max (limits.concurrentLoads, 1U);
        m_concurrency = m_limit;
    }
    const bool isFirst = m_refilledAt == base::TimePoint{};
    const double gained =
        isFirst ? burst : base::toSeconds (now - m_refilledAt) * limits.loadsPerSecond;
    m_tokens = std::min (m_tokens + gained, burst);
    m_refilledAt = now;
}

void StoreLoadLimiter::onReady (const Load& load, base::TimePoint now)
{
    const double sample =
        base::toSeconds (now - load.startedAt) / static_cast<double> (load.memory);
    addSample (sample, load, now);
}

void StoreLoadLimiter::addSample (double secondsPerMegabyte, const Load& load, base::TimePoint now)
{
    if (m_nominalSecondsPerMegabyte <= 0)
    {
        m_nominalSecondsPerMegabyte = secondsPerMegabyte;
        return;
    }
    if (secondsPerMegabyte > kSlowFactor * m_nominalSecondsPerMegabyte)
    {
        m_nominalSecondsPerMegabyte *= kNominalGrowth;
        // Loads that began before the last decrease do not show the effect of the current
        // concurrency.
        if (load.startedAt >= m_slowedAt)
            reduceConcurrency (now);
        return;
    }
    m_nominalSecondsPerMegabyte = std::min (m_nominalSecondsPerMegabyte, secondsPerMegabyte);
    m_concurrency = std::min (m_concurrency + 1, m_limit);
}

void StoreLoadLimiter::findOverdue (base::TimePoint now)
{
    if (m_nominalSecondsPerMegabyte <= 0)
        return;
    const bool isOverdue = std::any_of (
        m_loads.begin(), m_loads.end(),
        [&] (const auto& entry)
        {
            const Load& load = entry.second;
            const double nominal = m_nominalSecondsPerMegabyte * static_cast<double> (load.memory);
            return load.startedAt >= m_slowedAt
                   && base::toSeconds (now - load.startedAt) > kSlowFactor * nominal;
        });
    if (isOverdue)
        reduceConcurrency (now);
}

void StoreLoadLimiter::reduceConcurrency (base::TimePoint now)
{
    m_concurrency = std::max (m_concurrency / 2, 1U);
    m_slowedAt = now;
}

}  // namespace fernlift::placement
