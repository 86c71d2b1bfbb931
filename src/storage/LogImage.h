#pragma once

/// Contents of the stored log, as the records written so far make it; the same code follows the
/// writes and replays the records at start.

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "storage/Storage.h"

namespace fernlift::storage
{

/// A StoredEntry in a record.
struct EntryRecord
{
    std::uint64_t index = 0;
    std::string data;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& index& data;
    }
};

/// A WriteBatch without a snapshot, in a record.
struct BatchRecord
{
    bool hasHardState = false;
    std::string hardState;
    std::uint64_t truncateFrom = 0;
    std::vector<EntryRecord> entries;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& hasHardState& hardState& truncateFrom& entries;
    }
};

/// Several batches, written as one record: after a crash all of them are there or none.
struct BatchesRecord
{
    std::vector<BatchRecord> batches;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& batches;
    }
};

/// Start of a segment. A checkpoint restates the whole log, so that earlier segments are not
/// needed.
struct SegmentHeader
{
    std::uint64_t number = 0;
    bool isCheckpoint = false;
    std::string hardState;            ///< Checkpoints only, as are the following.
    std::uint64_t snapshotIndex = 0;  ///< 0: none.
    std::vector<EntryRecord> entries;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& number& isCheckpoint& hardState& snapshotIndex& entries;
    }
};

/// Follows the records of the log, while they are written as well as when they are replayed, so
/// that both ways give the same state. Threading: none; owned by FileStorage.
class LogImage
{
public:
    /// Takes over a checkpoint.
    base::Result<void> load (const SegmentHeader& checkpoint);
    [[nodiscard]] SegmentHeader makeCheckpoint (std::uint64_t segmentNumber) const;

    /// Follows one step; kStorageCorrupt when its entries do not follow on the log.
    base::Result<void> apply (const BatchRecord& batch);
    /// Drops the entries that the snapshot covers.
    void applySnapshot (std::uint64_t lastIndex);

    [[nodiscard]] const std::string& hardState() const { return m_hardState; }
    [[nodiscard]] std::uint64_t snapshotIndex() const { return m_snapshotIndex; }
    [[nodiscard]] std::vector<StoredEntry> entries() const;

private:
    base::Result<void> append (const EntryRecord& entry);

    std::string m_hardState;            ///< Empty until the first one is written.
    std::uint64_t m_snapshotIndex = 0;  ///< 0: none; never goes back.
    std::deque<EntryRecord> m_entries;  ///< After the snapshot, without a gap.
};

}  // namespace fernlift::storage
