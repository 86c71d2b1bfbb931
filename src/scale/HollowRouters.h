#pragma once

/// Many hollow routers in one process, with /metrics over all of them.

#include <QTimer>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "http/Metrics.h"
#include "http/Server.h"
#include "scale/HollowRouter.h"

namespace fernlift::scale
{

struct HollowRoutersOptions
{
    HollowDemandOptions demand;  ///< Of each router; its number is filled in.
    std::int64_t firstRouter = 0;
    std::int64_t routerCount = 0;
    std::vector<base::SocketAddress> controllers;
    std::uint64_t seed = 1;
};

/// Lives on the thread of the Qt event loop.
class HollowRouters
{
public:
    explicit HollowRouters (HollowRoutersOptions options);

    /// Starts the routers and serves /metrics on a port of 127.0.0.1 that the kernel picks; returns
    /// that address.
    [[nodiscard]] base::Result<base::SocketAddress> start();

private:
    void addRouter (std::int64_t index);
    [[nodiscard]] std::string metricsText() const;

    HollowRoutersOptions m_options;
    HollowRouterMeters m_meters;
    std::vector<std::unique_ptr<HollowRouter>> m_routers;
    http::Metrics m_metrics;
    http::Server m_server;
    QTimer m_ticker;
};

}  // namespace fernlift::scale
