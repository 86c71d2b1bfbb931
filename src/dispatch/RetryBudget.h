#pragma once

/// Limits retries to a share of first attempts, so that retries do not amplify an overload.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fernlift::dispatch
{

/// Counts of one budget since its start.
struct RetryCounts
{
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;  ///< Retries taken and not given back.
    std::uint64_t denied = 0;   ///< Retries that the budget did not allow.
};

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
    /// Number of retries that may be made now.
    [[nodiscard]] double balance() const { return m_balance; }
    [[nodiscard]] const RetryCounts& counts() const { return m_counts; }
    /// Takes one retry from the budget; false, and counted as denied, if the budget is spent.
    bool tryRetry();
    /// Gives back a retry that was taken and not made.
    void returnRetry();
    /// Takes one retry from the budget; an empty budget stays empty. For retries that are made
    /// whether or not the budget allows them.
    void chargeRetry();

private:
    double m_share;
    double m_limit;
    double m_balance;
    RetryCounts m_counts;
};

/// One retry budget for each service, so that requests for one service pay for its own retries
/// only.
class ServiceRetryBudgets
{
public:
    /// Each budget allows `share` retries per first attempt, and `reserve` retries before any.
    ServiceRetryBudgets (double share, double reserve);

    /// Applies RetryBudget::limitReserve() to the budgets of all services, also to later ones.
    void limitReserve (double reserve);
    /// Budget of the service, which is created on first use.
    [[nodiscard]] RetryBudget& of (std::string_view service);
    /// Number of services whose budget allows no retry now.
    [[nodiscard]] std::size_t spent() const;
    /// Maximum number of unused retries of a service; none before the first limitReserve().
    [[nodiscard]] std::optional<double> limit() const { return m_limit; }
    /// All budgets, by service.
    [[nodiscard]] const std::map<std::string, RetryBudget, std::less<>>& all() const
    {
        return m_budgets;
    }

private:
    double m_share;
    double m_reserve;
    std::optional<double> m_limit;  ///< None before the first limitReserve().
    std::map<std::string, RetryBudget, std::less<>> m_budgets;  ///< Keyed by service.
};

/// Part that the sharer called `name` has of a common reserve of retries. In large cells an equal
/// part is less than one retry and would allow none; each sharer then has one retry or none,
/// depending on a hash of its name.
[[nodiscard]] double partOfReserve (double reserve, std::uint32_t sharers, std::string_view name);

}  // namespace fernlift::dispatch
