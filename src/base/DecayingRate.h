#pragma once

/**
 * A rate of events, weighted by how long ago they were.
 *
 * For what follows demand: how often a model is wanted, how much of its quota a tenant uses.
 */

#include <cmath>

#include "base/Time.h"

namespace fernlift::base
{

/** Pure: time is passed in. Threading: none. */
class DecayingRate
{
public:
    /** Notes `count` events. `memory` must be the same in all calls. */
    void add (double count, base::Duration memory, base::TimePoint now)
    {
        m_count = decayed (memory, now) + count;
        m_countedAt = now;
    }

    /** Events a second over about the last `memory`. */
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

    double m_count = 0;  ///< As of `m_countedAt`.
    base::TimePoint m_countedAt{};
};

}  // namespace fernlift::base
