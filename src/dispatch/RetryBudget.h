#pragma once

/// Limits retries to a share of first attempts, so that retries do not amplify an overload.

#include <cstdint>
#include <string_view>

namespace fernlift::dispatch
{

class RetryBudget
{
public:
    /// Allows `share` retries per first attempt, and `reserve` retries before any first attempt.
    explicit RetryBudget (double share, double reserve = 10);

    /// Bounds the retries that may accumulate to `reserve`, however many first attempts there were.
    /// Within any period the number of retries is then at most `share` of the first attempts in it
    /// plus the reserve. Budgets that each have a part of one reserve stay within it together.
    void limitReserve (double reserve);

    void onFirstAttempt();
    /// Whether a retry is allowed now.
    [[nodiscard]] bool allowsRetry() const { return m_balance >= 1; }
    /// Takes one retry from the budget; false if the budget is spent.
    bool tryRetry();
    /// Takes one retry from the budget, down to an empty budget. For retries that are made whether
    /// or not the budget allows them.
    void chargeRetry();

private:
    double m_share;
    double m_limit;
    double m_balance;
};

/// Part of a reserve of retries for the sharer called `name`. In large cells the equal part is
/// below one retry, which would allow none; whole retries are then assigned to some of the sharers
/// by a hash of their names.
[[nodiscard]] double partOfReserve (double reserve, std::uint32_t sharers, std::string_view name);

}  // namespace fernlift::dispatch
