#include "controller/RetryReserveLedger.h"

#include <algorithm>

#include "controller/ClockDrift.h"

namespace fernlift::controller
{
namespace
{

/// Longest time on the leader's clock for which a share may be used.
constexpr base::Duration kMaxLifetime = withDrift (kRetryReserveLifetime);
/// Shares that have ended count for up to this time more.
constexpr base::Duration kSweepInterval = base::milliseconds (100);
/// Time for which routers that need no retry leave their share to others, after one was short.
constexpr base::Duration kShortTime = kRetryReserveLifetime;

}  // namespace

std::optional<cell::RetryReserveGrant> RetryReserveLedger::answer (
    const cell::RetryReserveRequest& request, base::TimePoint now)
{
    sweep (now);
    Holding& own = m_holdings[request.holder];
    if (request.sequence <= own.sequence)
        return std::nullopt;
    const double others = m_sum - own.share;
    const std::size_t connected = std::max<std::size_t> (m_routers, m_holdings.size());
    const double equalShare = 1 / static_cast<double> (connected);
    const double earlierBuilds = equalShare * static_cast<double> (connected - m_holdings.size());
    const double free = std::max (1 - others - earlierBuilds, 0.0);
    double share = shareFor (request, equalShare, free, now);
    const bool mayHaveUnknownShares = now < m_since + kMaxLifetime;
    if (mayHaveUnknownShares)
        share = std::min (share, request.heldShare);
    own = { request.sequence, std::max (request.heldShare, share), now + kMaxLifetime };
    m_sum = others + own.share;
    return cell::RetryReserveGrant{ request.holder, request.sequence, share,
                                    std::max (equalShare, request.minShare),
                                    base::toMilliseconds (kRetryReserveLifetime) };
}

void RetryReserveLedger::sweep (base::TimePoint now)
{
    if (now < m_nextSweepAt)
        return;
    m_nextSweepAt = now + kSweepInterval;
    std::erase_if (m_holdings, [&] (const auto& item) { return now >= item.second.end; });
    m_sum = sharesInUse (now);
}

double RetryReserveLedger::shareFor (const cell::RetryReserveRequest& request, double equalShare,
                                     double free, base::TimePoint now)
{
    if (equalShare >= request.minShare)
        return std::min (equalShare, free);
    // An equal share is worth less than one retry: some routers hold one retry, others none.
    const bool isLeftToOthers = ! request.isShort && now < m_shortUntil;
    if (isLeftToOthers)
        return 0;
    if (free >= request.minShare)
        return request.minShare;
    if (request.isShort)
        m_shortUntil = now + kShortTime;
    return 0;
}

double RetryReserveLedger::sharesInUse (base::TimePoint now) const
{
    double sum = 0;
    for (const auto& [holder, holding] : m_holdings)
        sum += now < holding.end ? holding.share : 0;
    return sum;
}

std::size_t RetryReserveLedger::holders (base::TimePoint now) const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_holdings, [&] (const auto& item) { return now < item.second.end; }));
}

}  // namespace fernlift::controller
