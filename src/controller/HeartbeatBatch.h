#pragma once

/**
 * Heartbeats of runners that a controller took on behalf of the leader, until they are passed on.
 *
 * What a runner holds is passed on when it changed; else only that the runner lives. A change goes
 * at once: the leader waits for it with its next order.
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
    /** `isKnown`: the cell knows this incarnation; else it is told whole. */
    void add (const InstanceHeartbeat& heartbeat, bool isKnown, base::TimePoint now);
    /** The leader is another one, or has forgotten: holdings are told anew, a few at a time. It
        knows those that are noted in the log; the rest can wait for its other news.
    */
    void tellAll() { ++m_leaders; }
    /** What is due; nothing when there is none. */
    [[nodiscard]] std::vector<cell::InstanceSighting> takeDue (base::TimePoint now);

private:
    static constexpr double kMostRepeatsAtOnce = 50;
    static constexpr double kRepeatsPerSecond = 100;

    struct Told
    {
        cell::InstanceSighting sighting;  ///< With holdings.
        base::TimePoint at{};
        std::uint64_t leader = 0;  ///< m_leaders at that time.
    };

    /** After which the holdings of this runner are told again though they have not changed. */
    [[nodiscard]] base::Duration repeatAfter (const std::string& id) const;
    /** Whether what was told is to be told again now. */
    [[nodiscard]] bool isRepeatDue (const std::string& id, const Told& told, base::TimePoint now);

    std::map<std::string, cell::InstanceSighting> m_waiting;  ///< By instance.
    std::map<std::string, Told> m_told;                       ///< Holdings last told, by instance.
    std::uint64_t m_leaders = 0;                              ///< Calls of tellAll().
    /** Holdings that a new leader is told again. Told of all runners of a large cell within one
        interval of their heartbeats, it had no time for its own.
    */
    base::TokenBucket m_repeats{ kMostRepeatsAtOnce, kRepeatsPerSecond };
    bool m_isUrgent = false;
    base::TimePoint m_sentAt{};
};

}  // namespace fernlift::controller
