#pragma once

/// Data types of the consensus protocol: log entries, durable state and messages between members.

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/Ids.h"

namespace fernlift::consensus
{

using base::LogIndex;
using base::MemberId;
using base::Term;

enum class EntryKind : std::uint8_t
{
    kCommand,      ///< Opaque to consensus; applied by the state machine.
    kNoOperation,  ///< Written by a new leader to commit entries of earlier terms.
    kMembership,   ///< `data` is an encoded MemberSet.
};

/// One member of the quorum.
struct Member
{
    MemberId id = 0;
    std::string peerAddress;   ///< "ip:port" for messages between members and from routers.
    std::string adminAddress;  ///< "ip:port" of its HTTP interface.
    std::string zone;
    bool isVoter = true;  ///< False for a learner, which receives the log but does not vote.

    bool operator== (const Member&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& id& peerAddress& adminAddress& zone& isVoter;
    }
};

/// Members in effect from a log index on.
struct MemberSet
{
    std::vector<Member> members;  ///< Sorted by id.
    /// Number of voters that a cell which manages its own members should have; 0 if an operator
    /// manages them. Consensus itself ignores it.
    std::uint32_t targetSize = 0;

    bool operator== (const MemberSet&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& members& targetSize;
    }
};

struct Entry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::kCommand;
    std::string data;

    bool operator== (const Entry&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& index& term& kind& data;
    }
};

/// State that a member must sync to disk before it sends a message that depends on it.
struct HardState
{
    Term term = 0;
    MemberId votedFor = 0;  ///< 0 while no vote was granted in this term.
    /// A log index that was committed when this state was written. A restarted member applies the
    /// log up to there without a leader.
    LogIndex commitIndex = 0;

    bool operator== (const HardState&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& term& votedFor& commitIndex;
    }
};

/// Encoded state machine at `lastIndex`, with the members in effect there.
struct Snapshot
{
    LogIndex lastIndex = 0;  ///< 0 if there is no snapshot.
    Term lastTerm = 0;
    MemberSet members;
    std::string data;

    bool operator== (const Snapshot&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& lastIndex& lastTerm& members& data;
    }
};

/// Requests the vote of the receiver or, with isPreVote, whether it would grant one.
struct VoteRequest
{
    bool isPreVote = false;
    bool isLeadershipTransfer = false;  ///< Requested by the leader, whose lease is then ignored.
    LogIndex lastIndex = 0;
    Term lastTerm = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& isPreVote& isLeadershipTransfer& lastIndex& lastTerm;
    }
};

struct VoteReply
{
    bool isPreVote = false;
    bool granted = false;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& isPreVote& granted;
    }
};

/// Replicates entries; a request without entries is a heartbeat.
struct AppendRequest
{
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    std::uint64_t round = 0;  ///< Number of the leader's message; the reply returns it.
    std::vector<Entry> entries;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& previousIndex& previousTerm& commitIndex& round& entries;
    }
};

struct AppendReply
{
    bool accepted = false;
    LogIndex matchIndex =
        0;  ///< When accepted: last index that is synced and known to equal the leader's log.
    LogIndex hintIndex = 0;  ///< When refused: index that the leader should try next.
    std::uint64_t round = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& accepted& matchIndex& hintIndex& round;
    }
};

/// One chunk of an encoded Snapshot.
struct SnapshotChunk
{
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::uint64_t round = 0;
    std::string data;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& lastIndex& lastTerm& offset& totalBytes& round& data;
    }
};

struct SnapshotReply
{
    LogIndex lastIndex = 0;
    std::uint64_t nextOffset =
        0;  ///< Equal to totalBytes once the snapshot is installed and synced.
    bool installed = false;
    std::uint64_t round = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& lastIndex& nextOffset& installed& round;
    }
};

/// Request of the leader that the receiver starts an election at once, for a planned stop of the
/// leader.
struct TransferLeadership
{
    template <class Archive>
    void serialize (Archive& /*archive*/, unsigned /*version*/)
    {
    }
};

using Payload = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk,
                             SnapshotReply, TransferLeadership>;

/// A message between two members.
struct Message
{
    MemberId from = 0;
    MemberId to = 0;
    Term term = 0;
    Payload payload;
};

}  // namespace fernlift::consensus
