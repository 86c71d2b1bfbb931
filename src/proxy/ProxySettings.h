#pragma once

/// Settings of a router that forwards requests to registered services.

#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "config/Settings.h"
#include "http/BufferBudget.h"
#include "http/RequestBudget.h"
#include "log/Log.h"
#include "quota/QuotaTolerance.h"

namespace fernlift::proxy
{

struct ProxySettings
{
    std::string id;
    std::string cell;
    std::string zone;
    base::SocketAddress frontAddress;      ///< Address for callers.
    base::SocketAddress readinessAddress;  ///< Address for the platform's readiness checks.
    base::SocketAddress metricsAddress;    ///< Without a host no metrics are served.
    /// Address for requests of other routers; without a host none are served, and none of this
    /// router's are sent to others.
    base::SocketAddress peerAddress;
    std::int64_t maxPeerRequests = 200;  ///< Requests served for other routers at the same time.
    /// Bytes of answers that may be held for callers which read slowly.
    std::int64_t requestBufferBytes = http::RequestBudget::kDefaultBytes;
    std::int64_t answerBufferBytes = http::BufferBudget::kDefaultBytes;
    std::vector<base::SocketAddress> seeds;
    std::int64_t seedPeerPort = 0;
    double retryShare = 0.1;        ///< Share of this router's requests for a service.
    std::int64_t retryReserve = 4;  ///< Retries allowed without any requests.
    /// Retry reserve of all routers of the cell together. Each router takes its part once the
    /// number of routers is known. 0: `retryReserve` remains in effect.
    double cellRetryReserve = 0;
    /// Smallest number of routers in the cell from which they share the loads of runners. With
    /// fewer routers, the requests and answers of each one show enough. 0: never.
    std::int64_t sharedLoadsFromRouters = 16;
    quota::QuotaTolerance quotaTolerance;  ///< Tolerance of the tenants' limits.
    base::Duration connectTimeout = base::milliseconds (250);
    base::Duration stopGrace = base::milliseconds (2500);  ///< Serves for this time while not
                                                           ///< ready.
    base::Duration stopTimeout = base::milliseconds (7800);
    /// Time after its lease for which the configuration is still served. Half of the shortest time
    /// in which the known platforms require a change to be in force (2 s).
    base::Duration unconfirmedGrace = base::milliseconds (1000);
    /// The same while no controller can be reached. Above the 5 s for which all controllers may be
    /// without power on known platforms.
    base::Duration isolatedGrace = base::milliseconds (10'000);
    log::Options logging;
};

/// Declares every setting and the checks on them. `settings` must outlive `schema`.
void declareSettings (config::SettingsSchema& schema, ProxySettings& settings);

}  // namespace fernlift::proxy
