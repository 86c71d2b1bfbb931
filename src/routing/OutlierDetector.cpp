#include "routing/OutlierDetector.h"

#include <algorithm>

namespace fernlift::routing
{

void OutlierDetector::onSuccess (const base::RunnerId& runner, base::TimePoint now)
{
    const auto entry = states_.find (runner);
    if (entry == states_.end())
        return;
    State& state = entry->second;
    state.consecutiveFailures = 0;
    const bool hasFullyReturned = now >= state.ejectedUntil + options_.slowReturn;
    if (state.ejections == 0 || hasFullyReturned)
        states_.erase (entry);
}

void OutlierDetector::onFailure (const base::RunnerId& runner, base::TimePoint now)
{
    State& state = states_[runner];
    state.consecutiveFailures += 1;
    const bool isReturning = state.ejections > 0 && now < state.ejectedUntil + options_.slowReturn;
    const bool isAlreadyEjected = state.ejections > 0 && now < state.ejectedUntil;
    if (isAlreadyEjected)
        return;
    // A runner that fails on its way back is ejected by the first failure.
    if (! isReturning && state.consecutiveFailures < options_.failuresToEject)
        return;
    base::Duration ejection = options_.firstEjection;
    for (std::uint32_t earlier = 0; earlier < state.ejections; ++earlier)
    {
        ejection = std::min (ejection * 2, options_.longestEjection);
    }
    state.ejections += 1;
    state.consecutiveFailures = 0;
    state.ejectedUntil = now + ejection;
}

bool OutlierDetector::isEjected (const base::RunnerId& runner, base::TimePoint now) const
{
    const auto entry = states_.find (runner);
    return entry != states_.end() && entry->second.ejections > 0
           && now < entry->second.ejectedUntil;
}

double OutlierDetector::weightOf (const base::RunnerId& runner, base::TimePoint now) const
{
    const auto entry = states_.find (runner);
    if (entry == states_.end() || entry->second.ejections == 0)
        return 1.0;
    if (now < entry->second.ejectedUntil)
        return 0.0;
    const base::Duration since = now - entry->second.ejectedUntil;
    if (since >= options_.slowReturn)
        return 1.0;
    const double progress =
        static_cast<double> (since.count()) / static_cast<double> (options_.slowReturn.count());
    return options_.returnWeight + (1.0 - options_.returnWeight) * progress;
}

}  // namespace fernlift::routing
