#pragma once

/**
 * What is left of a part of each tenant's quota, as the controller that grants it counts it.
 *
 * One token bucket a tenant. What is taken from it may be used for a short time only, so that a
 * window of use never holds more than a slightly longer window of grants, whoever is cut off,
 * frozen, killed or added. Buckets are not replicated: the first level of a new one is small enough
 * to be granted on top of whatever the one before granted.
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

/** What one controller may grant. */
struct QuotaPart
{
    double limit = 1;  ///< Part of the rate and the burst of every limit, from 0 to 1.
    double debt = 1;   ///< Part of the debt that all controllers may run into together.

    bool operator== (const QuotaPart&) const = default;
};

/** Pure: time is passed in. Threading: none. */
class QuotaLedger
{
public:
    explicit QuotaLedger (const QuotaTolerance& tolerance) : m_tolerance (tolerance) {}

    void setPart (const QuotaPart& part, base::TimePoint now);
    /** Takes over the limits in force; what was used stays used. */
    void setTenants (const std::vector<config::Tenant>& tenants, base::TimePoint now);
    /** Routers that are connected to the cell. Those that were until lately may go on with a share
        of each limit of their own, which is kept back for them.
    */
    void setRouters (std::uint32_t connected, base::TimePoint now);

    /** Takes one claim; false when the bucket does not hold it. */
    [[nodiscard]] bool take (const std::string& tenant, std::uint64_t units, base::TimePoint now);
    [[nodiscard]] base::Duration lifetimeOf (const std::string& tenant) const;
    /** Takes what can be taken and tells when the rest can be. */
    [[nodiscard]] cell::QuotaGrant answer (const cell::QuotaRequest& request, base::TimePoint now);

private:
    struct Bucket
    {
        config::TenantQuota quota;
        double level = 0;   ///< Below 0 after a claim larger than what was left.
        double queued = 0;  ///< Refused lately; expected to come back and to be served first.
        base::TimePoint filledAt{};
    };

    void refill (Bucket& bucket, base::TimePoint now) const;
    [[nodiscard]] bool take (Bucket& bucket, double units, base::TimePoint now) const;
    [[nodiscard]] cell::QuotaAllowance allowanceFor (const cell::QuotaNeed& need,
                                                     base::TimePoint now);
    [[nodiscard]] base::Duration waitAfterRefusal (Bucket& bucket, double units) const;
    [[nodiscard]] double capacityOf (const config::TenantQuota& quota) const;
    /** How far a claim may bring a bucket below 0. */
    [[nodiscard]] double longestDebtOf (const config::TenantQuota& quota) const;
    /** Units a second that may be granted. */
    [[nodiscard]] double rateOf (const config::TenantQuota& quota) const;

    QuotaTolerance m_tolerance;
    double m_part = 1;
    double m_debtShare = 1;
    std::map<std::string, Bucket> m_buckets;
    std::uint32_t m_routers = 0;       ///< Connected.
    std::uint32_t m_knownRouters = 0;  ///< Most that were connected lately.
    base::TimePoint m_knownAt{};       ///< When as many were connected last.
};

}  // namespace fernlift::quota
