#pragma once

/// Limits retries to a share of first attempts, so that retries cannot multiply an overload.

namespace fernlift::dispatch
{

class RetryBudget
{
public:
    /// `share` of first attempts may be retried; `reserve` retries are allowed without any.
    explicit RetryBudget (double share, double reserve = 10);

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

}  // namespace fernlift::dispatch
