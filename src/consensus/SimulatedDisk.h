#pragma once

/// Disk of a simulated member, for tests: what was written, what of it is synced, and what a crash
/// leaves.

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
    std::deque<Entry> entries;  ///< After the snapshot, contiguous.

    [[nodiscard]] LogIndex lastIndex() const { return snapshot.lastIndex + entries.size(); }
    /// Term of the entry at `index`; none when it is covered by the snapshot or not there.
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
        written_.apply (request);
        unsynced_.push_back (std::move (request));
    }
    [[nodiscard]] bool hasUnsynced() const { return ! unsynced_.empty(); }
    [[nodiscard]] std::uint64_t lastSequence() const { return unsynced_.back().sequence; }
    void sync (std::uint64_t sequence)
    {
        while (! unsynced_.empty() && unsynced_.front().sequence <= sequence)
        {
            synced_.apply (unsynced_.front());
            unsynced_.pop_front();
        }
    }
    [[nodiscard]] std::size_t unsyncedCount() const { return unsynced_.size(); }
    /// Loses the unsynced writes but for the first `surviving` of them. The one after those is
    /// torn, which storage cuts.
    void crash (std::size_t surviving)
    {
        if (surviving > 0)
            sync (unsynced_[surviving - 1].sequence);
        unsynced_.clear();
        written_ = synced_;
    }
    [[nodiscard]] RecoveredState recover (MemberSet initialMembers) const
    {
        return { synced_.hardState,
                 synced_.snapshot,
                 { synced_.entries.begin(), synced_.entries.end() },
                 std::move (initialMembers) };
    }

    [[nodiscard]] const DiskState& synced() const { return synced_; }
    /// With the unsynced writes: what the running member believes.
    [[nodiscard]] const DiskState& written() const { return written_; }

private:
    DiskState synced_;
    DiskState written_;
    std::deque<PersistRequest> unsynced_;
};

}  // namespace fernlift::consensus
