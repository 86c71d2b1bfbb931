#include "routing/OutlierDetector.h"

#include <algorithm>

namespace fernlift::routing
{

void OutlierDetector::onSuccess (const base::RunnerId& runner, base::TimePoint now)
{
    const auto entry = m_states.find (runner);
    if (entry == m_states.end())
        return;
    State& state = entry->second;
    state.consecutiveFailures = 0;
    const bool hasFullyReturned = now >= state.ejectedUntil + m_options.slowReturn;
    if (state.ejections == 0 || hasFullyReturned)
        m_states.erase (entry);
}

void OutlierDetector::onFailure (const base::RunnerId& runner, base::TimePoint now)
{
    State& state = m_states[runner];
    state.consecutiveFailures += 1;
    const bool isReturning = state.ejections > 0 && now < state.ejectedUntil + m_options.slowReturn;
    const bool isAlreadyEjected = state.ejections > 0 && now < state.ejectedUntil;
    if (isAlreadyEjected)
        return;
    // During the slow return a single failure ejects the runner again.
    if (! isReturning && state.consecutiveFailures < m_options.failuresToEject)
        return;
    base::Duration ejection = m_options.firstEjection;
    for (std::uint32_t earlier = 0; earlier < state.ejections; ++earlier)
    {
        ejection = std::min (ejection * 2, m_options.longestEjection);
    }
    state.ejections += 1;
    state.consecutiveFailures = 0;
    state.ejectedUntil = now + ejection;
}

bool OutlierDetector::isEjected (const base::RunnerId& runner, base::TimePoint now) const
{
    const auto entry = m_states.find (runner);
    return entry != m_states.end() && entry->second.ejections > 0
           && now < entry->second.ejectedUntil;
}

double OutlierDetector::weightOf (const base::RunnerId& runner, base::TimePoint now) const
{
    const auto entry = m_states.find (runner);
    if (entry == m_states.end() || entry->second.ejections == 0)
        return 1.0;
    if (now < entry->second.ejectedUntil)
        return 0.0;
    const base::Duration since = now - entry->second.ejectedUntil;
    if (since >= m_options.slowReturn)
        return 1.0;
    const double progress =
        static_cast<double> (since.count()) / static_cast<double> (m_options.slowReturn.count());
    return m_options.returnWeight + (1.0 - m_options.returnWeight) * progress;
}

}  // namespace fernlift::routing
