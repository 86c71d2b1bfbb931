#pragma once

/// Private implementation class of RaftNode. Elections are in RaftElection.cpp, replication of the
/// log by the leader in RaftReplication.cpp, its receipt by followers in RaftFollower.cpp,
/// snapshots in RaftSnapshot.cpp, membership changes and leadership transfer in RaftMembership.cpp.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Random.h"
#include "consensus/MemberReplication.h"
#include "consensus/PersistQueue.h"
#include "consensus/RaftLog.h"
#include "consensus/RaftNode.h"
#include "consensus/SnapshotReceiver.h"

namespace fernlift::consensus
{

/**
 * Decides for one member what it writes, sends and applies.
 *
 * Every call is one step: it updates the time by `observe`, changes the state below and leaves
 * writes in `m_persist` and messages in `m_messages`, which `takeOutput` returns. The class itself
 * performs no I/O and never waits, so a step is either complete or, when the process crashes, has
 * no effect.
 *
 * Threading: none. All calls come from one thread; the object owns all its state and holds no
 * reference to anything outside.
 *
 * Safety depends on three rules that every change must keep: a message that depends on durable
 * state is sent only once that state is synced (`sendWhenSynced`), nothing at or below
 * `m_commitIndex` is ever truncated, and a leader commits by counting replicas only of entries of
 * its own term.
 */
class RaftNode::Implementation
{
public:
    Implementation (MemberId self, RaftOptions options, RecoveredState recovered,
                    std::uint64_t randomSeed, base::TimePoint now);

    void receive (const Message& message, base::TimePoint now);
    void tick (base::TimePoint now);
    void onPersisted (std::uint64_t sequence, base::TimePoint now);
    void onStorageFailed();
    base::Result<LogIndex> propose (std::string data, base::TimePoint now);
    base::Result<LogIndex> proposeMembers (MemberSet members, base::TimePoint now);
    base::Result<void> transferLeadership (base::TimePoint now);
    [[nodiscard]] bool holdsLease (base::TimePoint now) const;
    void compact (LogIndex appliedIndex, std::string stateMachineData);
    RaftOutput takeOutput();
    [[nodiscard]] RaftStatus status (base::TimePoint now) const;
    [[nodiscard]] RaftSummary summary() const;
    [[nodiscard]] const MemberSet& members() const { return m_log.members(); }

private:
    /// A leadership transfer in progress.
    struct Transfer
    {
        MemberId target = 0;         ///< The most advanced voter when the transfer began.
        base::TimePoint deadline;    ///< Time at which this leader steps down if it still leads.
        bool isRequestSent = false;  ///< TransferLeadership was sent; the target has all entries.
    };

    // Common parts (RaftImplementation.cpp).
    void observe (base::TimePoint now);
    [[nodiscard]] bool isLeader() const { return m_role == Role::kLeader; }
    [[nodiscard]] bool isSelfVoter() const;
    void send (MemberId to, Payload payload);
    void sendWithTerm (MemberId to, Term term, Payload payload);
    /// Sends the message once every change of the durable state made so far is synced.
    void sendWhenSynced (MemberId to, Payload payload);
    void setHardState (Term term, MemberId votedFor);
    void becomeFollower (Term term, MemberId leader);
    void appendToLog (EntryKind kind, std::string data);
    void advanceCommit (LogIndex index);
    /// Persists the commit index when no entry has carried it to disk for kCommitRecordDelay.
    void recordCommitIfDue();
    [[nodiscard]] base::Result<void> requireLeader() const;
    void dispatch (const Message& message);
    /// True for a reply from a process that is not a member. A removed member may reply in a later
    /// term, which must not depose the leader.
    [[nodiscard]] bool isReplyFromNonMember (const Message& message) const;

    // Elections (RaftElection.cpp).
    void resetElectionTimer();
    void onElectionTimeout();
    void startPreVote();
    void startElection (bool isLeadershipTransfer);
    void requestVotes (bool isPreVote, bool isLeadershipTransfer);
    void becomeLeader();
    void countVotes();
    /// True when the last contact with a leader is so recent that its lease may still be valid.
    [[nodiscard]] bool mayLeaderHoldLease() const;
    [[nodiscard]] bool isUpToDate (const VoteRequest& request) const;
    void onVoteRequest (const Message& message, const VoteRequest& request);
    void onPreVoteRequest (const Message& message, const VoteRequest& request);
    void onVoteReply (const Message& message, const VoteReply& reply);

