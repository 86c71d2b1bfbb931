#pragma once

/**
 * Ranks the controllers that a router may connect to.
 *
 * Every controller serves routers, and the leader has additional work. Routers prefer controllers
 * of their own zone other than the leader and spread over them by a hash of their names, so that
 * the load is even without coordination between routers.
 */

#include <span>
#include <string_view>
#include <vector>

#include "base/SocketAddress.h"
#include "cell/RouterMessages.h"

namespace fernlift::proxy
{

/** Addresses of the controllers, the most preferred first. Invalid addresses are omitted. */
[[nodiscard]] std::vector<base::SocketAddress> preferredControllers (
    std::span<const cell::ControllerEndpoint> controllers, std::string_view router,
    std::string_view zone);

}  // namespace fernlift::proxy
