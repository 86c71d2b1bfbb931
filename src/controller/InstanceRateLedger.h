#pragma once

/**
 * The leader's account of runners that limit their request rate: one token bucket for each such
 * runner, from which routers get permits for single requests.
 *
 * A permit that is not used within a short time expires. The requests that all routers together
 * send to a runner within a window therefore never exceed the permits granted within a slightly
 * longer window, even when routers or controllers are disconnected, frozen, killed or added, and
 * permits never have to be returned. Buckets are not replicated: a new leader begins with empty
 * ones, after the permits of the previous leader have expired.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cell/InstanceRateMessages.h"

namespace fernlift::controller
{

/** Time for which a permit is valid after the router requested it. A grant takes about 5 ms through
   two controllers; a busy router is delayed by about 50 ms.
*/
constexpr base::Duration kPermitLifetime = base::milliseconds (200);

/** Pure: time is passed in. Threading: none; owned by one ControllerCore. */
class InstanceRateLedger
{
public:
    /** Counters and bucket of one runner, shown by `fernliftctl explain runner`. */
    struct Account
    {
        double perSecond = 0;  ///< Rate that the runner reported.
        double level = 0;      ///< Permits available now.
        std::uint64_t granted = 0;
        std::uint64_t refused = 0;
        base::TimePoint statedAt{};  ///< Time of the runner's last answer with a rate.
    };

    /** Starts the ledger of a new leader from the limits that routers were sent before. */
    void begin (const std::vector<cell::InstanceRate>& limited, base::TimePoint now);
    /** Sets the share of the cell's routers that request permits, from 0 to 1. The others, whose
        controllers run an earlier version, stay within their own shares of each rate.
    */
    void setShare (double share, base::TimePoint now);
    /** Applies the rate that a runner reported, unless a later one is known. `startedAt` identifies
        the incarnation in the table of runners.
    */
    void onStatement (const cell::InstanceRateStatement& statement,
                      base::UnixMilliseconds startedAt, base::TimePoint now);
    /** Removes all other runners, which have been removed from the cell or restarted. */
    void keepOnly (const std::function<bool (const cell::InstanceRate& rate)>& isKept);

    /** Grants the permits that the buckets hold, and states when the rest can be granted. */
    [[nodiscard]] cell::QuotaGrant answer (const cell::QuotaRequest& request, base::TimePoint now);

    /** Increases with each change of the limited runners; starts at 1. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::vector<cell::InstanceRate> limited (base::TimePoint now) const;
    [[nodiscard]] std::size_t size() const { return m_accounts.size(); }
    /** Number of permits granted for all runners since this member became leader. */
    [[nodiscard]] std::uint64_t granted() const { return m_granted; }
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }
    /** Returns the account of a runner; null when the runner is not limited. */
    [[nodiscard]] const Account* find (const std::string& instance) const;

private:
    struct Entry
    {
        Account account;
        base::UnixMilliseconds startedAt = 0;
        base::TimePoint filledAt{};
    };

    void limit (const cell::InstanceRate& rate, base::TimePoint statedAt, base::TimePoint now);
    /** Whether a reported rate is older than the end of the runner's limit. A router that was
        disconnected or suspended at that time may still report such a rate.
    */
    [[nodiscard]] bool isOutdated (const std::string& instance, base::TimePoint statedAt) const;
    /** Returns the permits granted per second for a runner that reports the rate `stated`. */
    [[nodiscard]] double grantedPerSecond (double stated) const;
    void refill (Entry& entry, base::TimePoint now) const;
    [[nodiscard]] cell::QuotaAllowance allowanceFor (const cell::QuotaNeed& need,
                                                     base::TimePoint now);

    std::uint64_t m_version = 1;
    double m_share = 1;
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
    base::TimePoint m_knownSince{};  ///< Limits reported earlier are in `m_accounts` or have ended.
    std::map<std::string, Entry> m_accounts;         ///< Limited runners, by instance.
    std::map<std::string, base::TimePoint> m_ended;  ///< Time at which each limit ended.
};

}  // namespace fernlift::controller
