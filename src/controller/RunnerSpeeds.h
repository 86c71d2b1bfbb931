#pragma once

/**
 * How much work each runner does in the same time, learned from what routers saw.
 *
 * Runners that state how long work takes on their machine tell it themselves, apart from the slow
 * moments that they state too: the usual figure counts. What such figures don't explain shows in
 * the pauses between events of streams. A pause depends on the model and on the runner, and neither
 * is known: both are estimated together, in logarithms, from all pairs that were seen, with the
 * number of requests at the runner, which lengthens pauses as well.
 */

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "controller/PacedWork.h"

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
        std::uint64_t microseconds = 0;  ///< Together, each divided by the figure stated last.
    };
    struct Speed
    {
        std::string instance;
        std::uint32_t percent = 100;
    };

    /** The runner stated how long work takes on its machine: 100 is the usual of its service. */
    void onStated (const Runner& runner, std::uint32_t percent, base::TimePoint now);
    /** Pauses that ended lately, with so many requests at the runner. */
    void onPauses (const Runner& runner, const Pauses& pauses, std::uint32_t inFlight);
    /** What an earlier leader had learned: holds until the runner is measured here. */
    void setEarlier (const Runner& runner, std::uint32_t percent);
    /** Forgets the other runners: they are gone, or started again. */
    void keepOnly (const std::function<bool (const std::string& instance)>& isKept);

    /** As told last; 100 where nothing is known. */
    [[nodiscard]] std::uint32_t speedOf (const std::string& instance) const;
    /** Speeds that differ much from what was told, at some interval; 100 where nothing is known. */
    [[nodiscard]] std::vector<Speed> takeChanged (base::TimePoint now);

private:
    struct Sample
    {
        double pause = 0;  ///< Logarithm.
        double inFlight = 0;
    };
    struct Known
    {
        std::string service;
        std::deque<std::uint32_t> stated;  ///< The latest, some time apart.
        base::TimePoint statedAt{};
        std::map<std::string, std::deque<Sample>> samples;  ///< The latest, by model.
        double paceSpeed = 0;              ///< Logarithm; of what stated figures don't explain.
        std::uint32_t earlierPercent = 0;  ///< 0: an earlier leader told nothing.
        std::uint32_t toldPercent = 100;
    };
    /** A runner and a model that were seen together. */
    struct Observation
    {
        std::size_t runner = 0;
        std::size_t model = 0;
        double pause = 0;  ///< Logarithm.
        double inFlight = 0;
        double weight = 0;
    };

    Known& knownOf (const Runner& runner);
    /** Estimates the pace speeds of the runners of one service. */
    static void estimate (const std::vector<Known*>& runners);
    [[nodiscard]] static Observation observationOf (const std::deque<Sample>& samples);
    [[nodiscard]] static std::uint32_t percentOf (const Known& known);

    std::map<std::string, Known> m_known;
    PacedWork m_estimating;
};

}  // namespace fernlift::controller
