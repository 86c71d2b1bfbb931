#pragma once

/**
 * Tenants of a cell: their API keys, priorities and quotas.
 *
 * Keys are secrets: no reported problem, log line or metric ever contains one.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fernlift::config
{

/** Unit that a tenant's quota counts. */
enum class QuotaUnit : std::uint8_t
{
    kRequests,
    kTokens,  ///< Tokens of prompt and answer, as stated by the request.
};

/** Rate limit of a tenant, over all routers of the cell together. */
struct TenantQuota
{
    QuotaUnit unit = QuotaUnit::kRequests;
    double ratePerSecond = 0;         ///< Units per second; 0: unlimited.
    double burst = 0;                 ///< Units allowed at once after an idle time.
    std::uint64_t defaultTokens = 1;  ///< Counted for a request that states no tokens.

    bool operator== (const TenantQuota&) const = default;
    [[nodiscard]] bool isLimited() const { return ratePerSecond > 0; }
};

/** One customer of the cell. */
struct Tenant
{
    std::string name;               ///< Name as sent to runners.
    std::vector<std::string> keys;  ///< API keys (secret). Without any, the tenant is unusable.
    std::optional<int> priority;    ///< Overrides the route's priority; 0 is the most urgent.
    TenantQuota quota;

    bool operator== (const Tenant&) const = default;
};

/** Problems for which tenants are rejected: a missing or duplicate name, an empty key, a key shared
    by two tenants, a negative limit. Messages contain names of tenants, never keys.
*/
[[nodiscard]] std::vector<std::string> findTenantProblems (const std::vector<Tenant>& tenants);

}  // namespace fernlift::config
