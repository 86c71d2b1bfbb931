#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "consensus/Membership.h"
#include "consensus/RaftNode.h"
#include "consensus/RaftTestSupport.h"

namespace fernlift::consensus
{
namespace
{

using base::milliseconds;
using base::TimePoint;

/// Cluster of members with a network without delay. Disks sync at once unless a test stops them,
/// and a test can cut members off.
class RaftNodeTest : public ::testing::Test
{
protected:
    struct Slot
    {
        std::unique_ptr<RaftNode> node;
        std::vector<Entry> applied;
        std::optional<Snapshot> installed;
        bool isCut = false;
        bool isDiskStopped = false;
        std::uint64_t unconfirmed = 0;
    };

    static Member member (MemberId id, bool isVoter = true)
    {
        return { id, "127.0.0.1:" + std::to_string (id), "", "zone", isVoter };
    }
    static MemberSet voters (MemberId count)
    {
        MemberSet set;
        for (MemberId id = 1; id <= count; ++id)
            set.members.push_back (member (id));
        return set;
    }
    void startAll (MemberId count)
    {
        for (MemberId id = 1; id <= count; ++id)
            start (id, voters (count));
    }
    void start (MemberId id, MemberSet initialMembers, RecoveredState state = {})
    {
        state.initialMembers = std::move (initialMembers);
        m_slots[id] = Slot();
        m_slots[id].node = std::make_unique<RaftNode> (id, m_options, std::move (state), id, m_now);
    }

    void run (base::Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (m_now < end)
        {
            m_now += milliseconds (5);
            for (auto& [id, slot] : m_slots)
                slot.node->tick (m_now);
            pump();
        }
    }
    void pump()
    {
        bool isBusy = true;
        while (isBusy)
        {
            isBusy = false;
            for (auto& [id, slot] : m_slots)
                isBusy |= take (slot);
            while (! m_wire.empty())
            {
                const Message message = m_wire.front();
                m_wire.pop_front();
                const auto to = m_slots.find (message.to);
                if (to == m_slots.end() || to->second.isCut || m_slots[message.from].isCut)
                    continue;
                to->second.node->receive (message, m_now);
                isBusy = true;
            }
        }
    }
    bool take (Slot& slot)
    {
        RaftOutput output = slot.node->takeOutput();
        if (output.installedSnapshot)
            slot.installed = output.installedSnapshot;
        for (Entry& entry : output.committed)
            slot.applied.push_back (std::move (entry));
        for (Message& message : output.messages)
            m_wire.push_back (std::move (message));
        if (! output.writes.empty())
            slot.unconfirmed = output.writes.back().sequence;
        if (slot.isDiskStopped || slot.unconfirmed == 0)
            return false;
        slot.node->onPersisted (std::exchange (slot.unconfirmed, 0), m_now);
        return true;
    }
    MemberId leader()
    {
        MemberId found = 0;
        for (auto& [id, slot] : m_slots)
        {
            if (! slot.isCut && slot.node->status (m_now).role == Role::kLeader)
                found = id;
        }
        return found;
    }
    RaftNode& node (MemberId id) { return *m_slots.at (id).node; }
    RaftStatus statusOf (MemberId id) { return node (id).status (m_now); }

    std::optional<base::ErrorKind> propose (MemberId id, const std::string& data)
    {
        return failureOf ([&] { return node (id).propose (data, m_now); });
    }
    std::optional<base::ErrorKind> proposeMembers (MemberId id, const MemberSet& members)
    {
        return failureOf ([&] { return node (id).proposeMembers (members, m_now); });
    }
    template <class Operation>
    static std::optional<base::ErrorKind> failureOf (Operation&& operation)
    {
        using Kind = std::optional<base::ErrorKind>;
        return base::handleErrors (
            [&]() -> base::Result<Kind>
            {
                BOOST_LEAF_CHECK (operation());
                return Kind();
            },
            [] (const base::Error& error) { return Kind (error.kind); });
    }
    static std::size_t commandCount (const Slot& slot)
    {
        return static_cast<std::size_t> (
            std::count_if (slot.applied.begin(), slot.applied.end(),
                           [] (const Entry& entry) { return entry.kind == EntryKind::kCommand; }));
    }

