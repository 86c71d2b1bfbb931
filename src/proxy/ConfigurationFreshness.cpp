#include "proxy/ConfigurationFreshness.h"

#include <algorithm>

namespace fernlift::proxy
{
namespace
{

/// Time for which requests are held after the grace period. An available leader is found within a
/// second (see docs/incidents/issue-18-config.md); a longer wait would only delay refusals.
constexpr base::Duration kHoldTime = base::seconds (1);

/// Consecutive failed connections after which the router counts as isolated from all controllers.
/// In an ordinary failover one controller may be down and another one unreachable. A process that
/// was suspended has tried none, so it does not count as isolated when it resumes.
constexpr std::uint32_t kAttemptsBeforeIsolated = 3;

}  // namespace

const char* toString (Freshness freshness)
{
    switch (freshness)
    {
        case Freshness::kConfirmed:
            return "confirmed";
        case Freshness::kUnconfirmed:
            return "unconfirmed";
        case Freshness::kExpired:
            break;
    }
    return "expired";
}

void ConfigurationFreshness::onApplied (base::TimePoint now)
{
    if (m_confirmedUntil == base::TimePoint{})
        m_confirmedUntil = now;
}

void ConfigurationFreshness::onLease (base::TimePoint end)
{
    m_confirmedUntil = std::max (m_confirmedUntil, end);
}

bool ConfigurationFreshness::isIsolated() const
{
    return m_failedAttempts >= kAttemptsBeforeIsolated;
}

Freshness ConfigurationFreshness::at (base::TimePoint now) const
{
    const base::Duration grace = isIsolated() ? m_limits.isolatedGrace : m_limits.grace;
    const base::Duration unconfirmed = unconfirmedFor (now);
    if (unconfirmed < grace)
        return Freshness::kConfirmed;
    return unconfirmed < grace + kHoldTime ? Freshness::kUnconfirmed : Freshness::kExpired;
}

base::Duration ConfigurationFreshness::unconfirmedFor (base::TimePoint now) const
{
    return std::max<base::Duration> (now - m_confirmedUntil, base::Duration::zero());
}

}  // namespace fernlift::proxy
