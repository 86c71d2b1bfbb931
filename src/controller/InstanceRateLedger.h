#pragma once

/**
 * Which runners are limited to a rate that they state, and what of it is left, as the leader counts
 * it: one token bucket a runner, from which routers get permits for single requests.
 *
 * A permit is used within a short time or lost. So what all routers together send a runner within
 * one window never exceeds what a slightly longer window grants, whoever is cut off, frozen, killed
 * or added, and nothing has to be given back. Buckets are not replicated: a new leader begins with
 * empty ones, after the permits of the one before have ended.
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

/** A request for which a permit was granted leaves its router within this time after the permit was
    asked for. A grant takes some 5 ms by way of two controllers; a busy router is some 50 ms late.
*/
constexpr base::Duration kPermitLife = base::milliseconds (200);

/** Pure: time is passed in. Threading: none; owned by one ControllerCore. */
class InstanceRateLedger
{
public:
    /** For `fernliftctl explain runner`. */
    struct Account
    {
        double perSecond = 0;  ///< As stated.
        double level = 0;      ///< Permits that may be granted now.
        std::uint64_t granted = 0;
        std::uint64_t refused = 0;
        base::TimePoint statedAt{};  ///< Last, by an answer of the runner.
    };

    /** Of a leader that begins, with what routers were told before. */
    void begin (const std::vector<cell::InstanceRate>& limited, base::TimePoint now);
    /** Part of the cell's routers that ask for permits, from 0 to 1. The others, whose controllers
       are of an earlier version, keep to their own shares of each rate.
    */
    void setShare (double share, base::TimePoint now);
    /** Takes over what a runner stated, unless something newer is known. `startedAt` is that of the
        incarnation in the table of runners.
    */
    void onStatement (const cell::InstanceRateStatement& statement,
                      base::UnixMilliseconds startedAt, base::TimePoint now);
    /** Forgets the other runners: they are gone, or started again. */
    void keepOnly (const std::function<bool (const cell::InstanceRate& rate)>& isKept);

    /** Grants what the buckets hold, and tells when the rest can be granted. */
    [[nodiscard]] cell::QuotaGrant answer (const cell::QuotaRequest& request, base::TimePoint now);

    /** Grows with each change of the limited runners; above 0. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::vector<cell::InstanceRate> limited (base::TimePoint now) const;
    [[nodiscard]] std::size_t size() const { return m_accounts.size(); }
    /** Permits for all runners, while this member leads. */
    [[nodiscard]] std::uint64_t granted() const { return m_granted; }
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }
    /** Null when the runner is not limited. */
    [[nodiscard]] const Account* find (const std::string& instance) const;

private:
    struct Entry
    {
        Account account;
        base::UnixMilliseconds startedAt = 0;
        base::TimePoint filledAt{};
    };

    void limit (const cell::InstanceRate& rate, base::TimePoint statedAt, base::TimePoint now);
    /** Whether a statement is of a time of which more is known: the runner has ceased since to
       state a rate. A router that was cut off or stood still meanwhile has not heard of it.
    */
    [[nodiscard]] bool isOutdated (const std::string& instance, base::TimePoint statedAt) const;
    /** Permits a second for a runner that states the rate. */
    [[nodiscard]] double grantedPerSecond (double stated) const;
    void refill (Entry& entry, base::TimePoint now) const;
    [[nodiscard]] cell::QuotaAllowance allowanceFor (const cell::QuotaNeed& need,
                                                     base::TimePoint now);

    std::uint64_t m_version = 1;
    double m_share = 1;
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
    base::TimePoint m_knownSince{};  ///< What was stated before is in `m_accounts` or over.
    std::map<std::string, Entry> m_accounts;         ///< By instance.
    std::map<std::string, base::TimePoint> m_ended;  ///< When a rate was known to be over.
};

}  // namespace fernlift::controller
