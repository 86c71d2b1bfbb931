#pragma once

/// Assembles one snapshot from its chunks. Two leaders may encode the same state in different
/// bytes, so only chunks of one leader in one term are joined.

#include <optional>
#include <string>

#include "consensus/Messages.h"

namespace fernlift::consensus
{

class SnapshotReceiver
{
public:
    /// Adds a chunk sent by the leader of `term`, and returns the snapshot once it is complete. A
    /// chunk of another snapshot or term discards the chunks so far; a chunk that does not start at
    /// nextOffset() is ignored.
    [[nodiscard]] std::optional<Snapshot> add (Term term, const SnapshotChunk& chunk);
    /// Offset of the next chunk expected.
    [[nodiscard]] std::uint64_t nextOffset() const { return m_bytes.size(); }

private:
    void restart (Term term, const SnapshotChunk& chunk);

    Term m_leaderTerm = 0;  ///< Identifies the leader, as a term has only one.
    LogIndex m_lastIndex = 0;
    Term m_lastTerm = 0;
    std::uint64_t m_totalBytes = 0;  ///< Size of the whole encoded snapshot.
    std::string m_bytes;  ///< Contiguous chunks received so far; shorter than m_totalBytes.
};

}  // namespace fernlift::consensus
