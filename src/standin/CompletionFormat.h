#pragma once

/// JSON of the completions API as an engine reads and writes it.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"

namespace fernlift::standin
{

/// What the engine needs of a request body.
struct CompletionRequest
{
    bool isChat = true;
    std::string model;
    std::string prompt;  ///< For chat the messages as chatPrompt() joins them.
    std::uint64_t maxTokens = 16;
    bool isStreaming = false;
};

struct ChatMessage
{
    std::string role;
    std::string content;
};

/// The prompt that stands for a chat: "role: content" and a line feed for each message.
[[nodiscard]] std::string chatPrompt (const std::vector<ChatMessage>& messages);

/// Reads a body of /v1/chat/completions (isChat) or /v1/completions; fails with kMessageInvalid.
[[nodiscard]] base::Result<CompletionRequest> parseCompletion (std::string_view json, bool isChat);

/// One server-sent event with part of the answer.
[[nodiscard]] std::string streamEvent (const CompletionRequest& request, const std::string& id,
                                       std::uint64_t offset, const std::string& text);
/// The event that ends a whole stream.
[[nodiscard]] std::string lastStreamEvent();
/// The body of a whole answer.
[[nodiscard]] std::string wholeAnswer (const CompletionRequest& request, const std::string& id,
                                       const std::string& text, std::uint64_t tokens);

}  // namespace fernlift::standin
