#pragma once

/**
 * This router's share of the cell's reserve of retries. The leader grants it for a limited time;
 * without a valid grant the router has no part of the reserve.
 */

#include <cstdint>
#include <optional>

#include "base/Time.h"
#include "cell/RetryReserveMessages.h"

namespace fernlift::proxy
{

/** Pure: time is passed in. Threading: none; owned by one ProxyProcess. */
class RetryReserve
{
public:
    /** `cellReserve` is the reserve of the whole cell in retries, `holder` a number that no other
        process has drawn.
    */
    RetryReserve (double cellReserve, std::uint64_t holder)
        : m_cellReserve (cellReserve), m_holder (holder)
    {
    }

    /** Handles the end or replacement of the connection to the controller. The grant stays valid.
     */
    void onLinkLost() { m_isControllerGranting = false; }
    /** Applies the answer to the last request; others are ignored. Returns whether there was one.
     */
    bool onGrants (const cell::RetryReserveGrants& grants);
    /** Returns the request that is due. `denied` is the number of retries that budgets have not
        allowed so far.
    */
    [[nodiscard]] std::optional<cell::RetryReserveRequests> takeRequest (std::uint64_t denied,
                                                                         base::TimePoint now);

    /** Retries of each service that this router may save up until end(). */
    [[nodiscard]] double part() const;
    /** End of the grant; the default time point before the first one. */
    [[nodiscard]] base::TimePoint end() const { return m_end; }
    [[nodiscard]] double share() const { return m_share; }

private:
    [[nodiscard]] base::Duration requestInterval() const;

    double m_cellReserve;
    std::uint64_t m_holder;
    bool m_isControllerGranting = false;  ///< Whether the connected controller reads requests.
    std::uint64_t m_sequence = 0;         ///< Number of the last request.
    std::uint64_t m_answered = 0;         ///< Last request that was answered.
    base::TimePoint m_requestedAt{};
    std::uint64_t m_denied = 0;  ///< Retries denied until the last request.
    double m_statedShare = 0;    ///< Share that the last request stated as held.
    double m_share = 0;
    double m_equalShare = 0;
    base::TimePoint m_end{};
};

}  // namespace fernlift::proxy
