#pragma once

/// Checksummed records, the unit of every file in the data folder. Each record is synced before the
/// next one is begun, so only the last one of a file can be unfinished.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fernlift::storage
{

/// Version of the format of all files in the data folder.
constexpr std::uint32_t kFormatVersion = 2;

/// What a record is.
enum class RecordKind : std::uint32_t
{
    kIdentity = 1,       ///< Member whose folder this is.
    kSegmentHeader = 2,  ///< First record of a segment.
    kBatches = 3,        ///< Changes written together.
    kSnapshot = 4,       ///< A stored snapshot.
};

constexpr std::size_t kRecordHeaderBytes = 24;

/// Header (magic, format version, kind, length, checksum of the payload, checksum of the header)
/// and payload.
[[nodiscard]] std::string encodeRecord (RecordKind kind, std::string_view payload,
                                        std::uint32_t formatVersion = kFormatVersion);

enum class RecordVerdict : std::uint8_t
{
    kWhole,
    kEnd,            ///< Nothing is left.
    kTorn,           ///< The last one, and a part of it was never written.
    kDamaged,        ///< Was complete once: a whole record follows it, or no part of it is missing.
    kFormatUnknown,  ///< A whole header of another format version.
};

struct ReadRecord
{
    RecordVerdict verdict = RecordVerdict::kEnd;
    RecordKind kind = RecordKind::kBatches;
    std::string_view payload;
    std::size_t nextOffset = 0;  ///< Valid for a whole record.
    std::uint32_t formatVersion = 0;
};

/// The record at `offset` of a file's bytes.
[[nodiscard]] ReadRecord readRecord (std::string_view bytes, std::size_t offset);

}  // namespace fernlift::storage
