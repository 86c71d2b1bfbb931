#pragma once

/**
 * How long a request may wait at a router for a runner that can take it, and when its caller is
 * told to come back. Pure.
 */

#include "base/Time.h"
#include "config/ServiceCatalogue.h"

namespace fernlift::proxy
{

/** Longest wait of a request whose caller waits `stated` for the answer. A runner that comes later
    would answer too late, or to a caller that has left: it had better be told to ask again.
*/
[[nodiscard]] base::Duration longestWaitForRunner (const config::Route& route,
                                                   base::Duration stated);

/** What the caller of a request that waited in vain is told: after this time a model that was asked
    for may have been loaded.
*/
[[nodiscard]] base::Duration retryAfterWait (bool isForModel);

}  // namespace fernlift::proxy
