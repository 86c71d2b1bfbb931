#include <utility>

#include "consensus/Membership.h"
#include "consensus/RaftImplementation.h"

namespace fernlift::consensus
{

void RaftNode::Implementation::resetElectionTimer()
{
    const auto wait = random_.uniformInteger (options_.electionTimeoutMinimum.count(),
                                              options_.electionTimeoutMaximum.count());
    electionDeadline_ = now_ + base::Duration (wait);
}

void RaftNode::Implementation::onElectionTimeout()
{
    resetElectionTimer();
    leader_ = 0;
    if (isSelfVoter())
        startPreVote();
}

void RaftNode::Implementation::startPreVote()
{
    role_ = Role::kPreCandidate;
    leader_ = 0;
    votes_ = { self_ };
    requestVotes (true, false);
    countVotes();
}

void RaftNode::Implementation::startElection (bool isLeadershipTransfer)
{
    role_ = Role::kCandidate;
    leader_ = 0;
    setHardState (hardState_.term + 1, self_);
    votes_ = { self_ };
    resetElectionTimer();
    requestVotes (false, isLeadershipTransfer);
    countVotes();
}

void RaftNode::Implementation::requestVotes (bool isPreVote, bool isLeadershipTransfer)
{
    const VoteRequest request{ isPreVote, isLeadershipTransfer, log_.lastIndex(), log_.lastTerm() };
    // Members that heard the old leader a moment later than this one grant a later request.
    preVoteResendAt_ = now_ + options_.heartbeatInterval;
    for (const Member& member : log_.members().members)
    {
        if (! member.isVoter || member.id == self_)
            continue;
        if (isPreVote)
        {
            sendWithTerm (member.id, hardState_.term + 1, request);
        }
        else
        {
            // A grant rests on this log and this vote: after a crash both must still be there.
            sendWhenSynced (member.id, request);
        }
    }
}

void RaftNode::Implementation::countVotes()
{
    const MemberSet& members = log_.members();
    std::size_t granted = 0;
    for (const MemberId id : votes_)
    {
        if (isVoter (members, id))
            ++granted;
    }
    if (granted <= voterCount (members) / 2)
        return;
    if (role_ == Role::kPreCandidate)
    {
        startElection (false);
    }
    else if (persist_.isHardStateSynced())
    {
        // Its own vote counts only once it is on disk.
        becomeLeader();
    }
}

void RaftNode::Implementation::becomeLeader()
{
    role_ = Role::kLeader;
    leader_ = self_;
    votes_.clear();
    transfer_.reset();
    replications_.clear();
    appendToLog (EntryKind::kNoOperation, {});
    firstIndexOfTerm_ = log_.lastIndex();
    updateMemberReplications();
}

bool RaftNode::Implementation::mayLeaderHoldLease() const
{
    if (options_.plantedFault == PlantedFault::kLeaseWithoutVoteDelay)
        return false;
    if (! isLeader())
        return now_ < leaderHeardAt_ + options_.electionTimeoutMinimum;
    const auto confirmedAt = majorityConfirmedAt();
    return confirmedAt && now_ < *confirmedAt + options_.electionTimeoutMinimum;
}

bool RaftNode::Implementation::isUpToDate (const VoteRequest& request) const
{
    const Term lastTerm = log_.lastTerm();
    if (request.lastTerm != lastTerm)
        return request.lastTerm > lastTerm;
    return request.lastIndex >= log_.lastIndex();
}

void RaftNode::Implementation::onVoteRequest (const Message& message, const VoteRequest& request)
{
    if (message.term <= hardState_.term && request.isPreVote)
    {
        send (message.from, VoteReply{ true, false });
        return;
    }
    if (message.term < hardState_.term)
    {
        send (message.from, VoteReply{ false, false });
        return;
    }
    if (! request.isLeadershipTransfer && mayLeaderHoldLease())
        return;
    if (request.isPreVote)
    {
        onPreVoteRequest (message, request);
        return;
    }
    if (message.term > hardState_.term)
        becomeFollower (message.term, 0);
    const bool isVoteFree = hardState_.votedFor == 0 || hardState_.votedFor == message.from;
    const bool isUndecided = role_ == Role::kFollower || role_ == Role::kPreCandidate;
    const bool canGrant = isUndecided && leader_ == 0 && isVoteFree;
    if (! canGrant || ! isUpToDate (request))
    {
        send (message.from, VoteReply{ false, false });
        return;
    }
    setHardState (hardState_.term, message.from);
    resetElectionTimer();
    if (options_.plantedFault == PlantedFault::kVoteBeforeSync)
    {
        send (message.from, VoteReply{ false, true });
    }
    else
    {
        sendWhenSynced (message.from, VoteReply{ false, true });
    }
}

void RaftNode::Implementation::onPreVoteRequest (const Message& message, const VoteRequest& request)
{
    if (isUpToDate (request))
    {
        sendWithTerm (message.from, message.term, VoteReply{ true, true });
    }
    else
    {
        send (message.from, VoteReply{ true, false });
    }
}

void RaftNode::Implementation::onVoteReply (const Message& message, const VoteReply& reply)
{
    if (! reply.granted)
        return;
    const bool isForPreVote =
        reply.isPreVote && role_ == Role::kPreCandidate && message.term == hardState_.term + 1;
    const bool isForVote =
        ! reply.isPreVote && role_ == Role::kCandidate && message.term == hardState_.term;
    if (! isForPreVote && ! isForVote)
        return;
    votes_.insert (message.from);
    countVotes();
}

}  // namespace fernlift::consensus
