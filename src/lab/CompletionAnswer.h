#pragma once

/// Parses the body of a completions answer and decides whether it is complete.

#include <cstdint>
#include <string>
#include <string_view>

namespace fernlift::lab
{

/// Content of an answer's body.
struct CompletionAnswer
{
    std::string text;
    /// True for a stream whose last event was [DONE] and whose token offsets had neither gap nor
    /// repetition, and for a plain answer that was one JSON object with choices.
    bool isComplete = false;
    std::uint64_t events = 0;  ///< Number of events of a stream, without [DONE].
    std::string errorKind;     ///< Kind in the error object; empty if there is none.
    std::string execution;     ///< Execution in the error object.
};

[[nodiscard]] CompletionAnswer readPlainAnswer (std::string_view body);
/// Parses a stream of server-sent events.
[[nodiscard]] CompletionAnswer readStreamedAnswer (std::string_view body);
/// Kind and execution of an error body; both empty when the body is no error.
[[nodiscard]] CompletionAnswer readErrorAnswer (std::string_view body);

}  // namespace fernlift::lab
