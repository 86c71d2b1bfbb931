#pragma once

/// Division of a prompt into the blocks of prefix caches. Engines identify blocks by these hashes
/// in cache events; routers compute the same hashes for the prompts of requests.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fernlift::engine
{

/// Size of a cached block in bytes of prompt text.
constexpr std::size_t kPromptBlockBytes = 64;

/// Prompt text of one chat message: "role: content" and a line feed. The prompt of a chat is the
/// concatenation of the texts of its messages.
[[nodiscard]] std::string chatMessageText (std::string_view role, std::string_view content);

/// Hashes, below 2^53, of the complete blocks of `prompt` in order, at most `maximumBlocks`. Each
/// hash covers all text up to the end of its block; an incomplete last block has no hash.
[[nodiscard]] std::vector<std::uint64_t> promptBlockHashes (std::string_view prompt,
                                                            std::size_t maximumBlocks = 1024);

}  // namespace fernlift::engine
