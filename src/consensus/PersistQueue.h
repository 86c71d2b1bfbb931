#pragma once

/// Queue of the writes of durable state that are not synced yet, and of the messages that must not
/// be sent before they are. The caller carries the writes out.

#include <deque>
#include <vector>

#include "consensus/RaftNode.h"

namespace fernlift::consensus
{

/**
 * Combines changes of the durable state into as few writes as their order allows, and holds back
 * the messages that depend on them.
 *
 * A write is one atomic step (hard state, truncation, entries, snapshot, in this order). A change
 * that must be applied after the content of the open write begins a new one. Sequence numbers only
 * increase.
 *
 * Threading: none; owned by RaftNode. The thread that writes works on copies.
 */
class PersistQueue
{
public:
    /// `stableIndex` is the last log index that is on disk at the start.
    explicit PersistQueue (LogIndex stableIndex) : m_stableIndex (stableIndex) {}

    void setHardState (const HardState& hardState);
    /// Adds the latest hard state, and with it the commit index, to the last queued write if that
    /// has entries, so that it needs no write of its own. Returns false when there is no such
    /// write.
    bool recordCommitted (const HardState& hardState);
    /// Drops stored entries with index >= `index`.
    void truncateFrom (LogIndex index);
    void append (const Entry& entry);
    /// Stores a snapshot of a prefix of this member's log.
    void storeSnapshot (const Snapshot& snapshot);
    /// Stores a snapshot that replaces all entries after `commitIndex`. The snapshot ends after
    /// `commitIndex`.
    void replaceBySnapshot (const Snapshot& snapshot, LogIndex commitIndex);

    /// Holds `message` back until every change made so far is synced.
    void hold (Message message);
    /// Records that every write up to `sequence` is synced, and returns the messages that may be
    /// sent now.
    [[nodiscard]] std::vector<Message> confirm (std::uint64_t sequence);
    /// Returns the queued writes and removes them from the queue.
    [[nodiscard]] std::vector<PersistRequest> take();

    /// True when every change is synced.
    [[nodiscard]] bool isSynced() const { return m_pending.empty(); }
    /// True when the latest hard state is synced.
    [[nodiscard]] bool isHardStateSynced() const { return m_hardStateSequence <= m_confirmed; }
    /// Last index up to which the current log of this member is synced.
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

    std::vector<PersistRequest> m_queued;  ///< Writes not taken yet; the last one is open.
    std::deque<Pending> m_pending;         ///< Writes not confirmed yet, whether taken or not.
    std::deque<Held> m_held;           ///< Messages by ascending sequence, all above m_confirmed.
    std::uint64_t m_lastSequence = 0;  ///< Sequence of the write begun last.
    std::uint64_t m_confirmed = 0;     ///< Every write up to this sequence is synced.
    std::uint64_t m_hardStateSequence = 0;  ///< Sequence of the write with the latest hard state.
    LogIndex m_stableIndex =
        0;  ///< Never beyond the current log, even if entries truncated since were synced.
};

}  // namespace fernlift::consensus
