#pragma once

/// When a refused caller should come back.

#include "base/Random.h"
#include "base/Time.h"

namespace fernlift::admission
{

/// The estimate plus a random share of it, so that refused callers do not come back together.
[[nodiscard]] base::Duration retryAfter (base::Duration estimate, base::Random& random);

}  // namespace fernlift::admission
