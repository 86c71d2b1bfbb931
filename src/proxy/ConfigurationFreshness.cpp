#include "proxy/ConfigurationFreshness.h"

#include <algorithm>

namespace fernlift::proxy
{
namespace
{

/// How long requests are held after the grace. A leader that is there is found within a second (see
/// docs/incidents/issue-18-config.md); longer waits would only make refusals late.
constexpr base::Duration kHold = base::seconds (1);

/// Connections that must fail in a row before the router counts as cut off from every controller:
/// one may be down and one be cut off in an ordinary failover. A process that was stopped for a
/// while has tried none, and is not taken for isolated when it goes on.
constexpr std::uint32_t kAttemptsBeforeIsolated = 3;

}  // namespace

const char* nameOf (Freshness freshness)
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

void ConfigurationFreshness::onTaken (base::TimePoint now)
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
    return unconfirmed < grace + kHold ? Freshness::kUnconfirmed : Freshness::kExpired;
}

base::Duration ConfigurationFreshness::unconfirmedFor (base::TimePoint now) const
{
    return std::max<base::Duration> (now - m_confirmedUntil, base::Duration::zero());
}

}  // namespace fernlift::proxy
