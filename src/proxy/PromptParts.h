#pragma once

/// Reads the list of a prompt's parts, each ID:TOKENS, separated by commas.

#include <cstdint>
#include <string>
#include <string_view>

namespace fernlift::proxy
{

/// The parts but the last, which is the request's own; empty when there is only one.
[[nodiscard]] std::string sharedParts (const std::string& parts);
/// Tokens of all parts; a part without a number counts as none.
[[nodiscard]] std::uint64_t tokensOf (std::string_view parts);

}  // namespace fernlift::proxy
