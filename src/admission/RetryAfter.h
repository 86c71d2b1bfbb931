#pragma once

/// Delay after which a refused caller is to retry.

#include "base/Random.h"
#include "base/Time.h"

namespace fernlift::admission
{

/// Returns the estimate plus a random share of it, so that refused callers do not retry together.
[[nodiscard]] base::Duration retryAfter (base::Duration estimate, base::Random& random);

}  // namespace fernlift::admission
