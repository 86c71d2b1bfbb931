#pragma once

/// Division of a prompt into the blocks that prefix caches keep. Engines name blocks by these
/// hashes in cache events, so routers can compare them with the prompts they see.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fernlift::engine
{

/// Bytes of prompt text in one cached block.
constexpr std::size_t kPromptBlockBytes = 64;

/// Prompt text of one message of a chat: "role: content" and a line feed. The prompt of a chat is
/// the texts of its messages, one after the other.
[[nodiscard]] std::string chatMessageText (std::string_view role, std::string_view content);

/// Hashes of the whole blocks of `prompt`, in order, below 2^53. Each hash covers all text up to
/// the end of its block; text after the last whole block has none. At most `maximumBlocks`.
[[nodiscard]] std::vector<std::uint64_t> promptBlockHashes (std::string_view prompt,
                                                            std::size_t maximumBlocks = 1024);

}  // namespace fernlift::engine
