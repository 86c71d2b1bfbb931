#pragma once

/**
 * State of rate-limited runners at a controller that does not lead: a relay copy of the leader's
 * table for its routers, and the routers whose permit requests await the leader's answer.
 */

#include <cstdint>
#include <map>
#include <optional>

#include "base/Time.h"
#include "cell/InstanceRateMessages.h"

namespace fernlift::controller
{

/** State of the updates on limited runners that a leader or relay sends to its routers. */
struct RateUpdateState
{
    std::uint64_t sentVersion = 1;   ///< Table version last sent to all; version 1 is empty.
    base::TimePoint nextUpdateAt{};  ///< Earliest time of the next update.
};

/** Pure: time is passed in. Threading: none; owned by one RouterRelay. */
class RateRelay
{
public:
    struct Answer
    {
        std::uint64_t router = 0;  ///< Connection of the router.
        cell::InstancePermitGrant grant;
    };

    /** Handles the end or replacement of the connection to the leader. On a new connection, a
        leader that supports rates sends its table before any other message.
    */
    void onLeaderLost();
    /** Handles another message of the leader. If no table came before it, the leader does not grant
        permits.
    */
    void onOtherMessage();
    void onUpdate (const cell::InstanceRateUpdate& update, base::TimePoint now);

    /** Whether the leader processes rate reports and permit requests. */
    [[nodiscard]] bool isLeaderGranting() const { return m_leaderGrants.value_or (false); }
    /** Returns the table to send to routers. */
    [[nodiscard]] cell::InstanceRateUpdate table (base::TimePoint now) const;
    /** Increases with each change of the table; starts at 1. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /** Sets the table that this member had as leader. */
    void setTable (cell::InstanceRateUpdate table, base::TimePoint now);

    /** Returns the request to forward to the leader. */
    [[nodiscard]] cell::InstancePermitRequest onRequest (std::uint64_t router,
                                                         const cell::InstancePermitRequest& request,
                                                         base::TimePoint now);
    /** Returns the answer for a router; none when its request has timed out. */
    [[nodiscard]] std::optional<Answer> onGrant (const cell::InstancePermitGrant& grant);

private:
    struct PendingRequest
    {
        std::uint64_t router = 0;
        std::uint64_t sequence = 0;  ///< Sequence of the router's request.
        base::TimePoint at{};
    };

    cell::InstanceRateUpdate m_table;
    base::TimePoint m_tableAt{};  ///< Time at which the table arrived.
    std::uint64_t m_version = 1;
    std::optional<bool> m_leaderGrants;  ///< None before the leader's first message.
    std::uint64_t m_nextSequence = 1;
    std::map<std::uint64_t, PendingRequest> m_pending;  ///< By sequence of the forwarded request.
};

}  // namespace fernlift::controller
