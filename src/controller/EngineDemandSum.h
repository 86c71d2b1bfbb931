#pragma once

/**
 * Adds up the demand of many routers for models and adapters into one report to the leader.
 *
 * The leader thus reads one report from each controller instead of one from each router.
 */

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/Time.h"
#include "cell/RouterMessages.h"

namespace fernlift::controller
{

/** Pure: time is passed in. Threading: none; owned by one RouterRelay. */
class EngineDemandSum
{
public:
    /** Replaces the demand that one router reported earlier for these targets. */
    void onReport (std::uint64_t router, const std::vector<cell::EngineDemand>& demands);
    void onRouterDisconnected (std::uint64_t router);
    /** Puts every target into the next report, for a new leader or one that lost its state. */
    void resendAll();

    /** Returns the report that is due, or nothing. A report is due 20 ms after the last one when
        more requests wait at a router than before, so that a request that waits only briefly is
        still reported in time; otherwise it is due at the regular interval.
    */
    [[nodiscard]] std::vector<cell::EngineDemand> takeDue (base::TimePoint now);

private:
    using Target = std::tuple<std::string, std::string, std::string>;
    struct Total
    {
        std::map<std::uint64_t, cell::EngineDemand> byRouter;  ///< Only routers with demand.
        std::uint32_t arrivals = 0;                            ///< Arrivals since the last report.
        std::uint64_t promptTokens = 0;                        ///< Prompt tokens of the arrivals.
        bool isChanged = false;                                ///< Changed since the last report.
        bool isUrgent = false;  ///< More requests wait than were reported.
    };

    static void set (Total& total, std::uint64_t router, const cell::EngineDemand& demand);

    std::map<Target, Total> m_totals;
    bool m_isUrgent = false;
    base::TimePoint m_reportedAt{};  ///< Time of the last report of all changes.
    base::TimePoint m_urgentAt{};    ///< Time of the last report of any kind.
};

}  // namespace fernlift::controller
