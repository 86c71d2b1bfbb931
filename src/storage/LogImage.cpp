#include "storage/LogImage.h"

namespace fernlift::storage
{

base::Result<void> LogImage::load (const SegmentHeader& checkpoint)
{
    m_hardState = checkpoint.hardState;
    m_snapshotIndex = checkpoint.snapshotIndex;
    m_entries.clear();
    for (const EntryRecord& entry : checkpoint.entries)
        BOOST_LEAF_CHECK (append (entry));
    return {};
}

SegmentHeader LogImage::makeCheckpoint (std::uint64_t segmentNumber) const
{
    SegmentHeader header;
    header.number = segmentNumber;
    header.isCheckpoint = true;
    header.hardState = m_hardState;
    header.snapshotIndex = m_snapshotIndex;
    header.entries.assign (m_entries.begin(), m_entries.end());
    return header;
}

base::Result<void> LogImage::apply (const BatchRecord& batch)
{
    if (batch.hasHardState)
        m_hardState = batch.hardState;
    if (batch.truncateFrom > 0)
    {
        while (! m_entries.empty() && m_entries.back().index >= batch.truncateFrom)
            m_entries.pop_back();
    }
    for (const EntryRecord& entry : batch.entries)
        BOOST_LEAF_CHECK (append (entry));
    return {};
}

void LogImage::applySnapshot (std::uint64_t lastIndex)
{
    m_snapshotIndex = lastIndex;
    while (! m_entries.empty() && m_entries.front().index <= lastIndex)
        m_entries.pop_front();
}

std::vector<StoredEntry> LogImage::entries() const
{
    std::vector<StoredEntry> result;
    result.reserve (m_entries.size());
    for (const EntryRecord& entry : m_entries)
        result.push_back ({ entry.index, entry.data });
    return result;
}

base::Result<void> LogImage::append (const EntryRecord& entry)
{
    const std::uint64_t last = m_entries.empty() ? m_snapshotIndex : m_entries.back().index;
    if (entry.index != last + 1)
    {
        return base::fail (base::ErrorKind::kStorageCorrupt,
                           "entry " + std::to_string (entry.index)
                               + " does not continue the log, which ends at entry "
                               + std::to_string (last));
    }
    m_entries.push_back (entry);
    return {};
}

}  // namespace fernlift::storage
