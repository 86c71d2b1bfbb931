#pragma once

/**
 * Times that the runners take for the requests of each route, as measured by this router. A router
 * that is about to stop sends no request on that will probably not end before it does.
 */

#include <cstddef>
#include <string>
#include <unordered_map>

#include "base/Time.h"

namespace fernlift::proxy
{

/** Pure: time is passed in. Not thread-safe; owned by one router. */
class RouteTimes
{
public:
    /** Bound of the routes that are remembered. */
    static constexpr std::size_t kMaxRoutes = 4096;

    /** A runner has answered a request of the route completely after `time`. */
    void onAnswered (const std::string& route, base::Duration time);
    /** Time within which nearly all answers of the route are complete; zero if none was measured.
     */
    [[nodiscard]] base::Duration expected (const std::string& route) const;

private:
    /** Smoothed times, as for the retransmission timeout of TCP (RFC 6298). */
    struct Estimate
    {
        base::Duration mean{};
        base::Duration deviation{};
    };

    std::unordered_map<std::string, Estimate> m_routes;  ///< By name.
};

}  // namespace fernlift::proxy
