#include <algorithm>
#include <utility>

#include "consensus/RaftImplementation.h"

namespace fernlift::consensus
{

void RaftNode::Implementation::noteLeader (MemberId leader)
{
    if (role_ != Role::kFollower || leader_ != leader)
        becomeFollower (hardState_.term, leader);
    leaderHeardAt_ = now_;
    resetElectionTimer();
}

void RaftNode::Implementation::onAppendRequest (const Message& message,
                                                const AppendRequest& request)
{
    AppendReply refusal;
    refusal.round = request.round;
    refusal.hintIndex = log_.lastIndex() + 1;
    if (message.term < hardState_.term)
    {
        send (message.from, refusal);
        return;
    }
    noteLeader (message.from);
    if (const auto hint = findMismatch (request))
    {
        refusal.hintIndex = *hint;
        // Even a refusal extends the leader's lease, so this member's term must be on disk.
        sendWhenSynced (message.from, refusal);
        return;
    }
    storeEntries (request.entries);
    const LogIndex matchedIndex = request.previousIndex + request.entries.size();
    advanceCommit (std::min (request.commitIndex, matchedIndex));
    acknowledge (message.from, request, matchedIndex);
}

std::optional<LogIndex> RaftNode::Implementation::findMismatch (const AppendRequest& request) const
{
    // Committed entries equal the leader's.
    if (request.previousIndex <= commitIndex_)
        return std::nullopt;
    const auto term = log_.termAt (request.previousIndex);
    if (! term)
        return log_.lastIndex() + 1;
    if (*term == request.previousTerm)
        return std::nullopt;
    return std::max (log_.firstIndexOfTermAt (request.previousIndex), commitIndex_ + 1);
}

void RaftNode::Implementation::storeEntries (const std::vector<Entry>& entries)
{
    for (const Entry& entry : entries)
    {
        if (entry.index <= commitIndex_)
            continue;
        const auto storedTerm = log_.termAt (entry.index);
        if (storedTerm == entry.term)
            continue;
        if (storedTerm)
        {
            log_.truncateFrom (entry.index);
            persist_.truncateFrom (entry.index);
        }
        log_.append (entry);
        persist_.append (entry);
    }
}

void RaftNode::Implementation::acknowledge (MemberId leader, const AppendRequest& request,
                                            LogIndex matchedIndex)
{
    AppendReply reply;
    reply.accepted = true;
    reply.round = request.round;
    reply.matchIndex = matchedIndex;
    if (options_.plantedFault == PlantedFault::kAppendReplyBeforeSync)
    {
        send (leader, reply);
        return;
    }
    const bool isHeartbeat = request.entries.empty();
    if (isHeartbeat && persist_.isHardStateSynced() && ! persist_.isSynced())
    {
        // The leader hears at once that this member is alive, whatever its disk is doing.
        AppendReply partial = reply;
        partial.matchIndex = std::min (matchedIndex, persist_.stableIndex());
        send (leader, partial);
    }
    sendWhenSynced (leader, reply);
}

}  // namespace fernlift::consensus
