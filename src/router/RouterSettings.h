#pragma once

/// Settings of the program fernlift-router.

#include <cstdint>
#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "config/Settings.h"
#include "http/Server.h"
#include "log/Log.h"
#include "router/RouterCore.h"

namespace fernlift::router
{

struct RouterSettings
{
    std::string id;
    std::string cell;
    std::string zone;
    base::SocketAddress httpAddress;
    std::vector<base::SocketAddress> controllers;  ///< Peer addresses of the controllers.

    /// Identity, address and the sizes below are filled in by coreOptions().
    RouterOptions core;
    std::int64_t queuedRequests = 4096;
    std::int64_t queuedRequestsPerTarget = 1024;
    std::int64_t queuedBytes = 256LL * 1024 * 1024;
    std::int64_t maximumAttempts = 3;
    std::int64_t requestTraces = 4096;
    std::int64_t bufferedAnswerBytes = 1024LL * 1024;
    base::Duration hedgeAfter{};  ///< Zero disables hedging.
    std::int64_t hedgeMaximumUrgency = 0;

    /// The sizes below are filled in by serverLimits().
    http::ServerLimits server;
    std::int64_t headerBytes = 32LL * 1024;
    std::int64_t bodyBytes = 16LL * 1024 * 1024;
    std::int64_t connections = 4096;

    /// Limit of unsent bytes of one caller's answer; above it the back end is paused.
    std::int64_t callerBufferBytes = 256LL * 1024;
    /// Limit of unread bytes of one back end's answer.
    std::int64_t backEndBufferBytes = 256LL * 1024;
    base::Duration cacheEventInterval = base::seconds (1);  ///< Zero disables polling.
    base::Duration stopGrace = base::milliseconds (200);
    base::Duration stopTimeout = base::seconds (120);
    log::Options logging;
};

/// Declares all settings and the checks that span several of them. `settings` must outlive
/// `schema`.
void declareSettings (config::SettingsSchema& schema, RouterSettings& settings);

/// Options of the core for these settings and the address that the process listens on.
[[nodiscard]] RouterOptions coreOptions (const RouterSettings& settings,
                                         const base::SocketAddress& httpAddress);
[[nodiscard]] http::ServerLimits serverLimits (const RouterSettings& settings);

}  // namespace fernlift::router
