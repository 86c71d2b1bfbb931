#pragma once

/**
 * A rate of events with exponentially decaying weights.
 *
 * Used to estimate demand: the request rate of a model, the use that a tenant makes of its quota.
 */

#include <cmath>

#include "base/Time.h"

namespace fernlift::base
{

/** Exponentially weighted event rate. Reads no clock: time is passed in. Not thread-safe. */
class DecayingRate
{
public:
    /** Adds `count` events. `memory` is the time constant of the decay and must be the same in all
        calls. */
    void add (double count, base::Duration memory, base::TimePoint now)
    {
        m_count = decayed (memory, now) + count;
        m_countedAt = now;
    }

    /** Events per second over roughly the last `memory`. */
    [[nodiscard]] double perSecond (base::Duration memory, base::TimePoint now) const
    {
        return decayed (memory, now) / std::chrono::duration<double> (memory).count();
    }

private:
    [[nodiscard]] double decayed (base::Duration memory, base::TimePoint now) const
    {
        const std::chrono::duration<double> age = now - m_countedAt;
        return m_count * std::exp (-age / std::chrono::duration<double> (memory));
    }

    double m_count = 0;  ///< Decayed number of events at `m_countedAt`.
    base::TimePoint m_countedAt{};
};

}  // namespace fernlift::base
