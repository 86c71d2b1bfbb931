#include "dispatch/RetryBudget.h"

#include <algorithm>
#include <utility>

namespace fernlift::dispatch
{
namespace
{

constexpr double kMaxBalance = 100;
/// Maximum number of unused retries of a budget without reserve.
constexpr double kMaxWithoutReserve = 1;
/// Part of the share that first attempts earn without a reserve.
constexpr double kEarnedWithoutReserve = 0.5;
/// Interval at which budgets without reserve drop unused retries: half of the 10 s within which the
/// retries of a cell are bounded.
constexpr base::Duration kUnusedLifetime = base::seconds (5);

}  // namespace

RetryBudget::RetryBudget (double share, double reserve)
    : m_share (share), m_limit (std::max (reserve, kMaxBalance)), m_balance (reserve)
{
}

void RetryBudget::limitReserve (double reserve)
{
    m_hasReserve = true;
    m_limit = reserve;
    m_balance = std::min (m_balance, m_limit);
}

void RetryBudget::dropReserve()
{
    if (! std::exchange (m_hasReserve, false))
        return;
    m_limit = kMaxWithoutReserve;
    m_balance = 0;
}

void RetryBudget::dropUnused()
{
    if (! m_hasReserve)
        m_balance = 0;
}

void RetryBudget::onFirstAttempt()
{
    ++m_counts.firstAttempts;
    const double earned = m_hasReserve ? m_share : kEarnedWithoutReserve * m_share;
    m_balance = std::min (m_balance + earned, m_limit);
}

bool RetryBudget::tryRetry()
{
    if (! allowsRetry())
    {
        ++m_counts.denied;
        return false;
    }
    ++m_counts.retries;
    m_balance -= 1;
    return true;
}

void RetryBudget::returnRetry()
{
    --m_counts.retries;
    m_balance = std::min (m_balance + 1, m_limit);
}

void RetryBudget::chargeRetry()
{
    ++m_counts.retries;
    m_balance = std::max (m_balance - 1, 0.0);
}

ServiceRetryBudgets::ServiceRetryBudgets (double share, double reserve)
    : m_share (share), m_reserve (reserve)
{
}

void ServiceRetryBudgets::limitReserve (double reserve)
{
    m_limit = reserve;
    m_reserveEnd.reset();
    m_hasReserve = true;
    for (auto& [service, budget] : m_budgets)
        budget.limitReserve (reserve);
}

void ServiceRetryBudgets::grantReserve (double reserve, base::TimePoint end)
{
    if (reserve < 1)
    {
        dropReserve();
        return;
    }
    limitReserve (reserve);
    m_reserveEnd = end;
}

void ServiceRetryBudgets::dropReserve()
{
    m_limit.reset();
    m_reserveEnd.reset();
    m_hasReserve = false;
    for (auto& [service, budget] : m_budgets)
        budget.dropReserve();
}

void ServiceRetryBudgets::expire (base::TimePoint now)
{
    if (m_reserveEnd && now >= *m_reserveEnd)
        dropReserve();
    if (now < m_dropUnusedAt)
        return;
    m_dropUnusedAt = now + kUnusedLifetime;
    for (auto& [service, budget] : m_budgets)
        budget.dropUnused();
}

RetryBudget& ServiceRetryBudgets::of (std::string_view service)
{
    const auto found = m_budgets.find (service);
    if (found != m_budgets.end())
        return found->second;
    RetryBudget budget (m_share, m_reserve);
    if (m_limit)
        budget.limitReserve (*m_limit);
    if (! m_hasReserve)
        budget.dropReserve();
    return m_budgets.emplace (service, budget).first->second;
}

std::size_t ServiceRetryBudgets::spent() const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_budgets, [] (const auto& item) { return ! item.second.allowsRetry(); }));
}

std::uint64_t ServiceRetryBudgets::denied() const
{
    std::uint64_t denied = 0;
    for (const auto& [service, budget] : m_budgets)
        denied += budget.counts().denied;
    return denied;
}

}  // namespace fernlift::dispatch
