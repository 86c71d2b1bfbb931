#pragma once

/// Checks of callers' histories against what the back ends ran.

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

/// SHA-256 of the text that a whole answer to the call has.
using ExpectedDigest = std::function<std::string (const CallRecord&)>;

struct CheckOptions
{
    /// The run stopped routers or callers hard, so that calls may end without an answer.
    bool allowsBrokenCalls = false;
    /// The ledgers hold every run: no back end was killed.
    bool isLedgerComplete = true;
};

enum class ViolationKind : std::uint8_t
{
    kNoFinalAnswer,     ///< The call ended without a whole answer or an error answer.
    kAnsweredTwice,     ///< Two calls of the history have the same request id.
    kWrongText,         ///< A whole answer with another text.
    kNotRunButRan,      ///< "not_run" was said of a request that a back end ran.
    kKeyRanTwice,       ///< An idempotency key was run more than once.
    kExecutionMissing,  ///< An error answer that does not say whether it ran.
    kRanNowhere,        ///< A whole answer to a request that no back end ran.
    kRequestLeft,       ///< A router still holds a request, or lost count of one.
};

[[nodiscard]] std::string_view toString (ViolationKind kind);

struct Violation
{
    ViolationKind kind = ViolationKind::kNoFinalAnswer;
    std::string requestId;
    std::string detail;
};

/// All violations. Pure.
[[nodiscard]] std::vector<Violation> checkHistory (const std::vector<CallRecord>& history,
                                                   const std::vector<LedgerRun>& ledger,
                                                   const ExpectedDigest& expectedDigest,
                                                   const CheckOptions& options);

/// Violations of a router that should be idle: every request that it admitted must have been
/// answered, refused or left by its caller, and none may wait. `metrics` is its /metrics. Pure.
[[nodiscard]] std::vector<Violation> checkIdleRouter (const std::string& router,
                                                      std::string_view metrics);

/// Digest of the answers that the stand-ins give.
[[nodiscard]] std::string standinAnswerDigest (const CallRecord& call);

}  // namespace fernlift::lab
