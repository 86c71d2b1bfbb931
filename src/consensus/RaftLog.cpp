#include "consensus/RaftLog.h"

#include <algorithm>
#include <cassert>

#include "consensus/Membership.h"

namespace fernlift::consensus
{

RaftLog::RaftLog (Snapshot snapshot, std::vector<Entry> entries, MemberSet initialMembers)
    : m_snapshot (std::move (snapshot)),
      m_precedingIndex (m_snapshot.lastIndex),
      m_precedingTerm (m_snapshot.lastTerm)
{
    const bool hasSnapshot = m_snapshot.lastIndex > 0;
    m_memberHistory.emplace_back (m_snapshot.lastIndex,
                                  hasSnapshot ? m_snapshot.members : std::move (initialMembers));
    for (Entry& entry : entries)
        append (std::move (entry));
}

Term RaftLog::lastTerm() const
{
    return m_entries.empty() ? m_precedingTerm : m_entries.back().term;
}

std::optional<Term> RaftLog::termAt (LogIndex index) const
{
    if (index == m_precedingIndex)
        return m_precedingTerm;
    if (index < m_precedingIndex || index > lastIndex())
        return std::nullopt;
    return at (index).term;
}

const Entry& RaftLog::at (LogIndex index) const
{
    assert (index >= firstIndex() && index <= lastIndex());
    return m_entries[index - firstIndex()];
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
    recordMembers (entry);
    m_entries.push_back (std::move (entry));
}

void RaftLog::truncateFrom (LogIndex index)
{
    while (! m_entries.empty() && lastIndex() >= index)
        m_entries.pop_back();
    while (m_memberHistory.size() > 1 && m_memberHistory.back().first >= index)
    {
        m_memberHistory.pop_back();
    }
}

void RaftLog::compact (Snapshot snapshot, std::size_t keptEntries)
{
    assert (snapshot.lastIndex <= lastIndex());
    m_snapshot = std::move (snapshot);
    while (m_memberHistory.size() > 1 && m_memberHistory[1].first <= m_snapshot.lastIndex)
    {
        m_memberHistory.erase (m_memberHistory.begin());
    }
    // The log of a learner may begin without any members; the snapshot contains them.
    m_memberHistory.front().second = m_snapshot.members;
    while (m_precedingIndex + keptEntries < m_snapshot.lastIndex)
    {
        m_precedingIndex = m_entries.front().index;
        m_precedingTerm = m_entries.front().term;
        m_entries.pop_front();
    }
}

void RaftLog::replaceBy (Snapshot snapshot)
{
    m_snapshot = std::move (snapshot);
    m_entries.clear();
    m_precedingIndex = m_snapshot.lastIndex;
    m_precedingTerm = m_snapshot.lastTerm;
    m_memberHistory.assign (1, { m_snapshot.lastIndex, m_snapshot.members });
}

const MemberSet& RaftLog::membersAt (LogIndex index) const
{
    auto isLater = [index] (const auto& item) { return item.first > index; };
    const auto firstLater =
        std::find_if (m_memberHistory.begin() + 1, m_memberHistory.end(), isLater);
    return std::prev (firstLater)->second;
}

void RaftLog::recordMembers (const Entry& entry)
{
    if (entry.kind != EntryKind::kMembership)
        return;
    m_memberHistory.emplace_back (entry.index, decodeMembers (entry.data));
}

}  // namespace fernlift::consensus
