#pragma once

/// In-memory log of one member: the entries after the last snapshot, some before it, and the
/// members in effect at each index. Persistence is left to PersistQueue.

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "consensus/Messages.h"

namespace fernlift::consensus
{

/**
 * Holds the entries of one member and looks up the term and the members at an index.
 *
 * The entries are contiguous; those up to the snapshot stay only as long as compaction keeps them.
 * The log does not track the commit index, so the caller must not truncate committed entries.
 *
 * Threading: none; owned by RaftNode.
 */
class RaftLog
{
public:
    /// `entries` are contiguous and start after the snapshot.
    RaftLog (Snapshot snapshot, std::vector<Entry> entries, MemberSet initialMembers);

    /// Index of the first entry held; earlier entries are only in the snapshot.
    [[nodiscard]] LogIndex firstIndex() const { return m_precedingIndex + 1; }
    [[nodiscard]] LogIndex lastIndex() const { return m_precedingIndex + m_entries.size(); }
    [[nodiscard]] Term lastTerm() const;
    /// Term of the entry at `index`, also of the one just before firstIndex(); none elsewhere.
    [[nodiscard]] std::optional<Term> termAt (LogIndex index) const;
    /// Requires firstIndex() <= index <= lastIndex().
    [[nodiscard]] const Entry& at (LogIndex index) const;
    /// Entries from `from` on, at least one if there is one, up to about `maximumBytes` of data.
    [[nodiscard]] std::vector<Entry> slice (LogIndex from, std::size_t maximumBytes) const;
    /// First index held that has the same term as the entry at `index`.
    [[nodiscard]] LogIndex firstIndexOfTermAt (LogIndex index) const;

    /// Requires entry.index == lastIndex() + 1.
    void append (Entry entry);
    /// Drops the entries with index >= `index`.
    void truncateFrom (LogIndex index);
    /// Sets a snapshot of a prefix of this log. Of the entries that it covers, the last
    /// `keptEntries` stay, for members that lag a little.
    void compact (Snapshot snapshot, std::size_t keptEntries);
    /// Replaces the whole log with a received snapshot.
    void replaceBy (Snapshot snapshot);

    [[nodiscard]] const Snapshot& snapshot() const { return m_snapshot; }
    /// Latest members in the log, which are in effect whether committed or not.
    [[nodiscard]] const MemberSet& members() const { return m_memberHistory.back().second; }
    /// Index of the entry that set members(); 0 for the initial members.
    [[nodiscard]] LogIndex membersIndex() const { return m_memberHistory.back().first; }
    /// Members in effect at `index`. Requires index >= snapshot().lastIndex.
    [[nodiscard]] const MemberSet& membersAt (LogIndex index) const;

private:
    void recordMembers (const Entry& entry);

    Snapshot m_snapshot;            ///< Ends between m_precedingIndex and lastIndex().
    LogIndex m_precedingIndex = 0;  ///< Index of the entry just before m_entries.
    Term m_precedingTerm = 0;       ///< Term of the entry just before m_entries.
    std::deque<Entry> m_entries;    ///< Contiguous from m_precedingIndex + 1 on.
    /// Member sets by the index of the entry that set them, ascending and never empty. The first
    /// one is from the snapshot or the initial members.
    std::vector<std::pair<LogIndex, MemberSet>> m_memberHistory;
};

}  // namespace fernlift::consensus
