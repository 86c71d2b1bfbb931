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
    /** The leader is another one, or has forgotten: holdings are told anew. */
    void tellAll() { m_told.clear(); }
    /** What is due; nothing when there is none. */
    [[nodiscard]] std::vector<cell::InstanceSighting> takeDue (base::TimePoint now);

private:
    struct Told
    {
        cell::InstanceSighting sighting;  ///< With holdings.
        base::TimePoint at{};
    };

    /** After which the holdings of this runner are told again though they have not changed. */
    [[nodiscard]] base::Duration repeatAfter (const std::string& id) const;

    std::map<std::string, cell::InstanceSighting> m_waiting;  ///< By instance.
    std::map<std::string, Told> m_told;                       ///< Holdings last told, by instance.
    bool m_isUrgent = false;
    base::TimePoint m_sentAt{};
};

}  // namespace fernlift::controller
