#pragma once

/// Disk of a simulated member, for tests. Tracks what was written and what is synced, and simulates
/// the loss of unsynced writes in a crash.

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

#include "consensus/RaftNode.h"

namespace fernlift::consensus
{

/// Contents of a member's disk.
struct DiskState
{
    HardState hardState;
    Snapshot snapshot;
    std::deque<Entry> entries;  ///< Contiguous, starting after the snapshot.

    [[nodiscard]] LogIndex lastIndex() const { return snapshot.lastIndex + entries.size(); }
    /// Term at `index`; none when it lies before the end of the snapshot or after the log.
    [[nodiscard]] std::optional<Term> termAt (LogIndex index) const
    {
        if (index == snapshot.lastIndex)
            return snapshot.lastTerm;
        if (index < snapshot.lastIndex || index > lastIndex())
            return std::nullopt;
        return entries[index - snapshot.lastIndex - 1].term;
    }
    void apply (const PersistRequest& request)
    {
        if (request.hardState)
            hardState = *request.hardState;
        if (request.truncateFrom)
        {
            while (! entries.empty() && entries.back().index >= *request.truncateFrom)
                entries.pop_back();
        }
        entries.insert (entries.end(), request.entries.begin(), request.entries.end());
        if (! request.snapshot)
            return;
        snapshot = *request.snapshot;
        while (! entries.empty() && entries.front().index <= snapshot.lastIndex)
            entries.pop_front();
    }
};

class SimulatedDisk
{
public:
    void submit (PersistRequest request)
    {
        m_written.apply (request);
        m_unsynced.push_back (std::move (request));
    }
    [[nodiscard]] bool hasUnsynced() const { return ! m_unsynced.empty(); }
    [[nodiscard]] std::uint64_t lastSequence() const { return m_unsynced.back().sequence; }
    void sync (std::uint64_t sequence)
    {
        while (! m_unsynced.empty() && m_unsynced.front().sequence <= sequence)
        {
            m_synced.apply (m_unsynced.front());
            m_unsynced.pop_front();
        }
    }
    [[nodiscard]] std::size_t unsyncedCount() const { return m_unsynced.size(); }
    /// Drops the unsynced writes except the first `surviving` ones. The write after those counts as
    /// torn; storage discards a torn write when it recovers.
    void crash (std::size_t surviving)
    {
        if (surviving > 0)
            sync (m_unsynced[surviving - 1].sequence);
        m_unsynced.clear();
        m_written = m_synced;
    }
    [[nodiscard]] RecoveredState recover (MemberSet initialMembers) const
    {
        return { m_synced.hardState,
                 m_synced.snapshot,
                 { m_synced.entries.begin(), m_synced.entries.end() },
                 std::move (initialMembers) };
    }

    [[nodiscard]] const DiskState& synced() const { return m_synced; }
    /// Contents with the unsynced writes, as the running member assumes them.
    [[nodiscard]] const DiskState& written() const { return m_written; }

private:
    DiskState m_synced;
    DiskState m_written;
    std::deque<PersistRequest> m_unsynced;
};

}  // namespace fernlift::consensus
