#pragma once

/**
 * Admits requests of tenants within their quotas: from units that the cell's leader granted, or
 * from the router's fallback share of the limit while no grant arrives.
 */

#include <cstdint>
#include <functional>

#include "base/Random.h"
#include "base/Time.h"
#include "config/Tenants.h"
#include "proxy/ProtocolNames.h"
#include "proxy/RequestParser.h"
#include "quota/FallbackShare.h"
#include "quota/QuotaPool.h"
#include "quota/QuotaTolerance.h"

namespace fernlift::proxy
{

enum class Admission : std::uint8_t
{
    kAdmitted,
    kWaiting,  ///< A grant was requested: call again when one arrives, and periodically.
    kRefused,
};

/** Request to be admitted. */
struct QuotaTicket
{
    quota::QuotaClaim claim;
    base::TimePoint waitsUntil{};        ///< The request is refused without a grant by then.
    bool hasTriedFallbackShare = false;  ///< The fallback share is tried once per request.
    base::Duration waited{};             ///< Time spent waiting for a grant so far.
};

/** Quota units that a request consumes. */
[[nodiscard]] std::uint64_t unitsOf (const ParsedRequest& request, const ProtocolNames& names,
                                     const config::TenantQuota& quota);

/** Pure except for the callback. Threading: none; owned by one ProxyProcess. */
class TenantQuotas
{
public:
    /** `onSendNeeded` is called when a request for units should be sent soon. */
    TenantQuotas (const quota::QuotaTolerance& tolerance, std::function<void()> onSendNeeded);

    [[nodiscard]] Admission admit (QuotaTicket& ticket, const config::Tenant& tenant,
                                   base::TimePoint now, base::Random& random);
    /** Ends a waiting ticket; has no effect on other tickets. */
    void giveUp (QuotaTicket& ticket) { m_pool.giveUp (ticket.claim); }
    /** Estimated time until a refused caller finds units again. */
    [[nodiscard]] base::Duration retryAfter (const config::Tenant& tenant) const;

    void onGrant (const cell::QuotaGrant& grant, base::TimePoint now);

    quota::QuotaPool& pool() { return m_pool; }
    void setRouters (std::uint32_t routers) { m_fallbackShare.setRouters (routers); }

private:
    quota::QuotaPool m_pool;
    quota::FallbackShare m_fallbackShare;
    std::function<void()> m_onSendNeeded;
};

}  // namespace fernlift::proxy
