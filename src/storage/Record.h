#pragma once

/// Checksummed records, of which every file in the data folder consists. Each record is synced
/// before the next one is started, so only the last one of a file can be incomplete.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fernlift::storage
{

/// Version of the format of all files in the data folder.
constexpr std::uint32_t kFormatVersion = 2;

/// Type of a record.
enum class RecordKind : std::uint32_t
{
    kIdentity = 1,       ///< Identity of the member that owns the folder.
    kSegmentHeader = 2,  ///< First record of a segment.
    kBatches = 3,        ///< Batches of changes written together.
    kSnapshot = 4,       ///< A stored snapshot.
};

constexpr std::size_t kRecordHeaderBytes = 24;

/// Encodes a record: header (magic, format version, kind, length, checksum of the payload, checksum
/// of the header), then payload.
[[nodiscard]] std::string encodeRecord (RecordKind kind, std::string_view payload,
                                        std::uint32_t formatVersion = kFormatVersion);

enum class RecordStatus : std::uint8_t
{
    kComplete,  ///< Complete, with valid checksums.
    kEnd,       ///< No bytes are left.
    kTorn,      ///< The last record, a part of which was never written.
    kDamaged,   ///< Corrupted after it was complete: a valid record follows, or no part is missing.
    kFormatUnknown,  ///< A valid header of another format version.
};

struct ReadRecord
{
    RecordStatus status = RecordStatus::kEnd;
    RecordKind kind = RecordKind::kBatches;
    std::string_view payload;
    std::size_t nextOffset = 0;  ///< Offset after the record; set for kComplete only.
    std::uint32_t formatVersion = 0;
};

/// Reads the record at `offset` of a file's contents.
[[nodiscard]] ReadRecord readRecord (std::string_view bytes, std::size_t offset);

}  // namespace fernlift::storage
