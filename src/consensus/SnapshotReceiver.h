#pragma once

/// Puts the chunks of one snapshot together. Two leaders may encode the same state in different
/// bytes, so only chunks of one leader in one term are joined.

#include <optional>
#include <string>

#include "consensus/Messages.h"

namespace fernlift::consensus
{

class SnapshotReceiver
{
public:
    /// Takes a chunk sent by the leader of `term`; the snapshot once it is complete. A chunk of
    /// another snapshot or term starts anew; one that does not follow on is ignored.
    [[nodiscard]] std::optional<Snapshot> add (Term term, const SnapshotChunk& chunk);
    /// Offset of the chunk wanted next.
    [[nodiscard]] std::uint64_t nextOffset() const { return m_bytes.size(); }

private:
    void restart (Term term, const SnapshotChunk& chunk);

    Term m_leaderTerm = 0;  ///< A term has one leader.
    LogIndex m_lastIndex = 0;
    Term m_lastTerm = 0;
    std::uint64_t m_totalBytes = 0;  ///< Of the whole encoded snapshot.
    std::string m_bytes;  ///< The chunks so far, without a gap; shorter than m_totalBytes.
};

}  // namespace fernlift::consensus
