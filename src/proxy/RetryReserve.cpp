#include "proxy/RetryReserve.h"

namespace fernlift::proxy
{
namespace
{

/// Part of the cell's reserve that its routers use. The rest covers retries that were allowed
/// before a window and arrive within it.
constexpr double kUsedReserveShare = 0.9;
/// Interval between requests of a router that holds its share.
constexpr base::Duration kRenewInterval = base::seconds (2);
/// Interval between requests of a router whose share is too small.
constexpr base::Duration kShortInterval = base::milliseconds (500);
/// Time after which a request without an answer is repeated.
constexpr base::Duration kAnswerTimeout = base::seconds (1);
/// Relative difference of shares that results from rounding.
constexpr double kRounding = 1e-6;

}  // namespace

double RetryReserve::part() const { return m_share * kUsedReserveShare * m_cellReserve; }

base::Duration RetryReserve::requestInterval() const
{
    if (m_answered != m_sequence)
        return kAnswerTimeout;
    // Others get what this router has given up once the leader knows that it has.
    const bool isReduced = m_share < m_statedShare;
    if (isReduced)
        return base::Duration::zero();
    const bool hasLess = m_share < m_equalShare * (1 - kRounding);
    return hasLess ? kShortInterval : kRenewInterval;
}

std::optional<cell::RetryReserveRequests> RetryReserve::takeRequest (std::uint64_t denied,
                                                                     base::TimePoint now)
{
    const bool isDue = m_sequence == 0 || now - m_requestedAt >= requestInterval();
    if (! m_isControllerGranting || m_cellReserve <= 0 || ! isDue)
        return std::nullopt;
    cell::RetryReserveRequest request;
    request.holder = m_holder;
    request.sequence = ++m_sequence;
    m_statedShare = now < m_end ? m_share : 0;
    request.heldShare = m_statedShare;
    request.minShare = (1 + kRounding) / (kUsedReserveShare * m_cellReserve);
    request.isShort = denied > m_denied;
    m_denied = denied;
    m_requestedAt = now;
    return cell::RetryReserveRequests{ { request } };
}

bool RetryReserve::onGrants (const cell::RetryReserveGrants& grants)
{
    m_isControllerGranting = true;
    bool isAnswered = false;
    for (const cell::RetryReserveGrant& grant : grants.grants)
    {
        const bool isAnswer = grant.holder == m_holder && grant.sequence == m_sequence;
        if (! isAnswer)
            continue;
        isAnswered = true;
        m_answered = grant.sequence;
        m_share = grant.share;
        m_equalShare = grant.equalShare;
        m_end = m_requestedAt + base::milliseconds (grant.lifetimeMilliseconds);
    }
    return isAnswered;
}

}  // namespace fernlift::proxy
