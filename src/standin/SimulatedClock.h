#pragma once

/// Time of a stand-in process: the monotonic clock of the system with durations scaled by a
/// constant factor.

#include <QTimer>
#include <functional>

#include "base/Time.h"

namespace fernlift::standin
{

/// Converts between real and simulated time. With factor 0.1 simulated time runs ten times faster.
class SimulatedClock
{
public:
    explicit SimulatedClock (double timeScale);

    [[nodiscard]] base::TimePoint now() const;
    [[nodiscard]] base::Duration toReal (base::Duration simulated) const;
    [[nodiscard]] base::Duration toSimulated (base::Duration real) const;

private:
    base::SystemClock m_clock;
    double m_timeScale;
    base::TimePoint m_start;
};

/// Single-shot timer in simulated time; setting a new time replaces the previous one.
class SimulatedTimer
{
public:
    SimulatedTimer (const SimulatedClock& clock, std::function<void()> callback);

    void setNext (base::TimePoint simulated);
    void stop() { m_timer.stop(); }

private:
    const SimulatedClock& m_clock;
    QTimer m_timer;
};

}  // namespace fernlift::standin
