#pragma once

/**
 * Adaptive limit of concurrent loads from the weight store.
 *
 * Above some number of concurrent loads the bandwidth of the store is shared: all loads end later
 * and none sooner. This number is not configured anywhere and may change, so it is estimated from
 * the durations of the loads. A load that takes its nominal time while the limit was reached shows
 * that the store has capacity for another one. A longer duration, together with the number of
 * concurrent loads, gives the number of loads that the store serves at full speed.
 *
 * The rate at which loads may begin is a separate limit, enforced by EnginePlacement.
 */

#include <cstddef>
#include <map>
#include <string>

#include "base/Time.h"

namespace fernlift::placement
{

/** Time is passed in. Not thread-safe; owned by one EnginePlacement. */
class StoreConcurrency
{
public:
    /** Called when a load into `engine` begins; an engine loads one model at a time. */
    void onBegin (const std::string& engine, base::TimePoint now);
    /** Called when the load into `engine` is complete. `nominal` is its duration at full speed.
       Does nothing without a preceding onBegin().
    */
    void onEnd (const std::string& engine, base::Duration nominal, base::TimePoint now);
    /** Called when the load into `engine` never began, or its end is unknown. */
    void onAbandoned (const std::string& engine) { m_loads.erase (engine); }

    [[nodiscard]] std::size_t underWay() const { return m_loads.size(); }
    /** Limit of concurrent loads; at least one. */
    [[nodiscard]] std::size_t limit() const { return static_cast<std::size_t> (m_limit); }

private:
    struct Load
    {
        base::TimePoint begunAt{};
        std::size_t maxConcurrent = 1;  ///< Peak of concurrent loads, including this one.
        bool sawLimitReached = false;   ///< Whether the limit was reached meanwhile.
    };

    std::map<std::string, Load> m_loads;  ///< By engine.
    /** Close to the minimum that known stores serve at full speed (two to thirteen loads). A limit
       that is too low by one delays one load once; one that is too high slows all loads of the
       first round. */
    static constexpr double kInitialLimit = 3;

    double m_limit = kInitialLimit;
    bool m_hasSlowed = false;  ///< After the first slow load the limit grows slowly.
};

}  // namespace fernlift::placement
