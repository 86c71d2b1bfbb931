#include <gtest/gtest.h>

#include <algorithm>
#include <variant>

#include "base/Digest.h"
#include "consensus/ClusterInvariants.h"
#include "wire/Codec.h"

namespace fernlift::consensus
{
namespace
{

/// Padding that makes snapshots long enough for several chunks.
constexpr std::size_t kPaddingBytes = 300;

}  // namespace

void DigestState::apply (const Entry& entry)
{
    const std::string bytes = std::to_string (digest) + wire::encodeValue (entry);
    digest = base::stableHash (bytes);
    lastIndex = entry.index;
}

std::string DigestState::encode (MemberId by) const
{
    const std::string numbers = std::to_string (lastIndex) + " " + std::to_string (digest) + " ";
    return numbers + std::string (kPaddingBytes, static_cast<char> ('a' + by % 26));
}

std::optional<DigestState> DigestState::decode (const std::string& bytes)
{
    const auto firstSpace = bytes.find (' ');
    const auto secondSpace = bytes.find (' ', firstSpace + 1);
    if (secondSpace == std::string::npos)
        return std::nullopt;
    const std::string padding = bytes.substr (secondSpace + 1);
    if (padding != std::string (kPaddingBytes, padding.empty() ? '?' : padding[0]))
    {
        return std::nullopt;
    }
    return DigestState{ std::stoull (bytes), std::stoull (bytes.substr (firstSpace + 1)) };
}

void ClusterInvariants::fail (const std::string& invariant, MemberId id, const std::string& detail)
{
    m_violations.push_back (invariant + " (member " + std::to_string (id) + "): " + detail);
}

void ClusterInvariants::onSent (const Message& message, const DiskState& synced)
{
    const auto* vote = std::get_if<VoteReply> (&message.payload);
    const auto* append = std::get_if<AppendReply> (&message.payload);
    const auto* snapshot = std::get_if<SnapshotReply> (&message.payload);
    if (vote != nullptr && vote->granted && ! vote->isPreVote)
    {
        checkAnswer (message, synced);
        const auto [found, isNew] =
            m_votes.try_emplace ({ message.from, message.term }, message.to);
        if (! isNew && found->second != message.to)
        {
            fail ("one vote a term", message.from,
                  "two votes in term " + std::to_string (message.term));
        }
        if (synced.hardState.term == message.term && synced.hardState.votedFor != message.to)
        {
            fail ("persisted before answered", message.from, "a vote that is not on its disk");
        }
    }
    const auto* request = std::get_if<VoteRequest> (&message.payload);
    if (request != nullptr && ! request->isPreVote)
    {
        const auto [found, isNew] =
            m_votes.try_emplace ({ message.from, message.term }, message.from);
        if (found->second != message.from)
        {
            fail ("one vote a term", message.from, "votes for itself after another");
        }
    }
    if (append != nullptr && append->accepted)
    {
        checkAnswer (message, synced);
        if (message.term == synced.hardState.term)
        {
            checkHas ("append", message.from, append->matchIndex, synced);
        }
    }
    if (snapshot != nullptr && snapshot->installed)
    {
        checkAnswer (message, synced);
        checkHas ("snapshot", message.from, snapshot->lastIndex, synced);
    }
}

void ClusterInvariants::checkAnswer (const Message& message, const DiskState& synced)
{
    Term& answered = m_answeredTerms[message.from];
    if (message.term < answered)
    {
        fail ("terms never go back", message.from,
              "answers in term " + std::to_string (message.term) + " after "
                  + std::to_string (answered));
    }
    answered = std::max (answered, message.term);
    if (synced.hardState.term < message.term)
    {
        fail ("persisted before answered", message.from, "a term that is not on its disk");
    }
}

void ClusterInvariants::checkHas (const std::string& what, MemberId id, LogIndex index,
                                  const DiskState& synced)
{
    if (synced.lastIndex() >= index)
        return;
    fail ("persisted before answered", id,
          what + " up to " + std::to_string (index) + ", its disk has "
              + std::to_string (synced.lastIndex()));
}

void ClusterInvariants::onLeader (MemberId id, Term term, const DiskState& written)
{
    const auto [found, isNew] = m_leaders.try_emplace (term, id);
    if (! isNew)
    {
        if (found->second == id)
            return;
        fail ("election safety", id, "second leader of term " + std::to_string (term));
    }
    for (LogIndex index = written.snapshot.lastIndex + 1; index <= m_committed.size(); ++index)
    {
        const Committed& committed = m_committed[index - 1];
        if (committed.committedIn >= term || written.termAt (index) == committed.term)
            continue;
        fail ("leader completeness", id, "leads without committed entry " + std::to_string (index));
        return;
    }
}

void ClusterInvariants::onWritten (MemberId id, const PersistRequest& request,
                                   const DiskState& before)
{
    Term previousTerm = 0;
    for (const Entry& entry : request.entries)
    {
        const bool isFirst = &entry == &request.entries.front();
        if (isFirst)
        {
            const auto term = before.termAt (entry.index - 1);
            if (! term)
            {
                fail ("log matching", id, "a gap before entry " + std::to_string (entry.index));
                return;
            }
            previousTerm = *term;
        }
        const Written fresh{ previousTerm, base::stableHash (entry.data) };
        const auto [found, isNew] = m_written.try_emplace ({ entry.index, entry.term }, fresh);
        if (! isNew && found->second != fresh)
        {
            fail ("log matching", id, "entry " + std::to_string (entry.index) + " differs");
        }
        previousTerm = entry.term;
    }
    if (request.truncateFrom && *request.truncateFrom <= before.snapshot.lastIndex)
    {
        fail ("monotone commit", id, "truncates below its snapshot");
    }
}

void ClusterInvariants::onCommit (MemberId id, const RaftStatus& status, LogIndex commitBefore,
                                  const DiskState& written)
{
    if (status.commitIndex < commitBefore)
        fail ("monotone commit", id, "the commit index goes back");
    const bool isAdvance = status.role == Role::kLeader && status.commitIndex > commitBefore;
    if (isAdvance && written.termAt (status.commitIndex) != status.term)
    {
        fail ("commit rule", id, "a leader commits through an entry of an earlier term");
    }
}

void ClusterInvariants::onApplied (MemberId id, Term term, const DigestState& state,
                                   const Entry& entry)
{
    if (entry.index == m_committed.size() + 1)
    {
        m_committed.push_back ({ entry.term, term, state.digest });
        return;
    }
    const bool isKnown = entry.index <= m_committed.size();
    if (! isKnown || m_committed[entry.index - 1].digest != state.digest)
    {
        fail ("state-machine safety", id, "applies another entry " + std::to_string (entry.index));
    }
}

void ClusterInvariants::onInstalled (MemberId id, const Snapshot& snapshot)
{
    const auto state = DigestState::decode (snapshot.data);
    const bool isWhole = state && state->lastIndex == snapshot.lastIndex
                         && state->lastIndex <= m_committed.size()
                         && digestAt (state->lastIndex) == state->digest;
    if (! isWhole)
    {
        fail ("state-machine safety", id,
              "installs a wrong snapshot at " + std::to_string (snapshot.lastIndex));
    }
}

void ClusterInvariants::onLeaseRead (MemberId id, LogIndex index)
{
    if (index < m_observed)
    {
        fail ("linearizable reads", id,
              "reads " + std::to_string (index) + " after " + std::to_string (m_observed)
                  + " was seen");
    }
    m_observed = std::max (m_observed, index);
}

namespace
{

bool violates (const ClusterInvariants& invariants, const std::string& name)
{
    return std::any_of (invariants.violations().begin(), invariants.violations().end(),
                        [&] (const std::string& text) { return text.starts_with (name); });
}

Entry commandAt (LogIndex index, Term term, std::string data)
{
    return { index, term, EntryKind::kCommand, std::move (data) };
}

void applyTo (ClusterInvariants& invariants, MemberId id, DigestState& state, const Entry& entry)
{
    state.apply (entry);
    invariants.onApplied (id, entry.term, state, entry);
}

TEST (ClusterInvariants, DetectsDoubleVotesUnsyncedVotesAndDecreasingTerms)
{
    ClusterInvariants invariants;
    DiskState disk;
    disk.hardState = { 3, 2 };
    invariants.onSent ({ 1, 2, 3, VoteReply{ false, true } }, disk);
    EXPECT_TRUE (invariants.violations().empty());
    invariants.onSent ({ 1, 3, 3, VoteReply{ false, true } }, disk);
    EXPECT_TRUE (violates (invariants, "one vote a term"));
    EXPECT_TRUE (violates (invariants, "persisted before answered"));
    invariants.onSent ({ 1, 3, 2, AppendReply{ true, 0, 0, 1 } }, disk);
    EXPECT_TRUE (violates (invariants, "terms never go back"));
}

TEST (ClusterInvariants, DetectsRepliesSentBeforeSync)
{
    DiskState disk;
    disk.hardState = { 3, 0 };
    const std::vector<Message> answers{ { 1, 2, 4, VoteReply{ false, true } },
                                        { 1, 2, 3, AppendReply{ true, 1, 0, 1 } },
                                        { 1, 2, 3, SnapshotReply{ 5, 0, true, 1 } } };
    for (const Message& answer : answers)
    {
        ClusterInvariants invariants;
        invariants.onSent (answer, disk);
        EXPECT_TRUE (violates (invariants, "persisted before answered"));
    }
}

TEST (ClusterInvariants, DetectsTwoLeadersOfATermAndAMissingCommittedEntry)
{
    ClusterInvariants invariants;
    DigestState state;
    applyTo (invariants, 1, state, commandAt (1, 1, "a"));
    DiskState disk;
    disk.apply ({ 1, std::nullopt, std::nullopt, { commandAt (1, 1, "a") }, std::nullopt });
    invariants.onLeader (1, 2, disk);
    EXPECT_TRUE (invariants.violations().empty());
    invariants.onLeader (2, 2, disk);
    EXPECT_TRUE (violates (invariants, "election safety"));
    invariants.onLeader (3, 1, DiskState{});
    EXPECT_FALSE (violates (invariants, "leader completeness")) << "a late winner of the same term";
    invariants.onLeader (3, 3, DiskState{});
    EXPECT_TRUE (violates (invariants, "leader completeness"));
}

TEST (ClusterInvariants, DetectsDivergingLogsAndStates)
{
    ClusterInvariants invariants;
    DigestState first;
    DigestState second;
    applyTo (invariants, 1, first, commandAt (1, 1, "a"));
    applyTo (invariants, 2, second, commandAt (1, 1, "b"));
    EXPECT_TRUE (violates (invariants, "state-machine safety"));
    const DiskState empty;
    invariants.onWritten (1, { 1, {}, {}, { commandAt (1, 1, "a") }, {} }, empty);
    invariants.onWritten (2, { 1, {}, {}, { commandAt (1, 1, "b") }, {} }, empty);
    EXPECT_TRUE (violates (invariants, "log matching"));
}

TEST (ClusterInvariants, DetectsASnapshotOfMixedEncodings)
{
    ClusterInvariants invariants;
    DigestState state;
    applyTo (invariants, 1, state, commandAt (1, 1, "a"));
    std::string bytes = state.encode (1);
    invariants.onInstalled (2, { 1, 1, {}, bytes });
    EXPECT_TRUE (invariants.violations().empty());
    bytes.back() = state.encode (2).back();
    invariants.onInstalled (2, { 1, 1, {}, bytes });
    EXPECT_TRUE (violates (invariants, "state-machine safety"));
}

TEST (ClusterInvariants, DetectsStaleReadsAndInvalidCommits)
{
    ClusterInvariants invariants;
    invariants.onAcknowledged (7);
    invariants.onLeaseRead (1, 7);
    EXPECT_TRUE (invariants.violations().empty());
    invariants.onLeaseRead (2, 6);
    EXPECT_TRUE (violates (invariants, "linearizable reads"));
    RaftStatus status;
    status.role = Role::kLeader;
    status.term = 2;
    status.commitIndex = 1;
    DiskState disk;
    disk.apply ({ 1, std::nullopt, std::nullopt, { commandAt (1, 1, "a") }, std::nullopt });
    invariants.onCommit (1, status, 0, disk);
    EXPECT_TRUE (violates (invariants, "commit rule"));
    invariants.onCommit (1, status, 2, disk);
    EXPECT_TRUE (violates (invariants, "monotone commit"));
}

}  // namespace
}  // namespace fernlift::consensus
