#pragma once

/// Replication state that a leader keeps for one other member: how far the log is replicated there,
/// and which of the messages sent to it were answered. RaftNode decides what to send.

#include <cstdint>
#include <deque>
#include <optional>

#include "base/Time.h"
#include "consensus/Messages.h"

namespace fernlift::consensus
{

enum class ReplicationMode : std::uint8_t
{
    kProbe,     ///< One message at a time until the index where the logs agree is found.
    kPipeline,  ///< Entries are sent without waiting for the replies.
    kSnapshot,  ///< A snapshot is being sent.
};

/// Progress of a snapshot that is being sent.
struct SnapshotProgress
{
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    std::uint64_t offset = 0;      ///< Offset of the chunk sent last.
    std::uint64_t chunkRound = 0;  ///< Round of the chunk sent last.
    base::TimePoint sentAt;
};

/**
 * Replication progress of one member during one leadership.
 *
 * Threading: none; owned by the leading RaftNode, which sets the public members itself.
 */
class MemberReplication
{
public:
    MemberReplication (LogIndex nextIndex, base::TimePoint now)
        : nextIndex (nextIndex), lastReplyAt (now), heartbeatDueAt (now)
    {
    }

    /// Records that the message numbered `round` is sent now. The rounds of one leader only
    /// increase, also when the same member is removed and added again, so that a reply confirms
    /// only the message that it answers.
    void beginRound (std::uint64_t round, base::TimePoint now);
    /// Records the reply to the message of this round.
    void confirmRound (std::uint64_t round, base::TimePoint now);
    /// Time at which the latest answered message was sent; none before the first reply. The member
    /// received that message at this time or later.
    [[nodiscard]] std::optional<base::TimePoint> confirmedSentAt() const
    {
        return m_confirmedSentAt;
    }

    /// Records that a message with entries up to `lastIndex` was sent.
    void addInflight (LogIndex lastIndex) { m_inflight.push_back (lastIndex); }
    [[nodiscard]] std::size_t inflightCount() const { return m_inflight.size(); }
    /// Records that the member has synced all entries up to `index`.
    void acknowledge (LogIndex index);
    /// Returns to probing, from `index`.
    void probeFrom (LogIndex index);

    ReplicationMode mode = ReplicationMode::kProbe;
    LogIndex matchIndex =
        0;  ///< Last index synced by the member and equal to this leader's log; never decreases.
    LogIndex nextIndex = 1;    ///< Next entry to send; always above matchIndex.
    bool isProbeSent = false;  ///< In kProbe: sends nothing until a reply or the next heartbeat.
    std::uint64_t probeRound =
        0;  ///< Round of the probe sent last; refusals of earlier messages are stale.
    base::TimePoint lastReplyAt;     ///< Time of the last reply of any kind, for check-quorum;
                                     ///< initially the start of leadership.
    base::TimePoint heartbeatDueAt;  ///< Next heartbeat is sent at the first tick from then on.
    SnapshotProgress snapshot;       ///< Meaningful in kSnapshot only.

private:
    struct Round
    {
        std::uint64_t number = 0;
        base::TimePoint sentAt;
    };

    std::deque<Round> m_unanswered;  ///< Rounds without a reply, ascending by number.
    std::optional<base::TimePoint> m_confirmedSentAt;
    std::deque<LogIndex> m_inflight;  ///< Last index of each message without a reply, ascending.
};

}  // namespace fernlift::consensus
