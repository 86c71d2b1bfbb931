#pragma once

/// Waits that handle the Qt events of the calling thread.

#include <functional>

#include "base/Time.h"

namespace fernlift::lab
{

/// Handles events until `condition` holds. Returns false when it does not hold by `timeout`.
bool waitUntil (const std::function<bool()>& condition, base::Duration timeout);
/// Handles events for `duration`.
void handleEventsFor (base::Duration duration);

}  // namespace fernlift::lab
