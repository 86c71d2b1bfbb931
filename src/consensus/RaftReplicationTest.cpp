// Tests of log replication, snapshots, membership and leadership transfer of a single member.

#include <gtest/gtest.h>

#include "consensus/RaftTestSupport.h"
#include "wire/Codec.h"

namespace fernlift::consensus
{
namespace
{

using base::milliseconds;

Entry command (LogIndex index, Term term, std::string data = "x")
{
    return { index, term, EntryKind::kCommand, std::move (data) };
}

Snapshot snapshotAt (LogIndex lastIndex, Term lastTerm, std::string data)
{
    return { lastIndex, lastTerm, testVoters (3), std::move (data) };
}

/// Returns the encoded snapshot in `count` chunks.
std::vector<SnapshotChunk> chunksOf (const Snapshot& snapshot, std::size_t count)
{
    const std::string bytes = wire::encodeValue (snapshot);
    const std::size_t chunkBytes = bytes.size() / count + 1;
    std::vector<SnapshotChunk> chunks;
    for (std::size_t offset = 0; offset < bytes.size(); offset += chunkBytes)
    {
        chunks.push_back ({ snapshot.lastIndex, snapshot.lastTerm, offset, bytes.size(),
                            chunks.size() + 1, bytes.substr (offset, chunkBytes) });
    }
    return chunks;
}

bool isAcknowledged (const MemberHarness& member, LogIndex index)
{
    for (const AppendReply& reply : member.sent<AppendReply>())
    {
        if (reply.accepted && reply.matchIndex >= index)
            return true;
    }
    return false;
}

bool isInstalled (const MemberHarness& member)
{
    for (const SnapshotReply& reply : member.sent<SnapshotReply>())
    {
        if (reply.installed)
            return true;
    }
    return false;
}

TEST (RaftLeader, CommitsOnlyWithAnEntryOfItsOwnTerm)
{
    MemberHarness leader (testVoters (3), recoveredLog ({ 3, 0 }, { 1, 3 }));
    leader.lead ({ 2 });
    leader.acknowledge (2, 2);
    EXPECT_EQ (leader.status().commitIndex, 0U) << "a majority has entry 2, but of an earlier term";
    leader.acknowledge (2, 3);
    EXPECT_EQ (leader.status().commitIndex, 3U);
    EXPECT_EQ (leader.committed().size(), 3U);
}

TEST (RaftLeader, IgnoresRepliesOfEarlierTerms)
{
    MemberHarness leader (testVoters (3), recoveredLog ({ 3, 0 }, { 3 }));
    leader.lead ({ 2 });
    const Term term = leader.status().term;
    leader.receive (2, term - 1, AppendReply{ true, 2, 0, leader.lastRoundTo (2) });
    leader.receive (3, term - 1, SnapshotReply{ 2, 0, true, leader.lastRoundTo (3) });
    EXPECT_EQ (leader.status().commitIndex, 0U);
    EXPECT_FALSE (leader.holdsLease());
}

TEST (RaftLeader, CountsItsOwnLogOnlyOnceSynced)
{
    MemberHarness leader (testVoters (3));
    leader.lead ({ 2 });
    leader.acknowledge (2, 1);
    ASSERT_EQ (leader.status().commitIndex, 1U);
    ASSERT_TRUE (leader.propose ("x"));
    leader.acknowledge (2, 2);
    EXPECT_EQ (leader.status().commitIndex, 1U);
    leader.acknowledge (3, 2);
    EXPECT_EQ (leader.status().commitIndex, 2U) << "two others are a majority";
    ASSERT_TRUE (leader.propose ("y"));
    leader.acknowledge (2, 3);
    leader.sync();
    EXPECT_EQ (leader.status().commitIndex, 3U);
}

TEST (RaftLeader, AnswersRepeatedRefusalOnce)
{
    MemberHarness leader (testVoters (3), recoveredLog ({ 3, 0 }, { 1, 2, 3 }));
    leader.lead ({ 2 });
    const AppendReply refusal{ false, 0, 2, leader.lastRoundTo (2) };
    leader.clearSent();
    leader.receive (2, leader.status().term, refusal);
    EXPECT_EQ (leader.sent<AppendRequest> (2).size(), 1U);
    leader.receive (2, leader.status().term, refusal);
    EXPECT_EQ (leader.sent<AppendRequest> (2).size(), 1U)
        << "answering every duplicate would multiply them";
}

TEST (RaftLeader, DoesNotCountLearners)
{
    MemberSet members = testVoters (3);
    members.members.push_back (testMember (4, false));
    MemberHarness leader (members);
    leader.lead ({ 2 });
    leader.acknowledge (4, 1);
    EXPECT_EQ (leader.status().commitIndex, 0U);
}

TEST (RaftFollower, NeverTruncatesCommittedEntries)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 3, 0 }, { 1, 2, 3 }));
    member.receive (2, 3, AppendRequest{ 3, 3, 2, 1, {} });
    ASSERT_EQ (member.status().commitIndex, 2U);
    member.receive (
        3, 4, AppendRequest{ 0, 0, 0, 1, { command (1, 4), command (2, 4), command (3, 4) } });
    member.sync();
    for (const PersistRequest& write : member.writes())
    {
        EXPECT_EQ (write.truncateFrom.value_or (3), 3U);
    }
    EXPECT_EQ (member.status().commitIndex, 2U);
    EXPECT_EQ (member.committed().size(), 2U);
    EXPECT_EQ (member.committed()[1].term, 2U);
}

