#pragma once

/** Log lines about the rollout of a configuration; see ConfigurationRollout. */

#include "controller/ConfigurationRollout.h"

namespace fernlift::controller
{

/** Writes one line (events 3013 to 3016). */
void logConfigurationEvent (const ConfigurationEvent& event);

}  // namespace fernlift::controller
