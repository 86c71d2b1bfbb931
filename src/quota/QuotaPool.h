#pragma once

/**
 * Units of tenants' quotas that a process asked for and was granted, until they are used.
 *
 * A router keeps one to admit requests, a controller that does not lead keeps one to grant from.
 * Nothing is asked for ahead: a router sees less than one large request a second of a tenant, so
 * that most of what it kept would end unused, and tenants within their limits were refused 4 in
 * 100 requests.
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

/** Units wanted at once, and how far they have been asked for. */
struct QuotaClaim
{
    std::string account;  ///< Tenant, or what else has a limit.
    std::uint64_t units = 0;
    std::uint64_t sequence = 0;  ///< Request whose answer settles it; 0: not asked for.
    base::TimePoint askedAt{};
    base::TimePoint until{};  ///< Granted units may be used until then.
};

enum class QuotaAnswer : std::uint8_t
{
    kGranted,  ///< The units are used up.
    kPending,  ///< Asked for; `take` again when a grant has come.
    kRefused,  ///< The tenant has no units left.
};

/** Pure: time is passed in. Threading: none. */
class QuotaPool
{
public:
    /** Requests are at least `interval` apart: claims of that time go out together. */
    explicit QuotaPool (base::Duration interval) : m_interval (interval) {}

    [[nodiscard]] QuotaAnswer take (QuotaClaim& claim, base::TimePoint now);
    /** Ends a claim that is pending; does nothing to another. */
    void giveUp (QuotaClaim& claim);
    /** Time until the tenant has units again, as far as known, after a refusal. */
    [[nodiscard]] base::Duration waitOf (const std::string& tenant) const;

    /** The request that is due. It must be sent at `now`. */
    [[nodiscard]] std::optional<cell::QuotaRequest> takeRequest (base::TimePoint now);
    void onGrant (const cell::QuotaGrant& grant);
    /** No request under way will be answered: pending claims are asked for again. */
    void onLinkLost();

private:
    struct Chunk
    {
        std::uint64_t units = 0;
        base::TimePoint until{};
    };
    struct Account
    {
        std::deque<Chunk> chunks;            ///< In the order in which they came.
        std::vector<std::uint64_t> pending;  ///< Units of the claims that wait.
        std::vector<std::uint64_t> unasked;  ///< Of these, in no request yet.
        std::uint64_t answered = 0;          ///< Latest request whose answer named the tenant.
        base::Duration wait{};               ///< As of the last answer.
    };

    [[nodiscard]] static std::uint64_t available (Account& account, base::TimePoint now);
    [[nodiscard]] static base::TimePoint use (Account& account, std::uint64_t units);
    void ask (Account& account, const QuotaClaim& claim);
    void askAgainIfOverdue (base::TimePoint now);
    void askAllAgain();

    base::Duration m_interval;
    std::map<std::string, Account> m_accounts;
    std::uint64_t m_nextSequence = 1;
    std::map<std::uint64_t, base::TimePoint> m_sent;  ///< Unanswered requests; when they were sent.
    bool m_hasUnasked = false;                        ///< A claim is in no request yet.
    base::TimePoint m_requestedAt{};                  ///< Of the last request.
};

}  // namespace fernlift::quota
