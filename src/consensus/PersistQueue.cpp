#include "consensus/PersistQueue.h"

#include <algorithm>
#include <utility>

namespace fernlift::consensus
{

void PersistQueue::setHardState (const HardState& hardState)
{
    openRequest().hardState = hardState;
    m_hardStateSequence = m_lastSequence;
}

bool PersistQueue::recordCommitted (const HardState& hardState)
{
    if (m_queued.empty() || m_queued.back().entries.empty())
        return false;
    m_queued.back().hardState = hardState;
    return true;
}

void PersistQueue::truncateFrom (LogIndex index)
{
    const PersistRequest& open = openRequest();
    const bool mustFollow =
        open.truncateFrom.has_value() || ! open.entries.empty() || open.snapshot.has_value();
    PersistRequest& request = mustFollow ? newRequest() : m_queued.back();
    request.truncateFrom = index;
    m_stableIndex = std::min (m_stableIndex, index - 1);
    for (Pending& pending : m_pending)
    {
        pending.stableIndexAfter = std::min (pending.stableIndexAfter, index - 1);
    }
}

void PersistQueue::append (const Entry& entry)
{
    const bool mustFollow = openRequest().snapshot.has_value();
    PersistRequest& request = mustFollow ? newRequest() : m_queued.back();
    request.entries.push_back (entry);
    m_pending.back().stableIndexAfter = entry.index;
}

void PersistQueue::storeSnapshot (const Snapshot& snapshot) { openRequest().snapshot = snapshot; }

void PersistQueue::replaceBySnapshot (const Snapshot& snapshot, LogIndex commitIndex)
{
    truncateFrom (commitIndex + 1);
    openRequest().snapshot = snapshot;
    m_pending.back().stableIndexAfter = snapshot.lastIndex;
}

void PersistQueue::hold (Message message)
{
    m_held.push_back ({ m_lastSequence, std::move (message) });
}

std::vector<Message> PersistQueue::confirm (std::uint64_t sequence)
{
    m_confirmed = std::max (m_confirmed, sequence);
    while (! m_pending.empty() && m_pending.front().sequence <= m_confirmed)
    {
        m_stableIndex = m_pending.front().stableIndexAfter;
        m_pending.pop_front();
    }
    std::vector<Message> released;
    while (! m_held.empty() && m_held.front().sequence <= m_confirmed)
    {
        released.push_back (std::move (m_held.front().message));
        m_held.pop_front();
    }
    return released;
}

std::vector<PersistRequest> PersistQueue::take() { return std::exchange (m_queued, {}); }

PersistRequest& PersistQueue::openRequest()
{
    return m_queued.empty() ? newRequest() : m_queued.back();
}

PersistRequest& PersistQueue::newRequest()
{
    const LogIndex before = m_pending.empty() ? m_stableIndex : m_pending.back().stableIndexAfter;
    ++m_lastSequence;
    m_pending.push_back ({ m_lastSequence, before });
    PersistRequest& request = m_queued.emplace_back();
    request.sequence = m_lastSequence;
    return request;
}

}  // namespace fernlift::consensus
