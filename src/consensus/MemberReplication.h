#pragma once

/// What a leader knows of one other member: how far its log is copied, and which of the messages
/// sent to it were answered.

#include <cstdint>
#include <deque>
#include <optional>

#include "base/Time.h"
#include "consensus/Messages.h"

namespace fernlift::consensus
{

enum class ReplicationMode : std::uint8_t
{
    kProbe,     ///< One message at a time until the place where the logs agree is found.
    kPipeline,  ///< Entries are sent ahead of the replies.
    kSnapshot,  ///< A snapshot is being sent.
};

/// Progress of a snapshot being sent.
struct SnapshotSending
{
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    std::uint64_t offset = 0;      ///< Of the chunk sent last.
    std::uint64_t chunkRound = 0;  ///< Round of the chunk sent last.
    base::TimePoint sentAt;
};

/**
 * Progress of one member during one leadership.
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

    /// The message numbered `round` is sent now. Rounds of one leader only grow, also over removal
    /// and return of the same member, so that a reply confirms no message but its own.
    void beginRound (std::uint64_t round, base::TimePoint now);
    /// The member answered the message of this round.
    void confirmRound (std::uint64_t round, base::TimePoint now);
    /// When the latest answered message was sent; none before the first answer. The member heard
    /// the leader at that time or later.
    [[nodiscard]] std::optional<base::TimePoint> confirmedSentAt() const
    {
        return m_confirmedSentAt;
    }

    /// Entries up to `lastIndex` were sent and not answered yet.
    void addInflight (LogIndex lastIndex) { m_inflight.push_back (lastIndex); }
    [[nodiscard]] std::size_t inflightCount() const { return m_inflight.size(); }
    /// The member has everything up to `index`, synced.
    void acknowledge (LogIndex index);
    /// Goes back to probing from `index`.
    void probeFrom (LogIndex index);

    ReplicationMode mode = ReplicationMode::kProbe;
    LogIndex matchIndex = 0;   ///< Synced there and equal to this leader's log; never goes back.
    LogIndex nextIndex = 1;    ///< Next entry to send; always above matchIndex.
    bool isProbeSent = false;  ///< In kProbe: wait for its reply, or the next heartbeat.
    std::uint64_t probeRound =
        0;  ///< Of the probe sent last; refusals of earlier messages are stale.
    base::TimePoint
        lastReplyAt;  ///< Any reply, for check-quorum; the start of leadership at first.
    base::TimePoint heartbeatDueAt;  ///< In the past: due at the next tick.
    SnapshotSending snapshot;        ///< In kSnapshot only.

private:
    struct Round
    {
        std::uint64_t number = 0;
        base::TimePoint sentAt;
    };

    std::deque<Round> m_unanswered;  ///< Ascending by number.
    std::optional<base::TimePoint> m_confirmedSentAt;
    std::deque<LogIndex> m_inflight;  ///< Last index of each message on its way, ascending.
};

}  // namespace fernlift::consensus
