#pragma once

/// Raft as a pure state machine: messages, time and completed writes in; messages, writes and
/// committed entries out. No I/O, no clock, no thread.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"
#include "consensus/Messages.h"

namespace fernlift::consensus
{

enum class Role : std::uint8_t
{
    kFollower,
    kPreCandidate,
    kCandidate,
    kLeader
};

/// Deliberate faults, for tests only: each breaks one rule, to show that a check notices. Programs
/// never set one.
enum class PlantedFault : std::uint8_t
{
    kNone,
    kVoteBeforeSync,         ///< A vote is sent before it is synced.
    kAppendReplyBeforeSync,  ///< Entries are acknowledged before they are synced.
    kLeaseWithoutMajority,   ///< A leader claims its lease without confirmation by a majority.
    kLeaseWithoutVoteDelay,  ///< Votes are granted although a leader was heard a moment ago.
    /// A member whose disk was lost comes back under its old identity. Brought about by the test
    /// that runs the member.
    kIdentityReusedAfterDiskLoss,
    kCommitOfEarlierTermByCounting,  ///< A majority commits entries of an earlier term directly.
    kSnapshotReplyBeforeSync,        ///< A snapshot is acknowledged before it is synced.
    kConcurrentMembershipChanges,    ///< A change of members does not wait for the one before.
};

/// Timing and size limits. Durations are of the member's own monotonic clock.
struct RaftOptions
{
    base::Duration heartbeatInterval = base::milliseconds (50);
    base::Duration electionTimeoutMinimum = base::milliseconds (300);
    base::Duration electionTimeoutMaximum = base::milliseconds (600);
    /// The leader's lease ends this much before electionTimeoutMinimum after the last heartbeat
    /// round confirmed by a majority; covers clock drift.
    base::Duration leaseMargin = base::milliseconds (60);
    std::size_t maximumAppendBytes = 256UL * 1024;
    std::size_t maximumInflightAppends = 16;
    std::size_t snapshotChunkBytes = 128UL * 1024;
    /// Entries before a local snapshot that stay in memory, so that a member that lags a little
    /// needs no snapshot.
    std::size_t entriesKeptByCompaction = 1024;
    PlantedFault plantedFault = PlantedFault::kNone;  ///< For tests only.
};

/// What a member read back from its disk.
struct RecoveredState
{
    HardState hardState;
    Snapshot snapshot;           ///< lastIndex 0 when there is none.
    std::vector<Entry> entries;  ///< Contiguous, starting after the snapshot.
    MemberSet initialMembers;    ///< Used only while neither snapshot nor log names members.
};

/// One write to disk. Writes are carried out in order; `onPersisted(sequence)` confirms this one
/// and all before it, once synced.
struct PersistRequest
{
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::optional<LogIndex> truncateFrom;  ///< Drop stored entries with index >= this, first.
    std::vector<Entry> entries;            ///< Append these.
    std::optional<Snapshot> snapshot;  ///< Store it and drop the log it covers (received or local).
};

/// Everything the node wants done since the last call.
struct RaftOutput
{
    std::vector<PersistRequest> writes;
    /// Messages that may leave at once (they vouch for nothing that isn't yet synced).
    std::vector<Message> messages;
    /// Entries to apply, in order.
    std::vector<Entry> committed;
    /// A snapshot that replaces the whole state machine, before `committed`. The snapshot recovered
    /// from disk is in the first output.
    std::optional<Snapshot> installedSnapshot;
};

/// Progress of one member as its leader sees it.
struct MemberProgress
{
    Member member;
    LogIndex matchIndex = 0;
    base::Duration sinceLastReply{};
    bool isReceivingSnapshot = false;
};

/// Where one member stands; cheap to take.
struct RaftSummary
{
    MemberId self = 0;
    Role role = Role::kFollower;
    Term term = 0;
    MemberId leader = 0;  ///< 0: unknown.
    LogIndex commitIndex = 0;
    LogIndex appliedIndex = 0;
    LogIndex lastIndex = 0;
};

/// The same with all members and, at the leader, their progress.
struct RaftStatus : RaftSummary
{
    MemberSet members;
    std::vector<MemberProgress> progress;  ///< Leader only.
};

/// One member of the quorum. Single-threaded.
class RaftNode
{
public:
    RaftNode (MemberId self, RaftOptions options, RecoveredState recovered,
              std::uint64_t randomSeed, base::TimePoint now);
    ~RaftNode();
    RaftNode (RaftNode&&) noexcept;
    RaftNode& operator= (RaftNode&&) noexcept;

    /// Handles a message from another member.
    void receive (const Message& message, base::TimePoint now);
    /// Advances timers. Call at least every 10 ms.
    void tick (base::TimePoint now);
    /// Confirms that every write up to `sequence` is synced.
    void onPersisted (std::uint64_t sequence, base::TimePoint now);
    /// A write failed for good: the node stops voting, answering and leading.
    void onStorageFailed();

    /// Appends a command; its index, or kNotLeader. Commitment shows as the entry with this index
    /// and the current term in RaftOutput::committed.
    base::Result<LogIndex> propose (std::string data, base::TimePoint now);
    /// Changes the members by exactly one (add learner, promote, remove); kMembershipChangeRefused
    /// while another change is in progress or a learner to be promoted lags.
    base::Result<LogIndex> proposeMembers (MemberSet members, base::TimePoint now);
    /// Hands leadership to the most advanced voter (planned stop). kNotLeader when not leading.
    base::Result<void> transferLeadership (base::TimePoint now);

    /// True while this node leads, its lease has not run out and an entry of its term is applied:
    /// reads of the applied state are then linearizable.
    [[nodiscard]] bool holdsLease (base::TimePoint now) const;

    /// The state machine serialised itself at `appliedIndex`: keep it and compact the log.
    void compact (LogIndex appliedIndex, std::string stateMachineData);

    /// Takes the pending output.
    [[nodiscard]] RaftOutput takeOutput();
    [[nodiscard]] RaftStatus status (base::TimePoint now) const;
    [[nodiscard]] RaftSummary summary() const;
    /// The members as the log names them last; valid until the next call that may change the log.
    [[nodiscard]] const MemberSet& members() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::consensus
