#include "scale/LoadWalk.h"

#include <cmath>

namespace fernlift::scale
{
namespace
{

double inSeconds (base::Duration duration)
{
    return std::chrono::duration<double> (duration).count();
}

}  // namespace

LoadWalk::LoadWalk (LoadWalkOptions options, std::uint64_t seed, base::TimePoint now)
    : options_ (options), random_ (seed), now_ (now)
{
    if (options_.arrivalsPerSecond <= 0)
        return;
    running_ =
        static_cast<std::uint32_t> (options_.arrivalsPerSecond * inSeconds (options_.meanService));
    untilArrival_ = random_.exponential (1 / options_.arrivalsPerSecond);
}

std::uint32_t LoadWalk::advance (base::TimePoint now)
{
    if (now <= now_ || options_.arrivalsPerSecond <= 0)
        return running_;
    const double passed = inSeconds (now - now_);
    now_ = now;
    const double endChance = 1 - std::exp (-passed / inSeconds (options_.meanService));
    std::uint32_t ended = 0;
    for (std::uint32_t request = 0; request < running_; ++request)
    {
        if (random_.chance (endChance))
            ++ended;
    }
    running_ -= ended;
    untilArrival_ -= passed;
    while (untilArrival_ <= 0)
    {
        ++running_;
        untilArrival_ += random_.exponential (1 / options_.arrivalsPerSecond);
    }
    return running_;
}

}  // namespace fernlift::scale
