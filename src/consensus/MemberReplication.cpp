#include "consensus/MemberReplication.h"

#include <algorithm>

namespace fernlift::consensus
{
namespace
{

/// Limit of rounds kept for a member that does not reply; older ones can no longer extend a lease.
constexpr std::size_t kMaxUnansweredRounds = 256;

}  // namespace

void MemberReplication::beginRound (std::uint64_t round, base::TimePoint now)
{
    m_unanswered.push_back ({ round, now });
    if (m_unanswered.size() > kMaxUnansweredRounds)
        m_unanswered.pop_front();
}

void MemberReplication::confirmRound (std::uint64_t round, base::TimePoint now)
{
    lastReplyAt = now;
    while (! m_unanswered.empty() && m_unanswered.front().number <= round)
    {
        if (m_unanswered.front().number == round)
            m_confirmedSentAt = m_unanswered.front().sentAt;
        m_unanswered.pop_front();
    }
}

void MemberReplication::acknowledge (LogIndex index)
{
    matchIndex = std::max (matchIndex, index);
    nextIndex = std::max (nextIndex, matchIndex + 1);
    while (! m_inflight.empty() && m_inflight.front() <= matchIndex)
        m_inflight.pop_front();
}

void MemberReplication::probeFrom (LogIndex index)
{
    mode = ReplicationMode::kProbe;
    nextIndex = std::max (index, matchIndex + 1);
    isProbeSent = false;
    m_inflight.clear();
}

}  // namespace fernlift::consensus
