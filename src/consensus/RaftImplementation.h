#pragma once

/// State and parts of RaftNode, for its own files only. Elections are in RaftElection.cpp, copying
/// the log to other members in RaftReplication.cpp, receiving it in RaftFollower.cpp, snapshots in
/// RaftSnapshot.cpp, changes of the members and of the leader in RaftMembership.cpp.

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
 * Every call is one step: it takes the time as `observe` sees it, changes the state below and
 * leaves writes in `m_persist` and messages in `m_messages`, which `takeOutput` hands over. Nothing
 * is written, sent or waited for here, so a step either happens as a whole or, when the process
 * dies, not at all.
 *
 * Threading: none. All calls come from one thread; the object owns all its state and holds no
 * reference to anything outside.
 *
 * Safety rests on three rules that every change must keep: a message that vouches for state leaves
 * only once that state is synced (`sendWhenSynced`), nothing at or below `m_commitIndex` is ever
 * truncated, and a leader commits by counting only entries of its own term.
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
    /// A planned hand-over of leadership.
    struct Transfer
    {
        MemberId target = 0;         ///< The voter that was furthest when the transfer began.
        base::TimePoint deadline;    ///< The term ends then, if the target has not taken over.
        bool isRequestSent = false;  ///< The target has everything and was asked to campaign.
    };

    // Common parts (RaftImplementation.cpp).
    void observe (base::TimePoint now);
    [[nodiscard]] bool isLeader() const { return m_role == Role::kLeader; }
    [[nodiscard]] bool isSelfVoter() const;
    void send (MemberId to, Payload payload);
    void sendWithTerm (MemberId to, Term term, Payload payload);
    /// Sends once everything decided so far is synced.
    void sendWhenSynced (MemberId to, Payload payload);
    void setHardState (Term term, MemberId votedFor);
    void becomeFollower (Term term, MemberId leader);
    void appendToLog (EntryKind kind, std::string data);
    void advanceCommit (LogIndex index);
    /// Writes down what is committed when no entry has done so for a while.
    void noteCommitIfDue();
    [[nodiscard]] base::Result<void> requireLeader() const;
    void dispatch (const Message& message);
    /// A reply of a member that this one would not ask: it was removed, perhaps with a later term.
    [[nodiscard]] bool isReplyOfStranger (const Message& message) const;

    // Elections (RaftElection.cpp).
    void resetElectionTimer();
    void onElectionTimeout();
    void startPreVote();
    void startElection (bool isLeadershipTransfer);
    void requestVotes (bool isPreVote, bool isLeadershipTransfer);
    void becomeLeader();
    void countVotes();
    /// A leader was heard so lately that its lease may still hold.
    [[nodiscard]] bool mayLeaderHoldLease() const;
    [[nodiscard]] bool isUpToDate (const VoteRequest& request) const;
    void onVoteRequest (const Message& message, const VoteRequest& request);
    void onPreVoteRequest (const Message& message, const VoteRequest& request);
    void onVoteReply (const Message& message, const VoteReply& reply);

    // Leader (RaftReplication.cpp).
    /// Number for the next message to `member`, sent now.
    std::uint64_t beginRound (MemberReplication& member);
    void leaderTick();
    void checkQuorum();
    void sendHeartbeat (MemberId id, MemberReplication& member);
    void replicate();
    void replicateTo (MemberId id, MemberReplication& member);
    void sendEntries (MemberId id, MemberReplication& member);
    void onAppendReply (MemberId from, const AppendReply& reply);
    void commitByMajority();
    /// When the last round confirmed by a majority was sent; none before the first.
    [[nodiscard]] std::optional<base::TimePoint> majorityConfirmedAt() const;

    // Follower (RaftFollower.cpp).
    void noteLeader (MemberId leader);
    void onAppendRequest (const Message& message, const AppendRequest& request);
    /// Index to try next when the request does not fit this log; none when it does.
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
    void leaveIfRemoved();
    void progressTransfer();
    void onTransferLeadership (const Message& message);

    const MemberId m_self;        ///< Never 0; never reused after a lost disk.
    const RaftOptions m_options;  ///< Equal on all members.
    base::Random m_random;        ///< Spreads election timeouts; no rule of safety rests on it.
    RaftLog m_log;           ///< As written, synced or not; holds everything up to m_commitIndex.
    PersistQueue m_persist;  ///< Every change of m_log and m_hardState passes through it, in order.
    HardState m_hardState;   ///< Latest, synced or not; the term never goes back.
    Role m_role = Role::kFollower;    ///< kLeader only in a term whose vote for itself is synced.
    MemberId m_leader = 0;            ///< Leader of the present term; 0 until it is heard.
    LogIndex m_commitIndex = 0;       ///< Never goes back; at least m_log.snapshot().lastIndex.
    LogIndex m_appliedIndex = 0;      ///< Handed over for applying; never beyond m_commitIndex.
    LogIndex m_notedCommitIndex = 0;  ///< On its way to disk or there; never beyond m_commitIndex.
    base::TimePoint m_commitNoteDueAt{};  ///< While something is committed that is not noted.
    bool m_hasStorageFailed = false;      ///< For good: from then on this member is silent.

    base::TimePoint m_now;               ///< Latest time seen; never goes back.
    base::TimePoint m_leaderHeardAt;     ///< Or the start: promises made before it are not known.
    base::TimePoint m_electionDeadline;  ///< Without a leader until then, a voter campaigns.
    base::TimePoint m_preVoteResendAt;   ///< A pre-candidate asks again then.
    std::set<MemberId> m_votes;  ///< Granted to this campaign, of pre-votes or votes by m_role.

    // Leader only; without meaning in other roles.
    std::map<MemberId, MemberReplication>
        m_replications;                   ///< Of every other member in m_log.members().
    std::uint64_t m_lastRound = 0;        ///< Of the messages to all members; never goes back.
    LogIndex m_firstIndexOfTerm = 0;      ///< The entry with which this leader began its term.
    std::optional<Transfer> m_transfer;   ///< While set: no proposals and no lease.
    std::string m_encodedSnapshot;        ///< Snapshot being sent; that of m_encodedSnapshotIndex.
    LogIndex m_encodedSnapshotIndex = 0;  ///< 0: none is encoded.

    SnapshotReceiver
        m_snapshotReceiver;           ///< Chunks received so far; lost in a crash, then sent anew.
    std::vector<Message> m_messages;  ///< Vouch for synced state only.
    std::optional<Snapshot> m_installedSnapshot;  ///< Goes out before any entry after it.
};

}  // namespace fernlift::consensus
