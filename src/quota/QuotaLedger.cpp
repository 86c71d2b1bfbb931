#include "quota/QuotaLedger.h"

#include <algorithm>
#include <chrono>

namespace fernlift::quota
{
namespace
{

/// A router that lost all controllers may continue to serve for this long (isolated_grace_ms).
constexpr base::Duration kIsolatedRouterLifetime = base::seconds (10);
/// Longest wait that a refused caller is given; also bounds the queue of refused units.
constexpr double kMaxWaitSeconds = 5;

}  // namespace

double QuotaLedger::capacityOf (const config::TenantQuota& quota) const
{
    return m_part * quota.burst;
}

double QuotaLedger::maxDebtOf (const config::TenantQuota& quota) const
{
    return m_debtShare * m_tolerance.debtUnitsFor (quota);
}

double QuotaLedger::rateOf (const config::TenantQuota& quota) const
{
    const double rate = m_part * quota.ratePerSecond;
    return m_knownRouters == 0 ? rate : rate * m_routers / m_knownRouters;
}

void QuotaLedger::setPart (const QuotaPart& part, base::TimePoint now)
{
    if (part.limit != m_part)
    {
        for (auto& [name, bucket] : m_buckets)
            refill (bucket, now);
    }
    m_part = part.limit;
    m_debtShare = part.debt;
}

void QuotaLedger::refill (Bucket& bucket, base::TimePoint now) const
{
    const double added =
        rateOf (bucket.quota) * std::chrono::duration<double> (now - bucket.filledAt).count();
    bucket.filledAt = now;
    bucket.level = std::min (bucket.level + added, capacityOf (bucket.quota));
    bucket.queued = std::max (bucket.queued - added, 0.0);
}

void QuotaLedger::setTenants (const std::vector<config::Tenant>& tenants, base::TimePoint now)
{
    std::map<std::string, Bucket> buckets;
    for (const config::Tenant& tenant : tenants)
    {
        if (! tenant.quota.isLimited())
            continue;
        const auto known = m_buckets.find (tenant.name);
        Bucket bucket;
        if (known == m_buckets.end())
        {
            bucket.level = m_part * m_tolerance.firstLevelFor (tenant.quota);
            bucket.filledAt = now;
        }
        else
        {
            bucket = known->second;
            refill (bucket, now);
        }
        bucket.quota = tenant.quota;
        bucket.level = std::min (bucket.level, capacityOf (bucket.quota));
        buckets.emplace (tenant.name, bucket);
    }
    m_buckets = std::move (buckets);
}

void QuotaLedger::setRouters (std::uint32_t connected, base::TimePoint now)
{
    std::uint32_t known = m_knownRouters;
    if (connected >= known || now - m_knownAt > kIsolatedRouterLifetime)
    {
        known = connected;
        m_knownAt = now;
    }
    if (known == m_knownRouters && connected == m_routers)
        return;
    for (auto& [name, bucket] : m_buckets)
        refill (bucket, now);
    m_knownRouters = known;
    m_routers = connected;
}

bool QuotaLedger::take (Bucket& bucket, double units, base::TimePoint now) const
{
    refill (bucket, now);
    // While any units are left, a claim is granted up to the maximum debt. Requiring that the level
    // covers the whole claim refuses large requests far more often than small ones: the lowest
    // share admitted of any class of requests falls from 0.92 to 0.80.
    const double debt = units - bucket.level;
    const bool isWithinDebt = bucket.level > 0 && debt <= maxDebtOf (bucket.quota);
    const bool isFull = bucket.level >= capacityOf (bucket.quota);
    if (! isWithinDebt && ! isFull)
        return false;
    bucket.level -= units;
    return true;
}

bool QuotaLedger::take (const std::string& tenant, std::uint64_t units, base::TimePoint now)
{
    const auto found = m_buckets.find (tenant);
    return found != m_buckets.end() && take (found->second, static_cast<double> (units), now);
}

base::Duration QuotaLedger::lifetimeOf (const std::string& tenant) const
{
    const auto found = m_buckets.find (tenant);
    return found == m_buckets.end() ? base::Duration::zero()
                                    : m_tolerance.lifetimeFor (found->second.quota);
}

cell::QuotaGrant QuotaLedger::answer (const cell::QuotaRequest& request, base::TimePoint now)
{
    cell::QuotaGrant grant;
    grant.sequence = request.sequence;
    for (const cell::QuotaNeed& need : request.needs)
        grant.allowances.push_back (allowanceFor (need, now));
    return grant;
}

cell::QuotaAllowance QuotaLedger::allowanceFor (const cell::QuotaNeed& need, base::TimePoint now)
{
    cell::QuotaAllowance allowance;
    allowance.account = need.account;
    const auto found = m_buckets.find (need.account);
    if (found == m_buckets.end())
    {
        // The sender has an earlier configuration, in which the tenant still had a limit.
        for (const std::uint64_t claim : need.claims)
            allowance.units += claim;
        allowance.lifetimeMilliseconds = base::toMilliseconds (m_tolerance.window);
        return allowance;
    }
    Bucket& bucket = found->second;
    allowance.lifetimeMilliseconds = base::toMilliseconds (m_tolerance.lifetimeFor (bucket.quota));
    for (const std::uint64_t claim : need.claims)
    {
        const auto units = static_cast<double> (claim);
        if (take (bucket, units, now))
            allowance.units += claim;
        else
            allowance.waitMilliseconds = base::toMilliseconds (waitAfterRefusal (bucket, units));
    }
    return allowance;
}

base::Duration QuotaLedger::waitAfterRefusal (Bucket& bucket, double units) const
{
    const double rate = rateOf (bucket.quota);
    bucket.queued = std::min (bucket.queued + units, kMaxWaitSeconds * rate);
    const double missing = std::max (bucket.queued, units - bucket.level);
    const double seconds = rate > 0 ? missing / rate : kMaxWaitSeconds;
    return std::chrono::duration_cast<base::Duration> (
        std::chrono::duration<double> (std::min (seconds, kMaxWaitSeconds)));
}

}  // namespace fernlift::quota
