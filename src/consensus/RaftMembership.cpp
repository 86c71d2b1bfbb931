#include <algorithm>
#include <utility>

#include "consensus/Membership.h"
#include "consensus/RaftImplementation.h"

namespace fernlift::consensus
{
namespace
{

/// A learner may be promoted when it lacks at most this many committed entries.
constexpr LogIndex kMaximumPromotionLag = 128;

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
    // A majority of the present members must know this leader before the members change.
    if (commitIndex_ < firstIndexOfTerm_)
        return refuse ("the leader has just been elected");
    const bool isChanging = log_.membersIndex() > commitIndex_
                            && options_.plantedFault != PlantedFault::kConcurrentMembershipChanges;
    if (isChanging)
        return refuse ("another change is in progress");
    std::sort (members.members.begin(), members.members.end(),
               [] (const Member& left, const Member& right) { return left.id < right.id; });
    BOOST_LEAF_AUTO (change, classifyChange (log_.members(), members));
    if (change.step == MembershipStep::kPromote)
        BOOST_LEAF_CHECK (checkPromotion (change.member));
    appendToLog (EntryKind::kMembership, encodeMembers (members));
    updateMemberReplications();
    return log_.lastIndex();
}

base::Result<void> RaftNode::Implementation::checkPromotion (MemberId id) const
{
    const MemberReplication& member = replications_.at (id);
    const bool isCaughtUp = member.mode == ReplicationMode::kPipeline
                            && member.matchIndex + kMaximumPromotionLag >= commitIndex_;
    const bool isAlive = now_ - member.lastReplyAt < options_.electionTimeoutMinimum;
    if (isCaughtUp && isAlive && member.matchIndex > 0)
        return {};
    return refuse ("learner " + std::to_string (id) + " has not caught up");
}

void RaftNode::Implementation::updateMemberReplications()
{
    const MemberSet& members = log_.members();
    std::erase_if (replications_,
                   [&] (const auto& item) { return findMember (members, item.first) == nullptr; });
    for (const Member& member : members.members)
    {
        if (member.id == self_)
            continue;
        replications_.try_emplace (member.id, log_.lastIndex(), now_);
    }
}

void RaftNode::Implementation::leaveIfRemoved()
{
    const bool isChangeCommitted = log_.membersIndex() <= commitIndex_;
    if (isSelfVoter() || ! isChangeCommitted)
        return;
    for (auto& [id, member] : replications_)
        sendHeartbeat (id, member);
    becomeFollower (hardState_.term, 0);
}

base::Result<void> RaftNode::Implementation::transferLeadership (base::TimePoint now)
{
    observe (now);
    if (! isLeader())
        return base::fail (base::ErrorKind::kNotLeader, "this member does not lead");
    if (transfer_)
        return {};
    MemberId target = 0;
    LogIndex furthest = 0;
    for (const auto& [id, member] : replications_)
    {
        const bool isAlive = now_ - member.lastReplyAt < options_.electionTimeoutMinimum;
        if (! isVoter (log_.members(), id) || ! isAlive || member.matchIndex < furthest)
            continue;
        target = id;
        furthest = member.matchIndex;
    }
    if (target == 0)
    {
        return base::fail (base::ErrorKind::kNoQuorum, "no other voter can take over leadership");
    }
    transfer_ = Transfer{ target, now_ + options_.electionTimeoutMaximum, false };
    progressTransfer();
    return {};
}

void RaftNode::Implementation::progressTransfer()
{
    if (! isLeader() || ! transfer_ || transfer_->isRequestSent)
        return;
    const auto found = replications_.find (transfer_->target);
    if (found == replications_.end() || found->second.matchIndex < log_.lastIndex())
        return;
    transfer_->isRequestSent = true;
    send (transfer_->target, TransferLeadership{});
}

void RaftNode::Implementation::onTransferLeadership (const Message& message)
{
    const bool isFromLeader = role_ == Role::kFollower && leader_ == message.from;
    if (isFromLeader && isSelfVoter())
        startElection (true);
}

}  // namespace fernlift::consensus
