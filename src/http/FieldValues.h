#pragma once

/** Parses values of header fields. Pure. */

#include <optional>
#include <string_view>

namespace fernlift::http
{

/** Parses a finite decimal number without a sign, optionally surrounded by blanks. */
[[nodiscard]] std::optional<double> parseDecimal (std::string_view text);

}  // namespace fernlift::http
