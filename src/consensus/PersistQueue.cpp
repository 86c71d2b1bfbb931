#include "consensus/PersistQueue.h"

#include <algorithm>
#include <utility>

namespace fernlift::consensus
{

void PersistQueue::setHardState (const HardState& hardState)
{
    openRequest().hardState = hardState;
    hardStateSequence_ = lastSequence_;
}

void PersistQueue::truncateFrom (LogIndex index)
{
    const PersistRequest& open = openRequest();
    const bool mustFollow =
        open.truncateFrom.has_value() || ! open.entries.empty() || open.snapshot.has_value();
    PersistRequest& request = mustFollow ? newRequest() : untaken_.back();
    request.truncateFrom = index;
    stableIndex_ = std::min (stableIndex_, index - 1);
    for (Pending& pending : pending_)
    {
        pending.stableIndexAfter = std::min (pending.stableIndexAfter, index - 1);
    }
}

void PersistQueue::append (const Entry& entry)
{
    const bool mustFollow = openRequest().snapshot.has_value();
    PersistRequest& request = mustFollow ? newRequest() : untaken_.back();
    request.entries.push_back (entry);
    pending_.back().stableIndexAfter = entry.index;
}

void PersistQueue::storeSnapshot (const Snapshot& snapshot) { openRequest().snapshot = snapshot; }

void PersistQueue::replaceBySnapshot (const Snapshot& snapshot, LogIndex commitIndex)
{
    truncateFrom (commitIndex + 1);
    openRequest().snapshot = snapshot;
    pending_.back().stableIndexAfter = snapshot.lastIndex;
}

void PersistQueue::hold (Message message)
{
    held_.push_back ({ lastSequence_, std::move (message) });
}

std::vector<Message> PersistQueue::confirm (std::uint64_t sequence)
{
    confirmed_ = std::max (confirmed_, sequence);
    while (! pending_.empty() && pending_.front().sequence <= confirmed_)
    {
        stableIndex_ = pending_.front().stableIndexAfter;
        pending_.pop_front();
    }
    std::vector<Message> released;
    while (! held_.empty() && held_.front().sequence <= confirmed_)
    {
        released.push_back (std::move (held_.front().message));
        held_.pop_front();
    }
    return released;
}

std::vector<PersistRequest> PersistQueue::take() { return std::exchange (untaken_, {}); }

PersistRequest& PersistQueue::openRequest()
{
    return untaken_.empty() ? newRequest() : untaken_.back();
}

PersistRequest& PersistQueue::newRequest()
{
    const LogIndex before = pending_.empty() ? stableIndex_ : pending_.back().stableIndexAfter;
    ++lastSequence_;
    pending_.push_back ({ lastSequence_, before });
    PersistRequest& request = untaken_.emplace_back();
    request.sequence = lastSequence_;
    return request;
}

}  // namespace fernlift::consensus
