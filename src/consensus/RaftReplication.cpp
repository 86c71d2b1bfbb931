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
    if (m_transfer && m_now >= m_transfer->deadline)
    {
        // The target may still receive the request and campaign, so this leader cannot resume its
        // lease in this term.
        becomeFollower (m_hardState.term, 0);
        return;
    }
    for (auto& [id, member] : m_replications)
    {
        if (m_now >= member.heartbeatDueAt)
            sendHeartbeat (id, member);
    }
}

void RaftNode::Implementation::checkQuorum()
{
    const auto heardAt = majorityValue (
        m_log.members(), m_now,
        [this] (MemberId id) { return id == m_self ? m_now : m_replications.at (id).lastReplyAt; });
    if (m_now - heardAt > m_options.electionTimeoutMaximum)
        becomeFollower (m_hardState.term, 0);
}

std::uint64_t RaftNode::Implementation::beginRound (MemberReplication& member)
{
    ++m_lastRound;
    member.beginRound (m_lastRound, m_now);
    return m_lastRound;
}

void RaftNode::Implementation::sendHeartbeat (MemberId id, MemberReplication& member)
{
    member.heartbeatDueAt = m_now + m_options.heartbeatInterval;
    member.isProbeSent = false;
    AppendRequest request;
    request.commitIndex = m_commitIndex;
    request.round = beginRound (member);
    const auto previousTerm = m_log.termAt (member.nextIndex - 1);
    const bool isComparing = member.mode != ReplicationMode::kSnapshot && previousTerm.has_value();
    if (isComparing)
    {
        request.previousIndex = member.nextIndex - 1;
        request.previousTerm = *previousTerm;
    }
    send (id, std::move (request));

    constexpr int kHeartbeatsBeforeResend = 4;
    const auto resendAt =
        member.snapshot.sentAt + kHeartbeatsBeforeResend * m_options.heartbeatInterval;
    if (member.mode == ReplicationMode::kSnapshot && m_now >= resendAt)
        sendSnapshotChunk (id, member);
}

void RaftNode::Implementation::replicate()
{
    for (auto& [id, member] : m_replications)
        replicateTo (id, member);
}

void RaftNode::Implementation::replicateTo (MemberId id, MemberReplication& member)
{
    while (member.mode != ReplicationMode::kSnapshot && member.nextIndex <= m_log.lastIndex())
    {
        if (member.nextIndex < m_log.firstIndex())
        {
            startSnapshot (id, member);
            return;
        }
        const bool isProbing = member.mode == ReplicationMode::kProbe;
        if (isProbing && member.isProbeSent)
            return;
        if (! isProbing && member.inflightCount() >= m_options.maximumInflightAppends)
            return;
        sendEntries (id, member);
    }
}

void RaftNode::Implementation::sendEntries (MemberId id, MemberReplication& member)
{
    AppendRequest request;
    request.previousIndex = member.nextIndex - 1;
    request.previousTerm = m_log.termAt (request.previousIndex).value_or (0);
    request.commitIndex = m_commitIndex;
    request.round = beginRound (member);
    request.entries = m_log.slice (member.nextIndex, m_options.maximumAppendBytes);
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
    const auto found = m_replications.find (from);
    if (found == m_replications.end())
        return;
    MemberReplication& member = found->second;
    member.confirmRound (reply.round, m_now);
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
        m_log.members(), LogIndex{ 0 },
        [this] (MemberId id)
        { return id == m_self ? m_persist.stableIndex() : m_replications.at (id).matchIndex; });
    if (index <= m_commitIndex)
        return;
    // Entries of earlier terms are committed only together with an entry of the current term.
    const bool isOfThisTerm = m_log.termAt (index) == m_hardState.term;
    const bool countsAnyTerm =
        m_options.plantedFault == PlantedFault::kCommitOfEarlierTermByCounting;
    if (! isOfThisTerm && ! countsAnyTerm)
        return;
    advanceCommit (index);
    for (auto& [id, member] : m_replications)
    {
        // Without entries in flight, a heartbeat at the next tick carries the new commit index.
        if (member.inflightCount() == 0)
            member.heartbeatDueAt = m_now;
    }
    stepDownIfRemoved();
}

std::optional<base::TimePoint> RaftNode::Implementation::majorityConfirmedAt() const
{
    using Confirmed = std::optional<base::TimePoint>;
    return majorityValue (m_log.members(), Confirmed(),
                          [this] (MemberId id) -> Confirmed
                          {
                              if (id == m_self)
                                  return m_now;
                              return m_replications.at (id).confirmedSentAt();
                          });
}

}  // namespace fernlift::consensus
