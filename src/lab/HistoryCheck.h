#pragma once

/// Checks the call history against the ledgers of the back ends, and routers for leftover requests.
/// The ledgers are fetched elsewhere.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "lab/CallRecord.h"

namespace fernlift::lab
{

/// One run of a request at one back end.
struct LedgerRun
{
    std::string node;  ///< Name of the back end.
    std::string requestId;
    std::string idempotencyKey;
    std::string target;
};

/// Parses the answer of GET /standin/ledger; fails with kMessageInvalid.
[[nodiscard]] base::Result<std::vector<LedgerRun>> parseLedger (const std::string& node,
                                                                std::string_view json);

/// Returns the SHA-256 of the text that a complete answer to the call has.
using ExpectedDigest = std::function<std::string (const CallRecord&)>;

struct CheckOptions
{
    /// True when routers or callers were killed, so that calls may end without an answer.
    bool allowsBrokenCalls = false;
    /// True when no back end was killed, so that the ledgers contain every run.
    bool isLedgerComplete = true;
};

enum class ViolationKind : std::uint8_t
{
    kNoFinalAnswer,     ///< The call ended without a complete answer or an error answer.
    kAnsweredTwice,     ///< Two calls of the history have the same request id.
    kWrongText,         ///< A complete answer has another text than expected.
    kNotRunButRan,      ///< An answer reports "not_run" for a request that a back end ran.
    kKeyRanTwice,       ///< Requests with the same idempotency key ran more than once.
    kExecutionMissing,  ///< An error answer does not report whether the request ran.
    kRanNowhere,        ///< A request has a complete answer, but no back end ran it.
    kRequestLeft,       ///< An idle router still holds a request or its counters do not add up.
};

[[nodiscard]] std::string_view toString (ViolationKind kind);

struct Violation
{
    ViolationKind kind = ViolationKind::kNoFinalAnswer;
    std::string requestId;
    std::string detail;
};

/// Returns all violations.
[[nodiscard]] std::vector<Violation> checkHistory (const std::vector<CallRecord>& history,
                                                   const std::vector<LedgerRun>& ledger,
                                                   const ExpectedDigest& expectedDigest,
                                                   const CheckOptions& options);

/// Returns the violations of a router that should be idle: for every admitted request the router
/// must have sent an answer or a refusal or the caller must have disconnected, and none may wait.
/// `metrics` is the text of the router's /metrics.
[[nodiscard]] std::vector<Violation> checkIdleRouter (const std::string& router,
                                                      std::string_view metrics);

/// Digest of the answer that a stand-in gives to the call.
[[nodiscard]] std::string standinAnswerDigest (const CallRecord& call);

}  // namespace fernlift::lab
