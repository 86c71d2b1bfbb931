#pragma once

/**
 * Requests for shares of the cell's reserve of retries at a controller that does not lead: it
 * forwards them to the leader, several in one message, and the grants to the routers.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "cell/RetryReserveMessages.h"

namespace fernlift::controller
{

/** Pure: time is passed in. Threading: none; owned by one RouterRelay. */
class RetryReserveRelay
{
public:
    struct Answer
    {
        std::uint64_t router = 0;  ///< Connection of the router.
        cell::RetryReserveGrants grants;
    };

    /** Handles the end or replacement of the connection to the leader. */
    void onLeaderLost();
    /** Queues the request of a router for the leader. */
    void onRequests (std::uint64_t router, const cell::RetryReserveRequests& requests);
    void onRouterDisconnected (std::uint64_t router);
    /** Returns the requests that are due; none while the leader has not stated that it grants
        shares.
    */
    [[nodiscard]] std::optional<cell::RetryReserveRequests> takeRequests (base::TimePoint now);
    /** Returns the answers for routers that are still connected. Empty grants state that the leader
        grants shares.
    */
    [[nodiscard]] std::vector<Answer> onGrants (const cell::RetryReserveGrants& grants);

private:
    bool m_isLeaderGranting = false;
    cell::RetryReserveRequests m_pending;              ///< Requests to be forwarded.
    base::TimePoint m_nextAt{};                        ///< Earliest time of the next message.
    std::map<std::uint64_t, std::uint64_t> m_routers;  ///< Connection of each holder.
};

}  // namespace fernlift::controller
