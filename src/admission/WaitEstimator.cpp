#include "admission/WaitEstimator.h"

#include <algorithm>

namespace fernlift::admission
{
namespace
{

constexpr std::uint32_t kRequiredSamples = 16;
constexpr base::Duration kSampleLifetime = base::seconds (10);
constexpr double kSampleWeight = 0.1;  // Weight of the newest interval in the moving average.

}  // namespace

void WaitEstimator::onDispatch (const std::string& target, bool othersWait, base::TimePoint now)
{
    DispatchRate& rate = m_rates[target];
    if (rate.lastDispatch)
    {
        const auto interval = static_cast<double> ((now - *rate.lastDispatch).count());
        const double weight = rate.samples == 0 ? 1.0 : kSampleWeight;
        rate.meanIntervalMicroseconds += weight * (interval - rate.meanIntervalMicroseconds);
        rate.samples += 1;
        rate.lastSampleAt = now;
    }
    rate.lastDispatch.reset();
    if (othersWait)
        rate.lastDispatch = now;
}

void WaitEstimator::onQueueEmpty (const std::string& target)
{
    const auto rate = m_rates.find (target);
    if (rate != m_rates.end())
        rate->second.lastDispatch.reset();
}

std::optional<base::Duration> WaitEstimator::waitBehind (const std::string& target,
                                                         std::size_t ahead,
                                                         base::TimePoint now) const
{
    const auto entry = m_rates.find (target);
    if (entry == m_rates.end() || entry->second.samples < kRequiredSamples)
        return std::nullopt;
    const DispatchRate& rate = entry->second;
    const bool isOld = ! rate.lastDispatch && now - rate.lastSampleAt > kSampleLifetime;
    if (isOld)
        return std::nullopt;
    double interval = rate.meanIntervalMicroseconds;
    // The time since the last dispatch, once it exceeds the mean, counts as one more sample. It
    // gets no larger weight, as requests that end together cause dispatches in bursts.
    if (rate.lastDispatch)
    {
        const auto sinceLast = static_cast<double> ((now - *rate.lastDispatch).count());
        interval += kSampleWeight * std::max (sinceLast - interval, 0.0);
    }
    const double wait = interval * static_cast<double> (ahead);
    return base::Duration (static_cast<std::int64_t> (wait));
}

}  // namespace fernlift::admission