TEST (RaftFollower, ReplacesConflictingUncommittedEntries)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 2, 0 }, { 1, 2, 2 }));
    member.receive (3, 3, AppendRequest{ 1, 1, 1, 1, { command (2, 3) } });
    ASSERT_EQ (member.writes().size(), 1U);
    EXPECT_EQ (member.writes()[0].truncateFrom, LogIndex{ 2 });
    EXPECT_EQ (member.writes()[0].entries, std::vector<Entry>{ command (2, 3) });
    EXPECT_EQ (member.status().lastIndex, 2U);
}

TEST (RaftFollower, RefusesEntriesThatDoNotMatchItsLog)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 2, 0 }, { 1, 2, 2 }));
    member.receive (3, 3, AppendRequest{ 5, 3, 5, 1, { command (6, 3) } });
    member.receive (3, 3, AppendRequest{ 3, 3, 5, 1, { command (4, 3) } });
    member.sync();
    const auto replies = member.sent<AppendReply>();
    ASSERT_EQ (replies.size(), 2U);
    EXPECT_FALSE (replies[0].accepted);
    EXPECT_EQ (replies[0].hintIndex, 4U) << "after its last entry";
    EXPECT_FALSE (replies[1].accepted);
    EXPECT_EQ (replies[1].hintIndex, 2U) << "the start of the term that does not fit";
    EXPECT_EQ (member.status().commitIndex, 0U);
}

TEST (RaftFollower, RefusesLeaderOfEarlierTerm)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 5, 0 }, { 5 }));
    member.receive (3, 4, AppendRequest{ 0, 0, 1, 1, { command (1, 4) } });
    ASSERT_EQ (member.messages().size(), 1U);
    EXPECT_EQ (member.messages()[0].term, 5U);
    EXPECT_FALSE (member.sent<AppendReply>()[0].accepted);
    EXPECT_EQ (member.status().leader, 0U);
}

TEST (RaftFollower, AcknowledgesOnlySyncedEntriesToHeartbeat)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 1, 0 }, { 1 }));
    member.receive (2, 1, AppendRequest{ 1, 1, 0, 1, { command (2, 1) } });
    member.receive (2, 1, AppendRequest{ 2, 1, 0, 2, {} });
    ASSERT_EQ (member.sent<AppendReply>().size(), 1U)
        << "replies at once although its disk is slow";
    EXPECT_FALSE (isAcknowledged (member, 2));
    member.sync();
    EXPECT_TRUE (isAcknowledged (member, 2));
}

TEST (RaftFollower, SendsNoAcknowledgementInUnsyncedTerm)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 1, 0 }, { 1 }));
    member.receive (2, 2, AppendRequest{ 1, 1, 0, 1, {} });
    EXPECT_TRUE (member.messages().empty())
        << "the lease would depend on a term that a crash could lose";
    member.sync();
    EXPECT_EQ (member.sent<AppendReply>().size(), 1U);
}

TEST (RaftFollower, SendsNoRefusalInUnsyncedTerm)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 1, 0 }, { 1 }));
    member.receive (2, 2, AppendRequest{ 5, 2, 0, 1, {} });
    EXPECT_TRUE (member.messages().empty()) << "a refusal confirms the leader's lease as well";
    member.sync();
    ASSERT_EQ (member.sent<AppendReply>().size(), 1U);
    EXPECT_FALSE (member.sent<AppendReply>()[0].accepted);
}

