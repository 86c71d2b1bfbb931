#pragma once

/**
 * Token bucket that limits the rate of an operation: a burst at once, then a steady rate.
 */

#include <algorithm>
#include <utility>

#include "base/Time.h"

namespace fernlift::base
{

/** Reads no clock: time is passed in. Not thread-safe. */
class TokenBucket
{
public:
    /** The bucket starts full. `burst` is its capacity; `perSecond` tokens are added per second. */
    TokenBucket (double burst, double perSecond)
        : m_burst (burst), m_perSecond (perSecond), m_tokens (burst)
    {
    }

    /** Takes one token; false when none is available. */
    [[nodiscard]] bool take (TimePoint now)
    {
        const double gained = m_perSecond * toSeconds (now - std::exchange (m_countedAt, now));
        m_tokens = std::min (m_tokens + gained, m_burst);
        if (m_tokens < 1)
            return false;
        --m_tokens;
        return true;
    }

private:
    double m_burst;
    double m_perSecond;
    double m_tokens;  ///< Available tokens at `m_countedAt`.
    TimePoint m_countedAt{};
};

}  // namespace fernlift::base
