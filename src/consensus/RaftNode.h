#pragma once

/// Raft as a deterministic state machine. Its inputs are messages, the time and completed writes;
/// its outputs are messages, writes and committed entries. It has no I/O, clock or thread of its
/// own.

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

/// Deliberate faults, for tests only. Each one breaks a rule of the protocol, to show that a check
/// detects it. Programs never set one.
enum class PlantedFault : std::uint8_t
{
    kNone,
    kVoteBeforeSync,         ///< A vote is sent before it is synced.
    kAppendReplyBeforeSync,  ///< Entries are acknowledged before they are synced.
    kLeaseWithoutMajority,   ///< A leader claims its lease without confirmation by a majority.
    kLeaseWithoutVoteDelay,  ///< Votes are granted despite recent contact with a leader.
    /// A member whose disk was lost restarts under its old identity. Implemented by the test that
    /// runs the member.
    kIdentityReusedAfterDiskLoss,
    kCommitOfEarlierTermByCounting,  ///< A majority commits entries of an earlier term directly.
    kSnapshotReplyBeforeSync,        ///< A snapshot is acknowledged before it is synced.
    kConcurrentMembershipChanges,    ///< A membership change does not wait for the previous one.
};

/// Timing and size limits. Durations are measured by the member's own monotonic clock.
struct RaftOptions
{
    base::Duration heartbeatInterval = base::milliseconds (50);
    base::Duration electionTimeoutMinimum = base::milliseconds (300);
    base::Duration electionTimeoutMaximum = base::milliseconds (600);
    /// The leader's lease lasts electionTimeoutMinimum less this margin, counted from the sending
    /// of the last round confirmed by a majority. The margin covers clock drift.
    base::Duration leaseMargin = base::milliseconds (60);
    std::size_t maximumAppendBytes = 256UL * 1024;
    std::size_t maximumInflightAppends = 16;
    std::size_t snapshotChunkBytes = 128UL * 1024;
    /// Entries before a local snapshot that stay in memory, so that a member that lags a little
    /// needs no snapshot.
    std::size_t entriesKeptByCompaction = 1024;
    PlantedFault plantedFault = PlantedFault::kNone;  ///< For tests only.
};

/// State that a member read back from its disk.
struct RecoveredState
{
    HardState hardState;
    Snapshot snapshot;           ///< Its lastIndex is 0 when there is none.
    std::vector<Entry> entries;  ///< Contiguous, starting after the snapshot.
    MemberSet initialMembers;    ///< Used only while neither snapshot nor log has members.
};

/// One write to disk. Writes are carried out in order; once this one is synced,
/// `onPersisted(sequence)` confirms it and all writes before it.
struct PersistRequest
{
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::optional<LogIndex> truncateFrom;  ///< First drop stored entries from this index on.
    std::vector<Entry> entries;            ///< Entries to append.
    std::optional<Snapshot> snapshot;  ///< Received or local; the log that it covers is dropped.
};

/// Work for the caller that has arisen since the last call.
struct RaftOutput
{
    std::vector<PersistRequest> writes;
    /// Messages to send at once; none of them depends on state that is not synced yet.
    std::vector<Message> messages;
    /// Entries to apply, in order.
    std::vector<Entry> committed;
    /// A snapshot that replaces the whole state machine before `committed` is applied. The first
    /// output contains the snapshot recovered from disk.
    std::optional<Snapshot> installedSnapshot;
};

/// Replication progress of one member, as recorded by the leader.
struct MemberProgress
{
    Member member;
    LogIndex matchIndex = 0;
    base::Duration sinceLastReply{};
    bool isReceivingSnapshot = false;
};

/// Role and log positions of one member; cheap to copy.
struct RaftSummary
{
    MemberId self = 0;
    Role role = Role::kFollower;
    Term term = 0;
    MemberId leader = 0;  ///< 0 while unknown.
    LogIndex commitIndex = 0;
    LogIndex appliedIndex = 0;
    LogIndex lastIndex = 0;
};

/// Summary of one member with all members and, at the leader, their progress.
struct RaftStatus : RaftSummary
{
    MemberSet members;
    std::vector<MemberProgress> progress;  ///< Filled in by the leader only.
};

/// One member of the quorum. Not thread-safe: all calls come from one thread.
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
    /// Reports that a write failed permanently. The node stops voting, replying and leading.
    void onStorageFailed();

    /// Appends a command and returns its index; fails with kNotLeader. The command is committed
    /// when the entry with this index and the current term is in RaftOutput::committed.
    base::Result<LogIndex> propose (std::string data, base::TimePoint now);
    /// Adds a learner, promotes or removes exactly one member. Fails with kMembershipChangeRefused
    /// while another change is in progress or the learner to promote lags.
    base::Result<LogIndex> proposeMembers (MemberSet members, base::TimePoint now);
    /// Transfers leadership to the most advanced voter, for a planned stop. Fails with kNotLeader
    /// when this node does not lead.
    base::Result<void> transferLeadership (base::TimePoint now);

    /// True while this node leads, its lease has not expired, an entry of its term is applied and
    /// so is everything committed. Reads of the applied state are then linearizable.
    [[nodiscard]] bool holdsLease (base::TimePoint now) const;

    /// Stores the encoded state machine at `appliedIndex` as a snapshot and compacts the log.
    void compact (LogIndex appliedIndex, std::string stateMachineData);

    /// Returns the pending output and clears it.
    [[nodiscard]] RaftOutput takeOutput();
    [[nodiscard]] RaftStatus status (base::TimePoint now) const;
    [[nodiscard]] RaftSummary summary() const;
    /// Latest members in the log. The reference is valid until the next call that may change the
    /// log.
    [[nodiscard]] const MemberSet& members() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::consensus
