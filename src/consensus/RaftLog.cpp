#include "consensus/RaftLog.h"

#include <algorithm>
#include <cassert>

#include "consensus/Membership.h"

namespace fernlift::consensus
{

RaftLog::RaftLog (Snapshot snapshot, std::vector<Entry> entries, MemberSet initialMembers)
    : snapshot_ (std::move (snapshot)),
      precedingIndex_ (snapshot_.lastIndex),
      precedingTerm_ (snapshot_.lastTerm)
{
    const bool hasSnapshot = snapshot_.lastIndex > 0;
    memberHistory_.emplace_back (snapshot_.lastIndex,
                                 hasSnapshot ? snapshot_.members : std::move (initialMembers));
    for (Entry& entry : entries)
        append (std::move (entry));
}

Term RaftLog::lastTerm() const { return entries_.empty() ? precedingTerm_ : entries_.back().term; }

std::optional<Term> RaftLog::termAt (LogIndex index) const
{
    if (index == precedingIndex_)
        return precedingTerm_;
    if (index < precedingIndex_ || index > lastIndex())
        return std::nullopt;
    return at (index).term;
}

const Entry& RaftLog::at (LogIndex index) const
{
    assert (index >= firstIndex() && index <= lastIndex());
    return entries_[index - firstIndex()];
}

std::vector<Entry> RaftLog::slice (LogIndex from, std::size_t maximumBytes) const
{
    std::vector<Entry> result;
    std::size_t bytes = 0;
    for (LogIndex index = from; index <= lastIndex(); ++index)
    {
        const Entry& entry = at (index);
        bytes += entry.data.size();
        if (! result.empty() && bytes > maximumBytes)
            break;
        result.push_back (entry);
    }
    return result;
}

LogIndex RaftLog::firstIndexOfTermAt (LogIndex index) const
{
    const Term term = at (index).term;
    while (index > firstIndex() && at (index - 1).term == term)
        --index;
    return index;
}

void RaftLog::append (Entry entry)
{
    assert (entry.index == lastIndex() + 1);
    noteMembers (entry);
    entries_.push_back (std::move (entry));
}

void RaftLog::truncateFrom (LogIndex index)
{
    while (! entries_.empty() && lastIndex() >= index)
        entries_.pop_back();
    while (memberHistory_.size() > 1 && memberHistory_.back().first >= index)
    {
        memberHistory_.pop_back();
    }
}

void RaftLog::compact (Snapshot snapshot, std::size_t keptEntries)
{
    assert (snapshot.lastIndex <= lastIndex());
    snapshot_ = std::move (snapshot);
    while (memberHistory_.size() > 1 && memberHistory_[1].first <= snapshot_.lastIndex)
    {
        memberHistory_.erase (memberHistory_.begin());
    }
    // The log of a learner may begin without naming any members; the snapshot names them.
    memberHistory_.front().second = snapshot_.members;
    while (precedingIndex_ + keptEntries < snapshot_.lastIndex)
    {
        precedingIndex_ = entries_.front().index;
        precedingTerm_ = entries_.front().term;
        entries_.pop_front();
    }
}

void RaftLog::replaceBy (Snapshot snapshot)
{
    snapshot_ = std::move (snapshot);
    entries_.clear();
    precedingIndex_ = snapshot_.lastIndex;
    precedingTerm_ = snapshot_.lastTerm;
    memberHistory_.assign (1, { snapshot_.lastIndex, snapshot_.members });
}

const MemberSet& RaftLog::membersAt (LogIndex index) const
{
    auto isLater = [index] (const auto& item) { return item.first > index; };
    const auto firstLater =
        std::find_if (memberHistory_.begin() + 1, memberHistory_.end(), isLater);
    return std::prev (firstLater)->second;
}

void RaftLog::noteMembers (const Entry& entry)
{
    if (entry.kind != EntryKind::kMembership)
        return;
    memberHistory_.emplace_back (entry.index, decodeMembers (entry.data));
}

}  // namespace fernlift::consensus
