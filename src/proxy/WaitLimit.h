#pragma once

/**
 * Whether a request that no runner can take yet is to wait at the router, for how long, and when
 * its caller is told to come back. Pure.
 *
 * A request waits while it can still be answered. One that cannot is refused at once: its caller
 * can do something else with the time.
 */

#include <optional>

#include "base/Time.h"
#include "config/ServiceCatalogue.h"

namespace fernlift::proxy
{

/** What is known of a request without a runner. */
struct RunnerWait
{
    base::Duration callersTime{};     ///< From now until its caller gives up.
    base::Duration deadline{};        ///< From now until its answer has no use; never earlier.
    base::Duration shortestAnswer{};  ///< Until the answer of a free runner begins.
    /** How long a load of its model takes; none when it needs no load. */
    std::optional<base::Duration> loadTime{};
};

/** How long the request may wait; zero: it is more likely than not that none can answer it. */
[[nodiscard]] base::Duration longestWaitForRunner (const RunnerWait& wait);

/** What its caller is told when it is refused; none when a runner would come too late for it. */
[[nodiscard]] std::optional<base::Duration> retryAfterWait (const RunnerWait& wait);

/** Whether a request that a runner could take now would be answered after its deadline, also if the
    estimate is too long by as much as estimates are.
*/
[[nodiscard]] bool isBeyondDeadline (base::Duration expectedAnswer, base::Duration deadline);

/** The time in which runners can load the model, from the nearest place that may hold it. */
[[nodiscard]] std::optional<base::Duration> loadTimeOf (const config::Service* service,
                                                        std::string_view model);

}  // namespace fernlift::proxy
