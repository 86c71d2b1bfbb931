#pragma once

/// The log of one member in memory: the entries after the last snapshot, some before it, and the
/// members in force at each of them.

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "consensus/Messages.h"

namespace fernlift::consensus
{

/**
 * Keeps the entries of one member and answers for terms and members at an index.
 *
 * The entries are contiguous, and those up to the snapshot stay only as long as compaction keeps
 * them. Truncation below the commit index is the caller's to avoid: the log knows no commit.
 *
 * Threading: none; owned by RaftNode.
 */
class RaftLog
{
public:
    /// `entries` are contiguous and start after the snapshot.
    RaftLog (Snapshot snapshot, std::vector<Entry> entries, MemberSet initialMembers);

    /// Index of the first entry held; entries before it are only in the snapshot.
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
    /// Keeps a snapshot of this log's own prefix; `keptEntries` of the entries it covers
    /// stay for members that lag a little.
    void compact (Snapshot snapshot, std::size_t keptEntries);
    /// Replaces the whole log by a received snapshot.
    void replaceBy (Snapshot snapshot);

    [[nodiscard]] const Snapshot& snapshot() const { return m_snapshot; }
    /// The latest members in the log, committed or not: those are in force.
    [[nodiscard]] const MemberSet& members() const { return m_memberHistory.back().second; }
    /// Index of the entry that named members(); 0 for the initial ones.
    [[nodiscard]] LogIndex membersIndex() const { return m_memberHistory.back().first; }
    /// Members in force at `index`, which is not before the snapshot.
    [[nodiscard]] const MemberSet& membersAt (LogIndex index) const;

private:
    void noteMembers (const Entry& entry);

    Snapshot m_snapshot;  ///< Its lastIndex lies between m_precedingIndex and lastIndex().
    LogIndex m_precedingIndex = 0;  ///< Index and term of the entry just before m_entries.
    Term m_precedingTerm = 0;
    std::deque<Entry> m_entries;  ///< Indexes m_precedingIndex + 1 and on, without a gap.
    /// Member sets by the index that named them, ascending and never empty; the first one is from
    /// the snapshot or the start.
    std::vector<std::pair<LogIndex, MemberSet>> m_memberHistory;
};

}  // namespace fernlift::consensus
