#pragma once

/**
 * Runs work that many events request once for all of them, at a bounded rate.
 *
 * The leader recomputes the table of runners and the placement of models after heartbeats, reports
 * and demand. Each run takes time in proportion to the size of the cell, so that in a large cell it
 * must run less often than events arrive; otherwise no time is left to handle the events.
 */

#include "base/Time.h"

namespace fernlift::controller
{

/** Tracks a request for the work. It is due at once when the last run is at least one interval ago,
    otherwise at the end of that interval.

    Pure: time is passed in. Threading: none; owned by one ControllerCore.
*/
class ThrottledWork
{
public:
    /** Requests a run; several requests before the run count as one. */
    void request() { m_isRequested = true; }

    /** Returns whether the work is due now. If so, clears the request and delays the next run by at
        least `interval`.
    */
    [[nodiscard]] bool takeDue (base::TimePoint now, base::Duration interval)
    {
        if (! m_isRequested || now < m_notBefore)
            return false;
        m_isRequested = false;
        m_notBefore = now + interval;
        return true;
    }

private:
    bool m_isRequested = true;      ///< The first run is always due.
    base::TimePoint m_notBefore{};  ///< At most one interval after the last run.
};

}  // namespace fernlift::controller
