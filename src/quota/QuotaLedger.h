#pragma once

/**
 * Remaining units of each tenant's quota at one controller, which grants a part of the quota.
 *
 * There is one token bucket for each tenant. Granted units expire after a short time, so that the
 * use within a window is bounded by the grants of a slightly longer window, whichever process is
 * disconnected, frozen, killed or added. Buckets are not replicated: the first level of a new one
 * is small enough to be granted on top of whatever the one before granted.
 */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cell/QuotaMessages.h"
#include "config/Tenants.h"
#include "quota/QuotaTolerance.h"

namespace fernlift::quota
{

/** Part of every quota that one controller may grant. */
struct QuotaPart
{
    double limit = 1;  ///< Part of the rate and the burst of every limit, from 0 to 1.
    double debt = 1;   ///< Part of the debt that all controllers together may incur.

    bool operator== (const QuotaPart&) const = default;
};

/** Pure: time is passed in. Not thread-safe. */
class QuotaLedger
{
public:
    explicit QuotaLedger (const QuotaTolerance& tolerance) : m_tolerance (tolerance) {}

    void setPart (const QuotaPart& part, base::TimePoint now);
    /** Replaces the limits in force. The levels of tenants that keep a limit are kept. */
    void setTenants (const std::vector<config::Tenant>& tenants, base::TimePoint now);
    /** Sets the number of routers that are connected to the cell. Routers that disconnected
       recently may continue to serve from a fallback share of each limit, which is reserved for
       them.
    */
    void setRouters (std::uint32_t connected, base::TimePoint now);

    /** Takes the units of one claim from the tenant's bucket; false if the claim is refused. */
    [[nodiscard]] bool take (const std::string& tenant, std::uint64_t units, base::TimePoint now);
    [[nodiscard]] base::Duration lifetimeOf (const std::string& tenant) const;
    /** Grants the claims that the buckets cover, with a wait for those that it refuses. */
    [[nodiscard]] cell::QuotaGrant answer (const cell::QuotaRequest& request, base::TimePoint now);

private:
    struct Bucket
    {
        config::TenantQuota quota;
        double level = 0;   ///< Units left; below 0 after a claim larger than what was left.
        double queued = 0;  ///< Units refused recently, expected to be retried and served first.
        base::TimePoint filledAt{};
    };

    void refill (Bucket& bucket, base::TimePoint now) const;
    [[nodiscard]] bool take (Bucket& bucket, double units, base::TimePoint now) const;
    [[nodiscard]] cell::QuotaAllowance allowanceFor (const cell::QuotaNeed& need,
                                                     base::TimePoint now);
    [[nodiscard]] base::Duration waitAfterRefusal (Bucket& bucket, double units) const;
    [[nodiscard]] double capacityOf (const config::TenantQuota& quota) const;
    /** Units by which a claim may take a bucket below 0. */
    [[nodiscard]] double maxDebtOf (const config::TenantQuota& quota) const;
    /** Units per second that may be granted. */
    [[nodiscard]] double rateOf (const config::TenantQuota& quota) const;

    QuotaTolerance m_tolerance;
    double m_part = 1;
    double m_debtShare = 1;
    std::map<std::string, Bucket> m_buckets;
    std::uint32_t m_routers = 0;       ///< Connected routers.
    std::uint32_t m_knownRouters = 0;  ///< Highest recent number of connected routers.
    base::TimePoint m_knownAt{};       ///< Last time that m_knownRouters were connected.
};

}  // namespace fernlift::quota
