#include "consensus/RaftImplementation.h"

#include <algorithm>
#include <utility>

#include "consensus/Membership.h"

namespace fernlift::consensus
{
namespace
{

/// The commit index is persisted with the next entries, or after this delay if there are none.
constexpr base::Duration kCommitRecordDelay = base::seconds (1);

}  // namespace

RaftNode::Implementation::Implementation (MemberId self, RaftOptions options,
                                          RecoveredState recovered, std::uint64_t randomSeed,
                                          base::TimePoint now)
    : m_self (self),
      m_options (options),
      m_random (randomSeed),
      m_log (std::move (recovered.snapshot), std::move (recovered.entries),
             std::move (recovered.initialMembers)),
      m_persist (m_log.lastIndex()),
      m_hardState (recovered.hardState),
      m_commitIndex (std::max (m_log.snapshot().lastIndex,
                               std::min (m_hardState.commitIndex, m_log.lastIndex()))),
      m_appliedIndex (m_log.snapshot().lastIndex),
      m_recordedCommitIndex (m_commitIndex),
      m_now (now),
      m_leaderContactAt (now)
{
    if (m_appliedIndex > 0)
        m_installedSnapshot = m_log.snapshot();
    resetElectionTimer();
}

void RaftNode::Implementation::receive (const Message& message, base::TimePoint now)
{
    observe (now);
    if (m_hasStorageFailed || message.to != m_self)
        return;
    dispatch (message);
}

void RaftNode::Implementation::tick (base::TimePoint now)
{
    observe (now);
    if (m_hasStorageFailed)
        return;
    recordCommitIfDue();
    if (isLeader())
    {
        leaderTick();
    }
    else if (m_now >= m_electionDeadline)
    {
        onElectionTimeout();
    }
    else if (m_role == Role::kPreCandidate && m_now >= m_preVoteResendAt)
    {
        requestVotes (true, false);
    }
}

void RaftNode::Implementation::onPersisted (std::uint64_t sequence, base::TimePoint now)
{
    observe (now);
    if (m_hasStorageFailed)
        return;
    std::vector<Message> released = m_persist.confirm (sequence);
    std::move (released.begin(), released.end(), std::back_inserter (m_messages));
    if (m_role == Role::kCandidate)
    {
        countVotes();
    }
    else if (isLeader())
    {
        commitByMajority();
    }
}

void RaftNode::Implementation::onStorageFailed()
{
    m_hasStorageFailed = true;
    becomeFollower (m_hardState.term, 0);
    m_messages.clear();
}

base::Result<LogIndex> RaftNode::Implementation::propose (std::string data, base::TimePoint now)
{
    observe (now);
    BOOST_LEAF_CHECK (requireLeader());
    appendToLog (EntryKind::kCommand, std::move (data));
    return m_log.lastIndex();
}

bool RaftNode::Implementation::holdsLease (base::TimePoint now) const
{
    if (! isLeader() || m_transfer.has_value())
        return false;
    const bool isCaughtUp = m_appliedIndex >= m_firstIndexOfTerm && m_appliedIndex == m_commitIndex;
    if (! isCaughtUp)
        return false;
    if (m_options.plantedFault == PlantedFault::kLeaseWithoutMajority)
        return true;
    const auto confirmedAt = majorityConfirmedAt();
    if (! confirmedAt)
        return false;
    return now < *confirmedAt + m_options.electionTimeoutMinimum - m_options.leaseMargin;
}

RaftOutput RaftNode::Implementation::takeOutput()
{
    RaftOutput output;
    if (isLeader())
        replicate();
    m_hardState.commitIndex = m_commitIndex;
    if (m_persist.recordCommitted (m_hardState))
        m_recordedCommitIndex = m_commitIndex;
    output.writes = m_persist.take();
    output.messages = std::exchange (m_messages, {});
    output.installedSnapshot = std::exchange (m_installedSnapshot, std::nullopt);
    while (m_appliedIndex < m_commitIndex)
    {
        ++m_appliedIndex;
        output.committed.push_back (m_log.at (m_appliedIndex));
    }
    return output;
}

RaftSummary RaftNode::Implementation::summary() const
{
    RaftSummary summary;
    summary.self = m_self;
    summary.role = m_role;
    summary.term = m_hardState.term;
    summary.leader = m_leader;
    summary.commitIndex = m_commitIndex;
    summary.appliedIndex = m_appliedIndex;
    summary.lastIndex = m_log.lastIndex();
    return summary;
}

RaftStatus RaftNode::Implementation::status (base::TimePoint now) const
{
    RaftStatus status;
    static_cast<RaftSummary&> (status) = summary();
    status.members = m_log.members();
    for (const auto& [id, replication] : m_replications)
    {
        const Member* member = findMember (m_log.members(), id);
        if (member == nullptr)
            continue;
        status.progress.push_back ({ *member, replication.matchIndex, now - replication.lastReplyAt,
                                     replication.mode == ReplicationMode::kSnapshot });
    }
    return status;
}

void RaftNode::Implementation::observe (base::TimePoint now) { m_now = std::max (m_now, now); }

bool RaftNode::Implementation::isSelfVoter() const { return isVoter (m_log.members(), m_self); }

void RaftNode::Implementation::send (MemberId to, Payload payload)
{
    sendWithTerm (to, m_hardState.term, std::move (payload));
}

void RaftNode::Implementation::sendWithTerm (MemberId to, Term term, Payload payload)
{
    m_messages.push_back ({ m_self, to, term, std::move (payload) });
}

void RaftNode::Implementation::sendWhenSynced (MemberId to, Payload payload)
{
    if (m_persist.isSynced())
    {
        send (to, std::move (payload));
    }
    else
    {
        m_persist.hold ({ m_self, to, m_hardState.term, std::move (payload) });
    }
}

void RaftNode::Implementation::setHardState (Term term, MemberId votedFor)
{
    if (term == m_hardState.term && votedFor == m_hardState.votedFor)
        return;
    m_hardState = { term, votedFor, m_commitIndex };
    m_recordedCommitIndex = m_commitIndex;
    m_persist.setHardState (m_hardState);
}

void RaftNode::Implementation::becomeFollower (Term term, MemberId leader)
{
    if (term > m_hardState.term)
        setHardState (term, 0);
    m_role = Role::kFollower;
    m_leader = leader;
    m_votes.clear();
    m_replications.clear();
    m_transfer.reset();
    m_encodedSnapshot.clear();
    m_encodedSnapshotIndex = 0;
    resetElectionTimer();
}

void RaftNode::Implementation::appendToLog (EntryKind kind, std::string data)
{
    const Entry entry{ m_log.lastIndex() + 1, m_hardState.term, kind, std::move (data) };
    m_log.append (entry);
    m_persist.append (entry);
}

void RaftNode::Implementation::advanceCommit (LogIndex index)
{
    const LogIndex reached = std::max (m_commitIndex, std::min (index, m_log.lastIndex()));
    if (reached == m_commitIndex)
        return;
    m_commitIndex = reached;
    m_commitRecordDueAt = m_now + kCommitRecordDelay;
}

void RaftNode::Implementation::recordCommitIfDue()
{
    if (m_recordedCommitIndex == m_commitIndex || m_now < m_commitRecordDueAt)
        return;
    m_recordedCommitIndex = m_commitIndex;
    m_hardState.commitIndex = m_commitIndex;
    m_persist.setHardState (m_hardState);
}

base::Result<void> RaftNode::Implementation::requireLeader() const
{
    const bool canPropose = isLeader() && ! m_transfer.has_value();
    if (! canPropose)
        return base::fail (base::ErrorKind::kNotLeader, "this member is not the leader");
    return {};
}

bool RaftNode::Implementation::isReplyFromNonMember (const Message& message) const
{
    const bool isReply = std::holds_alternative<VoteReply> (message.payload)
                         || std::holds_alternative<AppendReply> (message.payload)
                         || std::holds_alternative<SnapshotReply> (message.payload);
    return isReply && findMember (m_log.members(), message.from) == nullptr;
}

void RaftNode::Implementation::dispatch (const Message& message)
{
    if (isReplyFromNonMember (message))
        return;
    if (const auto* request = std::get_if<VoteRequest> (&message.payload))
    {
        onVoteRequest (message, *request);
        return;
    }
    const auto* voteReply = std::get_if<VoteReply> (&message.payload);
    const bool isGrantedPreVote =
        voteReply != nullptr && voteReply->isPreVote && voteReply->granted;
    if (message.term > m_hardState.term && ! isGrantedPreVote)
        becomeFollower (message.term, 0);

    if (voteReply != nullptr)
    {
        onVoteReply (message, *voteReply);
    }
    else if (const auto* request = std::get_if<AppendRequest> (&message.payload))
    {
        onAppendRequest (message, *request);
    }
    else if (const auto* chunk = std::get_if<SnapshotChunk> (&message.payload))
    {
        if (message.term == m_hardState.term)
            onSnapshotChunk (message.from, *chunk);
    }
    else if (std::holds_alternative<TransferLeadership> (message.payload))
    {
        if (message.term == m_hardState.term)
            onTransferLeadership (message);
    }
    else if (isLeader() && message.term == m_hardState.term)
    {
        if (const auto* reply = std::get_if<AppendReply> (&message.payload))
        {
            onAppendReply (message.from, *reply);
        }
        else if (const auto* reply = std::get_if<SnapshotReply> (&message.payload))
        {
            onSnapshotReply (message.from, *reply);
        }
    }
}

}  // namespace fernlift::consensus
