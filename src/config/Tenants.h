#pragma once

/**
 * Tenants: who may call, with which keys, how urgently and how much.
 *
 * The part of a configuration that says which API keys exist. Keys are secrets: no problem, log
 * line or metric ever holds one.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fernlift::config
{

/** What a tenant's limit counts. */
enum class QuotaUnit : std::uint8_t
{
    kRequests,
    kTokens,  ///< Of prompt and answer, as the request states them.
};

/** How much a tenant may ask for, over all routers of the cell together. */
struct TenantQuota
{
    QuotaUnit unit = QuotaUnit::kRequests;
    double ratePerSecond = 0;       ///< Units a second; 0: no limit.
    double burst = 0;               ///< Units on top of the rate, after a rest.
    std::uint64_t plainTokens = 1;  ///< Counted for a request that states no tokens.

    bool operator== (const TenantQuota&) const = default;
    [[nodiscard]] bool isLimited() const { return ratePerSecond > 0; }
};

/** One customer of the cell. */
struct Tenant
{
    std::string name;               ///< As runners are told it.
    std::vector<std::string> keys;  ///< Secrets. None: nobody can call as this tenant.
    std::optional<int> priority;    ///< Goes before that of the route; 0 is the most urgent.
    TenantQuota quota;

    bool operator== (const Tenant&) const = default;
};

/** What keeps tenants from being put in force: one without name, two of one name, an empty key, a
    key that two tenants share, a negative limit. Names tenants, never keys.
*/
[[nodiscard]] std::vector<std::string> findTenantProblems (const std::vector<Tenant>& tenants);

}  // namespace fernlift::config
