#include "proxy/TenantQuotas.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace fernlift::proxy
{
namespace
{

/// A grant takes some 5 ms through two controllers. After this time the leader counts as
/// unavailable.
constexpr base::Duration kGrantTimeout = base::milliseconds (60);
/// Shortest Retry-After time of a refused caller, about the duration of an election.
constexpr base::Duration kMinRetry = base::milliseconds (300);

/// Sum of the whole numbers in a list such as "1460,80"; none when the list is invalid.
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
        return quota.defaultTokens;
    return sumOf (stated).value_or (quota.defaultTokens);
}

TenantQuotas::TenantQuotas (const quota::QuotaTolerance& tolerance,
                            std::function<void()> onSendNeeded)
    : m_pool (base::Duration::zero()),
      m_fallbackShare (tolerance),
      m_onSendNeeded (std::move (onSendNeeded))
{
}

Admission TenantQuotas::admit (QuotaTicket& ticket, const config::Tenant& tenant,
                               base::TimePoint now, base::Random& random)
{
    const bool isNew = ticket.claim.sequence == 0;
    ticket.waited = isNew ? base::Duration::zero() : now - ticket.claim.requestedAt;
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
        m_onSendNeeded();
    const bool isLate = now - ticket.claim.requestedAt >= kGrantTimeout;
    const bool mayTryFallback = isLate && ! std::exchange (ticket.hasTriedFallbackShare, isLate);
    if (mayTryFallback && m_fallbackShare.admits (tenant, ticket.claim.units, now, random))
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
    m_fallbackShare.onControllerAnswer (now);
}

base::Duration TenantQuotas::retryAfter (const config::Tenant& tenant) const
{
    return std::max (m_pool.waitOf (tenant.name), kMinRetry);
}

}  // namespace fernlift::proxy
