#pragma once

/**
 * What a controller that does not lead keeps of limited runners: the leader's table for its
 * routers, and whose requests for permits are under way.
 */

#include <cstdint>
#include <map>
#include <optional>

#include "base/Time.h"
#include "cell/InstanceRateMessages.h"

namespace fernlift::controller
{

/** What routers were told of limited runners, by the leader or by a relay. */
struct RateNews
{
    std::uint64_t sentVersion = 1;  ///< Of the table that all were sent; the first one is empty.
    base::TimePoint nextAt{};       ///< They hear of another one no earlier.
};

/** Pure: time is passed in. Threading: none; owned by one RouterRelay. */
class RateRelay
{
public:
    struct Answer
    {
        std::uint64_t router = 0;  ///< Connection.
        cell::InstancePermitGrant grant;
    };

    /** The connection to the leader has ended, or another one has begun: on a new one the leader
        sends its table first, if it knows of rates.
    */
    void onLeaderLost();
    /** Something else came from the leader: without a table before it, it grants no permits. */
    void onOtherMessage();
    void onUpdate (const cell::InstanceRateUpdate& update, base::TimePoint now);

    /** Whether the leader reads reports and requests for permits. */
    [[nodiscard]] bool isLeaderGranting() const { return m_leaderGrants.value_or (false); }
    /** What routers are told. */
    [[nodiscard]] cell::InstanceRateUpdate table (base::TimePoint now) const;
    /** Grows with each change of the table; above 0. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /** Takes over what this member knew as leader. */
    void adopt (cell::InstanceRateUpdate table, base::TimePoint now);

    /** The request as it goes to the leader. */
    [[nodiscard]] cell::InstancePermitRequest onRequest (std::uint64_t router,
                                                         const cell::InstancePermitRequest& request,
                                                         base::TimePoint now);
    /** The answer for a router; none when it was given up. */
    [[nodiscard]] std::optional<Answer> onGrant (const cell::InstancePermitGrant& grant);

private:
    struct Asked
    {
        std::uint64_t router = 0;
        std::uint64_t sequence = 0;  ///< Of the router.
        base::TimePoint at{};
    };

    cell::InstanceRateUpdate m_table;
    base::TimePoint m_tableAt{};  ///< When it came.
    std::uint64_t m_version = 1;
    std::optional<bool> m_leaderGrants;  ///< None before it has told.
    std::uint64_t m_nextSequence = 1;
    std::map<std::uint64_t, Asked> m_asked;  ///< By the sequence towards the leader.
};

}  // namespace fernlift::controller
