#pragma once

/**
 * Demand of many routers for models and adapters, added up for one report to the leader.
 *
 * The leader then reads one report of each controller in place of one of each router.
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
    /** Replaces what one router reported before for these targets. */
    void onReport (std::uint64_t router, const std::vector<cell::EngineDemand>& demands);
    void onRouterGone (std::uint64_t router);
    /** The leader is another one, or has forgotten: the next report names every target. */
    void tellAll();

    /** The report that is due; nothing when there is none. At once when requests began to wait,
        though no more often than several times in the life of a short wait; else now and then.
    */
    [[nodiscard]] std::vector<cell::EngineDemand> takeDue (base::TimePoint now);

private:
    using Target = std::tuple<std::string, std::string, std::string>;
    struct Total
    {
        std::map<std::uint64_t, cell::EngineDemand> byRouter;  ///< Without those that want nothing.
        std::uint32_t arrivals = 0;                            ///< Since the last report.
        std::uint64_t promptTokens = 0;                        ///< Of the arrivals.
        bool isChanged = false;                                ///< Since the last report.
        bool isUrgent = false;                                 ///< More wait than were told.
    };

    static void set (Total& total, std::uint64_t router, const cell::EngineDemand& demand);

    std::map<Target, Total> m_totals;
    bool m_isUrgent = false;
    base::TimePoint m_reportedAt{};  ///< Of the last report of all that changed.
    base::TimePoint m_urgentAt{};    ///< Of the last report of any kind.
};

}  // namespace fernlift::controller
