#pragma once

/// History of callers: one record a call, kept as JSON lines.

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

/// One call of a caller and how it ended.
struct CallRecord
{
    std::string requestId;
    std::string idempotencyKey;  ///< Empty: none.
    std::string requestClass;    ///< As the load was told; for the report.
    CallKind kind = CallKind::kChat;
    std::string target;  ///< Model, adapter or application.
    std::string router;  ///< "ip:port" that was called.
    std::string prompt;  ///< Text of the request.
    std::uint64_t maxTokens = 0;
    bool isStreaming = false;
    std::int64_t sentMicroseconds = 0;  ///< Since the start of the load.
    std::int64_t firstByteMicroseconds =
        0;                             ///< From sending to the first byte of the body; 0: none.
    std::int64_t endMicroseconds = 0;  ///< From sending to the end.
    CallEnd end = CallEnd::kBroken;
    int status = 0;
    std::string execution;       ///< "not_run", "ran" or "unknown".
    std::string errorKind;       ///< Of an error answer or a terminating error event; empty: none.
    std::string textDigest;      ///< SHA-256 of the answer's text; of an application: of its body.
    bool isAnswerWhole = false;  ///< The answer ended as its protocol says, without an error.
    /// Refused by a router that cannot serve now, and made again at another one: a call of its own.
    bool isResent = false;

    bool operator== (const CallRecord&) const = default;
};

/// One line, without the line end.
[[nodiscard]] std::string toJsonLine (const CallRecord& record);
/// Fails with kMessageInvalid, naming the line.
[[nodiscard]] base::Result<std::vector<CallRecord>> parseHistory (std::string_view jsonLines);
/// Reads a file; fails with kInvalidRequest when it cannot be read.
[[nodiscard]] base::Result<std::vector<CallRecord>> readHistory (const std::string& path);
[[nodiscard]] base::Result<void> writeHistory (const std::string& path,
                                               const std::vector<CallRecord>& records);

}  // namespace fernlift::lab
