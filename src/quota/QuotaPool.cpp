#include "quota/QuotaPool.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace fernlift::quota
{
namespace
{

/// A grant takes some 5 ms by way of two controllers; a request not answered by then counts as
/// lost.
constexpr base::Duration kAnswerTimeout = base::milliseconds (150);

std::uint64_t sumOf (const std::vector<std::uint64_t>& units)
{
    return std::accumulate (units.begin(), units.end(), std::uint64_t{ 0 });
}

void removeOne (std::vector<std::uint64_t>& units, std::uint64_t one)
{
    const auto found = std::ranges::find (units, one);
    if (found != units.end())
        units.erase (found);
}

}  // namespace

std::uint64_t QuotaPool::available (Account& account, base::TimePoint now)
{
    std::erase_if (account.chunks,
                   [&] (const Chunk& chunk) { return chunk.until <= now || chunk.units == 0; });
    std::uint64_t units = 0;
    for (const Chunk& chunk : account.chunks)
        units += chunk.units;
    return units;
}

base::TimePoint QuotaPool::use (Account& account, std::uint64_t units)
{
    base::TimePoint until = base::TimePoint::max();
    for (Chunk& chunk : account.chunks)
    {
        const std::uint64_t part = std::min (chunk.units, units);
        if (part > 0)
            until = std::min (until, chunk.until);
        chunk.units -= part;
        units -= part;
    }
    return until;
}

QuotaAnswer QuotaPool::take (QuotaClaim& claim, base::TimePoint now)
{
    if (claim.units == 0)
    {
        claim.until = base::TimePoint::max();
        return QuotaAnswer::kGranted;
    }
    Account& account = m_accounts[claim.account];
    const bool isPending = claim.sequence != 0;
    const std::uint64_t held = available (account, now);
    // Units requested for pending claims are not available to later claims.
    const std::uint64_t reserved = isPending ? 0 : sumOf (account.pending);
    if (held >= reserved + claim.units)
    {
        claim.until = use (account, claim.units);
        giveUp (claim);
        return QuotaAnswer::kGranted;
    }
    if (! isPending)
    {
        claim.requestedAt = now;
        enqueue (account, claim);
        claim.sequence = m_nextSequence;
        return QuotaAnswer::kPending;
    }
    if (account.answered < claim.sequence)
        return QuotaAnswer::kPending;
    giveUp (claim);
    return QuotaAnswer::kRefused;
}

void QuotaPool::enqueue (Account& account, const QuotaClaim& claim)
{
    account.pending.push_back (claim.units);
    account.unrequested.push_back (claim.units);
    m_hasUnrequested = true;
}

void QuotaPool::giveUp (QuotaClaim& claim)
{
    if (claim.sequence == 0)
        return;
    Account& account = m_accounts[claim.account];
    removeOne (account.pending, claim.units);
    if (account.pending.size() < account.unrequested.size())
        removeOne (account.unrequested, claim.units);
    claim.sequence = 0;
}

base::Duration QuotaPool::waitOf (const std::string& tenant) const
{
    const auto found = m_accounts.find (tenant);
    return found == m_accounts.end() ? base::Duration::zero() : found->second.wait;
}

void QuotaPool::requestAgainIfOverdue (base::TimePoint now)
{
    const auto isOverdue = [&] (const auto& sent) { return now - sent.second > kAnswerTimeout; };
    if (std::erase_if (m_sent, isOverdue) > 0)
        requestAllAgain();
}

void QuotaPool::requestAllAgain()
{
    for (auto& [tenant, account] : m_accounts)
    {
        account.unrequested = account.pending;
        m_hasUnrequested = m_hasUnrequested || ! account.pending.empty();
    }
}

std::optional<cell::QuotaRequest> QuotaPool::takeRequest (base::TimePoint now)
{
    requestAgainIfOverdue (now);
    if (! m_hasUnrequested || now - m_requestedAt < m_interval)
        return std::nullopt;
    m_hasUnrequested = false;
    m_requestedAt = now;
    cell::QuotaRequest request;
    for (auto& [tenant, account] : m_accounts)
    {
        if (! account.unrequested.empty())
            request.needs.push_back ({ tenant, std::exchange (account.unrequested, {}) });
    }
    if (request.needs.empty())
        return std::nullopt;  // All unrequested claims have been given up.
    request.sequence = m_nextSequence++;
    m_sent[request.sequence] = now;
    return request;
}

void QuotaPool::onGrant (const cell::QuotaGrant& grant)
{
    const auto sent = m_sent.find (grant.sequence);
    if (sent == m_sent.end())
        return;  // From an earlier connection, or too late: the units were requested again.
    for (const cell::QuotaAllowance& allowance : grant.allowances)
    {
        Account& account = m_accounts[allowance.account];
        account.answered = std::max (account.answered, grant.sequence);
        account.wait = base::milliseconds (allowance.waitMilliseconds);
        if (allowance.units > 0)
        {
            account.chunks.push_back (
                { allowance.units,
                  sent->second + base::milliseconds (allowance.lifetimeMilliseconds) });
        }
    }
    m_sent.erase (sent);
}

void QuotaPool::onLinkLost()
{
    m_sent.clear();
    requestAllAgain();
}

}  // namespace fernlift::quota
