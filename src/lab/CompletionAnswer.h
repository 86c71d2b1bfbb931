#pragma once

/// Reads the body of a completions answer as a caller would.

#include <cstdint>
#include <string>
#include <string_view>

namespace fernlift::lab
{

/// What a caller makes of an answer's body.
struct CompletionAnswer
{
    std::string text;
    /// The last event of a stream was [DONE] and token offsets had neither gap nor repetition; a
    /// plain answer was one JSON object with a text.
    bool isWhole = false;
    std::uint64_t events = 0;  ///< Of a stream, without [DONE].
    std::string errorKind;     ///< Of an error object; empty: none.
    std::string execution;     ///< Of an error object.
};

[[nodiscard]] CompletionAnswer readPlainAnswer (std::string_view body);
/// A stream of server-sent events.
[[nodiscard]] CompletionAnswer readStreamedAnswer (std::string_view body);
/// Kind and execution of an error body; both empty when the body is no error.
[[nodiscard]] CompletionAnswer readErrorAnswer (std::string_view body);

}  // namespace fernlift::lab
