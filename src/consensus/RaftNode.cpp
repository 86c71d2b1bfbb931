#include "consensus/RaftNode.h"

#include <utility>

#include "consensus/RaftImplementation.h"

namespace fernlift::consensus
{

RaftNode::RaftNode (MemberId self, RaftOptions options, RecoveredState recovered,
                    std::uint64_t randomSeed, base::TimePoint now)
    : implementation_ (
        std::make_unique<Implementation> (self, options, std::move (recovered), randomSeed, now))
{
}
RaftNode::~RaftNode() = default;
RaftNode::RaftNode (RaftNode&&) noexcept = default;
RaftNode& RaftNode::operator= (RaftNode&&) noexcept = default;

void RaftNode::receive (const Message& message, base::TimePoint now)
{
    implementation_->receive (message, now);
}

void RaftNode::tick (base::TimePoint now) { implementation_->tick (now); }

void RaftNode::onPersisted (std::uint64_t sequence, base::TimePoint now)
{
    implementation_->onPersisted (sequence, now);
}

void RaftNode::onStorageFailed() { implementation_->onStorageFailed(); }

base::Result<LogIndex> RaftNode::propose (std::string data, base::TimePoint now)
{
    return implementation_->propose (std::move (data), now);
}

base::Result<LogIndex> RaftNode::proposeMembers (MemberSet members, base::TimePoint now)
{
    return implementation_->proposeMembers (std::move (members), now);
}

base::Result<void> RaftNode::transferLeadership (base::TimePoint now)
{
    return implementation_->transferLeadership (now);
}

bool RaftNode::holdsLease (base::TimePoint now) const { return implementation_->holdsLease (now); }

void RaftNode::compact (LogIndex appliedIndex, std::string stateMachineData)
{
    implementation_->compact (appliedIndex, std::move (stateMachineData));
}

RaftOutput RaftNode::takeOutput() { return implementation_->takeOutput(); }

RaftStatus RaftNode::status (base::TimePoint now) const { return implementation_->status (now); }

}  // namespace fernlift::consensus
