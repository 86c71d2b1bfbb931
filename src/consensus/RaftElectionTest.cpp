// Tests of votes, leases and check-quorum of a single member.

#include <gtest/gtest.h>

#include "consensus/RaftTestSupport.h"

namespace fernlift::consensus
{
namespace
{

using base::milliseconds;

VoteRequest preVote (LogIndex lastIndex, Term lastTerm)
{
    return { true, false, lastIndex, lastTerm };
}
VoteRequest vote (LogIndex lastIndex, Term lastTerm)
{
    return { false, false, lastIndex, lastTerm };
}

bool hasGrantedVote (const MemberHarness& member)
{
    for (const VoteReply& reply : member.sent<VoteReply>())
    {
        if (reply.granted)
            return true;
    }
    return false;
}

TEST (RaftVote, RestartedMemberGrantsNoVoteDuringPossibleLease)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 5, 0 }, { 5 }));
    member.advance (milliseconds (299));
    member.receive (2, 6, preVote (9, 5));
    member.receive (2, 6, vote (9, 5));
    EXPECT_TRUE (member.messages().empty());
    EXPECT_EQ (member.status().term, 5U) << "an ignored request does not change the term";
    member.advance (milliseconds (1));
    member.receive (2, 6, preVote (9, 5));
    EXPECT_TRUE (hasGrantedVote (member));
}

TEST (RaftVote, NoVoteWithinMinimumElectionTimeoutAfterLeaderContact)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 5, 0 }, { 5 }));
    member.advance (milliseconds (290));
    member.receive (3, 5, AppendRequest{ 1, 5, 0, 1, {} });
    member.clearSent();
    member.advance (milliseconds (299));
    member.receive (2, 6, preVote (9, 5));
    member.receive (2, 6, vote (9, 5));
    EXPECT_TRUE (member.sent<VoteReply>().empty());
    member.advance (milliseconds (1));
    member.receive (2, 6, vote (9, 5));
    member.sync();
    EXPECT_TRUE (hasGrantedVote (member));
}

TEST (RaftVote, PreVoteChangesNoState)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 5, 2 }, { 5 }));
    member.advance (milliseconds (300));
    member.receive (3, 6, preVote (9, 5));
    EXPECT_TRUE (hasGrantedVote (member));
    EXPECT_TRUE (member.writes().empty());
    EXPECT_EQ (member.status().term, 5U);
}

TEST (RaftVote, GrantsOneVotePerTerm)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 5, 0 }, { 5 }));
    member.advance (milliseconds (300));
    member.receive (2, 6, vote (1, 5));
    member.sync();
    ASSERT_TRUE (hasGrantedVote (member));
    member.clearSent();
    member.receive (3, 6, vote (9, 5));
    member.sync();
    ASSERT_EQ (member.sent<VoteReply>().size(), 1U);
    EXPECT_FALSE (hasGrantedVote (member));
    member.receive (2, 6, vote (1, 5));
    EXPECT_TRUE (hasGrantedVote (member)) << "the same candidate may repeat its request";
}

TEST (RaftVote, RefusesCandidateWhoseLogIsBehind)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 5, 0 }, { 3, 5 }));
    member.advance (milliseconds (300));
    for (const bool isPreVote : { true, false })
    {
        member.receive (2, 6, VoteRequest{ isPreVote, false, 1, 5 });
        member.receive (2, 6, VoteRequest{ isPreVote, false, 9, 4 });
    }
    member.sync();
    EXPECT_EQ (member.sent<VoteReply>().size(), 4U);
    EXPECT_FALSE (hasGrantedVote (member));
}

TEST (RaftVote, IgnoresVotesOfEarlierTerms)
{
    MemberHarness member (testVoters (3), recoveredLog ({ 5, 0 }, { 5 }));
    while (member.status().role != Role::kPreCandidate)
        member.advance (milliseconds (5));
    member.receive (2, 5, VoteReply{ true, true });
    EXPECT_EQ (member.status().role, Role::kPreCandidate) << "a pre-vote for an earlier term";
    member.receive (2, 6, VoteReply{ true, true });
    member.sync();
    ASSERT_EQ (member.status().role, Role::kCandidate);
    member.receive (2, 5, VoteReply{ false, true });
    member.receive (3, 6, VoteReply{ true, true });
    EXPECT_EQ (member.status().role, Role::kCandidate) << "a pre-vote does not count as a vote";
    member.receive (2, 6, VoteReply{ false, true });
    EXPECT_TRUE (member.leads());
}

TEST (RaftVote, CandidateCountsItsOwnVoteOnlyOnceSynced)
{
    MemberHarness member (testVoters (3));
    while (member.status().role != Role::kPreCandidate)
        member.advance (milliseconds (5));
    member.clearSent();
    member.receive (2, 1, VoteReply{ true, true });
    EXPECT_TRUE (member.sent<VoteRequest>().empty()) << "no request before its own vote is synced";
    member.receive (2, 1, VoteReply{ false, true });
    EXPECT_EQ (member.status().role, Role::kCandidate);
    member.sync();
    EXPECT_TRUE (member.leads());
}

