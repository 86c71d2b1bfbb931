#pragma once

/**
 * Admits requests of tenants within their quotas: from units that the cell's leader granted, or
 * from the router's own part of the limit while no grant comes.
 */

#include <cstdint>
#include <functional>

#include "base/Random.h"
#include "base/Time.h"
#include "config/Tenants.h"
#include "proxy/ProtocolNames.h"
#include "proxy/RequestParser.h"
#include "quota/QuotaPool.h"
#include "quota/QuotaTolerance.h"
#include "quota/UnassistedShare.h"

namespace fernlift::proxy
{

enum class Admission : std::uint8_t
{
    kAdmitted,
    kWaiting,  ///< A grant is asked for: ask again when one has come, and now and then.
    kRefused,
};

/** One request that is to be admitted. */
struct QuotaTicket
{
    quota::QuotaClaim claim;
    base::TimePoint waitsUntil{};   ///< Refused when no grant has come by then.
    bool hasDrawnOwnShare = false;  ///< Once for each request.
    base::Duration waited{};        ///< For a grant, so far.
};

/** Units that a request counts. */
[[nodiscard]] std::uint64_t unitsOf (const ParsedRequest& request, const ProtocolNames& names,
                                     const config::TenantQuota& quota);

/** Pure but for the callback. Threading: none; owned by one ProxyProcess. */
class TenantQuotas
{
public:
    /** `onNeed`: a request for units should be sent soon. */
    TenantQuotas (const quota::QuotaTolerance& tolerance, std::function<void()> onNeed);

    [[nodiscard]] Admission admit (QuotaTicket& ticket, const config::Tenant& tenant,
                                   base::TimePoint now, base::Random& random);
    /** Ends a ticket that waits; does nothing to another. */
    void giveUp (QuotaTicket& ticket) { m_pool.giveUp (ticket.claim); }
    /** When a refused caller finds units again, as far as known. */
    [[nodiscard]] base::Duration retryAfter (const config::Tenant& tenant) const;

    void onGrant (const cell::QuotaGrant& grant, base::TimePoint now);

    quota::QuotaPool& pool() { return m_pool; }
    void setRouters (std::uint32_t routers) { m_ownShare.setRouters (routers); }

private:
    quota::QuotaPool m_pool;
    quota::UnassistedShare m_ownShare;
    std::function<void()> m_onNeed;
};

}  // namespace fernlift::proxy
