#include "consensus/MemberReplication.h"

#include <algorithm>

namespace fernlift::consensus
{
namespace
{

/// Rounds remembered for a member that does not answer; older ones can no longer extend a lease.
constexpr std::size_t kMaximumUnansweredRounds = 256;

}  // namespace

void MemberReplication::beginRound (std::uint64_t round, base::TimePoint now)
{
    unanswered_.push_back ({ round, now });
    if (unanswered_.size() > kMaximumUnansweredRounds)
        unanswered_.pop_front();
}

void MemberReplication::confirmRound (std::uint64_t round, base::TimePoint now)
{
    lastReplyAt = now;
    while (! unanswered_.empty() && unanswered_.front().number <= round)
    {
        if (unanswered_.front().number == round)
            confirmedSentAt_ = unanswered_.front().sentAt;
        unanswered_.pop_front();
    }
}

void MemberReplication::acknowledge (LogIndex index)
{
    matchIndex = std::max (matchIndex, index);
    nextIndex = std::max (nextIndex, matchIndex + 1);
    while (! inflight_.empty() && inflight_.front() <= matchIndex)
        inflight_.pop_front();
}

void MemberReplication::probeFrom (LogIndex index)
{
    mode = ReplicationMode::kProbe;
    nextIndex = std::max (index, matchIndex + 1);
    isProbeSent = false;
    inflight_.clear();
}

}  // namespace fernlift::consensus