TEST (RaftVote, IgnoresVotesOfLearnersAndNonMembers)
{
    MemberSet members = testVoters (5);
    members.members.push_back (testMember (6, false));
    MemberHarness member (members);
    while (member.status().role != Role::kPreCandidate)
        member.advance (milliseconds (5));
    EXPECT_TRUE (member.sent<VoteRequest> (6).empty()) << "learners receive no vote request";
    for (const MemberId id : { 2, 6, 7, 8 })
        member.receive (id, 1, VoteReply{ true, true });
    EXPECT_EQ (member.status().role, Role::kPreCandidate);
    member.receive (3, 1, VoteReply{ true, true });
    member.sync();
    ASSERT_EQ (member.status().role, Role::kCandidate);
    EXPECT_TRUE (member.sent<VoteRequest> (6).empty());
    for (const MemberId id : { 2, 6, 7, 8 })
        member.receive (id, 1, VoteReply{ false, true });
    EXPECT_EQ (member.status().role, Role::kCandidate);
    member.receive (3, 1, VoteReply{ false, true });
    EXPECT_TRUE (member.leads());
}

TEST (RaftVote, LearnersAndNonMembersNeverCampaign)
{
    MemberSet asLearner = testVoters (3);
    asLearner.members[0].isVoter = false;
    MemberSet withoutSelf = testVoters (3);
    withoutSelf.members.erase (withoutSelf.members.begin());
    for (const MemberSet& members : { asLearner, withoutSelf, MemberSet{} })
    {
        MemberHarness member (members);
        member.receive (2, 1, AppendRequest{ 0, 0, 0, 1, {} });
        member.sync();
        member.clearSent();
        member.receive (2, 1, TransferLeadership{});
        member.advance (milliseconds (3000));
        EXPECT_TRUE (member.messages().empty());
        EXPECT_EQ (member.status().term, 1U);
    }
}

TEST (RaftVote, RemovedMemberDoesNotDisruptTheLeader)
{
    MemberHarness leader (testVoters (3));
    leader.lead ({ 2 });
    leader.acknowledge (2, 1);
    const Term term = leader.status().term;
    leader.receive (9, term + 5, vote (99, term + 4));
    leader.receive (9, term + 5, preVote (99, term + 4));
    EXPECT_TRUE (leader.leads());
    leader.receive (9, term + 5, VoteReply{ false, false });
    leader.receive (9, term + 5, AppendReply{});
    leader.receive (9, term + 5, SnapshotReply{});
    EXPECT_TRUE (leader.leads()) << "replies of a removed member are ignored";
    EXPECT_EQ (leader.status().term, term);
    leader.receive (3, term + 5, AppendReply{});
    EXPECT_FALSE (leader.leads()) << "a current member replied in a later term";
}

TEST (RaftLease, ExpiresBeforeVotersMayVoteCountedFromSendTime)
{
    MemberHarness leader (testVoters (3));
    leader.lead ({ 2 });
    EXPECT_FALSE (leader.holdsLease()) << "no member has confirmed this leader yet";
    const std::uint64_t earlierRound = leader.lastRoundTo (2);
    while (leader.lastRoundTo (2) == earlierRound)
        leader.advance (milliseconds (5));
    const auto sentAt = leader.now();
    leader.advance (milliseconds (45));
    leader.acknowledge (2, 1);
    ASSERT_TRUE (leader.holdsLease());
    leader.advance (milliseconds (100));
    EXPECT_TRUE (leader.node().holdsLease (sentAt + milliseconds (239)));
    EXPECT_FALSE (leader.node().holdsLease (sentAt + milliseconds (240)));
}

TEST (RaftLease, IsNotExtendedByLateReplyToEarlierRound)
{
    MemberHarness leader (testVoters (3));
    leader.lead ({ 2 });
    const std::uint64_t round = leader.lastRoundTo (2);
    leader.acknowledge (2, 1);
    leader.advance (milliseconds (200));
    ASSERT_TRUE (leader.holdsLease());
    ASSERT_GT (leader.lastRoundTo (2), round);
    leader.receive (2, leader.status().term, AppendReply{ true, 1, 0, round });
    leader.receive (3, leader.status().term, AppendReply{ true, 1, 0, round });
    leader.advance (milliseconds (45));
    EXPECT_FALSE (leader.holdsLease());
}

