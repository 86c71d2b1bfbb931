#include "proxy/WaitLimit.h"

#include <algorithm>

namespace fernlift::proxy
{
namespace
{

/// A controller that is elected, or a runner that starts again, is heard of about so soon.
constexpr base::Duration kRetryAfterFull = base::milliseconds (200);
/// Answers begin after half to twice the time that was expected.
constexpr int kEstimateError = 2;

/// When a load ends of which only its length is known: it may have begun at any time.
base::Duration expectedLoadEnd (base::Duration loadTime) { return loadTime / 2; }

}  // namespace

base::Duration longestWaitForRunner (const RunnerWait& wait)
{
    const base::Duration useful =
        std::max (wait.callersTime - wait.shortestAnswer, base::Duration::zero());
    const bool isInVain = wait.loadTime && expectedLoadEnd (*wait.loadTime) > useful;
    return isInVain ? base::Duration::zero() : useful;
}

std::optional<base::Duration> retryAfterWait (const RunnerWait& wait)
{
    if (! wait.loadTime)
        return kRetryAfterFull;
    const base::Duration expected = expectedLoadEnd (*wait.loadTime);
    if (expected + wait.shortestAnswer > wait.deadline)
        return std::nullopt;
    return expected;
}

bool isBeyondDeadline (base::Duration expectedAnswer, base::Duration deadline)
{
    return expectedAnswer > deadline * kEstimateError;
}

std::optional<base::Duration> loadTimeOf (const config::Service* service, std::string_view model)
{
    if (service == nullptr || ! service->engine)
        return std::nullopt;
    const config::EngineModel* const found = service->engine->findModel (model);
    if (found == nullptr)
        return std::nullopt;
    base::Duration shortest = found->loadTime;
    for (const base::Duration nearer : { found->warmLoadTime, found->diskLoadTime })
    {
        if (nearer > base::Duration::zero())
            shortest = std::min (shortest, nearer);
    }
    return shortest;
}

}  // namespace fernlift::proxy
