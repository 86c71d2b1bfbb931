#include <algorithm>
#include <utility>

#include "consensus/Membership.h"
#include "consensus/RaftImplementation.h"

namespace fernlift::consensus
{

void RaftNode::Implementation::leaderTick()
{
    checkQuorum();
    if (! isLeader())
        return;
    if (transfer_ && now_ >= transfer_->deadline)
    {
        // The request to take over may still arrive, so this term cannot go on.
        becomeFollower (hardState_.term, 0);
        return;
    }
    for (auto& [id, member] : replications_)
    {
        if (now_ >= member.heartbeatDueAt)
            sendHeartbeat (id, member);
    }
}

void RaftNode::Implementation::checkQuorum()
{
    const auto heardAt = majorityValue (
        log_.members(), now_,
        [this] (MemberId id) { return id == self_ ? now_ : replications_.at (id).lastReplyAt; });
    if (now_ - heardAt > options_.electionTimeoutMaximum)
        becomeFollower (hardState_.term, 0);
}

std::uint64_t RaftNode::Implementation::beginRound (MemberReplication& member)
{
    ++lastRound_;
    member.beginRound (lastRound_, now_);
    return lastRound_;
}

void RaftNode::Implementation::sendHeartbeat (MemberId id, MemberReplication& member)
{
    member.heartbeatDueAt = now_ + options_.heartbeatInterval;
    member.isProbeSent = false;
    AppendRequest request;
    request.commitIndex = commitIndex_;
    request.round = beginRound (member);
    const auto previousTerm = log_.termAt (member.nextIndex - 1);
    const bool isComparing = member.mode != ReplicationMode::kSnapshot && previousTerm.has_value();
    if (isComparing)
    {
        request.previousIndex = member.nextIndex - 1;
        request.previousTerm = *previousTerm;
    }
    send (id, std::move (request));

    constexpr int kHeartbeatsBeforeResend = 4;
    const auto resendAt =
        member.snapshot.sentAt + kHeartbeatsBeforeResend * options_.heartbeatInterval;
    if (member.mode == ReplicationMode::kSnapshot && now_ >= resendAt)
        sendSnapshotChunk (id, member);
}

void RaftNode::Implementation::replicate()
{
    for (auto& [id, member] : replications_)
        replicateTo (id, member);
}

void RaftNode::Implementation::replicateTo (MemberId id, MemberReplication& member)
{
    while (member.mode != ReplicationMode::kSnapshot && member.nextIndex <= log_.lastIndex())
    {
        if (member.nextIndex < log_.firstIndex())
        {
            startSnapshot (id, member);
            return;
        }
        const bool isProbing = member.mode == ReplicationMode::kProbe;
        if (isProbing && member.isProbeSent)
            return;
        if (! isProbing && member.inflightCount() >= options_.maximumInflightAppends)
            return;
        sendEntries (id, member);
    }
}

void RaftNode::Implementation::sendEntries (MemberId id, MemberReplication& member)
{
    AppendRequest request;
    request.previousIndex = member.nextIndex - 1;
    request.previousTerm = log_.termAt (request.previousIndex).value_or (0);
    request.commitIndex = commitIndex_;
    request.round = beginRound (member);
    request.entries = log_.slice (member.nextIndex, options_.maximumAppendBytes);
    if (member.mode == ReplicationMode::kProbe)
    {
        member.isProbeSent = true;
        member.probeRound = request.round;
    }
    else
    {
        member.nextIndex = request.entries.back().index + 1;
        member.addInflight (request.entries.back().index);
    }
    send (id, std::move (request));
}

void RaftNode::Implementation::onAppendReply (MemberId from, const AppendReply& reply)
{
    const auto found = replications_.find (from);
    if (found == replications_.end())
        return;
    MemberReplication& member = found->second;
    member.confirmRound (reply.round, now_);
    if (reply.accepted)
        member.acknowledge (reply.matchIndex);
    if (member.mode == ReplicationMode::kSnapshot)
        return;
    if (reply.accepted)
    {
        if (member.mode == ReplicationMode::kProbe)
        {
            member.probeFrom (member.matchIndex + 1);
            member.mode = ReplicationMode::kPipeline;
        }
        commitByMajority();
    }
    else if (reply.round >= member.probeRound)
    {
        member.probeFrom (std::min (reply.hintIndex, member.nextIndex));
    }
    progressTransfer();
}

void RaftNode::Implementation::commitByMajority()
{
    const LogIndex index = majorityValue (
        log_.members(), LogIndex{ 0 },
        [this] (MemberId id)
        { return id == self_ ? persist_.stableIndex() : replications_.at (id).matchIndex; });
    if (index <= commitIndex_)
        return;
    // Entries of earlier terms are committed only through one of this term.
    const bool isOfThisTerm = log_.termAt (index) == hardState_.term;
    const bool countsAnyTerm =
        options_.plantedFault == PlantedFault::kCommitOfEarlierTermByCounting;
    if (! isOfThisTerm && ! countsAnyTerm)
        return;
    advanceCommit (index);
    for (auto& [id, member] : replications_)
    {
        // Members learn of the commit at once when no entries are on their way to them.
        if (member.inflightCount() == 0)
            member.heartbeatDueAt = now_;
    }
    leaveIfRemoved();
}

std::optional<base::TimePoint> RaftNode::Implementation::majorityConfirmedAt() const
{
    using Confirmed = std::optional<base::TimePoint>;
    return majorityValue (log_.members(), Confirmed(),
                          [this] (MemberId id) -> Confirmed
                          {
                              if (id == self_)
                                  return now_;
                              return replications_.at (id).confirmedSentAt();
                          });
}

}  // namespace fernlift::consensus
