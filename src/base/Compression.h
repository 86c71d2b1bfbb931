#pragma once

/**
 * Compression of large texts that are sent to several processes, such as the operator's
 * configuration file. Such a file shrinks to about a tenth. Each copy is handled by machines with
 * slow links and little processor time.
 */

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fernlift::base
{

/** Smallest input in bytes to compress; below it, compressing takes longer than sending the bytes
    uncompressed. */
constexpr std::size_t kCompressionThreshold = 4096;

/** Compresses with zlib at its fastest level. Equal inputs give equal outputs. */
[[nodiscard]] std::string compress (std::string_view bytes);

/** Inverse of compress(); nullopt when the bytes are damaged or declare a size above
 * `maximumBytes`.
 */
[[nodiscard]] std::optional<std::string> decompress (std::string_view compressed,
                                                     std::size_t maximumBytes);

}  // namespace fernlift::base
