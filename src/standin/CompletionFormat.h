#pragma once

/// Parses and writes the JSON of the completions API for an engine.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"

namespace fernlift::standin
{

/// Fields of a request body that the engine uses.
struct CompletionRequest
{
    bool isChat = true;
    std::string model;
    std::string prompt;  ///< For chat requests the result of chatPrompt().
    std::uint64_t maxTokens = 16;
    bool isStreaming = false;
};

struct ChatMessage
{
    std::string role;
    std::string content;
};

/// Returns the prompt of a chat: "role: content" and a line feed for each message.
[[nodiscard]] std::string chatPrompt (const std::vector<ChatMessage>& messages);

/// Parses a body of /v1/chat/completions (isChat) or /v1/completions; fails with kMessageInvalid.
[[nodiscard]] base::Result<CompletionRequest> parseCompletion (std::string_view json, bool isChat);

/// Returns a server-sent event with a part of the answer.
[[nodiscard]] std::string streamEvent (const CompletionRequest& request, const std::string& id,
                                       std::uint64_t offset, const std::string& text);
/// Returns the event that ends a complete stream.
[[nodiscard]] std::string lastStreamEvent();
/// Returns the body of an answer that is not streamed.
[[nodiscard]] std::string wholeAnswer (const CompletionRequest& request, const std::string& id,
                                       const std::string& text, std::uint64_t tokens);

}  // namespace fernlift::standin
