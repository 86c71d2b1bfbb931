#pragma once

/// Parses the list of the parts of a prompt: ID:TOKENS, separated by commas.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fernlift::proxy
{

/// All parts except the last, which is unique to the request; empty with a single part.
[[nodiscard]] std::string sharedParts (const std::string& parts);
/// Ids of all parts except the last, without their numbers of tokens.
[[nodiscard]] std::vector<std::string> sharedPartIds (const std::string& parts);
/// Sum of the tokens of all parts. A part without a number counts as 0.
[[nodiscard]] std::uint64_t tokensOf (std::string_view parts);

}  // namespace fernlift::proxy
