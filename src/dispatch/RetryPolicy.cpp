#include "dispatch/RetryPolicy.h"

namespace fernlift::dispatch
{

RetryDecision decideRetry (const RetryQuestion& question)
{
    if (question.attemptsMade >= question.maximumAttempts)
        return RetryDecision::kFail;
    const bool isSafe = question.isRepeatable || provesNotRun (question.failure);
    if (! isSafe)
        return RetryDecision::kFail;
    if (! question.hasReachedCaller)
        return RetryDecision::kRetry;
    return question.canResume ? RetryDecision::kResume : RetryDecision::kFail;
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
