#pragma once

/// The closed list of error kinds, the table that maps each kind to a response, and the `Result`
/// type.

#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace fernlift::base
{

/// Every way in which an operation of fernlift can fail. docs/errors.md lists them for callers.
enum class ErrorKind : std::uint8_t
{
    // Errors of the caller's request.
    kInvalidRequest,
    kUnsupportedFraming,
    kBodyTooLarge,
    kHeaderTooLarge,
    kRequestTimeout,
    kNotFound,
    kMethodNotAllowed,
    kModelNotFound,
    kIdempotencyKeyRequired,
    kIdempotencyKeyConflict,
    kIdempotencyWindowPassed,
    kAlreadyRun,
    kKeyUnknown,
    // Refusals: the request was not run.
    kQueueFull,
    kQuotaExceeded,
    kDeadlineUnreachable,
    kDeadlinePassed,
    kNoCapacity,
    kLoadFailed,
    kStopping,
    kLeaseExpired,
    kRetryBudgetSpent,
    kTooManyConnections,
    // Failures of a back end.
    kUpstreamUnreachable,
    kUpstreamRefused,
    kUpstreamBroken,
    kUpstreamTimeout,
    kOutcomeUnknown,
    kRequestQuarantined,
    kCallerGone,
    // Control.
    kNotLeader,
    kNoQuorum,
    kConfigurationInvalid,
    kConfigurationConflict,
    kConfigurationStale,
    kMembershipChangeRefused,
    kFenceStale,
    kIncarnationMismatch,
    kInsufficientMemory,
    // Local environment.
    kSettingsInvalid,
    kUsage,
    kStorageCorrupt,
    kStorageFull,
    kStorageFailed,
    kStorageLocked,
    kStorageFormatUnknown,
    kMessageInvalid,
    kConnectionFailed,
    kInternal,
};

/// Whether the work of a request is known to have been performed.
enum class Execution : std::uint8_t
{
    kNotRun,   ///< No back end performed it.
    kRan,      ///< A back end performed it.
    kUnknown,  ///< It may or may not have been performed.
};

/// One row of the table that maps error kinds to responses.
struct ErrorTraits
{
    ErrorKind kind;
    std::string_view name;  ///< Stable name in responses, logs and metrics.
    int httpStatus;         ///< HTTP status code of the response.
    Execution
        execution;  ///< Value in the response when the request's own history does not determine it.
    bool retryable;            ///< Whether the caller may usefully send the request again.
    int exitCode;              ///< Exit code of a command that ends with this error.
    std::string_view meaning;  ///< One sentence for the documentation.
};

/// An error with its kind and a human-readable message.
struct Error
{
    ErrorKind kind = ErrorKind::kInternal;
    std::string message;

    bool operator== (const Error&) const = default;
};

/// The table row of `kind`.
[[nodiscard]] const ErrorTraits& traitsOf (ErrorKind kind);
/// All rows, in the order of the enumeration.
[[nodiscard]] std::span<const ErrorTraits> allErrorTraits();
/// Name of the value in responses: "not_run", "ran" or "unknown".
[[nodiscard]] std::string_view toString (Execution execution);

template <class T>
using Result = boost::leaf::result<T>;

/// Fails the current operation with an error of `kind`.
inline boost::leaf::error_id fail (ErrorKind kind, std::string message)
{
    return boost::leaf::new_error (Error{ kind, std::move (message) });
}

/// Runs `operation` (which returns a `Result`) and returns its value, or the result of calling
/// `onError` with the `Error` it failed with.
template <class Operation, class OnError>
auto handleErrors (Operation&& operation, OnError&& onError)
{
    return boost::leaf::try_handle_all (
        std::forward<Operation> (operation), [&] (const Error& error) { return onError (error); },
        [&] {
            return onError (Error{ ErrorKind::kInternal, "error without a description" });
        });
}

/// Runs `operation` (which returns a `Result`). When it fails, returns the result of calling
/// `recover` with the `Error`: a value or another failure. Use it in place of
/// boost::leaf::try_handle_some, which propagates the original error and drops the one that its
/// handler fails with.
template <class Operation, class Recover>
auto recoverError (Operation&& operation, Recover&& recover) -> decltype (operation())
{
    using Outcome = decltype (operation());
    std::optional<Error> failure;
    Outcome outcome = boost::leaf::try_handle_some (std::forward<Operation> (operation),
                                                    [&] (const Error& error) -> Outcome
                                                    {
                                                        failure = error;
                                                        return boost::leaf::new_error();
                                                    });
    if (failure)
        return recover (*failure);
    return outcome;
}

}  // namespace fernlift::base
