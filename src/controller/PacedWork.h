#pragma once

/**
 * Work that many events ask for and that is worth doing once for all of them, at a bounded rate.
 *
 * The leader recomputes the table of runners and the placement of models after every heartbeat,
 * report and demand. Each run costs time in proportion to the size of the cell, so that a large
 * cell must do it less often than events arrive: otherwise it has no time left for them.
 */

#include "base/Time.h"

namespace fernlift::controller
{

/** Asked for at any time; due at once when it was not done lately, else once the interval is over.

    Pure: time is passed in. Threading: none; owned by one ControllerCore.
*/
class PacedWork
{
public:
    /** Asks for the work; several requests before it is done count as one. */
    void request() { m_isRequested = true; }

    /** Whether it is to be done now. When true, the request is taken and the next run is due after
        `interval` at the earliest.
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
    bool m_isRequested = true;      ///< A new leader has everything still to do.
    base::TimePoint m_notBefore{};  ///< Never further ahead than one interval after the last run.
};

}  // namespace fernlift::controller
