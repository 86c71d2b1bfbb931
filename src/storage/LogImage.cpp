#include "storage/LogImage.h"

namespace fernlift::storage
{

base::Result<void> LogImage::load (const SegmentHeader& checkpoint)
{
    hardState_ = checkpoint.hardState;
    snapshotIndex_ = checkpoint.snapshotIndex;
    entries_.clear();
    for (const EntryRecord& entry : checkpoint.entries)
        BOOST_LEAF_CHECK (append (entry));
    return {};
}

SegmentHeader LogImage::makeCheckpoint (std::uint64_t segmentNumber) const
{
    SegmentHeader header;
    header.number = segmentNumber;
    header.isCheckpoint = true;
    header.hardState = hardState_;
    header.snapshotIndex = snapshotIndex_;
    header.entries.assign (entries_.begin(), entries_.end());
    return header;
}

base::Result<void> LogImage::apply (const BatchRecord& batch)
{
    if (batch.hasHardState)
        hardState_ = batch.hardState;
    if (batch.truncateFrom > 0)
    {
        while (! entries_.empty() && entries_.back().index >= batch.truncateFrom)
            entries_.pop_back();
    }
    for (const EntryRecord& entry : batch.entries)
        BOOST_LEAF_CHECK (append (entry));
    return {};
}

void LogImage::applySnapshot (std::uint64_t lastIndex)
{
    snapshotIndex_ = lastIndex;
    while (! entries_.empty() && entries_.front().index <= lastIndex)
        entries_.pop_front();
}

std::vector<StoredEntry> LogImage::entries() const
{
    std::vector<StoredEntry> result;
    result.reserve (entries_.size());
    for (const EntryRecord& entry : entries_)
        result.push_back ({ entry.index, entry.data });
    return result;
}

base::Result<void> LogImage::append (const EntryRecord& entry)
{
    const std::uint64_t last = entries_.empty() ? snapshotIndex_ : entries_.back().index;
    if (entry.index != last + 1)
    {
        return base::fail (
            base::ErrorKind::kStorageCorrupt,
            "entry " + std::to_string (entry.index) + " follows entry " + std::to_string (last));
    }
    entries_.push_back (entry);
    return {};
}

}  // namespace fernlift::storage
