#include "placement/StorePace.h"

#include <algorithm>
#include <set>

namespace fernlift::placement
{
namespace
{

/// A load that takes this many times the usual time per megabyte shows a slow store.
constexpr double kSlowFactor = 2.0;
/// A slow load moves the usual time up by this factor, so that a store that stays slow becomes the
/// usual and the concurrency recovers.
constexpr double kForgetting = 1.1;

double secondsOf (base::Duration duration)
{
    return std::chrono::duration<double> (duration).count();
}

}  // namespace

std::uint32_t StorePace::startsAllowed() const { return static_cast<std::uint32_t> (tokens_); }

void StorePace::observe (const config::WeightStoreLimits& limits,
                         const std::vector<ReplicaView>& replicas, base::TimePoint now)
{
    refill (limits, now);
    std::set<base::ReplicaId> loading;
    for (const ReplicaView& view : replicas)
    {
        const base::ReplicaId id = view.replica.id;
        const auto tracked = loads_.find (id);
        if (view.replica.stage == cell::ReplicaStage::kLoading && view.usesStore)
        {
            loading.insert (id);
            if (tracked != loads_.end())
                continue;
            loads_[id] = Load{ now, std::max<engine::Megabytes> (view.replica.memory, 1) };
            tokens_ = std::max (tokens_ - 1.0, 0.0);
        }
        else if (view.replica.stage == cell::ReplicaStage::kReady && tracked != loads_.end())
        {
            onReady (tracked->second, now);
        }
    }
    std::erase_if (loads_, [&] (const auto& entry) { return loading.count (entry.first) == 0; });
    findOverdue (now);
}

void StorePace::refill (const config::WeightStoreLimits& limits, base::TimePoint now)
{
    const double burst = std::max (limits.loadsPerSecond, 1.0);
    if (limit_ != limits.concurrentLoads)
    {
        limit_ = std::max (limits.concurrentLoads, 1U);
        concurrency_ = limit_;
    }
    const bool isFirst = refilledAt_ == base::TimePoint{};
    const double gained = isFirst ? burst : secondsOf (now - refilledAt_) * limits.loadsPerSecond;
    tokens_ = std::min (tokens_ + gained, burst);
    refilledAt_ = now;
}

void StorePace::onReady (const Load& load, base::TimePoint now)
{
    const double sample = secondsOf (now - load.startedAt) / static_cast<double> (load.memory);
    noteSample (sample, load, now);
}

void StorePace::noteSample (double secondsPerMegabyte, const Load& load, base::TimePoint now)
{
    if (usualSecondsPerMegabyte_ <= 0)
    {
        usualSecondsPerMegabyte_ = secondsPerMegabyte;
        return;
    }
    if (secondsPerMegabyte > kSlowFactor * usualSecondsPerMegabyte_)
    {
        usualSecondsPerMegabyte_ *= kForgetting;
        // Loads that began before the last decrease tell nothing of the present concurrency.
        if (load.startedAt >= slowedAt_)
            slowDown (now);
        return;
    }
    usualSecondsPerMegabyte_ = std::min (usualSecondsPerMegabyte_, secondsPerMegabyte);
    concurrency_ = std::min (concurrency_ + 1, limit_);
}

void StorePace::findOverdue (base::TimePoint now)
{
    if (usualSecondsPerMegabyte_ <= 0)
        return;
    const bool isOverdue = std::any_of (
        loads_.begin(), loads_.end(),
        [&] (const auto& entry)
        {
            const Load& load = entry.second;
            const double usual = usualSecondsPerMegabyte_ * static_cast<double> (load.memory);
            return load.startedAt >= slowedAt_
                   && secondsOf (now - load.startedAt) > kSlowFactor * usual;
        });
    if (isOverdue)
        slowDown (now);
}

void StorePace::slowDown (base::TimePoint now)
{
    concurrency_ = std::max (concurrency_ / 2, 1U);
    slowedAt_ = now;
}

}  // namespace fernlift::placement
