#pragma once

/// In-memory image of the stored log, built from the records written so far. The same code applies
/// records when they are written and when they are replayed at start.

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "storage/Storage.h"

namespace fernlift::storage
{

/// Serialized form of a StoredEntry.
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

/// Serialized form of a WriteBatch, without its snapshot.
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

/// Several batches written as one record, so that after a crash either all or none are present.
struct BatchesRecord
{
    std::vector<BatchRecord> batches;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& batches;
    }
};

/// First record of a segment. A checkpoint contains the whole log, so that earlier segments are no
/// longer needed.
struct SegmentHeader
{
    std::uint64_t number = 0;
    bool isCheckpoint = false;
    std::string hardState;            ///< Set in checkpoints only, as are the fields below.
    std::uint64_t snapshotIndex = 0;  ///< Last index that the snapshot covers; 0: no snapshot.
    std::vector<EntryRecord> entries;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& number& isCheckpoint& hardState& snapshotIndex& entries;
    }
};

/// State of the log after the records applied so far. Writing and replay both update it through
/// the same functions, so that they give the same state. Not thread-safe; owned by FileStorage.
class LogImage
{
public:
    /// Replaces the state by the contents of a checkpoint.
    base::Result<void> load (const SegmentHeader& checkpoint);
    [[nodiscard]] SegmentHeader makeCheckpoint (std::uint64_t segmentNumber) const;

    /// Applies one batch. Fails with kStorageCorrupt when its entries do not continue the log.
    base::Result<void> apply (const BatchRecord& batch);
    /// Sets the index of the snapshot and drops the entries that it covers.
    void applySnapshot (std::uint64_t lastIndex);

    [[nodiscard]] const std::string& hardState() const { return m_hardState; }
    [[nodiscard]] std::uint64_t snapshotIndex() const { return m_snapshotIndex; }
    [[nodiscard]] std::vector<StoredEntry> entries() const;

private:
    base::Result<void> append (const EntryRecord& entry);

    std::string m_hardState;  ///< Last hard state; empty until the first one is written.
    std::uint64_t m_snapshotIndex =
        0;  ///< Last index that the snapshot covers; 0: no snapshot. Never decreases.
    std::deque<EntryRecord> m_entries;  ///< Contiguous entries after the snapshot.
};

}  // namespace fernlift::storage
