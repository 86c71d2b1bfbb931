#pragma once

/**
 * Grants units of tenants' quotas to routers, first from this controller's own part of each limit,
 * then from units that it requests from the leader.
 *
 * The controllers' own parts make up half of each limit. Granting from them needs no other process,
 * so that lost packets or the election of a leader delay few requests. The leader's half is
 * available wherever the traffic is. Claims for the leader are sent in batches, so that its work
 * grows with the number of controllers and not with the number of callers' requests.
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

/** Inputs that determine the parts of the limits that controllers grant. */
struct QuotaBasis
{
    std::uint64_t configuration = 0;      ///< Configuration version in force; 0: none.
    std::size_t grantingControllers = 0;  ///< Number of controllers that grant parts.

    bool operator== (const QuotaBasis&) const = default;
};

/** Returns the part of each limit that every controller grants without the leader. */
[[nodiscard]] quota::QuotaPart partOfRelay (std::size_t grantingControllers);
/** Returns the leader's part: everything that the other controllers do not grant. */
[[nodiscard]] quota::QuotaPart partOfLeader (std::size_t grantingControllers);

/** Pure: time is passed in. Threading: none; owned by one RouterRelay. */
class QuotaRelay
{
public:
    struct Answer
    {
        std::uint64_t router = 0;  ///< Connection of the router.
        cell::QuotaGrant grant;
    };

    explicit QuotaRelay (const quota::QuotaTolerance& tolerance);

    /** Sets the limits in force and the number of controllers that grant parts of them. */
    void setTenants (const std::vector<config::Tenant>& tenants, std::size_t grantingControllers,
                     base::TimePoint now);

    /** Handles a router's request; returns the answer if everything can be granted now. */
    [[nodiscard]] std::optional<Answer> onRequest (std::uint64_t router,
                                                   const cell::QuotaRequest& request,
                                                   base::TimePoint now);
    /** Applies a grant of the leader; returns the answers that it completes. */
    [[nodiscard]] std::vector<Answer> onGrant (const cell::QuotaGrant& grant, base::TimePoint now);
    void onRouterDisconnected (std::uint64_t router);
    void onLeaderLost() { m_pool.onLinkLost(); }

    /** Returns the request to the leader that is due; it counts as sent at `now`. */
    [[nodiscard]] std::optional<cell::QuotaRequest> takeRequest (base::TimePoint now);

private:
    /** State of one need in a router's request. */
    struct Part
    {
        std::vector<quota::QuotaClaim> claims;  ///< Claims that wait for the leader.
        cell::QuotaAllowance allowance;         ///< Result of the resolved claims.
    };
    /** A router's request in which some needs wait for the leader. */
    struct PendingRequest
    {
        std::uint64_t router = 0;
        base::TimePoint since{};
        std::uint64_t sequence = 0;
        std::vector<Part> parts;
        bool isAnswered = false;
    };

    /** Resolves claims of the request; returns whether all of its needs are resolved. */
    bool resolve (PendingRequest& pending, base::TimePoint now);
    void addNeed (PendingRequest& pending, const cell::QuotaNeed& need, base::TimePoint now);
    /** Resolves a claim; returns whether it is granted or refused. */
    bool resolveClaim (Part& part, quota::QuotaClaim& claim, base::TimePoint now);
    [[nodiscard]] static cell::QuotaGrant grantOf (const PendingRequest& pending);
    void dropExpired (base::TimePoint now);
    void giveUp (PendingRequest& pending);

    quota::QuotaLedger m_ownPart;
    quota::QuotaPool m_pool;               ///< Units requested from the leader's part.
    std::deque<PendingRequest> m_pending;  ///< In order of arrival.
};

}  // namespace fernlift::controller
