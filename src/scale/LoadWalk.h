#pragma once

/// Requests that run on a hollow runner: arrivals and ends drawn at random, no inference.

#include <cstdint>

#include "base/Random.h"
#include "base/Time.h"

namespace fernlift::scale
{

struct LoadWalkOptions
{
    double arrivalsPerSecond = 3.7;
    base::Duration meanService = base::seconds (10);
};

/// A birth and death process: Poisson arrivals, exponential service times, as many servers as
/// needed.
class LoadWalk
{
public:
    /// Starts near the mean.
    LoadWalk (LoadWalkOptions options, std::uint64_t seed, base::TimePoint now);

    /// Moves on to `now` and returns how many requests run.
    std::uint32_t advance (base::TimePoint now);

private:
    LoadWalkOptions m_options;
    base::Random m_random;
    base::TimePoint m_now;
    double m_untilArrival = 0;  ///< Seconds.
    std::uint32_t m_running = 0;
};

}  // namespace fernlift::scale