    RaftOptions m_options;
    TimePoint m_now{ milliseconds (1000) };
    std::map<MemberId, Slot> m_slots;
    std::deque<Message> m_wire;
};

TEST_F (RaftNodeTest, SingleMemberLeadsAndCommits)
{
    startAll (1);
    run (milliseconds (700));
    ASSERT_EQ (leader(), 1U);
    EXPECT_EQ (propose (1, "a"), std::nullopt);
    pump();
    EXPECT_EQ (commandCount (m_slots[1]), 1U);
    EXPECT_TRUE (node (1).holdsLease (m_now));
}

TEST_F (RaftNodeTest, SingleMemberCommitsOnlyOnceSynced)
{
    startAll (1);
    run (milliseconds (700));
    m_slots[1].isDiskStopped = true;
    EXPECT_EQ (propose (1, "a"), std::nullopt);
    run (milliseconds (100));
    EXPECT_EQ (commandCount (m_slots[1]), 0U);
}

TEST_F (RaftNodeTest, ThreeMembersElectOneLeaderAndApplyTheSameLog)
{
    startAll (3);
    run (milliseconds (2000));
    const MemberId first = leader();
    ASSERT_NE (first, 0U);
    for (int count = 0; count < 100; ++count)
        EXPECT_EQ (propose (first, "x"), std::nullopt);
    run (milliseconds (100));
    for (auto& [id, slot] : m_slots)
    {
        EXPECT_EQ (commandCount (slot), 100U);
        EXPECT_EQ (slot.applied, m_slots[1].applied);
    }
    m_slots[first].isCut = true;
    run (milliseconds (2500));
    const MemberId second = leader();
    ASSERT_NE (second, 0U);
    EXPECT_NE (statusOf (first).role, Role::kLeader) << "check-quorum";
    EXPECT_FALSE (node (first).holdsLease (m_now));
    EXPECT_EQ (propose (first, "x"), base::ErrorKind::kNotLeader);
    EXPECT_EQ (propose (second, "y"), std::nullopt);
    m_slots[first].isCut = false;
    run (milliseconds (1000));
    EXPECT_EQ (leader(), second) << "a returning member must not disturb the leader";
    EXPECT_EQ (m_slots[first].applied, m_slots[second].applied);
}

TEST_F (RaftNodeTest, VoteIsSentOnlyOnceSynced)
{
    start (1, voters (3));
    m_now += milliseconds (1000);
    node (1).receive ({ 2, 1, 5, VoteRequest{ false, false, 0, 0 } }, m_now);
    RaftOutput output = node (1).takeOutput();
    EXPECT_TRUE (output.messages.empty());
    ASSERT_EQ (output.writes.size(), 1U);
    EXPECT_EQ (output.writes[0].hardState, (HardState{ 5, 2 }));
    node (1).onPersisted (output.writes[0].sequence, m_now);
    output = node (1).takeOutput();
    ASSERT_EQ (output.messages.size(), 1U);
    EXPECT_TRUE (std::get<VoteReply> (output.messages[0].payload).granted);
}

TEST_F (RaftNodeTest, RestartedMemberKeepsItsVote)
{
    RecoveredState state;
    state.hardState = { 5, 2 };
    start (1, voters (3), state);
    m_now += milliseconds (1000);
    node (1).receive ({ 3, 1, 5, VoteRequest{ false, false, 9, 4 } }, m_now);
    const RaftOutput output = node (1).takeOutput();
    ASSERT_EQ (output.messages.size(), 1U);
    EXPECT_FALSE (std::get<VoteReply> (output.messages[0].payload).granted);
}

TEST_F (RaftNodeTest, RestartedMemberAppliesCommittedEntriesWithoutLeader)
{
    const RecoveredState state = recoveredLog ({ 5, 2, 2 }, { 4, 4, 5 });
    start (1, voters (3), state);
    const RaftOutput output = node (1).takeOutput();
    ASSERT_EQ (output.committed.size(), 2U);
    EXPECT_EQ (output.committed.back().index, 2U);
}

TEST_F (RaftNodeTest, RecoveredCommitIndexIsLimitedToTheLog)
{
    const RecoveredState state = recoveredLog ({ 5, 2, 9 }, { 4, 4, 5 });
    start (1, voters (3), state);
    EXPECT_EQ (node (1).takeOutput().committed.size(), 3U);
}

TEST_F (RaftNodeTest, CommitIndexIsPersistedWithTheNextEntries)
{
    start (1, voters (3));
    const Entry first{ 1, 1, EntryKind::kCommand, "a" };
    const Entry second{ 2, 1, EntryKind::kCommand, "b" };
    node (1).receive ({ 2, 1, 1, AppendRequest{ 0, 0, 0, 1, { first } } }, m_now);
    node (1).onPersisted (node (1).takeOutput().writes.back().sequence, m_now);
    node (1).receive ({ 2, 1, 1, AppendRequest{ 1, 1, 1, 2, { second } } }, m_now);
    const RaftOutput output = node (1).takeOutput();
    ASSERT_EQ (output.writes.size(), 1U);
    ASSERT_TRUE (output.writes[0].hardState);
    EXPECT_EQ (output.writes[0].hardState->commitIndex, 1U);
    EXPECT_EQ (output.writes[0].hardState->term, 1U);
}

TEST_F (RaftNodeTest, CommitIndexIsPersistedAfterADelayWithoutEntries)
{
    start (1, voters (3));
    const Entry first{ 1, 1, EntryKind::kCommand, "a" };
    node (1).receive ({ 2, 1, 1, AppendRequest{ 0, 0, 0, 1, { first } } }, m_now);
    node (1).onPersisted (node (1).takeOutput().writes.back().sequence, m_now);
    node (1).receive ({ 2, 1, 1, AppendRequest{ 1, 1, 1, 2, {} } }, m_now);
    EXPECT_TRUE (node (1).takeOutput().writes.empty()) << "not at once: entries may follow";
    m_now += milliseconds (1100);
    node (1).receive ({ 2, 1, 1, AppendRequest{ 1, 1, 1, 3, {} } }, m_now);
    node (1).tick (m_now);
    const RaftOutput output = node (1).takeOutput();
    ASSERT_EQ (output.writes.size(), 1U);
    EXPECT_EQ (output.writes[0].hardState->commitIndex, 1U);
}

TEST_F (RaftNodeTest, RestartedMemberIgnoresVoteRequestsExceptTransfers)
{
    start (1, voters (3));
    node (1).receive ({ 3, 1, 9, VoteRequest{ false, false, 9, 4 } }, m_now + milliseconds (299));
    EXPECT_TRUE (node (1).takeOutput().messages.empty())
        << "votes are withheld, as contacts before the start are unknown";
    node (1).receive ({ 3, 1, 9, VoteRequest{ false, true, 9, 4 } }, m_now + milliseconds (299));
    EXPECT_EQ (node (1).takeOutput().writes.size(), 1U) << "leadership transfer";
}

TEST_F (RaftNodeTest, EntriesAreAcknowledgedOnlyOnceSynced)
{
    start (1, voters (3));
    AppendRequest request;
    request.entries = { { 1, 1, EntryKind::kCommand, "a" }, { 2, 1, EntryKind::kCommand, "b" } };
    node (1).receive ({ 2, 1, 1, request }, m_now);
    RaftOutput output = node (1).takeOutput();
    EXPECT_TRUE (output.messages.empty());
    ASSERT_EQ (output.writes.size(), 1U) << "one write for term and entries";
    node (1).onPersisted (output.writes[0].sequence, m_now);
    output = node (1).takeOutput();
    ASSERT_EQ (output.messages.size(), 1U);
    EXPECT_EQ (std::get<AppendReply> (output.messages[0].payload).matchIndex, 2U);
}

TEST_F (RaftNodeTest, MemberWithFailedDiskStopsLeading)
{
    startAll (3);
    run (milliseconds (2000));
    const MemberId first = leader();
    node (first).onStorageFailed();
    EXPECT_EQ (propose (first, "x"), base::ErrorKind::kNotLeader);
    run (milliseconds (2500));
    EXPECT_NE (leader(), 0U);
    EXPECT_NE (leader(), first);
}

TEST_F (RaftNodeTest, LeadershipTransferTakesEffectAtOnce)
{
    startAll (3);
    run (milliseconds (2000));
    const MemberId first = leader();
    ASSERT_TRUE (node (first).holdsLease (m_now));
    EXPECT_EQ (failureOf ([&] { return node (first).transferLeadership (m_now); }), std::nullopt);
    EXPECT_FALSE (node (first).holdsLease (m_now))
        << "the next leader does not wait for this lease";
    run (milliseconds (100));
    EXPECT_NE (leader(), first);
    EXPECT_NE (leader(), 0U);
}

TEST_F (RaftNodeTest, LearnerWithEmptyDiskReceivesSnapshotAndIsPromoted)
{
    m_options.snapshotChunkBytes = 1000;
    startAll (3);
    run (milliseconds (2000));
    const MemberId first = leader();
    for (int count = 0; count < 3000; ++count)
        EXPECT_EQ (propose (first, "x"), std::nullopt);
    run (milliseconds (200));
    node (first).compact (statusOf (first).appliedIndex, std::string (25000, 's'));

    MemberSet members = voters (3);
    members.members.push_back (member (4));
    EXPECT_EQ (proposeMembers (first, members), base::ErrorKind::kMembershipChangeRefused);
    members.members[3].isVoter = false;
    EXPECT_EQ (proposeMembers (first, members), std::nullopt);
    members.members[3].isVoter = true;
    EXPECT_EQ (proposeMembers (first, members), base::ErrorKind::kMembershipChangeRefused)
        << "the first change is not committed yet";
    run (milliseconds (100));
    EXPECT_EQ (proposeMembers (first, members), base::ErrorKind::kMembershipChangeRefused)
        << "the learner has not caught up";

    start (4, {});
    run (milliseconds (500));
    ASSERT_TRUE (m_slots[4].installed.has_value());
    EXPECT_EQ (m_slots[4].installed->data, std::string (25000, 's'));
    EXPECT_EQ (proposeMembers (first, members), std::nullopt);
    run (milliseconds (100));
    EXPECT_TRUE (isVoter (statusOf (4).members, 4));

    // After the replaced member is removed and another one is lost, the quorum still commits.
    const MemberId removed = first == 1 ? 2 : 1;
    std::erase_if (members.members, [&] (const Member& item) { return item.id == removed; });
    EXPECT_EQ (proposeMembers (first, members), std::nullopt);
    run (milliseconds (100));
    const Term term = statusOf (first).term;
    run (milliseconds (3000));
    EXPECT_EQ (statusOf (first).term, term) << "a removed member must not disturb the leader";
    m_slots[removed].isCut = true;
    m_slots[first].isCut = true;
    run (milliseconds (3000));
    ASSERT_NE (leader(), 0U);
    EXPECT_EQ (propose (leader(), "y"), std::nullopt);
    run (milliseconds (100));
    EXPECT_EQ (statusOf (leader()).commitIndex, statusOf (leader()).lastIndex);
}

TEST_F (RaftNodeTest, LeaderThatRemovesItselfStepsDownOnceCommitted)
{
    startAll (3);
    run (milliseconds (2000));
    const MemberId first = leader();
    MemberSet members = voters (3);
    std::erase_if (members.members, [&] (const Member& item) { return item.id == first; });
    EXPECT_EQ (proposeMembers (first, members), std::nullopt);
    run (milliseconds (2500));
    EXPECT_NE (leader(), 0U);
    EXPECT_NE (leader(), first);
    EXPECT_EQ (voterCount (statusOf (leader()).members), 2U);
}

}  // namespace
}  // namespace fernlift::consensus
