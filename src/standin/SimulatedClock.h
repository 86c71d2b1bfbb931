#pragma once

/// Time of a stand-in process: the system's monotonic clock, with durations stretched or shrunk by
/// one factor.

#include <QTimer>
#include <functional>

#include "base/Time.h"

namespace fernlift::standin
{

/// Converts between real and simulated time. With factor 0.1 everything is ten times quicker.
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

/// Calls back at a simulated time; setting a new time replaces the former.
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
