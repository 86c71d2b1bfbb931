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

SimulatedClock::SimulatedClock (double timeScale) : timeScale_ (timeScale), start_ (clock_.now()) {}

base::TimePoint SimulatedClock::now() const { return start_ + toSimulated (clock_.now() - start_); }

base::Duration SimulatedClock::toReal (base::Duration simulated) const
{
    return scaled (simulated, timeScale_);
}

base::Duration SimulatedClock::toSimulated (base::Duration real) const
{
    return scaled (real, 1.0 / timeScale_);
}

SimulatedTimer::SimulatedTimer (const SimulatedClock& clock, std::function<void()> callback)
    : clock_ (clock)
{
    timer_.setSingleShot (true);
    timer_.setTimerType (Qt::PreciseTimer);
    QObject::connect (&timer_, &QTimer::timeout, std::move (callback));
}

void SimulatedTimer::setNext (base::TimePoint simulated)
{
    const base::Duration wait = clock_.toReal (simulated - clock_.now());
    const double milliseconds = std::ceil (static_cast<double> (wait.count()) / 1000.0);
    timer_.start (std::max (0, static_cast<int> (std::min (milliseconds, 3600000.0))));
}

}  // namespace fernlift::standin
