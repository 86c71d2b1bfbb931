#pragma once

/// Limits retries to a share of first attempts, so that retries cannot multiply an overload.

#include <cstdint>
#include <string_view>

namespace fernlift::dispatch
{

class RetryBudget
{
public:
    /// `share` of first attempts may be retried; `reserve` retries are allowed without any.
    explicit RetryBudget (double share, double reserve = 10);

    /// From now on at most `reserve` retries are kept for later, however many first attempts there
    /// were: within any time no more retries are possible than `share` of the first attempts in it
    /// and the reserve. Budgets that each take their part of one reserve keep a bound together.
    void limitReserve (double reserve);

    void onFirstAttempt();
    /// Whether a retry would be allowed now.
    [[nodiscard]] bool allowsRetry() const { return m_balance >= 1; }
    /// Takes one retry from the budget; false when it is spent.
    bool tryRetry();
    /// Takes one retry from the budget if there is any left. For work that goes on in any case.
    void chargeRetry();

private:
    double m_share;
    double m_limit;
    double m_balance;
};

/// Part of a reserve of retries for one of those that share it. Below one retry each, in large
/// cells, whole retries go to some of them, by a lot of their names: a part of one allows none.
[[nodiscard]] double partOfReserve (double reserve, std::uint32_t sharers, std::string_view name);

}  // namespace fernlift::dispatch
