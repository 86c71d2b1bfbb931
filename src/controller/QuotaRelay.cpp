#include "controller/QuotaRelay.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// Of each limit. With less, an election of a leader holds up more; with more, less can follow
/// traffic that moves to few routers. Tenants use 0.55 of their limits as a rule.
constexpr double kPartOfRelays = 0.5;
/// Of the debt, as that of one controller has to cover a large request of the smallest tenants.
constexpr double kDebtOfRelays = 0.6;
/// The leader gets no more than 200 requests a second from each controller. A router waits 2.5 ms
/// longer on average, beside some 5 ms for the way.
constexpr base::Duration kRequestInterval = base::milliseconds (5);
/// A router that was not answered by then has asked again (150 ms).
constexpr base::Duration kLongestWait = base::milliseconds (200);

/// Units that may be used until `until`, added to those of an allowance that end no later.
void add (cell::QuotaAllowance& allowance, std::uint64_t units, base::Duration lifetime)
{
    const std::int64_t left = std::max<std::int64_t> (base::toMilliseconds (lifetime), 0);
    const bool isFirst = allowance.units == 0;
    allowance.units += units;
    allowance.lifetimeMilliseconds =
        isFirst ? left : std::min (allowance.lifetimeMilliseconds, left);
}

}  // namespace

quota::QuotaPart partOfRelay (std::size_t granters)
{
    const auto controllers = static_cast<double> (std::max<std::size_t> (granters, 1));
    return { kPartOfRelays / controllers, kDebtOfRelays / controllers };
}

quota::QuotaPart partOfLeader (std::size_t granters)
{
    const quota::QuotaPart relay = partOfRelay (granters);
    return { 1 - kPartOfRelays + relay.limit, 1 - kDebtOfRelays + relay.debt };
}

QuotaRelay::QuotaRelay (const quota::QuotaTolerance& tolerance)
    : m_ownPart (tolerance), m_pool (kRequestInterval)
{
}

void QuotaRelay::setTenants (const std::vector<config::Tenant>& tenants, std::size_t granters,
                             base::TimePoint now)
{
    m_ownPart.setPart (partOfRelay (granters), now);
    m_ownPart.setTenants (tenants, now);
}

std::optional<QuotaRelay::Answer> QuotaRelay::onRequest (std::uint64_t router,
                                                         const cell::QuotaRequest& request,
                                                         base::TimePoint now)
{
    Waiting waiting;
    waiting.router = router;
    waiting.since = now;
    waiting.sequence = request.sequence;
    for (const cell::QuotaNeed& need : request.needs)
        addNeed (waiting, need, now);
    if (settle (waiting, now))
        return Answer{ router, grantOf (waiting) };
    m_waiting.push_back (std::move (waiting));
    return std::nullopt;
}

void QuotaRelay::addNeed (Waiting& waiting, const cell::QuotaNeed& need, base::TimePoint now)
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
    waiting.parts.push_back (std::move (part));
}

bool QuotaRelay::settle (Waiting& waiting, base::TimePoint now)
{
    bool isWhole = true;
    for (Part& part : waiting.parts)
    {
        std::erase_if (part.claims,
                       [&] (quota::QuotaClaim& claim) { return settleClaim (part, claim, now); });
        isWhole = isWhole && part.claims.empty();
    }
    return isWhole;
}

bool QuotaRelay::settleClaim (Part& part, quota::QuotaClaim& claim, base::TimePoint now)
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

cell::QuotaGrant QuotaRelay::grantOf (const Waiting& waiting)
{
    cell::QuotaGrant grant;
    grant.sequence = waiting.sequence;
    for (const Part& part : waiting.parts)
        grant.allowances.push_back (part.allowance);
    return grant;
}

std::vector<QuotaRelay::Answer> QuotaRelay::onGrant (const cell::QuotaGrant& grant,
                                                     base::TimePoint now)
{
    m_pool.onGrant (grant);
    dropOld (now);
    std::vector<Answer> answers;
    for (Waiting& waiting : m_waiting)
    {
        if (! settle (waiting, now))
            continue;
        answers.push_back ({ waiting.router, grantOf (waiting) });
        waiting.isAnswered = true;
    }
    std::erase_if (m_waiting, [] (const Waiting& waiting) { return waiting.isAnswered; });
    return answers;
}

void QuotaRelay::giveUp (Waiting& waiting)
{
    for (Part& part : waiting.parts)
    {
        for (quota::QuotaClaim& claim : part.claims)
            m_pool.giveUp (claim);
    }
}

void QuotaRelay::dropOld (base::TimePoint now)
{
    while (! m_waiting.empty() && now - m_waiting.front().since > kLongestWait)
    {
        giveUp (m_waiting.front());
        m_waiting.pop_front();
    }
}

void QuotaRelay::onRouterGone (std::uint64_t router)
{
    for (Waiting& waiting : m_waiting)
    {
        if (waiting.router == router)
            giveUp (waiting);
    }
    std::erase_if (m_waiting, [&] (const Waiting& waiting) { return waiting.router == router; });
}

std::optional<cell::QuotaRequest> QuotaRelay::takeRequest (base::TimePoint now)
{
    dropOld (now);
    return m_pool.takeRequest (now);
}

}  // namespace fernlift::controller
