#pragma once

/// Settings of a router that forwards requests to registered services.

#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "config/Settings.h"
#include "log/Log.h"
#include "quota/QuotaTolerance.h"

namespace fernlift::proxy
{

struct ProxySettings
{
    std::string id;
    std::string cell;
    std::string zone;
    base::SocketAddress frontAddress;      ///< For callers.
    base::SocketAddress readinessAddress;  ///< For the platform's readiness checks.
    base::SocketAddress metricsAddress;    ///< Without host: no metrics are served.
    std::vector<base::SocketAddress> seeds;
    std::int64_t seedPeerPort = 0;
    double retryShare = 0.1;        ///< Of this router's requests.
    std::int64_t retryReserve = 4;  ///< Retries that are allowed without any requests.
    /// The same for all routers of the cell together; each takes its part once it knows how many
    /// there are. 0: `retryReserve` goes on to hold.
    double cellRetryReserve = 0;
    /// Smallest number of routers in the cell from which they share loads of runners: with fewer,
    /// each one's own requests and answers tell enough. 0: never.
    std::int64_t sharedLoadsFromRouters = 16;
    quota::QuotaTolerance quotaTolerance;  ///< Of the limits of tenants.
    base::Duration connectTimeout = base::milliseconds (250);
    base::Duration stopGrace = base::milliseconds (2500);  ///< Serves on, not ready.
    base::Duration stopTimeout = base::milliseconds (7800);
    /// How long the configuration is served from after its lease. Half of the shortest time in
    /// which the platforms known want a change in force (2 s).
    base::Duration unconfirmedGrace = base::milliseconds (1000);
    /// The same while no controller can be reached: above the 5 s for which platforms known let all
    /// controllers be without power.
    base::Duration isolatedGrace = base::milliseconds (10'000);
    log::Options logging;
};

/// Declares every setting and the checks over them. `settings` must outlive `schema`.
void declareSettings (config::SettingsSchema& schema, ProxySettings& settings);

}  // namespace fernlift::proxy
