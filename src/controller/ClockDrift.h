#pragma once

/**
 * Allowance for clocks of different speed, where one process waits until a time that another one
 * measures has passed.
 */

#include "base/Time.h"

namespace fernlift::controller
{

/** Another machine's clock may run slower than this one by one part in this many. */
constexpr int kClockDriftParts = 100;

/** Returns the longest time on this clock in which another machine's clock measures `duration`. */
constexpr base::Duration withDrift (base::Duration duration)
{
    return duration + duration / kClockDriftParts;
}

}  // namespace fernlift::controller