TEST (RaftFollower, SendsNothingAfterDiskFailure)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 1, 0 }, { 1 }));
    member.receive (2, 1, AppendRequest{ 1, 1, 0, 1, { command (2, 1) } });
    member.node().onStorageFailed();
    member.sync();
    member.receive (2, 1, AppendRequest{ 1, 1, 0, 2, {} });
    member.advance (milliseconds (2000));
    member.receive (2, 7, VoteRequest{ false, true, 9, 6 });
    EXPECT_TRUE (member.messages().empty());
}

TEST (RaftSnapshot, IsAcknowledgedOnlyOnceSynced)
{
    MemberHarness member (testVoters (3));
    for (const SnapshotChunk& chunk : chunksOf (snapshotAt (50, 2, "state"), 1))
    {
        member.receive (2, 3, chunk);
    }
    ASSERT_TRUE (member.installed().has_value());
    EXPECT_FALSE (isInstalled (member));
    member.sync();
    EXPECT_TRUE (isInstalled (member));
    EXPECT_EQ (member.status().commitIndex, 50U);
}

TEST (RaftSnapshot, IgnoresChunksOfEarlierLeader)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 4, 0 }, {}));
    for (const SnapshotChunk& chunk : chunksOf (snapshotAt (50, 2, "state"), 1))
    {
        member.receive (2, 3, chunk);
    }
    member.sync();
    EXPECT_FALSE (member.installed().has_value());
    EXPECT_TRUE (member.messages().empty());
}

TEST (RaftSnapshot, DoesNotMixChunksOfTwoLeaders)
{
    const auto first = chunksOf (snapshotAt (50, 2, std::string (1000, 'a')), 2);
    const auto second = chunksOf (snapshotAt (50, 2, std::string (1000, 'b')), 2);
    MemberHarness member (testVoters (3));
    member.receive (2, 3, first[0]);
    member.receive (3, 4, second[1]);
    member.sync();
    EXPECT_FALSE (member.installed().has_value());
    EXPECT_EQ (member.sent<SnapshotReply>().back().nextOffset, 0U)
        << "discards the chunks of the first leader";
    for (const SnapshotChunk& chunk : second)
        member.receive (3, 4, chunk);
    ASSERT_TRUE (member.installed().has_value());
    EXPECT_EQ (member.installed()->data, std::string (1000, 'b'));
}

TEST (RaftSnapshot, OldSnapshotNeverRevertsState)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 3, 0 }, { 1, 2, 3 }));
    member.receive (2, 3, AppendRequest{ 3, 3, 3, 1, {} });
    ASSERT_EQ (member.status().commitIndex, 3U);
    for (const SnapshotChunk& chunk : chunksOf (snapshotAt (2, 2, "old"), 1))
    {
        member.receive (2, 3, chunk);
    }
    member.sync();
    EXPECT_FALSE (member.installed().has_value());
    EXPECT_TRUE (isInstalled (member)) << "the leader need not send it again";
    EXPECT_EQ (member.status().lastIndex, 3U);
}

TEST (RaftSnapshot, KeepsMatchingEntriesAfterIt)
{
    for (const bool fits : { true, false })
    {
        MemberHarness member (testVoters (3), recoveredLog ({ 3, 0 }, { 1, fits ? 2U : 1U, 3 }));
        for (const SnapshotChunk& chunk : chunksOf (snapshotAt (2, 2, "state"), 1))
        {
            member.receive (2, 3, chunk);
        }
        EXPECT_EQ (member.status().lastIndex, fits ? 3U : 2U);
        EXPECT_EQ (member.writes().back().truncateFrom.has_value(), ! fits);
    }
}

TEST (RaftSnapshot, ProvidesMembersToLearnerWhoseLogHasNone)
{
    MemberHarness member (MemberSet{});
    member.receive (
        2, 3, AppendRequest{ 0, 0, 0, 1, { command (1, 2), command (2, 2), command (3, 3) } });
    for (const SnapshotChunk& chunk : chunksOf (snapshotAt (2, 2, "state"), 1))
    {
        member.receive (2, 3, chunk);
    }
    ASSERT_TRUE (member.installed().has_value());
    EXPECT_EQ (member.status().members, testVoters (3));
}

