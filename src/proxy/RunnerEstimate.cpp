#include "proxy/RunnerEstimate.h"

#include <algorithm>

#include "cell/InstanceLoadMessages.h"

namespace fernlift::proxy
{
namespace
{

// All times in milliseconds.
/// Execution time of an application request; a runner executes as many at once as it has slots.
constexpr double kApplicationWork = 30;
/// Delay caused by each request that an engine serves.
constexpr double kEngineWork = 25;
/// Prefill time of one prompt token.
constexpr double kPrefillPerToken = 0.026;
/// Network round trip between two zones.
constexpr double kOtherZoneRoundTrip = 3;
/// Cost of a new connection: one round trip and some work of the runner.
constexpr double kNewConnection = 2;
/// Part of the gap between events that is available for prefill. The rest is for the event itself
/// and for prompts that other routers send in the meantime.
constexpr double kPrefillShareOfGap = 0.4;
/// Share of the requests at a runner that already stream their answers.
constexpr double kStreamShare = 0.5;

/// Duration of work relative to a runner of nominal speed on a machine without slowdown.
double workTimeFactor (const RunnerState& runner) { return runner.slowdown / runner.speed; }

}  // namespace

double prefillMilliseconds (const RunnerState& runner, double tokens)
{
    return kPrefillPerToken * tokens * workTimeFactor (runner);
}

double addedMilliseconds (const RunnerState& runner, const RequestWork& work)
{
    if (! work.isForModel)
        return kApplicationWork / std::max (runner.slots, 1U) * workTimeFactor (runner);
    return kEngineWork * workTimeFactor (runner)
           + prefillMilliseconds (runner, static_cast<double> (work.prefillTokens));
}

double expectedMilliseconds (const RunnerState& runner, const RequestWork& work)
{
    double atRunner = 0;
    if (work.isForModel)
    {
        const double tokens =
            runner.pendingPrefillTokens + static_cast<double> (work.prefillTokens);
        atRunner = kEngineWork * runner.requests + kPrefillPerToken * tokens;
    }
    else
    {
        atRunner = kApplicationWork * (1 + runner.requests / std::max (runner.slots, 1U));
    }
    double way = 0;
    if (runner.isInOtherZone)
        way += kOtherZoneRoundTrip;
    if (runner.needsConnection)
        way += kNewConnection;
    return atRunner * workTimeFactor (runner) + way;
}

double streamDelayMilliseconds (const RunnerState& runner, const RequestWork& work, double gap)
{
    const double tokens = runner.pendingPrefillTokens + static_cast<double> (work.prefillTokens);
    const double excess = prefillMilliseconds (runner, tokens) - kPrefillShareOfGap * gap;
    return kStreamShare * runner.requests * std::max (excess, 0.0);
}

double decayedSlowdown (double slowdown, double age)
{
    const double left = std::clamp (
        1 - age / static_cast<double> (base::toMilliseconds (cell::kSlowdownLifetime)), 0.0, 1.0);
    return 1 + (slowdown - 1) * left;
}

}  // namespace fernlift::proxy
