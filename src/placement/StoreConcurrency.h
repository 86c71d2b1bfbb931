#pragma once

/**
 * How many loads may use the weight store at the same time.
 *
 * Past some number of loads the store gives each of them less: all of them end later and none
 * sooner. That number is not stated anywhere and may change. It is found from the loads themselves:
 * one that takes as long as the catalogue says, while all places were taken, shows that there is
 * room for another; one that takes longer, for the loads under way beside it, tells how many
 * the store serves at full speed.
 *
 * The rate at which loads may begin is another limit, which EnginePlacement keeps.
 */

#include <cstddef>
#include <map>
#include <string>

#include "base/Time.h"

namespace fernlift::placement
{

/** Pure: time is passed in. Threading: none; owned by one EnginePlacement. */
class StoreConcurrency
{
public:
    /** A load into `engine` begins; an engine loads one model at a time. */
    void onBegin (const std::string& engine, base::TimePoint now);
    /** The load into `engine` is done. `usual` is what it takes at full speed. Does nothing when
        none was noted.
    */
    void onEnd (const std::string& engine, base::Duration nominal, base::TimePoint now);
    /** The load into `engine` never began, or nothing is known of its end. */
    void onAbandoned (const std::string& engine) { m_loads.erase (engine); }

    [[nodiscard]] std::size_t underWay() const { return m_loads.size(); }
    /** Loads that may be under way at once; at least one. */
    [[nodiscard]] std::size_t limit() const { return static_cast<std::size_t> (m_limit); }

private:
    struct Load
    {
        base::TimePoint begunAt{};
        std::size_t maxConcurrent = 1;  ///< Under way at any time of its life, itself included.
        bool sawLimitReached = false;   ///< At some time of its life all places were taken.
    };

    std::map<std::string, Load> m_loads;  ///< By engine.
    /** Near the least that the stores known so far serve at full speed (two to thirteen): a place
       too few costs a load its turn once, one too many slows all loads of the first round. */
    static constexpr double kInitialLimit = 3;

    double m_limit = kInitialLimit;
    bool m_hasSlowed = false;  ///< A load was late: from then on the limit grows slowly.
};

}  // namespace fernlift::placement
