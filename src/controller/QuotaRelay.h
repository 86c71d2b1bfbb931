#pragma once

/**
 * Grants units of tenants' quotas to routers: from the part of every limit that is this
 * controller's own, and what that does not cover on behalf of the leader.
 *
 * The controllers' own parts make up half of each limit. They need nobody else, so that lost
 * packets or the election of a leader hold up few requests; the leader's half follows the traffic
 * wherever it goes. Claims for the leader go out together, so that its work grows with the
 * controllers and not with the requests of callers.
 */

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "base/Time.h"
#include "cell/QuotaMessages.h"
#include "config/Tenants.h"
#include "quota/QuotaLedger.h"
#include "quota/QuotaPool.h"

namespace fernlift::controller
{

/** What the parts of the limits that controllers grant depend on. */
struct QuotaBasis
{
    std::uint64_t configuration = 0;  ///< Version in force; 0: none.
    std::size_t granters = 0;         ///< Controllers.

    bool operator== (const QuotaBasis&) const = default;
};

/** What each of `granters` controllers grants without the leader. */
[[nodiscard]] quota::QuotaPart partOfRelay (std::size_t granters);
/** What the leader grants: all that is not the other controllers'. */
[[nodiscard]] quota::QuotaPart partOfLeader (std::size_t granters);

/** Pure: time is passed in. Threading: none; owned by one RouterRelay. */
class QuotaRelay
{
public:
    struct Answer
    {
        std::uint64_t router = 0;  ///< Connection.
        cell::QuotaGrant grant;
    };

    explicit QuotaRelay (const quota::QuotaTolerance& tolerance);

    /** The limits in force, and how many controllers grant parts of them. */
    void setTenants (const std::vector<config::Tenant>& tenants, std::size_t granters,
                     base::TimePoint now);

    /** The answer, when all can be granted now. */
    [[nodiscard]] std::optional<Answer> onRequest (std::uint64_t router,
                                                   const cell::QuotaRequest& request,
                                                   base::TimePoint now);
    /** Answers that a grant of the leader allows. */
    [[nodiscard]] std::vector<Answer> onGrant (const cell::QuotaGrant& grant, base::TimePoint now);
    void onRouterGone (std::uint64_t router);
    void onLeaderLost() { m_pool.onLinkLost(); }

    /** The request to the leader that is due; sent at `now`. */
    [[nodiscard]] std::optional<cell::QuotaRequest> takeRequest (base::TimePoint now);

private:
    /** One need of a router's request. */
    struct Part
    {
        std::vector<quota::QuotaClaim> claims;  ///< That wait for the leader.
        cell::QuotaAllowance allowance;         ///< Of those that are settled.
    };
    /** A router's request of which some needs wait for the leader. */
    struct Waiting
    {
        std::uint64_t router = 0;
        base::TimePoint since{};
        std::uint64_t sequence = 0;
        std::vector<Part> parts;
        bool isAnswered = false;
    };

    /** Whether every need of the request is settled. */
    bool settle (Waiting& waiting, base::TimePoint now);
    void addNeed (Waiting& waiting, const cell::QuotaNeed& need, base::TimePoint now);
    /** Whether the claim is granted or refused. */
    bool settleClaim (Part& part, quota::QuotaClaim& claim, base::TimePoint now);
    [[nodiscard]] static cell::QuotaGrant grantOf (const Waiting& waiting);
    void dropOld (base::TimePoint now);
    void giveUp (Waiting& waiting);

    quota::QuotaLedger m_ownPart;
    quota::QuotaPool m_pool;        ///< Of the leader's part.
    std::deque<Waiting> m_waiting;  ///< In the order in which they came.
};

}  // namespace fernlift::controller
