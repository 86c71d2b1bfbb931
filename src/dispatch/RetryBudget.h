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

    /// Sets the maximum number of unused retries to `reserve`, however many first attempts there
    /// were. The number of retries within any period is then at most `share` of the first attempts
    /// in that period plus `reserve`. When one reserve is divided among several budgets, the same
    /// bound with the whole reserve holds for all of them together.
    void limitReserve (double reserve);

    void onFirstAttempt();
    /// Whether a retry is allowed now.
    [[nodiscard]] bool allowsRetry() const { return m_balance >= 1; }
    /// Takes one retry from the budget; false if the budget is spent.
    bool tryRetry();
    /// Takes one retry from the budget; an empty budget stays empty. For retries that are made
    /// whether or not the budget allows them.
    void chargeRetry();

private:
    double m_share;
    double m_limit;
    double m_balance;
};

/// Part that the sharer called `name` has of a common reserve of retries. In large cells an equal
/// part is less than one retry and would allow none; each sharer then has one retry or none,
/// depending on a hash of its name.
[[nodiscard]] double partOfReserve (double reserve, std::uint32_t sharers, std::string_view name);

}  // namespace fernlift::dispatch
