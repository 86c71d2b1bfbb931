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
    : m_options (options), m_random (seed), m_now (now)
{
    if (m_options.arrivalsPerSecond <= 0)
        return;
    m_running = static_cast<std::uint32_t> (m_options.arrivalsPerSecond
                                            * inSeconds (m_options.meanService));
    m_untilArrival = m_random.exponential (1 / m_options.arrivalsPerSecond);
}

std::uint32_t LoadWalk::advance (base::TimePoint now)
{
    if (now <= m_now || m_options.arrivalsPerSecond <= 0)
        return m_running;
    const double passed = inSeconds (now - m_now);
    m_now = now;
    const double endChance = 1 - std::exp (-passed / inSeconds (m_options.meanService));
    std::uint32_t ended = 0;
    for (std::uint32_t request = 0; request < m_running; ++request)
    {
        if (m_random.chance (endChance))
            ++ended;
    }
    m_running -= ended;
    m_untilArrival -= passed;
    while (m_untilArrival <= 0)
    {
        ++m_running;
        m_untilArrival += m_random.exponential (1 / m_options.arrivalsPerSecond);
    }
    return m_running;
}

}  // namespace fernlift::scale
