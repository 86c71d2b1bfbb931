#pragma once

/**
 * Bounds how often something is done: so often at once, and so often a second after that.
 */

#include <algorithm>
#include <utility>

#include "base/Time.h"

namespace fernlift::base
{

/** Pure: time is passed in. Threading: none. */
class TokenBucket
{
public:
    /** Begins full. `burst` tokens may be taken at once, `perSecond` come back in a second. */
    TokenBucket (double burst, double perSecond)
        : m_burst (burst), m_perSecond (perSecond), m_tokens (burst)
    {
    }

    /** Takes one token; false when there is none. */
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
    double m_tokens;  ///< As of `m_countedAt`.
    TimePoint m_countedAt{};
};

}  // namespace fernlift::base
