#include <utility>

#include "consensus/Membership.h"
#include "consensus/RaftImplementation.h"

namespace fernlift::consensus
{

void RaftNode::Implementation::resetElectionTimer()
{
    const auto wait = m_random.uniformInteger (m_options.electionTimeoutMinimum.count(),
                                               m_options.electionTimeoutMaximum.count());
    m_electionDeadline = m_now + base::Duration (wait);
}

void RaftNode::Implementation::onElectionTimeout()
{
    resetElectionTimer();
    m_leader = 0;
    if (isSelfVoter())
        startPreVote();
}

void RaftNode::Implementation::startPreVote()
{
    m_role = Role::kPreCandidate;
    m_leader = 0;
    m_votes = { m_self };
    requestVotes (true, false);
    countVotes();
}

void RaftNode::Implementation::startElection (bool isLeadershipTransfer)
{
    m_role = Role::kCandidate;
    m_leader = 0;
    setHardState (m_hardState.term + 1, m_self);
    m_votes = { m_self };
    resetElectionTimer();
    requestVotes (false, isLeadershipTransfer);
    countVotes();
}

void RaftNode::Implementation::requestVotes (bool isPreVote, bool isLeadershipTransfer)
{
    const VoteRequest request{ isPreVote, isLeadershipTransfer, m_log.lastIndex(),
                               m_log.lastTerm() };
    // Members whose last contact with the old leader was later than this member's ignore the first
    // request, but may grant a repeated one.
    m_preVoteResendAt = m_now + m_options.heartbeatInterval;
    for (const Member& member : m_log.members().members)
    {
        if (! member.isVoter || member.id == m_self)
            continue;
        if (isPreVote)
        {
            sendWithTerm (member.id, m_hardState.term + 1, request);
        }
        else
        {
            // A granted vote depends on this log and on the vote for itself; both must survive a
            // crash.
            sendWhenSynced (member.id, request);
        }
    }
}

void RaftNode::Implementation::countVotes()
{
    const MemberSet& members = m_log.members();
    std::size_t granted = 0;
    for (const MemberId id : m_votes)
    {
        if (isVoter (members, id))
            ++granted;
    }
    if (granted <= voterCount (members) / 2)
        return;
    if (m_role == Role::kPreCandidate)
    {
        startElection (false);
    }
    else if (m_persist.isHardStateSynced())
    {
        // The candidate's vote for itself counts only once it is synced.
        becomeLeader();
    }
}

void RaftNode::Implementation::becomeLeader()
{
    m_role = Role::kLeader;
    m_leader = m_self;
    m_votes.clear();
    m_transfer.reset();
    m_replications.clear();
    appendToLog (EntryKind::kNoOperation, {});
    m_firstIndexOfTerm = m_log.lastIndex();
    updateMemberReplications();
}

bool RaftNode::Implementation::mayLeaderHoldLease() const
{
    if (m_options.plantedFault == PlantedFault::kLeaseWithoutVoteDelay)
        return false;
    if (! isLeader())
        return m_now < m_leaderContactAt + m_options.electionTimeoutMinimum;
    const auto confirmedAt = majorityConfirmedAt();
    return confirmedAt && m_now < *confirmedAt + m_options.electionTimeoutMinimum;
}

bool RaftNode::Implementation::isUpToDate (const VoteRequest& request) const
{
    const Term lastTerm = m_log.lastTerm();
    if (request.lastTerm != lastTerm)
        return request.lastTerm > lastTerm;
    return request.lastIndex >= m_log.lastIndex();
}

void RaftNode::Implementation::onVoteRequest (const Message& message, const VoteRequest& request)
{
    if (message.term <= m_hardState.term && request.isPreVote)
    {
        send (message.from, VoteReply{ true, false });
        return;
    }
    if (message.term < m_hardState.term)
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
    if (message.term > m_hardState.term)
        becomeFollower (message.term, 0);
    const bool isVoteFree = m_hardState.votedFor == 0 || m_hardState.votedFor == message.from;
    const bool isUndecided = m_role == Role::kFollower || m_role == Role::kPreCandidate;
    const bool canGrant = isUndecided && m_leader == 0 && isVoteFree;
    if (! canGrant || ! isUpToDate (request))
    {
        send (message.from, VoteReply{ false, false });
        return;
    }
    setHardState (m_hardState.term, message.from);
    resetElectionTimer();
    if (m_options.plantedFault == PlantedFault::kVoteBeforeSync)
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
        reply.isPreVote && m_role == Role::kPreCandidate && message.term == m_hardState.term + 1;
    const bool isForVote =
        ! reply.isPreVote && m_role == Role::kCandidate && message.term == m_hardState.term;
    if (! isForPreVote && ! isForVote)
        return;
    m_votes.insert (message.from);
    countVotes();
}

}  // namespace fernlift::consensus
