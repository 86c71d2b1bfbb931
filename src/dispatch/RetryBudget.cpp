#include "dispatch/RetryBudget.h"

#include <algorithm>
#include <cmath>

#include "base/HashToUnitInterval.h"

namespace fernlift::dispatch
{
namespace
{

constexpr double kMaxBalance = 100;
/// The number of names that hash below a threshold varies from one set of names to another. The
/// threshold is lowered by this many standard deviations, so that the sum stays within the reserve.
constexpr double kReservedDeviations = 3;

}  // namespace

RetryBudget::RetryBudget (double share, double reserve)
    : m_share (share), m_limit (std::max (reserve, kMaxBalance)), m_balance (reserve)
{
}

void RetryBudget::limitReserve (double reserve)
{
    m_limit = reserve;
    m_balance = std::min (m_balance, m_limit);
}

void RetryBudget::onFirstAttempt()
{
    ++m_counts.firstAttempts;
    m_balance = std::min (m_balance + m_share, m_limit);
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
    for (auto& [service, budget] : m_budgets)
        budget.limitReserve (reserve);
}

RetryBudget& ServiceRetryBudgets::of (std::string_view service)
{
    const auto found = m_budgets.find (service);
    if (found != m_budgets.end())
        return found->second;
    RetryBudget budget (m_share, m_reserve);
    if (m_limit)
        budget.limitReserve (*m_limit);
    return m_budgets.emplace (service, budget).first->second;
}

std::size_t ServiceRetryBudgets::spent() const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_budgets, [] (const auto& item) { return ! item.second.allowsRetry(); }));
}

double partOfReserve (double reserve, std::uint32_t sharers, std::string_view name)
{
    const double share = reserve / sharers;
    if (share >= 1)
        return share;
    const double deviation = std::sqrt (share * (1 - share) / sharers);
    return base::hashToUnitInterval (name) < share - kReservedDeviations * deviation ? 1 : 0;
}

}  // namespace fernlift::dispatch
