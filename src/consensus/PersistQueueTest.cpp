#include <gtest/gtest.h>

#include "consensus/PersistQueue.h"

namespace fernlift::consensus
{
namespace
{

Entry entryAt (LogIndex index, Term term) { return { index, term, EntryKind::kCommand, "x" }; }

TEST (PersistQueue, CombinesChangesIntoOneWriteWhileOrderAllows)
{
    PersistQueue queue (0);
    queue.setHardState ({ 1, 2 });
    queue.append (entryAt (1, 1));
    queue.append (entryAt (2, 1));
    queue.storeSnapshot ({ 1, 1, {}, "state" });
    auto writes = queue.take();
    ASSERT_EQ (writes.size(), 1U);
    EXPECT_EQ (writes[0].entries.size(), 2U);

    queue.append (entryAt (3, 1));
    queue.truncateFrom (3);
    queue.append (entryAt (3, 2));
    queue.storeSnapshot ({ 2, 1, {}, "state" });
    queue.append (entryAt (4, 2));
    writes = queue.take();
    ASSERT_EQ (writes.size(), 3U)
        << "a write truncates, appends and stores a snapshot, in this order";
    EXPECT_EQ (writes[1].truncateFrom, LogIndex{ 3 });
    EXPECT_TRUE (writes[1].snapshot.has_value());
    EXPECT_EQ (writes[2].entries, std::vector<Entry>{ entryAt (4, 2) });
}

TEST (PersistQueue, ExcludesTruncatedEntriesFromStableIndex)
{
    PersistQueue queue (5);
    queue.append (entryAt (6, 1));
    queue.append (entryAt (7, 1));
    const auto first = queue.take();
    queue.truncateFrom (5);
    EXPECT_EQ (queue.stableIndex(), 4U);
    queue.append (entryAt (5, 2));
    const auto second = queue.take();
    (void)queue.confirm (first.back().sequence);
    EXPECT_EQ (queue.stableIndex(), 4U) << "entries 6 and 7 are on disk but truncated from the log";
    (void)queue.confirm (second.back().sequence);
    EXPECT_EQ (queue.stableIndex(), 5U);
}

TEST (PersistQueue, HoldsMessagesUntilEarlierWritesAreSynced)
{
    PersistQueue queue (0);
    queue.setHardState ({ 1, 2 });
    queue.hold ({ 1, 2, 1, VoteReply{ false, true } });
    const auto first = queue.take();
    queue.append (entryAt (1, 1));
    queue.hold ({ 1, 2, 1, AppendReply{} });
    const auto second = queue.take();
    EXPECT_FALSE (queue.isHardStateSynced());
    const auto released = queue.confirm (first.back().sequence);
    ASSERT_EQ (released.size(), 1U);
    EXPECT_TRUE (std::holds_alternative<VoteReply> (released[0].payload));
    EXPECT_TRUE (queue.isHardStateSynced());
    EXPECT_FALSE (queue.isSynced());
    EXPECT_EQ (queue.confirm (second.back().sequence).size(), 1U);
    EXPECT_TRUE (queue.isSynced());
}

TEST (PersistQueue, ReceivedSnapshotReplacesUncommittedLog)
{
    PersistQueue queue (9);
    queue.replaceBySnapshot ({ 50, 3, {}, "state" }, 4);
    const auto writes = queue.take();
    ASSERT_EQ (writes.size(), 1U);
    EXPECT_EQ (writes[0].truncateFrom, LogIndex{ 5 });
    EXPECT_EQ (queue.stableIndex(), 4U);
    (void)queue.confirm (writes[0].sequence);
    EXPECT_EQ (queue.stableIndex(), 50U);
}

}  // namespace
}  // namespace fernlift::consensus
