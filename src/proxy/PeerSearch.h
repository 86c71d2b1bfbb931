#pragma once

/**
 * Search of one request for another router that serves it. Ends when the time for it is over, or
 * when what is left to ask is known not to help.
 */

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "base/Time.h"
#include "proxy/PeerRouters.h"

namespace fernlift::proxy
{

/** Why another router did not serve a request that it was asked to. */
enum class PeerDecline : std::uint8_t
{
    kIsolated,     ///< It reaches no runner at all.
    kNoRunner,     ///< It reaches runners, but none that could serve the request.
    kUnavailable,  ///< It serves nothing for others at the moment.
    kUnreachable,  ///< No connection to it opened.
    kFailed,       ///< It broke off; the request may have run.
};

/** Pure. Threading: none; owned by one request. */
class PeerSearch
{
public:
    /** Returns the next router to ask; none: the search is over. `deadline` is that of the request,
        `target` names the requests that the same runners can serve.
    */
    [[nodiscard]] std::optional<PeerChoice> next (const PeerRouters& peers,
                                                  const std::string& target, double draw,
                                                  base::TimePoint now, base::TimePoint deadline);
    void onDeclined (PeerRouters& peers, const std::string& router, PeerDecline reason,
                     const std::string& target, base::TimePoint now);
    /** Number of routers that were asked and did not serve the request. */
    [[nodiscard]] std::size_t declined() const { return m_tried.size(); }

private:
    std::set<std::string> m_tried;
    std::uint32_t m_withoutRunner = 0;     ///< Routers that declined with kNoRunner.
    std::uint32_t m_askedIsolated = 0;     ///< Routers that were asked although known as isolated.
    std::optional<base::TimePoint> m_end;  ///< Set by the first call of next().
};

}  // namespace fernlift::proxy
