#pragma once

/// Record of one call as observed by its caller, and the call history as JSON lines.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "lab/HttpCall.h"

namespace fernlift::lab
{

enum class CallKind : std::uint8_t
{
    kChat,         ///< POST /v1/chat/completions
    kApplication,  ///< POST /apps/NAME/...
};

/// One call and its outcome.
struct CallRecord
{
    std::string requestId;
    std::string idempotencyKey;  ///< Empty when the call has none.
    std::string requestClass;    ///< Class under which the report counts the call.
    CallKind kind = CallKind::kChat;
    std::string target;  ///< Name of the model, adapter or application.
    std::string router;  ///< Address of the called router as "ip:port".
    std::string prompt;  ///< Text of the chat message, or body of an application call.
    std::uint64_t maxTokens = 0;
    bool isStreaming = false;
    std::int64_t sentMicroseconds = 0;       ///< Time of sending since the start of the load.
    std::int64_t firstByteMicroseconds = 0;  ///< Time to the first byte of the body; 0 if none.
    std::int64_t endMicroseconds = 0;        ///< Time from sending to the end of the call.
    CallEnd end = CallEnd::kBroken;
    int status = 0;
    std::string execution;          ///< "not_run", "ran" or "unknown".
    std::string errorKind;          ///< Kind in an error answer or error event; empty if none.
    std::string textDigest;         ///< SHA-256 of the answer's text, or of an application's body.
    bool isAnswerComplete = false;  ///< Ended as the protocol requires, without an error.
    /// True for a call that a router refused because it cannot serve now. The repetition at another
    /// router has a record of its own.
    bool isResent = false;

    bool operator== (const CallRecord&) const = default;
};

/// Formats a record as one line without the line end.
[[nodiscard]] std::string toJsonLine (const CallRecord& record);
/// Parses JSON lines. Fails with kMessageInvalid and the number of the line that is no record.
[[nodiscard]] base::Result<std::vector<CallRecord>> parseHistory (std::string_view jsonLines);
/// Reads a file; fails with kInvalidRequest when it cannot be read.
[[nodiscard]] base::Result<std::vector<CallRecord>> readHistory (const std::string& path);
[[nodiscard]] base::Result<void> writeHistory (const std::string& path,
                                               const std::vector<CallRecord>& records);

}  // namespace fernlift::lab