TEST (RaftLease, RequiresMajorityOfVoters)
{
    MemberSet members = testVoters (5);
    members.members.push_back (testMember (6, false));
    MemberHarness leader (members);
    leader.lead ({ 2, 3 });
    leader.acknowledge (2, 1);
    leader.acknowledge (3, 1);
    ASSERT_TRUE (leader.holdsLease());
    leader.advance (milliseconds (250));
    leader.acknowledge (2, 1);
    leader.acknowledge (6, 1);
    EXPECT_FALSE (leader.holdsLease()) << "itself, one voter and a learner";
    leader.acknowledge (4, 1);
    EXPECT_TRUE (leader.holdsLease());
}

TEST (RaftLease, RequiresAppliedEntryOfCurrentTerm)
{
    MemberHarness leader (testVoters (3), recoveredLog ({ 1, 0 }, { 1, 1 }));
    leader.lead ({ 2 });
    leader.acknowledge (2, 2);
    EXPECT_FALSE (leader.holdsLease()) << "entry 3, of its own term, is not committed";
    leader.acknowledge (2, 3);
    EXPECT_TRUE (leader.holdsLease());
}

TEST (RaftLease, IsNotExtendedByRepliesFromBeforeReadmission)
{
    MemberHarness leader (testVoters (3));
    leader.lead ({ 2 });
    leader.acknowledge (2, 1);
    leader.advance (milliseconds (500));
    leader.acknowledge (2, 1);
    const std::uint64_t earlierRound = leader.lastRoundTo (3);
    MemberSet members = testVoters (3);
    members.members.pop_back();
    ASSERT_EQ (leader.proposeMembers (members), std::nullopt);
    leader.acknowledge (2, 2);
    leader.sync();
    members.members.push_back (testMember (3, false));
    ASSERT_EQ (leader.proposeMembers (members), std::nullopt);
    leader.clearSent();
    leader.advance (milliseconds (50));
    ASSERT_GT (leader.lastRoundTo (3), 0U);
    EXPECT_GT (leader.lastRoundTo (3), earlierRound)
        << "rounds are unique among all messages of a leader";
}

/// Returns whether a voter grants a vote while the leader that it confirmed still holds its lease,
/// when the voter's clock runs `ratio` times as fast as the leader's.
bool leaseOverlapsVoteGrant (double ratio)
{
    MemberHarness leader (testVoters (3));
    leader.lead ({ 2 });
    leader.acknowledge (2, 1);
    MemberHarness voter (testVoters (3), recoveredLog ({ 1, 2 }, { 1 }));
    voter.receive (2, 1, AppendRequest{ 1, 1, 1, 1, {} });
    const auto leaderStart = leader.now();
    const auto voterStart = voter.now();
    for (int step = 1; step <= 400; ++step)
    {
        const auto leaderTime = milliseconds (step);
        const auto voterTime = base::Duration (static_cast<std::int64_t> (step * 1000 * ratio));
        voter.node().receive ({ 3, 1, 2, preVote (9, 1) }, voterStart + voterTime);
        bool isGranted = false;
        for (const Message& message : voter.node().takeOutput().messages)
        {
            const auto* reply = std::get_if<VoteReply> (&message.payload);
            isGranted = isGranted || (reply != nullptr && reply->granted);
        }
        if (isGranted)
            return leader.node().holdsLease (leaderStart + leaderTime);
    }
    return false;
}

TEST (RaftLease, IsSafeUpToTheMaximumClockDrift)
{
    const RaftOptions options;
    const double bound =
        static_cast<double> (options.electionTimeoutMinimum.count())
        / static_cast<double> ((options.electionTimeoutMinimum - options.leaseMargin).count());
    EXPECT_DOUBLE_EQ (bound, 1.25);
    EXPECT_FALSE (leaseOverlapsVoteGrant (1.0));
    EXPECT_FALSE (leaseOverlapsVoteGrant (bound));
    EXPECT_TRUE (leaseOverlapsVoteGrant (bound + 0.05))
        << "beyond the bound the check detects an overlap";
}

TEST (RaftCheckQuorum, LeaderWithoutMajorityStepsDown)
{
    MemberSet members = testVoters (3);
    members.members.push_back (testMember (4, false));
    MemberHarness leader (members);
    leader.lead ({ 2 });
    leader.acknowledge (2, 1);
    leader.advance (milliseconds (595));
    EXPECT_TRUE (leader.leads());
    leader.acknowledge (4, 1);
    leader.advance (milliseconds (10));
    EXPECT_FALSE (leader.leads()) << "a learner is not part of the majority";
    EXPECT_FALSE (leader.propose ("x"));
}

TEST (RaftCheckQuorum, LeaderWithMajorityKeepsLeading)
{
    MemberHarness leader (testVoters (5));
    leader.lead ({ 2, 3 });
    for (int step = 0; step < 20; ++step)
    {
        leader.acknowledge (2, 1);
        leader.acknowledge (5, 1);
        leader.advance (milliseconds (500));
    }
    EXPECT_TRUE (leader.leads());
}

}  // namespace
}  // namespace fernlift::consensus
