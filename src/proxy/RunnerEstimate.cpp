#include "proxy/RunnerEstimate.h"

#include <algorithm>

#include "cell/InstanceLoadMessages.h"

namespace fernlift::proxy
{
namespace
{

// In milliseconds.
/// Work of an application's request, of which as many run at once as there are slots.
constexpr double kApplicationWork = 30;
/// Delay by each request that an engine works on.
constexpr double kEngineWork = 25;
/// Time to read one token of a prompt.
constexpr double kTokenReading = 0.026;
/// Both ways between two zones.
constexpr double kOtherZone = 3;
/// A new connection takes a way there and back, and some work of the runner.
constexpr double kNewConnection = 2;
/// Part of a pause between events that goes to prompts. The rest is for the event itself, and for
/// prompts that other routers send there meanwhile.
constexpr double kReadingShareOfGap = 0.4;
/// Not all that is at a runner has begun to answer.
constexpr double kStreamShare = 0.5;

/// Time that work takes there, in relation to a runner of usual speed on a free machine.
double paceOf (const RunnerState& runner) { return runner.slowdown / runner.speed; }

}  // namespace

double readingMilliseconds (const RunnerState& runner, double tokens)
{
    return kTokenReading * tokens * paceOf (runner);
}

double addedMilliseconds (const RunnerState& runner, const RequestWork& work)
{
    if (! work.isForModel)
        return kApplicationWork / std::max (runner.slots, 1U) * paceOf (runner);
    return kEngineWork * paceOf (runner)
           + readingMilliseconds (runner, static_cast<double> (work.tokensToRead));
}

double expectedMilliseconds (const RunnerState& runner, const RequestWork& work)
{
    double atRunner = 0;
    if (work.isForModel)
    {
        const double tokens = runner.unreadTokens + static_cast<double> (work.tokensToRead);
        atRunner = kEngineWork * runner.requests + kTokenReading * tokens;
    }
    else
    {
        atRunner = kApplicationWork * (1 + runner.requests / std::max (runner.slots, 1U));
    }
    double way = 0;
    if (runner.isInOtherZone)
        way += kOtherZone;
    if (runner.needsConnection)
        way += kNewConnection;
    return atRunner * paceOf (runner) + way;
}

double delayOfStreams (const RunnerState& runner, const RequestWork& work, double gap)
{
    const double tokens = runner.unreadTokens + static_cast<double> (work.tokensToRead);
    const double excess = readingMilliseconds (runner, tokens) - kReadingShareOfGap * gap;
    return kStreamShare * runner.requests * std::max (excess, 0.0);
}

double fadedSlowdown (double slowdown, double age)
{
    const double left = std::clamp (
        1 - age / static_cast<double> (base::toMilliseconds (cell::kSlowdownLife)), 0.0, 1.0);
    return 1 + (slowdown - 1) * left;
}

}  // namespace fernlift::proxy
