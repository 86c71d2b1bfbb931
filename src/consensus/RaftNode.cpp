#include "consensus/RaftNode.h"

#include <utility>

#include "consensus/RaftImplementation.h"

namespace fernlift::consensus
{

RaftNode::RaftNode (MemberId self, RaftOptions options, RecoveredState recovered,
                    std::uint64_t randomSeed, base::TimePoint now)
    : m_implementation (
        std::make_unique<Implementation> (self, options, std::move (recovered), randomSeed, now))
{
}
RaftNode::~RaftNode() = default;
RaftNode::RaftNode (RaftNode&&) noexcept = default;
RaftNode& RaftNode::operator= (RaftNode&&) noexcept = default;

void RaftNode::receive (const Message& message, base::TimePoint now)
{
    m_implementation->receive (message, now);
}

void RaftNode::tick (base::TimePoint now) { m_implementation->tick (now); }

void RaftNode::onPersisted (std::uint64_t sequence, base::TimePoint now)
{
    m_implementation->onPersisted (sequence, now);
}

void RaftNode::onStorageFailed() { m_implementation->onStorageFailed(); }

base::Result<LogIndex> RaftNode::propose (std::string data, base::TimePoint now)
{
    return m_implementation->propose (std::move (data), now);
}

base::Result<LogIndex> RaftNode::proposeMembers (MemberSet members, base::TimePoint now)
{
    return m_implementation->proposeMembers (std::move (members), now);
}

base::Result<void> RaftNode::transferLeadership (base::TimePoint now)
{
    return m_implementation->transferLeadership (now);
}

bool RaftNode::holdsLease (base::TimePoint now) const { return m_implementation->holdsLease (now); }

void RaftNode::compact (LogIndex appliedIndex, std::string stateMachineData)
{
    m_implementation->compact (appliedIndex, std::move (stateMachineData));
}

RaftOutput RaftNode::takeOutput() { return m_implementation->takeOutput(); }

RaftStatus RaftNode::status (base::TimePoint now) const { return m_implementation->status (now); }
RaftSummary RaftNode::summary() const { return m_implementation->summary(); }
const MemberSet& RaftNode::members() const { return m_implementation->members(); }

}  // namespace fernlift::consensus
