#pragma once

/**
 * Compression of large texts that several processes get, such as the operator's file: it shrinks to
 * about a tenth, and machines with slow links and little processor time handle each of them.
 */

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fernlift::base
{

/** Below this, compressing takes longer than sending the bytes as they are. */
constexpr std::size_t kWorthCompressing = 4096;

/** Compressed bytes, by zlib at its fastest level. Equal inputs give equal outputs. */
[[nodiscard]] std::string compress (std::string_view bytes);

/** Inverse of compress(); nothing when the bytes are damaged or state more than `maximumBytes`. */
[[nodiscard]] std::optional<std::string> decompress (std::string_view compressed,
                                                     std::size_t maximumBytes);

}  // namespace fernlift::base
