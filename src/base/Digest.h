#pragma once

/// Digests of bytes: a cryptographic hash that identifies contents, a checksum that detects damage,
/// and a hash by which all processes and versions make the same selection.

#include <cstdint>
#include <string>
#include <string_view>

namespace fernlift::base
{

/// SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256Hex (std::string_view bytes);
/// CRC-32 of `bytes`; detects accidental damage, not tampering.
[[nodiscard]] std::uint32_t crc32 (std::string_view bytes);
/// 64-bit hash that is the same in every process and version of fernlift.
[[nodiscard]] std::uint64_t stableHash (std::string_view bytes);

}  // namespace fernlift::base
