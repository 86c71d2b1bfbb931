#pragma once

/// Decides what follows a failed attempt.

#include <cstdint>

#include "base/Error.h"

namespace fernlift::dispatch
{

enum class AttemptFailure : std::uint8_t
{
    kNotSent,       ///< No byte of the request was sent.
    kRefused,       ///< The back end answered that it did not run the request.
    kBroken,        ///< The connection broke, or the answer was damaged.
    kTimedOut,      ///< No byte of the answer arrived in time.
    kServerFailed,  ///< The back end answered 502, 503 or 504 without stating "not run".
};

/// Whether the failure proves that the back end did not run the request.
[[nodiscard]] constexpr bool provesNotRun (AttemptFailure failure)
{
    return failure == AttemptFailure::kNotSent || failure == AttemptFailure::kRefused;
}

/// State of the request whose attempt failed.
struct RetryContext
{
    AttemptFailure failure = AttemptFailure::kBroken;
    bool isRepeatable = false;
    bool hasReachedCaller = false;  ///< Part of the answer was sent to the caller.
    bool canResume = false;         ///< The answer can be continued from an offset.
    std::uint32_t attemptsMade = 0;
    std::uint32_t maximumAttempts = 0;
};

enum class RetryDecision : std::uint8_t
{
    kRetry,
    kResume,
    kFail
};

[[nodiscard]] RetryDecision decideRetry (const RetryContext& context);

/// Kind of the error that is returned to the caller if no further attempt is made.
[[nodiscard]] base::ErrorKind errorKindOf (AttemptFailure failure, bool isRepeatable);

}  // namespace fernlift::dispatch
