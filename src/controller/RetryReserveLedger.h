#pragma once

/**
 * The leader's account of the cell's reserve of retries. Each router holds a share of it for a
 * limited time, and the shares that may be in use at any time add up to at most the whole.
 *
 * Shares are not replicated. A new leader renews the shares that routers state to hold, which are
 * parts of one whole, and grants more only when all shares of earlier leaders have ended.
 */

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/Time.h"
#include "cell/RetryReserveMessages.h"

namespace fernlift::controller
{

/** Time for which a share may be used after the router requested it. */
constexpr base::Duration kRetryReserveLifetime = base::seconds (6);

/** Pure: time is passed in. Threading: none; owned by one ControllerCore. */
class RetryReserveLedger
{
public:
    /** Ledger of a leader that began to lead at `since`. */
    explicit RetryReserveLedger (base::TimePoint since) : m_since (since) {}

    /** Sets the number of routers that are connected to the cell. Those that request no share run
        an earlier build and divide the reserve by this number themselves.
    */
    void setRouters (std::uint32_t connected) { m_routers = connected; }
    /** Returns none for a request that a later one of the same holder has overtaken. */
    [[nodiscard]] std::optional<cell::RetryReserveGrant> answer (
        const cell::RetryReserveRequest& request, base::TimePoint now);

    /** Sum of the shares that may be in use, from 0 to 1. */
    [[nodiscard]] double sharesInUse (base::TimePoint now) const;
    /** Number of holders whose last request is not longer ago than a grant lasts. */
    [[nodiscard]] std::size_t holders (base::TimePoint now) const;

private:
    struct Holding
    {
        std::uint64_t sequence = 0;
        double share = 0;       ///< Largest share that the holder may use until `end`.
        base::TimePoint end{};  ///< Latest end of any share of the holder.
    };

    /// Removes the holdings that have ended, from time to time: large cells have many.
    void sweep (base::TimePoint now);
    [[nodiscard]] double shareFor (const cell::RetryReserveRequest& request, double equalShare,
                                   double free, base::TimePoint now);

    base::TimePoint m_since;
    std::uint32_t m_routers = 0;
    std::map<std::uint64_t, Holding> m_holdings;  ///< By holder.
    double m_sum = 0;                             ///< Sum of the shares in `m_holdings`.
    base::TimePoint m_nextSweepAt{};
    base::TimePoint m_shortUntil{};  ///< Until then, routers that need no retry get no renewal.
};

}  // namespace fernlift::controller
