#pragma once

/** Log lines on the way of a configuration; see ConfigurationRollout. */

#include "controller/ConfigurationRollout.h"

namespace fernlift::controller
{

/** Writes one line (events 3013 to 3016). */
void logNews (const ConfigurationNews& news);

}  // namespace fernlift::controller
