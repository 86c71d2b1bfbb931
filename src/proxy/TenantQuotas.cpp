#include "proxy/TenantQuotas.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace fernlift::proxy
{
namespace
{

/// A grant takes some 5 ms by way of two controllers. After this the leader is taken for gone.
constexpr base::Duration kGrantTimeout = base::milliseconds (60);
/// A refused caller comes back no sooner: about the time in which a leader is elected.
constexpr base::Duration kShortestRetry = base::milliseconds (300);

/// Sum of the whole numbers of a list such as "1460,80"; none when it is not such a list.
std::optional<std::uint64_t> sumOf (std::string_view list)
{
    std::uint64_t sum = 0;
    while (! list.empty())
    {
        const std::string_view item = list.substr (0, list.find (','));
        std::uint64_t number = 0;
        const auto [end, status] = std::from_chars (item.begin(), item.end(), number);
        if (status != std::errc() || end != item.end())
            return std::nullopt;
        sum += number;
        list.remove_prefix (std::min (item.size() + 1, list.size()));
    }
    return sum;
}

}  // namespace

std::uint64_t unitsOf (const ParsedRequest& request, const ProtocolNames& names,
                       const config::TenantQuota& quota)
{
    if (quota.unit == config::QuotaUnit::kRequests)
        return 1;
    const std::string stated = request.headers.value (names.promptTokens);
    if (stated.empty())
        return quota.plainTokens;
    return sumOf (stated).value_or (quota.plainTokens);
}

TenantQuotas::TenantQuotas (const quota::QuotaTolerance& tolerance, std::function<void()> onNeed)
    : m_pool (base::Duration::zero()), m_ownShare (tolerance), m_onNeed (std::move (onNeed))
{
}

Admission TenantQuotas::admit (QuotaTicket& ticket, const config::Tenant& tenant,
                               base::TimePoint now, base::Random& random)
{
    const bool isNew = ticket.claim.sequence == 0;
    ticket.waited = isNew ? base::Duration::zero() : now - ticket.claim.askedAt;
    switch (m_pool.take (ticket.claim, now))
    {
        case quota::QuotaAnswer::kGranted:
            return Admission::kAdmitted;
        case quota::QuotaAnswer::kRefused:
            return Admission::kRefused;
        case quota::QuotaAnswer::kPending:
            break;
    }
    if (isNew)
        m_onNeed();
    const bool isLate = now - ticket.claim.askedAt >= kGrantTimeout;
    const bool mayDraw = isLate && ! std::exchange (ticket.hasDrawnOwnShare, isLate);
    if (mayDraw && m_ownShare.admits (tenant, ticket.claim.units, now, random))
    {
        giveUp (ticket);
        return Admission::kAdmitted;
    }
    if (now < ticket.waitsUntil)
        return Admission::kWaiting;
    giveUp (ticket);
    return Admission::kRefused;
}

void TenantQuotas::onGrant (const cell::QuotaGrant& grant, base::TimePoint now)
{
    m_pool.onGrant (grant);
    m_ownShare.onAssisted (now);
}

base::Duration TenantQuotas::retryAfter (const config::Tenant& tenant) const
{
    return std::max (m_pool.waitOf (tenant.name), kShortestRetry);
}

}  // namespace fernlift::proxy
