// Recovery of a data folder when the process starts.

#include <algorithm>
#include <utility>

#include "storage/FileNames.h"
#include "storage/FileStorage.h"
#include "storage/Record.h"
#include "wire/Codec.h"

namespace fernlift::storage
{
namespace
{

boost::leaf::error_id corrupt (const std::string& path, const std::string& problem)
{
    return base::fail (base::ErrorKind::kStorageCorrupt,
                       path + ": " + problem + "; this member must be replaced by a new one");
}

boost::leaf::error_id formatUnknown (const std::string& path, std::uint32_t version)
{
    return base::fail (base::ErrorKind::kStorageFormatUnknown,
                       path + " has format " + std::to_string (version) + "; this program knows "
                           + std::to_string (kFormatVersion));
}

/// The payload of a file's first record. It must be complete, because the file was synced before it
/// was renamed to its final name.
base::Result<std::string_view> requireRecord (const std::string& path, std::string_view bytes,
                                              RecordKind kind)
{
    const ReadRecord record = readRecord (bytes, 0);
    if (record.status == RecordStatus::kFormatUnknown)
    {
        return formatUnknown (path, record.formatVersion);
    }
    if (record.status != RecordStatus::kComplete || record.kind != kind)
    {
        return corrupt (path, "its first record is damaged or of the wrong type");
    }
    return record.payload;
}

template <class Value>
base::Result<Value> decodePayload (const std::string& path, std::string_view payload)
{
    return base::recoverError (
        [&] { return wire::decodeValue<Value> (payload); },
        [&] (const base::Error& error) -> base::Result<Value>
        { return corrupt (path, "a record cannot be decoded: " + error.message); });
}

base::Result<SegmentHeader> readSegmentHeader (const std::string& path, std::string_view bytes)
{
    BOOST_LEAF_AUTO (payload, requireRecord (path, bytes, RecordKind::kSegmentHeader));
    return decodePayload<SegmentHeader> (path, payload);
}

}  // namespace

base::Result<void> FileStorage::readIdentity()
{
    BOOST_LEAF_AUTO (names, m_files.listFolder (m_folder));
    const bool isNew = std::find (names.begin(), names.end(), kIdentityName) == names.end();
    if (isNew)
        return {};
    const std::string path = pathOf (kIdentityName);
    BOOST_LEAF_AUTO (bytes, m_files.readFile (path));
    BOOST_LEAF_AUTO (payload, requireRecord (path, bytes, RecordKind::kIdentity));
    BOOST_LEAF_ASSIGN (m_memberId, decodePayload<std::uint64_t> (path, payload));
    return {};
}

base::Result<Recovered> FileStorage::recover()
{
    if (m_memberId != 0)
        return recoverInitialized();
    BOOST_LEAF_CHECK (checkUnused());
    return Recovered{};
}

/// Checks that a folder without an identity holds no log. An initialisation that was interrupted
/// may have left the first segment with only its header; anything more means that the identity was
/// lost.
base::Result<void> FileStorage::checkUnused() const
{
    BOOST_LEAF_AUTO (names, m_files.listFolder (m_folder));
    const auto isUsed = [] (const std::string& name)
    {
        const auto number = segmentNumberOf (name);
        return snapshotIndexOf (name).has_value() || (number.has_value() && *number > 1);
    };
    if (std::any_of (names.begin(), names.end(), isUsed))
    {
        return corrupt (m_folder, "it holds a log but no identity");
    }
    const std::string first = segmentName (1);
    if (std::find (names.begin(), names.end(), first) == names.end())
        return {};
    BOOST_LEAF_AUTO (bytes, m_files.readFile (pathOf (first)));
    const ReadRecord header = readRecord (bytes, 0);
    const bool hasRecords =
        header.status == RecordStatus::kComplete && header.nextOffset < bytes.size();
    if (hasRecords)
        return corrupt (m_folder, "it holds a log but no identity");
    return {};
}

base::Result<Recovered> FileStorage::recoverInitialized()
{
    BOOST_LEAF_AUTO (names, m_files.listFolder (m_folder));
    Recovered recovered;
    recovered.memberId = m_memberId;
    BOOST_LEAF_CHECK (recoverSegments (segmentNumbers (names), recovered.tornBytesCut));
    recovered.hardState = m_image.hardState();
    recovered.entries = m_image.entries();
    recovered.snapshot.lastIndex = m_image.snapshotIndex();
    if (m_image.snapshotIndex() > 0)
    {
        BOOST_LEAF_ASSIGN (recovered.snapshot.data, readSnapshot());
    }
    BOOST_LEAF_CHECK (removeLeftovers());
    m_isReady = true;
    return recovered;
}

base::Result<void> FileStorage::recoverSegments (const std::vector<std::uint64_t>& numbers,
                                                 std::uint64_t& tornBytes)
{
    BOOST_LEAF_ASSIGN (m_checkpointNumber, findCheckpoint (numbers));
    m_segmentNumber = m_checkpointNumber - 1;
    for (const std::uint64_t number : numbers)
    {
        if (number < m_checkpointNumber)
            continue;
        if (number != m_segmentNumber + 1)
        {
            return corrupt (m_folder, segmentName (m_segmentNumber + 1) + " is missing");
        }
        const bool isLast = number == numbers.back();
        BOOST_LEAF_ASSIGN (tornBytes, replaySegment (number, isLast));
        m_segmentNumber = number;
    }
    BOOST_LEAF_ASSIGN (m_segment,
                       m_files.open (pathOf (segmentName (m_segmentNumber)), OpenMode::kAppend));
    if (tornBytes > 0)
        BOOST_LEAF_CHECK (m_segment->truncate (m_segmentSize));
    // A process that was killed may have left bytes and names that are not synced. The recovered
    // state depends on them from here on, so they must be durable.
    BOOST_LEAF_CHECK (m_segment->sync());
    return m_files.syncFolder (m_folder);
}

/// Number of the last checkpoint segment.
base::Result<std::uint64_t> FileStorage::findCheckpoint (
    const std::vector<std::uint64_t>& numbers) const
{
    for (auto number = numbers.rbegin(); number != numbers.rend(); ++number)
    {
        const std::string path = pathOf (segmentName (*number));
        BOOST_LEAF_AUTO (bytes, m_files.readFile (path));
        BOOST_LEAF_AUTO (header, readSegmentHeader (path, bytes));
        if (header.number != *number)
            return corrupt (path, "the number in its header does not match its file name");
        if (header.isCheckpoint)
            return *number;
    }
    return corrupt (m_folder, "the log has no checkpoint segment to start from");
}

/// Replays a segment and returns the number of bytes of an incomplete record at its end.
base::Result<std::uint64_t> FileStorage::replaySegment (std::uint64_t number, bool isLast)
{
    const std::string path = pathOf (segmentName (number));
    BOOST_LEAF_AUTO (bytes, m_files.readFile (path));
    BOOST_LEAF_AUTO (header, readSegmentHeader (path, bytes));
    if (header.isCheckpoint)
        BOOST_LEAF_CHECK (m_image.load (header));

    m_segmentSize = readRecord (bytes, 0).nextOffset;
    while (true)
    {
        const ReadRecord record = readRecord (bytes, m_segmentSize);
        const std::string place = " at offset " + std::to_string (m_segmentSize);
        if (record.status == RecordStatus::kEnd)
            return std::uint64_t{ 0 };
        if (record.status == RecordStatus::kFormatUnknown)
        {
            return formatUnknown (path, record.formatVersion);
        }
        if (record.status == RecordStatus::kTorn && isLast)
            return bytes.size() - m_segmentSize;
        if (record.status != RecordStatus::kComplete || record.kind != RecordKind::kBatches)
        {
            return corrupt (path, "damaged record" + place);
        }
        BOOST_LEAF_AUTO (batches, decodePayload<BatchesRecord> (path, record.payload));
        for (const BatchRecord& batch : batches.batches)
            BOOST_LEAF_CHECK (m_image.apply (batch));
        m_segmentSize = record.nextOffset;
    }
}

base::Result<std::string> FileStorage::readSnapshot() const
{
    const std::string path = pathOf (snapshotName (m_image.snapshotIndex()));
    BOOST_LEAF_AUTO (bytes, m_files.readFile (path));
    BOOST_LEAF_AUTO (payload, requireRecord (path, bytes, RecordKind::kSnapshot));
    return std::string (payload);
}

/// Removes temporary files, and segments and snapshots that the last checkpoint replaced.
base::Result<void> FileStorage::removeLeftovers()
{
    BOOST_LEAF_AUTO (names, m_files.listFolder (m_folder));
    for (const std::uint64_t number : segmentNumbers (names))
    {
        if (number < m_checkpointNumber)
            BOOST_LEAF_CHECK (m_files.removeFile (pathOf (segmentName (number))));
    }
    for (const std::string& name : names)
    {
        const auto index = snapshotIndexOf (name);
        const bool isOldSnapshot = index.has_value() && *index != m_image.snapshotIndex();
        if (isOldSnapshot || isTemporary (name))
            BOOST_LEAF_CHECK (m_files.removeFile (pathOf (name)));
    }
    return {};
}

}  // namespace fernlift::storage
