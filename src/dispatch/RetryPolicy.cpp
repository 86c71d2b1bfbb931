#include "dispatch/RetryPolicy.h"

namespace fernlift::dispatch
{

RetryDecision decideRetry (const RetryContext& context)
{
    if (context.attemptsMade >= context.maximumAttempts)
        return RetryDecision::kFail;
    const bool isSafe = context.isRepeatable || provesNotRun (context.failure);
    if (! isSafe)
        return RetryDecision::kFail;
    if (! context.hasReachedCaller)
        return RetryDecision::kRetry;
    return context.canResume ? RetryDecision::kResume : RetryDecision::kFail;
}

base::ErrorKind errorKindOf (AttemptFailure failure, bool isRepeatable)
{
    if (! isRepeatable && ! provesNotRun (failure))
        return base::ErrorKind::kOutcomeUnknown;
    switch (failure)
    {
        case AttemptFailure::kNotSent:
            return base::ErrorKind::kUpstreamUnreachable;
        case AttemptFailure::kRefused:
            return base::ErrorKind::kUpstreamRefused;
        case AttemptFailure::kTimedOut:
            return base::ErrorKind::kUpstreamTimeout;
        case AttemptFailure::kBroken:
        case AttemptFailure::kServerFailed:
            break;
    }
    return base::ErrorKind::kUpstreamBroken;
}

}  // namespace fernlift::dispatch