    // Leader (RaftReplication.cpp).
    /// Returns the round of the next message to `member` and records that it is sent now.
    std::uint64_t beginRound (MemberReplication& member);
    void leaderTick();
    void checkQuorum();
    void sendHeartbeat (MemberId id, MemberReplication& member);
    void replicate();
    void replicateTo (MemberId id, MemberReplication& member);
    void sendEntries (MemberId id, MemberReplication& member);
    void onAppendReply (MemberId from, const AppendReply& reply);
    void commitByMajority();
    /// Time at which the latest round confirmed by a majority was sent; none before the first one.
    [[nodiscard]] std::optional<base::TimePoint> majorityConfirmedAt() const;

    // Follower (RaftFollower.cpp).
    void onLeaderContact (MemberId leader);
    void onAppendRequest (const Message& message, const AppendRequest& request);
    /// Index that the leader should try next; none when the request matches this log.
    [[nodiscard]] std::optional<LogIndex> findMismatch (const AppendRequest& request) const;
    void storeEntries (const std::vector<Entry>& entries);
    void acknowledge (MemberId leader, const AppendRequest& request, LogIndex matchedIndex);

    // Snapshots (RaftSnapshot.cpp).
    void startSnapshot (MemberId id, MemberReplication& member);
    void sendSnapshotChunk (MemberId id, MemberReplication& member);
    void onSnapshotReply (MemberId from, const SnapshotReply& reply);
    void onSnapshotChunk (MemberId from, const SnapshotChunk& chunk);
    void installSnapshot (Snapshot snapshot);

    // Members and leadership (RaftMembership.cpp).
    void updateMemberReplications();
    [[nodiscard]] base::Result<void> checkPromotion (MemberId id) const;
    void stepDownIfRemoved();
    void progressTransfer();
    void onTransferLeadership (const Message& message);

    const MemberId m_self;          ///< Never 0, and never reused after the disk was lost.
    const RaftOptions m_options;    ///< Equal on all members.
    base::Random m_random;          ///< Spreads election timeouts; safety does not depend on it.
    RaftLog m_log;                  ///< Current log, synced or not; complete up to m_commitIndex.
    PersistQueue m_persist;         ///< Receives every change of m_log and m_hardState, in order.
    HardState m_hardState;          ///< Current state, synced or not; the term never decreases.
    Role m_role = Role::kFollower;  ///< kLeader only once this member's vote for itself is synced.
    MemberId m_leader = 0;          ///< Leader of the current term; 0 while unknown.
    LogIndex m_commitIndex = 0;     ///< Never decreases; at least m_log.snapshot().lastIndex.
    LogIndex m_appliedIndex = 0;    ///< Last index output for applying; at most m_commitIndex.
    LogIndex m_recordedCommitIndex = 0;  ///< Commit index queued or on disk; at most m_commitIndex.
    base::TimePoint m_commitRecordDueAt{};  ///< Meaningful while m_recordedCommitIndex is behind.
    bool m_hasStorageFailed = false;        ///< Permanent; this member then sends nothing more.

    base::TimePoint m_now;               ///< Latest time passed by a caller; never decreases.
    base::TimePoint m_leaderContactAt;   ///< Last contact with a leader; initially the start, as
                                         ///< earlier contacts are unknown.
    base::TimePoint m_electionDeadline;  ///< A voter without contact to a leader campaigns then.
    base::TimePoint m_preVoteResendAt;   ///< Time at which a pre-candidate repeats its requests.
    std::set<MemberId> m_votes;  ///< Members that granted a pre-vote or vote, depending on m_role.

    // Used by the leader only.
    std::map<MemberId, MemberReplication>
        m_replications;                  ///< One for every other member in m_log.members().
    std::uint64_t m_lastRound = 0;       ///< Last round sent to any member; never decreases.
    LogIndex m_firstIndexOfTerm = 0;     ///< Index of the first entry of this leader's term.
    std::optional<Transfer> m_transfer;  ///< While set, proposals are refused and no lease is held.
    std::string m_encodedSnapshot;       ///< Encoded snapshot that is being sent.
    LogIndex m_encodedSnapshotIndex = 0;  ///< Last index of m_encodedSnapshot; 0 if empty.

    SnapshotReceiver
        m_snapshotReceiver;  ///< Chunks received so far; not durable, so sent again after a crash.
    std::vector<Message> m_messages;  ///< Messages to send; they depend on synced state only.
    std::optional<Snapshot> m_installedSnapshot;  ///< Output before any entry that follows it.
};

}  // namespace fernlift::consensus
