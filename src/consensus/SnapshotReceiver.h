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
    [[nodiscard]] std::uint64_t nextOffset() const { return bytes_.size(); }

private:
    void restart (Term term, const SnapshotChunk& chunk);

    Term leaderTerm_ = 0;  ///< A term has one leader.
    LogIndex lastIndex_ = 0;
    Term lastTerm_ = 0;
    std::uint64_t totalBytes_ = 0;  ///< Of the whole encoded snapshot.
    std::string bytes_;             ///< The chunks so far, without a gap; shorter than totalBytes_.
};

}  // namespace fernlift::consensus
