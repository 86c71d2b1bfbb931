#include <algorithm>
#include <utility>

#include "consensus/RaftImplementation.h"

namespace fernlift::consensus
{

void RaftNode::Implementation::onLeaderContact (MemberId leader)
{
    if (m_role != Role::kFollower || m_leader != leader)
        becomeFollower (m_hardState.term, leader);
    m_leaderContactAt = m_now;
    resetElectionTimer();
}

void RaftNode::Implementation::onAppendRequest (const Message& message,
                                                const AppendRequest& request)
{
    AppendReply refusal;
    refusal.round = request.round;
    refusal.hintIndex = m_log.lastIndex() + 1;
    if (message.term < m_hardState.term)
    {
        send (message.from, refusal);
        return;
    }
    onLeaderContact (message.from);
    if (const auto hint = findMismatch (request))
    {
        refusal.hintIndex = *hint;
        // Even a refusal extends the leader's lease, so this member's term must be synced.
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
    // Committed entries are equal on all members, so the request matches.
    if (request.previousIndex <= m_commitIndex)
        return std::nullopt;
    const auto term = m_log.termAt (request.previousIndex);
    if (! term)
        return m_log.lastIndex() + 1;
    if (*term == request.previousTerm)
        return std::nullopt;
    return std::max (m_log.firstIndexOfTermAt (request.previousIndex), m_commitIndex + 1);
}

void RaftNode::Implementation::storeEntries (const std::vector<Entry>& entries)
{
    for (const Entry& entry : entries)
    {
        if (entry.index <= m_commitIndex)
            continue;
        const auto storedTerm = m_log.termAt (entry.index);
        if (storedTerm == entry.term)
            continue;
        if (storedTerm)
        {
            m_log.truncateFrom (entry.index);
            m_persist.truncateFrom (entry.index);
        }
        m_log.append (entry);
        m_persist.append (entry);
    }
}

void RaftNode::Implementation::acknowledge (MemberId leader, const AppendRequest& request,
                                            LogIndex matchedIndex)
{
    AppendReply reply;
    reply.accepted = true;
    reply.round = request.round;
    reply.matchIndex = matchedIndex;
    if (m_options.plantedFault == PlantedFault::kAppendReplyBeforeSync)
    {
        send (leader, reply);
        return;
    }
    const bool isHeartbeat = request.entries.empty();
    if (isHeartbeat && m_persist.isHardStateSynced() && ! m_persist.isSynced())
    {
        // Replies at once, so that a slow disk does not make this member look dead to the leader.
        AppendReply partial = reply;
        partial.matchIndex = std::min (matchedIndex, m_persist.stableIndex());
        send (leader, partial);
    }
    sendWhenSynced (leader, reply);
}

}  // namespace fernlift::consensus
