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
    BOOST_LEAF_ASSIGN (storage->lock_, files.lockFile (storage->pathOf (kLockName)));
    BOOST_LEAF_CHECK (storage->readIdentity());
    return storage;
}

FileStorage::FileStorage (std::string folder, std::uint64_t segmentBytes, FileSystem& files)
    : folder_ (std::move (folder)), segmentBytes_ (segmentBytes), files_ (files)
{
}

base::Result<void> FileStorage::initialize (std::uint64_t memberId)
{
    if (memberId_ != 0 || memberId == 0)
    {
        return base::fail (base::ErrorKind::kInternal, folder_ + " cannot be initialised");
    }
    BOOST_LEAF_CHECK (checkUnused());
    image_ = LogImage();
    segmentNumber_ = 0;
    BOOST_LEAF_CHECK (beginSegment (true));
    // The name of the folder itself must last, whichever start created it.
    BOOST_LEAF_CHECK (files_.syncFolder (parentFolder (folder_)));
    // The identity comes last: a folder without it holds nothing.
    const std::string payload = wire::encodeValue (memberId);
    BOOST_LEAF_CHECK (replaceFile (files_, folder_, kIdentityName,
                                   encodeRecord (RecordKind::kIdentity, payload)));
    memberId_ = memberId;
    isReady_ = true;
    return {};
}

base::Result<void> FileStorage::write (const std::vector<WriteBatch>& batches)
{
    if (! isReady_)
    {
        return base::fail (base::ErrorKind::kStorageFailed,
                           folder_ + " is not recovered, or an earlier write failed");
    }
    // Until the write is complete the state on disk is not known.
    isReady_ = false;
    BOOST_LEAF_CHECK (writeChecked (batches));
    isReady_ = true;
    return {};
}

base::Result<void> FileStorage::writeChecked (const std::vector<WriteBatch>& batches)
{
    BatchesRecord record;
    for (const WriteBatch& batch : batches)
    {
        record.batches.push_back (toRecord (batch));
        BOOST_LEAF_CHECK (image_.apply (record.batches.back()));
        if (batch.hasSnapshot)
            image_.applySnapshot (batch.snapshot.lastIndex);
    }
    BOOST_LEAF_AUTO (hasSnapshot, storeSnapshots (batches));
    if (hasSnapshot)
    {
        BOOST_LEAF_CHECK (beginSegment (true));
        return removeLeftovers();
    }
    BOOST_LEAF_CHECK (appendRecord (record));
    if (segmentSize_ > segmentBytes_)
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
    BOOST_LEAF_CHECK (replaceFile (files_, folder_, snapshotName (latest->lastIndex), record));
    return true;
}

base::Result<void> FileStorage::appendRecord (const BatchesRecord& record)
{
    const std::string bytes = encodeRecord (RecordKind::kBatches, wire::encodeValue (record));
    BOOST_LEAF_CHECK (segment_->append (bytes));
    BOOST_LEAF_CHECK (segment_->sync());
    segmentSize_ += bytes.size();
    return {};
}

base::Result<void> FileStorage::beginSegment (bool isCheckpoint)
{
    const std::uint64_t number = segmentNumber_ + 1;
    SegmentHeader header;
    header.number = number;
    if (isCheckpoint)
        header = image_.makeCheckpoint (number);
    const std::string bytes = encodeRecord (RecordKind::kSegmentHeader, wire::encodeValue (header));
    const std::string name = segmentName (number);
    BOOST_LEAF_CHECK (replaceFile (files_, folder_, name, bytes));
    BOOST_LEAF_ASSIGN (segment_, files_.open (pathOf (name), OpenMode::kAppend));
    segmentNumber_ = number;
    if (isCheckpoint)
        checkpointNumber_ = number;
    segmentSize_ = bytes.size();
    return {};
}

base::Result<std::unique_ptr<Storage>> openFileStorage (const std::string& folder)
{
    BOOST_LEAF_AUTO (storage, FileStorage::open (folder));
    return std::unique_ptr<Storage> (std::move (storage));
}

}  // namespace fernlift::storage
