#include "admission/WaitEstimator.h"

#include <algorithm>

namespace fernlift::admission
{
namespace
{

constexpr std::uint32_t kSamplesNeeded = 16;
constexpr base::Duration kSamplesKept = base::seconds (10);
constexpr double kSampleWeight = 0.1;  // Of the newest interval in the moving average.

}  // namespace

void WaitEstimator::onDispatch (const std::string& target, bool othersWait, base::TimePoint now)
{
    Pace& pace = m_paces[target];
    if (pace.lastDispatch)
    {
        const auto interval = static_cast<double> ((now - *pace.lastDispatch).count());
        const double weight = pace.samples == 0 ? 1.0 : kSampleWeight;
        pace.meanIntervalMicroseconds += weight * (interval - pace.meanIntervalMicroseconds);
        pace.samples += 1;
        pace.lastSampleAt = now;
    }
    pace.lastDispatch.reset();
    if (othersWait)
        pace.lastDispatch = now;
}

void WaitEstimator::onQueueEmpty (const std::string& target)
{
    const auto pace = m_paces.find (target);
    if (pace != m_paces.end())
        pace->second.lastDispatch.reset();
}

std::optional<base::Duration> WaitEstimator::waitBehind (const std::string& target,
                                                         std::size_t ahead,
                                                         base::TimePoint now) const
{
    const auto entry = m_paces.find (target);
    if (entry == m_paces.end() || entry->second.samples < kSamplesNeeded)
        return std::nullopt;
    const Pace& pace = entry->second;
    const bool isOld = ! pace.lastDispatch && now - pace.lastSampleAt > kSamplesKept;
    if (isOld)
        return std::nullopt;
    double interval = pace.meanIntervalMicroseconds;
    // A wait that is already longer than usual counts as the next interval. It gets no more weight
    // than that: requests that end together let the queue go on in bursts.
    if (pace.lastDispatch)
    {
        const auto sinceLast = static_cast<double> ((now - *pace.lastDispatch).count());
        interval += kSampleWeight * std::max (sinceLast - interval, 0.0);
    }
    const double wait = interval * static_cast<double> (ahead);
    return base::Duration (static_cast<std::int64_t> (wait));
}

}  // namespace fernlift::admission