TEST (RaftMembership, RefusesChangesBeforeAnEntryOfCurrentTermIsCommitted)
{
    MemberHarness leader (testVoters (3), recoveredLog ({ 3, 0 }, { 3 }));
    leader.lead ({ 2 });
    MemberSet members = testVoters (3);
    members.members.push_back (testMember (4, false));
    leader.acknowledge (2, 1);
    EXPECT_EQ (leader.proposeMembers (members), base::ErrorKind::kMembershipChangeRefused);
    leader.acknowledge (2, 2);
    EXPECT_EQ (leader.proposeMembers (members), std::nullopt);
}

TEST (RaftMembership, AllowsOneChangeAtATime)
{
    MemberHarness leader (testVoters (5));
    leader.lead ({ 2, 3 });
    leader.acknowledge (2, 1);
    leader.acknowledge (3, 1);
    MemberSet members = testVoters (5);
    members.members.pop_back();
    ASSERT_EQ (leader.proposeMembers (members), std::nullopt);
    members.members.pop_back();
    EXPECT_EQ (leader.proposeMembers (members), base::ErrorKind::kMembershipChangeRefused)
        << "the first change is not committed";
    leader.sync();
    leader.acknowledge (2, 2);
    leader.acknowledge (3, 2);
    EXPECT_EQ (leader.proposeMembers (members), std::nullopt);
}

TEST (RaftMembership, UncommittedChangeIsInEffectUntilReplaced)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 1, 0 }, { 1 }));
    MemberSet members = testVoters (3);
    members.members.pop_back();
    const Entry change{ 2, 1, EntryKind::kMembership, encodeMembers (members) };
    member.receive (2, 1, AppendRequest{ 1, 1, 0, 1, { change } });
    EXPECT_EQ (voterCount (member.status().members), 2U);
    member.receive (3, 2, AppendRequest{ 1, 1, 0, 1, { command (2, 2) } });
    EXPECT_EQ (voterCount (member.status().members), 3U);
}

TEST (RaftTransfer, GoesToMostAdvancedVoterOnceItHasTheWholeLog)
{
    MemberHarness leader (testVoters (3));
    leader.lead ({ 2 });
    leader.acknowledge (2, 1);
    leader.acknowledge (3, 1);
    leader.propose ("x");
    leader.sync();
    leader.acknowledge (3, 2);
    leader.propose ("y");
    leader.sync();
    ASSERT_EQ (failureOf ([&] { return leader.node().transferLeadership (leader.now()); }),
               std::nullopt);
    EXPECT_FALSE (leader.propose ("z")) << "with new proposals the target might never catch up";
    EXPECT_FALSE (leader.holdsLease());
    EXPECT_TRUE (leader.sent<TransferLeadership>().empty()) << "the target lacks an entry";
    leader.acknowledge (3, 3);
    EXPECT_EQ (leader.sent<TransferLeadership> (3).size(), 1U);
    EXPECT_TRUE (leader.sent<TransferLeadership> (2).empty());
}

TEST (RaftTransfer, LeaderStepsDownWhenTransferFails)
{
    MemberHarness leader (testVoters (3));
    leader.lead ({ 2 });
    leader.acknowledge (2, 1);
    ASSERT_EQ (failureOf ([&] { return leader.node().transferLeadership (leader.now()); }),
               std::nullopt);
    for (int step = 0; step < 6; ++step)
    {
        leader.advance (milliseconds (100));
        leader.acknowledge (2, 1);
        EXPECT_FALSE (leader.holdsLease());
    }
    EXPECT_FALSE (leader.leads()) << "the target may still receive the request";
}

TEST (RaftTransfer, AcceptsRequestsFromTheCurrentLeaderOnly)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 4, 0 }, { 4 }));
    member.receive (2, 4, AppendRequest{ 1, 4, 0, 1, {} });
    member.receive (3, 4, TransferLeadership{});
    member.receive (2, 3, TransferLeadership{});
    EXPECT_EQ (member.status().role, Role::kFollower);
    member.receive (2, 4, TransferLeadership{});
    member.sync();
    ASSERT_EQ (member.status().role, Role::kCandidate);
    EXPECT_TRUE (member.sent<VoteRequest> (3).back().isLeadershipTransfer);
}

TEST (RaftTransfer, VoterGrantsTransferVoteWithinTheLease)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 4, 0 }, { 4 }));
    member.receive (2, 4, AppendRequest{ 1, 4, 0, 1, {} });
    member.receive (3, 5, VoteRequest{ false, true, 1, 4 });
    member.sync();
    ASSERT_EQ (member.sent<VoteReply>().size(), 1U);
    EXPECT_TRUE (member.sent<VoteReply>()[0].granted);
}

}  // namespace
}  // namespace fernlift::consensus
