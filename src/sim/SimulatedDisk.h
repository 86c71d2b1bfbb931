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
    void submit (consensus::PersistRequest request) { m_waiting.push_back (std::move (request)); }
    [[nodiscard]] bool isIdle() const { return m_writing.empty(); }
    [[nodiscard]] bool hasWaiting() const { return ! m_waiting.empty(); }
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

    std::string m_segment;      ///< Synced bytes since the last checkpoint, which they begin with.
    std::string m_unsynced;     ///< The record being written.
    std::string m_snapshot;     ///< Record of the latest snapshot; empty: none.
    storage::LogImage m_image;  ///< What the synced bytes stand for.
    std::vector<storage::WriteBatch> m_writing;
    std::uint64_t m_writingSequence = 0;
    std::deque<consensus::PersistRequest> m_waiting;
};

}  // namespace fernlift::sim
