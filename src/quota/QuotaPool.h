#pragma once

/**
 * Units of tenants' quotas that a process requested and was granted, until they are used.
 *
 * A router has a pool to admit requests from, a controller that does not lead has one to grant
 * from. Units are not requested in advance: a router receives less than one large request of a
 * tenant per second, so most units held in reserve would expire unused, and 4 in 100 requests of
 * tenants within their limits would be refused.
 */

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cell/QuotaMessages.h"

namespace fernlift::quota
{

/** Units needed together, and the state of their request. */
struct QuotaClaim
{
    std::string account;  ///< Tenant, or other owner of a limit.
    std::uint64_t units = 0;
    std::uint64_t sequence = 0;  ///< Request whose answer resolves the claim; 0: not requested.
    base::TimePoint requestedAt{};
    base::TimePoint until{};  ///< Expiry of the granted units.
};

enum class QuotaAnswer : std::uint8_t
{
    kGranted,  ///< The units were taken from the pool.
    kPending,  ///< Requested; call `take` again after a grant arrived.
    kRefused,  ///< The tenant has no units left.
};

/** Pure: time is passed in. Not thread-safe. */
class QuotaPool
{
public:
    /** Requests are at least `interval` apart: claims made in between are sent together. */
    explicit QuotaPool (base::Duration interval) : m_interval (interval) {}

    [[nodiscard]] QuotaAnswer take (QuotaClaim& claim, base::TimePoint now);
    /** Cancels a pending claim; has no effect on any other claim. */
    void giveUp (QuotaClaim& claim);
    /** After a refusal: estimated time until the tenant has units again. */
    [[nodiscard]] base::Duration waitOf (const std::string& tenant) const;

    /** Returns the request that is due, if any. It must be sent at `now`. */
    [[nodiscard]] std::optional<cell::QuotaRequest> takeRequest (base::TimePoint now);
    void onGrant (const cell::QuotaGrant& grant);
    /** Requests under way will not be answered: pending claims are requested again. */
    void onLinkLost();

private:
    struct Chunk
    {
        std::uint64_t units = 0;
        base::TimePoint until{};
    };
    struct Account
    {
        std::deque<Chunk> chunks;                ///< Granted units, in order of arrival.
        std::vector<std::uint64_t> pending;      ///< Units of the pending claims.
        std::vector<std::uint64_t> unrequested;  ///< Units of pending claims in no request yet.
        std::uint64_t answered = 0;              ///< Latest request whose answer named the tenant.
        base::Duration wait{};                   ///< Wait stated by the last answer.
    };

    [[nodiscard]] static std::uint64_t available (Account& account, base::TimePoint now);
    [[nodiscard]] static base::TimePoint use (Account& account, std::uint64_t units);
    void enqueue (Account& account, const QuotaClaim& claim);
    void requestAgainIfOverdue (base::TimePoint now);
    void requestAllAgain();

    base::Duration m_interval;
    std::map<std::string, Account> m_accounts;
    std::uint64_t m_nextSequence = 1;
    std::map<std::uint64_t, base::TimePoint> m_sent;  ///< Send times of unanswered requests.
    bool m_hasUnrequested = false;                    ///< Whether a claim is in no request yet.
    base::TimePoint m_requestedAt{};                  ///< Time of the last request.
};

}  // namespace fernlift::quota
