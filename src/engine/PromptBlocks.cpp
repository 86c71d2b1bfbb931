#include "engine/PromptBlocks.h"

#include <algorithm>
#include <string>

#include "base/Digest.h"
#include "engine/JsonFields.h"

namespace fernlift::engine
{

std::string chatMessageText (std::string_view role, std::string_view content)
{
    std::string text (role);
    text.append (": ").append (content).append ("\n");
    return text;
}

std::vector<std::uint64_t> promptBlockHashes (std::string_view prompt, std::size_t maximumBlocks)
{
    const std::size_t count = std::min (prompt.size() / kPromptBlockBytes, maximumBlocks);
    std::vector<std::uint64_t> hashes;
    hashes.reserve (count);
    std::uint64_t previous = 0;
    for (std::size_t index = 0; index < count; ++index)
    {
        std::string input = std::to_string (previous) + ":";
        input += prompt.substr (index * kPromptBlockBytes, kPromptBlockBytes);
        previous = base::stableHash (input) & kMaxJsonInteger;
        hashes.push_back (previous);
    }
    return hashes;
}

}  // namespace fernlift::engine
