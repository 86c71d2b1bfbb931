#include "standin/SimulatedClock.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fernlift::standin
{
namespace
{

base::Duration scaled (base::Duration duration, double factor)
{
    return base::Duration (
        static_cast<std::int64_t> (static_cast<double> (duration.count()) * factor));
}

}  // namespace

SimulatedClock::SimulatedClock (double timeScale) : m_timeScale (timeScale), m_start (m_clock.now())
{
}

base::TimePoint SimulatedClock::now() const
{
    return m_start + toSimulated (m_clock.now() - m_start);
}

base::Duration SimulatedClock::toReal (base::Duration simulated) const
{
    return scaled (simulated, m_timeScale);
}

base::Duration SimulatedClock::toSimulated (base::Duration real) const
{
    return scaled (real, 1.0 / m_timeScale);
}

SimulatedTimer::SimulatedTimer (const SimulatedClock& clock, std::function<void()> callback)
    : m_clock (clock)
{
    m_timer.setSingleShot (true);
    m_timer.setTimerType (Qt::PreciseTimer);
    QObject::connect (&m_timer, &QTimer::timeout, std::move (callback));
}

void SimulatedTimer::setNext (base::TimePoint simulated)
{
    const base::Duration wait = m_clock.toReal (simulated - m_clock.now());
    const double milliseconds = std::ceil (static_cast<double> (wait.count()) / 1000.0);
    m_timer.start (std::max (0, static_cast<int> (std::min (milliseconds, 3600000.0))));
}

}  // namespace fernlift::standin
