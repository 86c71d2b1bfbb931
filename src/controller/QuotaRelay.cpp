#include "controller/QuotaRelay.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// Share of each limit that all relays together grant. A smaller share delays more requests during
/// an election; a larger one leaves less for traffic that moves to few routers. Tenants usually use
/// 0.55 of their limits.
constexpr double kRelayShareOfLimit = 0.5;
/// Share of the debt. The debt of a single controller must cover a large request of the smallest
/// tenants.
constexpr double kRelayShareOfDebt = 0.6;
/// Limits the leader's load to 200 requests per second from each controller. A router waits 2.5 ms
/// longer on average, in addition to about 5 ms of transit time.
constexpr base::Duration kRequestInterval = base::milliseconds (5);
/// A router repeats an unanswered request after 150 ms, so older ones are dropped.
constexpr base::Duration kMaxWait = base::milliseconds (200);

/// Adds units with the given lifetime to an allowance; all of its units get the shortest lifetime.
void add (cell::QuotaAllowance& allowance, std::uint64_t units, base::Duration lifetime)
{
    const std::int64_t left = std::max<std::int64_t> (base::toMilliseconds (lifetime), 0);
    const bool isFirst = allowance.units == 0;
    allowance.units += units;
    allowance.lifetimeMilliseconds =
        isFirst ? left : std::min (allowance.lifetimeMilliseconds, left);
}

}  // namespace

quota::QuotaPart partOfRelay (std::size_t grantingControllers)
{
    const auto controllers = static_cast<double> (std::max<std::size_t> (grantingControllers, 1));
    return { kRelayShareOfLimit / controllers, kRelayShareOfDebt / controllers };
}

quota::QuotaPart partOfLeader (std::size_t grantingControllers)
{
    const quota::QuotaPart relay = partOfRelay (grantingControllers);
    return { 1 - kRelayShareOfLimit + relay.limit, 1 - kRelayShareOfDebt + relay.debt };
}

QuotaRelay::QuotaRelay (const quota::QuotaTolerance& tolerance)
    : m_ownPart (tolerance), m_pool (kRequestInterval)
{
}

void QuotaRelay::setTenants (const std::vector<config::Tenant>& tenants,
                             std::size_t grantingControllers, base::TimePoint now)
{
    m_ownPart.setPart (partOfRelay (grantingControllers), now);
    m_ownPart.setTenants (tenants, now);
}

std::optional<QuotaRelay::Answer> QuotaRelay::onRequest (std::uint64_t router,
                                                         const cell::QuotaRequest& request,
                                                         base::TimePoint now)
{
    PendingRequest pending;
    pending.router = router;
    pending.since = now;
    pending.sequence = request.sequence;
    for (const cell::QuotaNeed& need : request.needs)
        addNeed (pending, need, now);
    if (resolve (pending, now))
        return Answer{ router, grantOf (pending) };
    m_pending.push_back (std::move (pending));
    return std::nullopt;
}

void QuotaRelay::addNeed (PendingRequest& pending, const cell::QuotaNeed& need, base::TimePoint now)
{
    Part part;
    part.allowance.account = need.account;
    for (const std::uint64_t units : need.claims)
    {
        if (m_ownPart.take (need.account, units, now))
            add (part.allowance, units, m_ownPart.lifetimeOf (need.account));
        else
            part.claims.push_back ({ need.account, units, 0, {}, {} });
    }
    pending.parts.push_back (std::move (part));
}

bool QuotaRelay::resolve (PendingRequest& pending, base::TimePoint now)
{
    bool isWhole = true;
    for (Part& part : pending.parts)
    {
        std::erase_if (part.claims,
                       [&] (quota::QuotaClaim& claim) { return resolveClaim (part, claim, now); });
        isWhole = isWhole && part.claims.empty();
    }
    return isWhole;
}

bool QuotaRelay::resolveClaim (Part& part, quota::QuotaClaim& claim, base::TimePoint now)
{
    const quota::QuotaAnswer answer = m_pool.take (claim, now);
    if (answer == quota::QuotaAnswer::kPending)
        return false;
    if (answer == quota::QuotaAnswer::kGranted)
        add (part.allowance, claim.units, claim.until - now);
    else
        part.allowance.waitMilliseconds = base::toMilliseconds (m_pool.waitOf (claim.account));
    return true;
}

cell::QuotaGrant QuotaRelay::grantOf (const PendingRequest& pending)
{
    cell::QuotaGrant grant;
    grant.sequence = pending.sequence;
    for (const Part& part : pending.parts)
        grant.allowances.push_back (part.allowance);
    return grant;
}

std::vector<QuotaRelay::Answer> QuotaRelay::onGrant (const cell::QuotaGrant& grant,
                                                     base::TimePoint now)
{
    m_pool.onGrant (grant);
    dropExpired (now);
    std::vector<Answer> answers;
    for (PendingRequest& pending : m_pending)
    {
        if (! resolve (pending, now))
            continue;
        answers.push_back ({ pending.router, grantOf (pending) });
        pending.isAnswered = true;
    }
    std::erase_if (m_pending, [] (const PendingRequest& pending) { return pending.isAnswered; });
    return answers;
}

void QuotaRelay::giveUp (PendingRequest& pending)
{
    for (Part& part : pending.parts)
    {
        for (quota::QuotaClaim& claim : part.claims)
            m_pool.giveUp (claim);
    }
}

void QuotaRelay::dropExpired (base::TimePoint now)
{
    while (! m_pending.empty() && now - m_pending.front().since > kMaxWait)
    {
        giveUp (m_pending.front());
        m_pending.pop_front();
    }
}

void QuotaRelay::onRouterDisconnected (std::uint64_t router)
{
    for (PendingRequest& pending : m_pending)
    {
        if (pending.router == router)
            giveUp (pending);
    }
    std::erase_if (m_pending,
                   [&] (const PendingRequest& pending) { return pending.router == router; });
}

std::optional<cell::QuotaRequest> QuotaRelay::takeRequest (base::TimePoint now)
{
    dropExpired (now);
    return m_pool.takeRequest (now);
}

}  // namespace fernlift::controller
