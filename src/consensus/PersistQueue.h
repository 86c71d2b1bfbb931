#pragma once

/// Writes on their way to disk, and the messages that must wait until they are synced.

#include <deque>
#include <vector>

#include "consensus/RaftNode.h"

namespace fernlift::consensus
{

/**
 * Collects changes of the durable state into as few writes as their order allows, and holds back
 * the messages that vouch for them.
 *
 * A write is one atomic step (hard state, truncation, entries, snapshot, in this order); a change
 * that has to follow what is in the open write begins a new one. Sequences only grow.
 *
 * Threading: none; owned by RaftNode. The thread that writes sees only copies.
 */
class PersistQueue
{
public:
    /// `stableIndex`: last log index that is on disk at the start.
    explicit PersistQueue (LogIndex stableIndex) : m_stableIndex (stableIndex) {}

    void setHardState (const HardState& hardState);
    /// Adds the latest hard state to the last write that was not taken and has entries, so that it
    /// names what is committed; costs no write of its own. False when there is no such write.
    bool noteCommitted (const HardState& hardState);
    /// Drops stored entries with index >= `index`.
    void truncateFrom (LogIndex index);
    void append (const Entry& entry);
    /// Stores a snapshot of the log's own prefix.
    void storeSnapshot (const Snapshot& snapshot);
    /// Stores a snapshot that replaces everything after `commitIndex`, which is before it.
    void replaceBySnapshot (const Snapshot& snapshot, LogIndex commitIndex);

    /// Keeps `message` until every change made so far is synced.
    void hold (Message message);
    /// Every write up to `sequence` is synced: returns the messages that may leave now.
    [[nodiscard]] std::vector<Message> confirm (std::uint64_t sequence);
    /// Takes the writes to carry out.
    [[nodiscard]] std::vector<PersistRequest> take();

    /// No change waits for its sync.
    [[nodiscard]] bool isSynced() const { return m_pending.empty(); }
    /// The latest hard state is on disk.
    [[nodiscard]] bool isHardStateSynced() const { return m_hardStateSequence <= m_confirmed; }
    /// Last log index up to which this member's present log is on disk.
    [[nodiscard]] LogIndex stableIndex() const { return m_stableIndex; }

private:
    struct Pending
    {
        std::uint64_t sequence = 0;
        LogIndex stableIndexAfter = 0;
    };
    struct Held
    {
        std::uint64_t sequence = 0;
        Message message;
    };

    PersistRequest& openRequest();
    PersistRequest& newRequest();

    std::vector<PersistRequest> m_untaken;  ///< In order of sequence; the last one is open.
    std::deque<Pending> m_pending;          ///< Taken or not, but not confirmed.
    std::deque<Held> m_held;                ///< In order of sequence, all above m_confirmed.
    std::uint64_t m_lastSequence = 0;       ///< Of the write begun last.
    std::uint64_t m_confirmed = 0;          ///< Every write up to it is synced.
    std::uint64_t m_hardStateSequence = 0;  ///< Of the write with the latest hard state.
    LogIndex m_stableIndex =
        0;  ///< Never beyond the present log, though truncated entries were synced.
};

}  // namespace fernlift::consensus
