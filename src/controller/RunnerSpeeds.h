#pragma once

/**
 * Estimates the relative speed of each runner from observations of routers.
 *
 * Some runners report how long work takes on their machine. Such reports include temporary
 * slowdowns, so the typical figure is used. Differences that the reports do not explain show in the
 * pauses between events of streams. A pause depends on the model, on the runner and on the number
 * of requests at the runner. The influence of all three is estimated together, on logarithms, from
 * all observed pairs of runner and model.
 */

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "controller/ThrottledWork.h"

namespace fernlift::controller
{

/** Pure: time is passed in. Threading: none; owned by one ControllerCore. */
class RunnerSpeeds
{
public:
    struct Runner
    {
        std::string id;
        std::string service;
    };
    struct Pauses
    {
        std::string model;
        std::uint32_t count = 0;
        std::uint64_t microseconds = 0;  ///< Sum, each divided by the work time reported last.
    };
    struct Speed
    {
        std::string instance;
        std::uint32_t percent = 100;
    };

    /** Records how long work takes on the runner's machine; 100 is nominal for its service. */
    void onReportedWorkTime (const Runner& runner, std::uint32_t percent, base::TimePoint now);
    /** Records recent pauses, observed with `inFlight` requests at the runner. */
    void onPauses (const Runner& runner, const Pauses& pauses, std::uint32_t inFlight);
    /** Sets the estimate of an earlier leader, which applies until this leader has its own. */
    void setInheritedSpeed (const Runner& runner, std::uint32_t percent);
    /** Removes all other runners, which have been removed from the cell or restarted. */
    void keepOnly (const std::function<bool (const std::string& instance)>& isKept);

    /** Returns the speed last returned by takeChanged(); 100 for an unknown runner. */
    [[nodiscard]] std::uint32_t speedOf (const std::string& instance) const;
    /** Returns the speeds that differ significantly from the last returned ones, at limited
        intervals. A runner without data has 100.
    */
    [[nodiscard]] std::vector<Speed> takeChanged (base::TimePoint now);

private:
    struct Sample
    {
        double pause = 0;  ///< Logarithm of the mean pause.
        double inFlight = 0;
    };
    struct RunnerState
    {
        std::string service;
        std::deque<std::uint32_t> reported;  ///< Latest reports, at least 700 ms apart.
        base::TimePoint reportedAt{};
        std::map<std::string, std::deque<Sample>> samples;  ///< Latest samples, by model.
        double logSpeed = 0;  ///< Logarithm of the speed that reports do not explain.
        std::uint32_t inheritedPercent = 0;  ///< Estimate of an earlier leader; 0: none.
        std::uint32_t sentPercent = 100;
    };
    /** Samples of one pair of runner and model. */
    struct Observation
    {
        std::size_t runner = 0;
        std::size_t model = 0;
        double pause = 0;  ///< Logarithm of the undelayed pause.
        double inFlight = 0;
        double weight = 0;
    };

    RunnerState& stateOf (const Runner& runner);
    /** Estimates `logSpeed` of the runners of one service. */
    static void estimate (const std::vector<RunnerState*>& runners);
    [[nodiscard]] static Observation observationOf (const std::deque<Sample>& samples);
    [[nodiscard]] static std::uint32_t percentOf (const RunnerState& state);

    std::map<std::string, RunnerState> m_runners;
    ThrottledWork m_estimating;
};

}  // namespace fernlift::controller
