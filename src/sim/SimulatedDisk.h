#pragma once

/// Simulated disk of a controller. Stores bytes in the format of the file storage; when the process
/// or its machine ends, a record that is not synced is lost or torn.

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
    /// Queues a write request.
    void submit (consensus::PersistRequest request) { m_waiting.push_back (std::move (request)); }
    [[nodiscard]] bool isIdle() const { return m_writing.empty(); }
    [[nodiscard]] bool hasWaiting() const { return ! m_waiting.empty(); }
    /// Begins to write all queued requests as one record.
    void beginWrite();
    /// Marks the record as synced and returns the sequence number of its last request.
    std::uint64_t endWrite();

    /// Simulates the end of the process: a random part of the record being written stays on disk.
    /// Returns true when the record was torn.
    bool crash (base::Random& random);
    /// Erases the disk.
    void wipe();
    /// Reads the stored state; an empty disk gives an empty state.
    [[nodiscard]] consensus::RecoveredState recover();
    /// Stores the first log entry of a new cell.
    void bootstrap (const consensus::MemberSet& members);

private:
    void apply (const storage::WriteBatch& batch);
    void rewrite();

    std::string m_segment;      ///< Synced bytes, beginning with the last checkpoint.
    std::string m_unsynced;     ///< The record being written.
    std::string m_snapshot;     ///< Record of the latest snapshot; empty when there is none.
    storage::LogImage m_image;  ///< Decoded state of the synced bytes.
    std::vector<storage::WriteBatch> m_writing;
    std::uint64_t m_writingSequence = 0;
    std::deque<consensus::PersistRequest> m_waiting;
};

}  // namespace fernlift::sim
