#include "consensus/RaftImplementation.h"

#include <algorithm>
#include <utility>

#include "consensus/Membership.h"

namespace fernlift::consensus
{

RaftNode::Implementation::Implementation (MemberId self, RaftOptions options,
                                          RecoveredState recovered, std::uint64_t randomSeed,
                                          base::TimePoint now)
    : self_ (self),
      options_ (options),
      random_ (randomSeed),
      log_ (std::move (recovered.snapshot), std::move (recovered.entries),
            std::move (recovered.initialMembers)),
      persist_ (log_.lastIndex()),
      hardState_ (recovered.hardState),
      commitIndex_ (log_.snapshot().lastIndex),
      appliedIndex_ (commitIndex_),
      now_ (now),
      leaderHeardAt_ (now)
{
    if (commitIndex_ > 0)
        installedSnapshot_ = log_.snapshot();
    resetElectionTimer();
}

void RaftNode::Implementation::receive (const Message& message, base::TimePoint now)
{
    observe (now);
    if (hasStorageFailed_ || message.to != self_)
        return;
    dispatch (message);
}

void RaftNode::Implementation::tick (base::TimePoint now)
{
    observe (now);
    if (hasStorageFailed_)
        return;
    if (isLeader())
    {
        leaderTick();
    }
    else if (now_ >= electionDeadline_)
    {
        onElectionTimeout();
    }
    else if (role_ == Role::kPreCandidate && now_ >= preVoteResendAt_)
    {
        requestVotes (true, false);
    }
}

void RaftNode::Implementation::onPersisted (std::uint64_t sequence, base::TimePoint now)
{
    observe (now);
    if (hasStorageFailed_)
        return;
    std::vector<Message> released = persist_.confirm (sequence);
    std::move (released.begin(), released.end(), std::back_inserter (messages_));
    if (role_ == Role::kCandidate)
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
    hasStorageFailed_ = true;
    becomeFollower (hardState_.term, 0);
    messages_.clear();
}

base::Result<LogIndex> RaftNode::Implementation::propose (std::string data, base::TimePoint now)
{
    observe (now);
    BOOST_LEAF_CHECK (requireLeader());
    appendToLog (EntryKind::kCommand, std::move (data));
    return log_.lastIndex();
}

bool RaftNode::Implementation::holdsLease (base::TimePoint now) const
{
    if (! isLeader() || transfer_.has_value())
        return false;
    const bool isCaughtUp = appliedIndex_ >= firstIndexOfTerm_ && appliedIndex_ == commitIndex_;
    if (! isCaughtUp)
        return false;
    if (options_.plantedFault == PlantedFault::kLeaseWithoutMajority)
        return true;
    const auto confirmedAt = majorityConfirmedAt();
    if (! confirmedAt)
        return false;
    return now < *confirmedAt + options_.electionTimeoutMinimum - options_.leaseMargin;
}

RaftOutput RaftNode::Implementation::takeOutput()
{
    RaftOutput output;
    if (isLeader())
        replicate();
    output.writes = persist_.take();
    output.messages = std::exchange (messages_, {});
    output.installedSnapshot = std::exchange (installedSnapshot_, std::nullopt);
    while (appliedIndex_ < commitIndex_)
    {
        ++appliedIndex_;
        output.committed.push_back (log_.at (appliedIndex_));
    }
    return output;
}

RaftStatus RaftNode::Implementation::status (base::TimePoint now) const
{
    RaftStatus status;
    status.self = self_;
    status.role = role_;
    status.term = hardState_.term;
    status.leader = leader_;
    status.commitIndex = commitIndex_;
    status.appliedIndex = appliedIndex_;
    status.lastIndex = log_.lastIndex();
    status.members = log_.members();
    for (const auto& [id, replication] : replications_)
    {
        const Member* member = findMember (log_.members(), id);
        if (member == nullptr)
            continue;
        status.progress.push_back ({ *member, replication.matchIndex, now - replication.lastReplyAt,
                                     replication.mode == ReplicationMode::kSnapshot });
    }
    return status;
}

void RaftNode::Implementation::observe (base::TimePoint now) { now_ = std::max (now_, now); }

bool RaftNode::Implementation::isSelfVoter() const { return isVoter (log_.members(), self_); }

void RaftNode::Implementation::send (MemberId to, Payload payload)
{
    sendWithTerm (to, hardState_.term, std::move (payload));
}

void RaftNode::Implementation::sendWithTerm (MemberId to, Term term, Payload payload)
{
    messages_.push_back ({ self_, to, term, std::move (payload) });
}

void RaftNode::Implementation::sendWhenSynced (MemberId to, Payload payload)
{
    if (persist_.isSynced())
    {
        send (to, std::move (payload));
    }
    else
    {
        persist_.hold ({ self_, to, hardState_.term, std::move (payload) });
    }
}

void RaftNode::Implementation::setHardState (Term term, MemberId votedFor)
{
    const HardState changed{ term, votedFor };
    if (changed == hardState_)
        return;
    hardState_ = changed;
    persist_.setHardState (hardState_);
}

void RaftNode::Implementation::becomeFollower (Term term, MemberId leader)
{
    if (term > hardState_.term)
        setHardState (term, 0);
    role_ = Role::kFollower;
    leader_ = leader;
    votes_.clear();
    replications_.clear();
    transfer_.reset();
    encodedSnapshot_.clear();
    encodedSnapshotIndex_ = 0;
    resetElectionTimer();
}

void RaftNode::Implementation::appendToLog (EntryKind kind, std::string data)
{
    const Entry entry{ log_.lastIndex() + 1, hardState_.term, kind, std::move (data) };
    log_.append (entry);
    persist_.append (entry);
}

void RaftNode::Implementation::advanceCommit (LogIndex index)
{
    commitIndex_ = std::max (commitIndex_, std::min (index, log_.lastIndex()));
}

base::Result<void> RaftNode::Implementation::requireLeader() const
{
    const bool canPropose = isLeader() && ! transfer_.has_value();
    if (! canPropose)
        return base::fail (base::ErrorKind::kNotLeader, "this member does not lead");
    return {};
}

bool RaftNode::Implementation::isReplyOfStranger (const Message& message) const
{
    const bool isReply = std::holds_alternative<VoteReply> (message.payload)
                         || std::holds_alternative<AppendReply> (message.payload)
                         || std::holds_alternative<SnapshotReply> (message.payload);
    return isReply && findMember (log_.members(), message.from) == nullptr;
}

void RaftNode::Implementation::dispatch (const Message& message)
{
    if (isReplyOfStranger (message))
        return;
    if (const auto* request = std::get_if<VoteRequest> (&message.payload))
    {
        onVoteRequest (message, *request);
        return;
    }
    const auto* voteReply = std::get_if<VoteReply> (&message.payload);
    const bool isGrantedPreVote =
        voteReply != nullptr && voteReply->isPreVote && voteReply->granted;
    if (message.term > hardState_.term && ! isGrantedPreVote)
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
        if (message.term == hardState_.term)
            onSnapshotChunk (message.from, *chunk);
    }
    else if (std::holds_alternative<TransferLeadership> (message.payload))
    {
        if (message.term == hardState_.term)
            onTransferLeadership (message);
    }
    else if (isLeader() && message.term == hardState_.term)
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
