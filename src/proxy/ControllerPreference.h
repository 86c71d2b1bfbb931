#pragma once

/**
 * Which controller a router had better be connected to.
 *
 * Every controller serves routers; the leader has more to do than that. Routers prefer those of
 * their own zone, and spread over them by their names, so that each serves its share and no router
 * has to know of the others.
 */

#include <span>
#include <string_view>
#include <vector>

#include "base/SocketAddress.h"
#include "cell/RouterMessages.h"

namespace fernlift::proxy
{

/** Addresses of the controllers, the best for this router first. Those that cannot be read are left
    out.
*/
[[nodiscard]] std::vector<base::SocketAddress> preferredControllers (
    std::span<const cell::ControllerEndpoint> controllers, std::string_view router,
    std::string_view zone);

}  // namespace fernlift::proxy
