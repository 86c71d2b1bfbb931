#include "base/Error.h"

#include <array>
#include <cstddef>

namespace fernlift::base
{
namespace
{

constexpr int kExitUsage = 2;
constexpr int kExitInvalidInput = 3;
constexpr int kExitConflict = 4;
constexpr int kExitUnavailable = 5;
constexpr int kExitStorage = 6;
constexpr int kExitNotFound = 7;
constexpr int kExitInternal = 70;

using enum ErrorKind;
using enum Execution;

constexpr std::array kTable{
    ErrorTraits{ kInvalidRequest, "invalid_request", 400, kNotRun, false, kExitInvalidInput,
                 "The request is malformed or lacks a required field." },
    ErrorTraits{
        kUnsupportedFraming, "unsupported_framing", 400, kNotRun, false, kExitInvalidInput,
        "The request carries both Content-Length and Transfer-Encoding, or an encoding that "
        "is not supported." },
    ErrorTraits{ kBodyTooLarge, "body_too_large", 413, kNotRun, false, kExitInvalidInput,
                 "The body is larger than the configured limit." },
    ErrorTraits{ kHeaderTooLarge, "header_too_large", 431, kNotRun, false, kExitInvalidInput,
                 "The header block is larger than the configured limit." },
    ErrorTraits{ kRequestTimeout, "request_timeout", 408, kNotRun, true, kExitUnavailable,
                 "The request was sent too slowly." },
    ErrorTraits{ kNotFound, "not_found", 404, kNotRun, false, kExitNotFound, "No such resource." },
    ErrorTraits{ kMethodNotAllowed, "method_not_allowed", 405, kNotRun, false, kExitUsage,
                 "The resource does not take this method." },
    ErrorTraits{ kModelNotFound, "model_not_found", 404, kNotRun, false, kExitNotFound,
                 "The configuration in force names no such model, adapter or application." },
    ErrorTraits{ kIdempotencyKeyRequired, "idempotency_key_required", 400, kNotRun, false,
                 kExitInvalidInput,
                 "Requests of this class may not be repeated and must carry an Idempotency-Key." },
    ErrorTraits{ kIdempotencyKeyConflict, "idempotency_key_conflict", 409, kNotRun, false,
                 kExitConflict, "The key was used before for a different request." },
    ErrorTraits{ kIdempotencyWindowPassed, "idempotency_window_passed", 409, kNotRun, false,
                 kExitConflict, "The request is older than the window in which keys are kept." },
    ErrorTraits{ kAlreadyRun, "already_run", 409, kRan, false, kExitConflict,
                 "The request with this key was performed; this repetition was not." },
    ErrorTraits{ kKeyUnknown, "key_unknown", 401, kNotRun, false, kExitInvalidInput,
                 "The request carries no API key that a tenant holds." },
    ErrorTraits{ kQueueFull, "queue_full", 429, kNotRun, true, kExitUnavailable,
                 "Too many requests wait for this model or class." },
    ErrorTraits{ kQuotaExceeded, "quota_exceeded", 429, kNotRun, true, kExitUnavailable,
                 "The tenant has used up its quota." },
    ErrorTraits{ kDeadlineUnreachable, "deadline_unreachable", 503, kNotRun, true, kExitUnavailable,
                 "The request cannot be served before its deadline." },
    ErrorTraits{ kDeadlinePassed, "deadline_passed", 504, kNotRun, true, kExitUnavailable,
                 "The deadline passed while the request waited." },
    ErrorTraits{ kNoCapacity, "no_capacity", 503, kNotRun, true, kExitUnavailable,
                 "No runner may hold the model now." },
    ErrorTraits{ kLoadFailed, "load_failed", 503, kNotRun, true, kExitUnavailable,
                 "The model could not be loaded." },
    ErrorTraits{ kStopping, "stopping", 503, kNotRun, true, kExitUnavailable,
                 "This router is stopping; another one serves the request." },
    ErrorTraits{ kLeaseExpired, "lease_expired", 503, kNotRun, true, kExitUnavailable,
                 "This router cannot confirm that its configuration is in force." },
    ErrorTraits{ kRetryBudgetSpent, "retry_budget_spent", 503, kNotRun, true, kExitUnavailable,
                 "Too large a part of the traffic consists of retries." },
    ErrorTraits{ kTooManyConnections, "too_many_connections", 503, kNotRun, true, kExitUnavailable,
                 "The limit on open connections is reached." },
    ErrorTraits{ kUpstreamUnreachable, "upstream_unreachable", 502, kNotRun, true, kExitUnavailable,
                 "No connection to the back end could be opened." },
    ErrorTraits{ kUpstreamRefused, "upstream_refused", 503, kNotRun, true, kExitUnavailable,
                 "The back end said that it did not take the request." },
    ErrorTraits{ kUpstreamBroken, "upstream_broken", 502, kUnknown, false, kExitUnavailable,
                 "The connection to the back end broke before the answer was whole." },
    ErrorTraits{ kUpstreamTimeout, "upstream_timeout", 504, kUnknown, false, kExitUnavailable,
                 "The back end did not answer in time." },
    ErrorTraits{ kOutcomeUnknown, "outcome_unknown", 502, kUnknown, false, kExitUnavailable,
                 "The request may not be repeated, and whether it was performed is not known." },
    ErrorTraits{ kRequestQuarantined, "request_quarantined", 502, kUnknown, false, kExitUnavailable,
                 "Back ends ended one after the other while they worked on this request, or on "
                 "requests with a part of its prompt; it is passed on to no other." },
    ErrorTraits{ kCallerGone, "caller_gone", 499, kUnknown, false, kExitUnavailable,
                 "The caller closed the connection before the answer." },
    ErrorTraits{ kNotLeader, "not_leader", 503, kNotRun, true, kExitUnavailable,
                 "This controller does not lead the cell." },
    ErrorTraits{ kNoQuorum, "no_quorum", 503, kUnknown, true, kExitUnavailable,
                 "A majority of the controllers could not confirm the change in time." },
    ErrorTraits{ kConfigurationInvalid, "configuration_invalid", 422, kNotRun, false,
                 kExitInvalidInput, "The configuration file is not valid." },
    ErrorTraits{ kConfigurationConflict, "configuration_conflict", 409, kNotRun, false,
                 kExitConflict, "Another file with the same version is already in force." },
    ErrorTraits{ kConfigurationStale, "configuration_stale", 409, kNotRun, false, kExitConflict,
                 "A file with a higher version is already in force." },
    ErrorTraits{ kMembershipChangeRefused, "membership_change_refused", 409, kNotRun, true,
                 kExitConflict, "The controllers cannot be changed in this way now." },
    ErrorTraits{ kFenceStale, "fence_stale", 409, kNotRun, false, kExitConflict,
                 "The order is older than one already taken." },
    ErrorTraits{ kIncarnationMismatch, "incarnation_mismatch", 409, kNotRun, false, kExitConflict,
                 "The order names an earlier start of the runner." },
    ErrorTraits{ kInsufficientMemory, "insufficient_memory", 507, kNotRun, true, kExitUnavailable,
                 "The runner lacks the memory for the order." },
    ErrorTraits{ kSettingsInvalid, "settings_invalid", 400, kNotRun, false, kExitInvalidInput,
                 "A setting is unknown, of the wrong type or out of range." },
    ErrorTraits{ kUsage, "usage", 400, kNotRun, false, kExitUsage,
                 "The command line is not understood." },
    ErrorTraits{ kStorageCorrupt, "storage_corrupt", 500, kNotRun, false, kExitStorage,
                 "A stored record before the end of the log is damaged." },
    ErrorTraits{ kStorageFull, "storage_full", 507, kNotRun, true, kExitStorage,
                 "The disk is full." },
    ErrorTraits{ kStorageFailed, "storage_failed", 500, kUnknown, false, kExitStorage,
                 "A read, write or sync of the data folder failed." },
    ErrorTraits{ kStorageLocked, "storage_locked", 500, kNotRun, true, kExitStorage,
                 "Another process uses the data folder." },
    ErrorTraits{ kStorageFormatUnknown, "storage_format_unknown", 500, kNotRun, false, kExitStorage,
                 "The data folder was written in a format this program does not know." },
    ErrorTraits{ kMessageInvalid, "message_invalid", 400, kNotRun, false, kExitInternal,
                 "A message between fernlift's processes could not be decoded." },
    ErrorTraits{ kConnectionFailed, "connection_failed", 502, kUnknown, true, kExitUnavailable,
                 "A connection between fernlift's processes failed." },
    ErrorTraits{ kInternal, "internal", 500, kUnknown, false, kExitInternal,
                 "A fault of fernlift itself." },
};

constexpr bool isInEnumerationOrder()
{
    for (std::size_t position = 0; position < kTable.size(); ++position)
    {
        if (static_cast<std::size_t> (kTable[position].kind) != position)
            return false;
    }
    return true;
}

static_assert (kTable.size() == static_cast<std::size_t> (kInternal) + 1);
static_assert (isInEnumerationOrder());

}  // namespace

const ErrorTraits& traitsOf (ErrorKind kind) { return kTable[static_cast<std::size_t> (kind)]; }

std::span<const ErrorTraits> allErrorTraits() { return kTable; }

std::string_view toString (Execution execution)
{
    switch (execution)
    {
        case kNotRun:
            return "not_run";
        case kRan:
            return "ran";
        case kUnknown:
            break;
    }
    return "unknown";
}

}  // namespace fernlift::base
