#include "quota/QuotaTolerance.h"

#include <algorithm>
#include <chrono>

namespace fernlift::quota
{
namespace
{

constexpr double kLifetimePart = 0.2;
constexpr double kFirstLevelPart = 0.05;
constexpr double kFallbackPart = 0.15;
constexpr double kDebtPart = 0.6;
/// A shorter lifetime would expire before a grant arrives by way of two controllers; a longer one
/// gains nothing, as units are requested only when they are needed.
constexpr base::Duration kMinLifetime = base::milliseconds (50);
constexpr base::Duration kMaxLifetime = base::milliseconds (1500);

}  // namespace

double QuotaTolerance::unitsFor (const config::TenantQuota& quota) const
{
    return overshoot * (quota.ratePerSecond * base::toSeconds (window) + quota.burst) + slack;
}

base::Duration QuotaTolerance::lifetimeFor (const config::TenantQuota& quota) const
{
    const std::chrono::duration<double> share (kLifetimePart * unitsFor (quota)
                                               / quota.ratePerSecond);
    if (share > kMaxLifetime)
        return kMaxLifetime;
    return std::max (std::chrono::duration_cast<base::Duration> (share), kMinLifetime);
}

double QuotaTolerance::firstLevelFor (const config::TenantQuota& quota) const
{
    return std::min (kFirstLevelPart * unitsFor (quota), quota.burst);
}

double QuotaTolerance::fallbackUnitsFor (const config::TenantQuota& quota) const
{
    return kFallbackPart * unitsFor (quota);
}

double QuotaTolerance::debtUnitsFor (const config::TenantQuota& quota) const
{
    return kDebtPart * unitsFor (quota);
}

void declareSettings (config::SettingsSchema& schema, QuotaTolerance& tolerance)
{
    constexpr double kMaxOvershoot = 10;
    constexpr double kMaxSlack = 1e12;
    schema.addDuration ("quota_window_ms", &tolerance.window, base::milliseconds (100),
                        base::seconds (3600),
                        "time over which the use of a tenant's quota is judged");
    schema.addReal ("quota_overshoot", &tolerance.overshoot, 0, kMaxOvershoot,
                    "share of a tenant's quota that may be used above it within the window");
    schema.addReal ("quota_slack", &tolerance.slack, 0, kMaxSlack,
                    "units on top of that, for each tenant");
}

}  // namespace fernlift::quota
