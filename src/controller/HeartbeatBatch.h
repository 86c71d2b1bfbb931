#pragma once

/**
 * Collects the heartbeats of runners that a controller receives on behalf of the leader, and
 * batches them for relaying.
 *
 * The held models of a runner are relayed when they changed; otherwise the relayed heartbeat only
 * shows that the runner is alive. A change is relayed without delay, since the leader waits for it
 * before it sends the runner its next order.
 */

#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "base/TokenBucket.h"
#include "cell/RouterMessages.h"
#include "controller/ControlRequests.h"

namespace fernlift::controller
{

/** Pure: time is passed in. Threading: none; owned by one RouterRelay. */
class HeartbeatBatch
{
public:
    /** Adds a heartbeat. Unless the cell has registered this incarnation (`isKnown`), the complete
        instance is relayed.
    */
    void add (const InstanceHeartbeat& heartbeat, bool isKnown, base::TimePoint now);
    /** Relays the held models of all runners again, a few at a time, for a new leader or one that
        lost its state. Such a leader has those that the log records; the rest is less urgent than
        its other updates.
    */
    void resendAll() { ++m_leaderChanges; }
    /** Returns the heartbeats to relay now. */
    [[nodiscard]] std::vector<cell::RelayedHeartbeat> takeDue (base::TimePoint now);

private:
    static constexpr double kMaxRepeatsAtOnce = 50;
    static constexpr double kRepeatsPerSecond = 100;

    struct SentModels
    {
        cell::RelayedHeartbeat relayed;  ///< Includes the held models.
        base::TimePoint at{};
        std::uint64_t leaderChange = 0;  ///< Value of m_leaderChanges when sent.
    };

    /** Returns the time after which unchanged held models of this runner are relayed again. */
    [[nodiscard]] base::Duration repeatIntervalOf (const std::string& id) const;
    /** Whether the held models that were sent are due to be sent again. */
    [[nodiscard]] bool isRepeatDue (const std::string& id, const SentModels& sent,
                                    base::TimePoint now);

    std::map<std::string, cell::RelayedHeartbeat> m_waiting;  ///< Heartbeats to relay, by instance.
    std::map<std::string, SentModels> m_sent;  ///< Held models last sent, by instance.
    std::uint64_t m_leaderChanges = 0;         ///< Number of calls of resendAll().
    /** Limits the rate at which held models are sent again to a new leader. When it received those
        of all runners of a large cell within one heartbeat interval, it had no time left to send
        its own heartbeats.
    */
    base::TokenBucket m_repeats{ kMaxRepeatsAtOnce, kRepeatsPerSecond };
    bool m_isUrgent = false;
    base::TimePoint m_sentAt{};
};

}  // namespace fernlift::controller
