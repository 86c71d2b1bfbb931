#include "storage/FileStorage.h"

#include <utility>

#include "storage/FileNames.h"
#include "storage/Record.h"
#include "wire/Codec.h"

namespace fernlift::storage
{
namespace
{

BatchRecord toRecord (const WriteBatch& batch)
{
    BatchRecord record;
    record.hasHardState = batch.hasHardState;
    record.hardState = batch.hardState;
    record.truncateFrom = batch.truncateFrom;
    for (const StoredEntry& entry : batch.entries)
    {
        record.entries.push_back ({ entry.index, entry.data });
    }
    return record;
}

}  // namespace

base::Result<std::unique_ptr<FileStorage>> FileStorage::open (const std::string& folder,
                                                              std::uint64_t segmentBytes,
                                                              FileSystem& files)
{
    std::unique_ptr<FileStorage> storage (new FileStorage (folder, segmentBytes, files));
    BOOST_LEAF_CHECK (files.createFolder (folder));
    BOOST_LEAF_ASSIGN (storage->m_lock, files.lockFile (storage->pathOf (kLockName)));
    BOOST_LEAF_CHECK (storage->readIdentity());
    return storage;
}

FileStorage::FileStorage (std::string folder, std::uint64_t segmentBytes, FileSystem& files)
    : m_folder (std::move (folder)), m_segmentBytes (segmentBytes), m_files (files)
{
}

base::Result<void> FileStorage::initialize (std::uint64_t memberId)
{
    if (m_memberId != 0 || memberId == 0)
    {
        return base::fail (
            base::ErrorKind::kInternal,
            m_folder
                + " cannot be initialised: it has an identity already, or the new member ID is 0");
    }
    BOOST_LEAF_CHECK (checkUnused());
    m_image = LogImage();
    m_segmentNumber = 0;
    BOOST_LEAF_CHECK (beginSegment (true));
    // The folder's own name must be durable too, even if an earlier start created the folder.
    BOOST_LEAF_CHECK (m_files.syncFolder (parentFolder (m_folder)));
    // The identity is written last: a folder without one counts as empty.
    const std::string payload = wire::encodeValue (memberId);
    BOOST_LEAF_CHECK (replaceFile (m_files, m_folder, kIdentityName,
                                   encodeRecord (RecordKind::kIdentity, payload)));
    m_memberId = memberId;
    m_isReady = true;
    return {};
}

base::Result<void> FileStorage::write (const std::vector<WriteBatch>& batches)
{
    if (! m_isReady)
    {
        return base::fail (
            base::ErrorKind::kStorageFailed,
            m_folder + " accepts no writes: it is not recovered, or an earlier write failed");
    }
    // The state on disk is unknown until the write completes.
    m_isReady = false;
    BOOST_LEAF_CHECK (writeChecked (batches));
    m_isReady = true;
    return {};
}

base::Result<void> FileStorage::writeChecked (const std::vector<WriteBatch>& batches)
{
    BatchesRecord record;
    for (const WriteBatch& batch : batches)
    {
        record.batches.push_back (toRecord (batch));
        BOOST_LEAF_CHECK (m_image.apply (record.batches.back()));
        if (batch.hasSnapshot)
            m_image.applySnapshot (batch.snapshot.lastIndex);
    }
    BOOST_LEAF_AUTO (hasSnapshot, storeSnapshots (batches));
    if (hasSnapshot)
    {
        BOOST_LEAF_CHECK (beginSegment (true));
        return removeLeftovers();
    }
    BOOST_LEAF_CHECK (appendRecord (record));
    if (m_segmentSize > m_segmentBytes)
        return beginSegment (false);
    return {};
}

base::Result<bool> FileStorage::storeSnapshots (const std::vector<WriteBatch>& batches)
{
    const StoredSnapshot* latest = nullptr;
    for (const WriteBatch& batch : batches)
    {
        if (batch.hasSnapshot)
            latest = &batch.snapshot;
    }
    if (latest == nullptr)
        return false;
    const std::string record = encodeRecord (RecordKind::kSnapshot, latest->data);
    BOOST_LEAF_CHECK (replaceFile (m_files, m_folder, snapshotName (latest->lastIndex), record));
    return true;
}

base::Result<void> FileStorage::appendRecord (const BatchesRecord& record)
{
    const std::string bytes = encodeRecord (RecordKind::kBatches, wire::encodeValue (record));
    BOOST_LEAF_CHECK (m_segment->append (bytes));
    BOOST_LEAF_CHECK (m_segment->sync());
    m_segmentSize += bytes.size();
    return {};
}

base::Result<void> FileStorage::beginSegment (bool isCheckpoint)
{
    const std::uint64_t number = m_segmentNumber + 1;
    SegmentHeader header;
    header.number = number;
    if (isCheckpoint)
        header = m_image.makeCheckpoint (number);
    const std::string bytes = encodeRecord (RecordKind::kSegmentHeader, wire::encodeValue (header));
    const std::string name = segmentName (number);
    BOOST_LEAF_CHECK (replaceFile (m_files, m_folder, name, bytes));
    BOOST_LEAF_ASSIGN (m_segment, m_files.open (pathOf (name), OpenMode::kAppend));
    m_segmentNumber = number;
    if (isCheckpoint)
        m_checkpointNumber = number;
    m_segmentSize = bytes.size();
    return {};
}

base::Result<std::unique_ptr<Storage>> openFileStorage (const std::string& folder)
{
    BOOST_LEAF_AUTO (storage, FileStorage::open (folder));
    return std::unique_ptr<Storage> (std::move (storage));
}

}  // namespace fernlift::storage
