#include <algorithm>
#include <utility>

#include "consensus/Membership.h"
#include "consensus/RaftImplementation.h"

namespace fernlift::consensus
{
namespace
{

/// A learner can be promoted when it lacks at most this many committed entries.
constexpr LogIndex kMaxPromotionLag = 128;

boost::leaf::error_id refuse (std::string message)
{
    return base::fail (base::ErrorKind::kMembershipChangeRefused, std::move (message));
}

}  // namespace

base::Result<LogIndex> RaftNode::Implementation::proposeMembers (MemberSet members,
                                                                 base::TimePoint now)
{
    observe (now);
    BOOST_LEAF_CHECK (requireLeader());
    // An entry of this term must be committed first: a majority of the current members then follows
    // this leader.
    if (m_commitIndex < m_firstIndexOfTerm)
        return refuse ("the new leader has not committed an entry of its term yet");
    const bool isChanging = m_log.membersIndex() > m_commitIndex
                            && m_options.plantedFault != PlantedFault::kConcurrentMembershipChanges;
    if (isChanging)
        return refuse ("another membership change is not committed yet");
    std::sort (members.members.begin(), members.members.end(),
               [] (const Member& left, const Member& right) { return left.id < right.id; });
    BOOST_LEAF_AUTO (change, classifyChange (m_log.members(), members));
    if (change.step == MembershipStep::kPromote)
        BOOST_LEAF_CHECK (checkPromotion (change.member));
    appendToLog (EntryKind::kMembership, encodeMembers (members));
    updateMemberReplications();
    return m_log.lastIndex();
}

base::Result<void> RaftNode::Implementation::checkPromotion (MemberId id) const
{
    const MemberReplication& member = m_replications.at (id);
    const bool isCaughtUp = member.mode == ReplicationMode::kPipeline
                            && member.matchIndex + kMaxPromotionLag >= m_commitIndex;
    const bool isAlive = m_now - member.lastReplyAt < m_options.electionTimeoutMinimum;
    if (isCaughtUp && isAlive && member.matchIndex > 0)
        return {};
    return refuse ("learner " + std::to_string (id) + " has not caught up");
}

void RaftNode::Implementation::updateMemberReplications()
{
    const MemberSet& members = m_log.members();
    std::erase_if (m_replications,
                   [&] (const auto& item) { return findMember (members, item.first) == nullptr; });
    for (const Member& member : members.members)
    {
        if (member.id == m_self)
            continue;
        m_replications.try_emplace (member.id, m_log.lastIndex(), m_now);
    }
}

void RaftNode::Implementation::stepDownIfRemoved()
{
    const bool isChangeCommitted = m_log.membersIndex() <= m_commitIndex;
    if (isSelfVoter() || ! isChangeCommitted)
        return;
    for (auto& [id, member] : m_replications)
        sendHeartbeat (id, member);
    becomeFollower (m_hardState.term, 0);
}

base::Result<void> RaftNode::Implementation::transferLeadership (base::TimePoint now)
{
    observe (now);
    if (! isLeader())
        return base::fail (base::ErrorKind::kNotLeader, "this member is not the leader");
    if (m_transfer)
        return {};
    MemberId target = 0;
    LogIndex furthest = 0;
    for (const auto& [id, member] : m_replications)
    {
        const bool isAlive = m_now - member.lastReplyAt < m_options.electionTimeoutMinimum;
        if (! isVoter (m_log.members(), id) || ! isAlive || member.matchIndex < furthest)
            continue;
        target = id;
        furthest = member.matchIndex;
    }
    if (target == 0)
    {
        return base::fail (base::ErrorKind::kNoQuorum,
                           "no other voter is reachable to take over leadership");
    }
    m_transfer = Transfer{ target, m_now + m_options.electionTimeoutMaximum, false };
    progressTransfer();
    return {};
}

void RaftNode::Implementation::progressTransfer()
{
    if (! isLeader() || ! m_transfer || m_transfer->isRequestSent)
        return;
    const auto found = m_replications.find (m_transfer->target);
    if (found == m_replications.end() || found->second.matchIndex < m_log.lastIndex())
        return;
    m_transfer->isRequestSent = true;
    send (m_transfer->target, TransferLeadership{});
}

void RaftNode::Implementation::onTransferLeadership (const Message& message)
{
    const bool isFromLeader = m_role == Role::kFollower && m_leader == message.from;
    if (isFromLeader && isSelfVoter())
        startElection (true);
}

}  // namespace fernlift::consensus
