#pragma once

/**
 * Decides when a router states to the others how it reaches the runners. An isolated router repeats
 * its statement, so that a lost notice or a router that has just started matters only for a short
 * time.
 */

#include <optional>

#include "base/Time.h"
#include "proxy/PeerMessage.h"
#include "proxy/RunnerReachability.h"

namespace fernlift::proxy
{

/** Pure. Threading: none; owned by one router. */
class PathAnnouncements
{
public:
    /** Returns the notice that is due now, if any. To be called after each change of the path and
        from time to time.
    */
    [[nodiscard]] std::optional<PeerPath> takeDue (const RunnerReachability& reachability,
                                                   base::TimePoint now);
    /** The same for a notice of doubt. To be called after a probe has failed. */
    [[nodiscard]] std::optional<PeerPath> takeDoubt (const RunnerReachability& reachability,
                                                     base::TimePoint now);

private:
    PeerPath m_stated = PeerPath::kOpen;
    base::TimePoint m_statedAt{};
    base::TimePoint m_doubtStatedAt{};
};

}  // namespace fernlift::proxy
