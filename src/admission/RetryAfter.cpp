#include "admission/RetryAfter.h"

#include <algorithm>

namespace fernlift::admission
{
namespace
{

constexpr base::Duration kMinRetryAfter = base::milliseconds (100);
constexpr base::Duration kMinSpread = base::milliseconds (500);

}  // namespace

base::Duration retryAfter (base::Duration estimate, base::Random& random)
{
    const base::Duration lower = std::max (estimate, kMinRetryAfter);
    const base::Duration spread = std::max (lower / 2, kMinSpread);
    return lower + base::Duration (random.uniformInteger (0, spread.count()));
}

}  // namespace fernlift::admission
