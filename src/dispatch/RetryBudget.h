#pragma once

/// Limits retries to a share of first attempts, so that retries do not amplify an overload.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"

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
    /// Takes away the reserve, and with it the unused retries. Until limitReserve() is called,
    /// first attempts allow one retry for each two that `share` states, if they were made since the
    /// last dropUnused().
    void dropReserve();
    /// Takes away the unused retries of a budget without reserve. The number of retries of all such
    /// budgets within any period is then at most `share` of the mean of the first attempts in that
    /// period and those in the period of the same length that began earlier by the interval between
    /// two calls, which has to be at most half of the period.
    void dropUnused();

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
    bool m_hasReserve = true;
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
    /// The same until `end`, and RetryBudget::dropReserve() from then on. A reserve of less than
    /// one retry counts as none.
    void grantReserve (double reserve, base::TimePoint end);
    /// Applies RetryBudget::dropReserve() to the budgets of all services, also to later ones.
    void dropReserve();
    /// Drops the reserve once its time is over, and unused retries of budgets without reserve from
    /// time to time. To be called before a budget is used.
    void expire (base::TimePoint now);
    /// Budget of the service, which is created on first use.
    [[nodiscard]] RetryBudget& of (std::string_view service);
    /// Number of services whose budget allows no retry now.
    [[nodiscard]] std::size_t spent() const;
    /// Number of retries that the budgets of all services did not allow.
    [[nodiscard]] std::uint64_t denied() const;
    /// Maximum number of unused retries of a service; none before the first limitReserve() and
    /// without a reserve.
    [[nodiscard]] std::optional<double> limit() const { return m_limit; }
    /// All budgets, by service.
    [[nodiscard]] const std::map<std::string, RetryBudget, std::less<>>& all() const
    {
        return m_budgets;
    }

private:
    double m_share;
    double m_reserve;
    std::optional<double> m_limit;
    std::optional<base::TimePoint> m_reserveEnd;  ///< None: the reserve has no end.
    bool m_hasReserve = true;
    base::TimePoint m_dropUnusedAt{};  ///< Next time at which unused retries are dropped.
    std::map<std::string, RetryBudget, std::less<>> m_budgets;  ///< Keyed by service.
};

}  // namespace fernlift::dispatch
