#include "storage/Record.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>

#include "base/Digest.h"

namespace fernlift::storage
{
namespace
{

static_assert (std::endian::native == std::endian::little, "files are little-endian");

/// Disks write whole sectors, so each sector of a torn record is either written or not.
constexpr std::size_t kSectorBytes = 512;
/// "FLR1" in the file.
constexpr std::uint32_t kMagic = 0x31524C46;

struct RecordHeader
{
    std::uint32_t magic = kMagic;
    std::uint32_t formatVersion = kFormatVersion;
    std::uint32_t kind = 0;
    std::uint32_t length = 0;
    std::uint32_t payloadChecksum = 0;
    std::uint32_t headerChecksum = 0;  ///< Checksum of the fields above.
};
static_assert (sizeof (RecordHeader) == kRecordHeaderBytes);

std::string_view checkedPart (const RecordHeader& header)
{
    return { reinterpret_cast<const char*> (&header), offsetof (RecordHeader, headerChecksum) };
}

/// The header at `offset`; nullopt when it is incomplete or damaged.
std::optional<RecordHeader> readHeader (std::string_view bytes, std::size_t offset)
{
    if (offset + kRecordHeaderBytes > bytes.size())
        return std::nullopt;
    RecordHeader header;
    std::memcpy (&header, bytes.data() + offset, kRecordHeaderBytes);
    const bool isValid =
        header.magic == kMagic && header.headerChecksum == base::crc32 (checkedPart (header));
    if (! isValid)
        return std::nullopt;
    return header;
}

/// The payload after the header at `offset`; nullopt when it is incomplete or damaged.
std::optional<std::string_view> readPayload (std::string_view bytes, std::size_t offset,
                                             const RecordHeader& header)
{
    const std::size_t begin = offset + kRecordHeaderBytes;
    if (header.length > bytes.size() - begin)
        return std::nullopt;
    const std::string_view payload = bytes.substr (begin, header.length);
    if (base::crc32 (payload) != header.payloadChecksum)
        return std::nullopt;
    return payload;
}

/// Whether a part of the last record, at `offset`, was never written: its end is missing, or one of
/// its sectors reads as zeros. Any other damage is to a record that was complete, and dropping that
/// record would lose acknowledged writes.
bool isPartMissing (std::string_view bytes, std::size_t offset,
                    const std::optional<RecordHeader>& header)
{
    if (offset + kRecordHeaderBytes > bytes.size())
        return true;
    std::size_t end = bytes.size();
    if (header)
        end = offset + kRecordHeaderBytes + header->length;
    if (end > bytes.size())
        return true;
    while (offset < end)
    {
        const std::size_t sectorEnd = std::min (end, (offset / kSectorBytes + 1) * kSectorBytes);
        const std::string_view sector = bytes.substr (offset, sectorEnd - offset);
        if (sector.find_first_not_of ('\0') == std::string_view::npos)
            return true;
        offset = sectorEnd;
    }
    return false;
}

bool hasWholeRecordAfter (std::string_view bytes, std::size_t offset)
{
    std::array<char, sizeof (kMagic)> magic;
    std::memcpy (magic.data(), &kMagic, sizeof (kMagic));
    const std::string_view pattern (magic.data(), magic.size());
    for (std::size_t found = bytes.find (pattern, offset + 1); found != std::string_view::npos;
         found = bytes.find (pattern, found + 1))
    {
        const auto header = readHeader (bytes, found);
        if (header && readPayload (bytes, found, *header))
            return true;
    }
    return false;
}

}  // namespace

std::string encodeRecord (RecordKind kind, std::string_view payload, std::uint32_t formatVersion)
{
    RecordHeader header;
    header.formatVersion = formatVersion;
    header.kind = static_cast<std::uint32_t> (kind);
    header.length = static_cast<std::uint32_t> (payload.size());
    header.payloadChecksum = base::crc32 (payload);
    header.headerChecksum = base::crc32 (checkedPart (header));
    std::string bytes (reinterpret_cast<const char*> (&header), kRecordHeaderBytes);
    bytes += payload;
    return bytes;
}

ReadRecord readRecord (std::string_view bytes, std::size_t offset)
{
    ReadRecord record;
    if (offset >= bytes.size())
        return record;
    const auto header = readHeader (bytes, offset);
    if (header && header->formatVersion != kFormatVersion)
    {
        record.status = RecordStatus::kFormatUnknown;
        record.formatVersion = header->formatVersion;
        return record;
    }
    const auto payload = header ? readPayload (bytes, offset, *header) : std::nullopt;
    if (! payload)
    {
        const bool isTorn =
            isPartMissing (bytes, offset, header) && ! hasWholeRecordAfter (bytes, offset);
        record.status = isTorn ? RecordStatus::kTorn : RecordStatus::kDamaged;
        return record;
    }
    record.status = RecordStatus::kComplete;
    record.kind = static_cast<RecordKind> (header->kind);
    record.payload = *payload;
    record.nextOffset = offset + kRecordHeaderBytes + payload->size();
    return record;
}

}  // namespace fernlift::storage
