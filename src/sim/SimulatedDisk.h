#pragma once

/// The disk of one controller: bytes in the format of the file storage, of which those that are not
/// synced are lost, or torn, when the process or its machine ends.

#include <deque>
#include <string>
#include <vector>

#include "base/Random.h"
#include "consensus/RaftNode.h"
#include "storage/LogImage.h"
#include "storage/Storage.h"

namespace fernlift::sim
{

class SimulatedDisk
{
public:
    /// Adds a write that is not yet begun.
    void submit (consensus::PersistRequest request) { waiting_.push_back (std::move (request)); }
    [[nodiscard]] bool isIdle() const { return writing_.empty(); }
    [[nodiscard]] bool hasWaiting() const { return ! waiting_.empty(); }
    /// Begins to write everything that waits, as one record.
    void beginWrite();
    /// The record is synced; the sequence of its last request.
    std::uint64_t endWrite();

    /// The process ends: of a write under way a part may be on disk. True when a record was torn.
    bool crash (base::Random& random);
    /// Everything is lost.
    void wipe();
    /// What a start reads back; an empty state from an empty disk.
    [[nodiscard]] consensus::RecoveredState recover();
    /// Stores the first entry of a new cell.
    void bootstrap (const consensus::MemberSet& members);

private:
    void apply (const storage::WriteBatch& batch);
    void rewrite();

    std::string segment_;      ///< Synced bytes since the last checkpoint, which they begin with.
    std::string unsynced_;     ///< The record being written.
    std::string snapshot_;     ///< Record of the latest snapshot; empty: none.
    storage::LogImage image_;  ///< What the synced bytes stand for.
    std::vector<storage::WriteBatch> writing_;
    std::uint64_t writingSequence_ = 0;
    std::deque<consensus::PersistRequest> waiting_;
};

}  // namespace fernlift::sim
