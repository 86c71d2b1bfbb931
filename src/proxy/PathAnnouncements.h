#pragma once

/**
 * Decides when a router states to the others how it reaches the runners, and what follows from such
 * a statement. An isolated router repeats its own, so that a lost notice or a router that has just
 * started matters only for a short time.
 */

#include <optional>
#include <string>

#include "base/Time.h"
#include "proxy/PeerMessage.h"
#include "proxy/PeerRouters.h"
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

/** Applies the statement of another router. Returns whether this router has to probe its own path
    now: paths often fail for a whole zone at once.
*/
[[nodiscard]] bool applyPathNotice (PeerRouters& peers, RunnerReachability& reachability,
                                    const std::string& router, PeerPath path, base::TimePoint now);

}  // namespace fernlift::proxy
