#pragma once

/**
 * Limits how long a request may wait at a router for a runner, and computes the Retry-After time of
 * its caller. Pure.
 */

#include "base/Time.h"
#include "config/ServiceCatalogue.h"

namespace fernlift::proxy
{

/** Longest wait of a request whose caller waits `callerTimeout` for the answer. A runner found
    later would answer too late, or to a caller that has disconnected, so an early refusal serves
    the caller better.
*/
[[nodiscard]] base::Duration maxWaitForRunner (const config::Route& route,
                                               base::Duration callerTimeout);

/** Retry-After time of a request that waited without success. For a model it is about the time
    after which the model may be loaded.
*/
[[nodiscard]] base::Duration retryAfterWait (bool isForModel);

}  // namespace fernlift::proxy
