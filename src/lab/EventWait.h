#pragma once

/// Waiting for a condition while the events of this thread are handled.

#include <functional>

#include "base/Time.h"

namespace fernlift::lab
{

/// Handles events until `condition` holds; false when it does not after `timeout`.
bool waitUntil (const std::function<bool()>& condition, base::Duration timeout);
/// Handles events for `duration`.
void handleEventsFor (base::Duration duration);

}  // namespace fernlift::lab
