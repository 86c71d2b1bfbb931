#pragma once

/// What all exchanges of one router share.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/Random.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "dispatch/RetryBudget.h"
#include "http/BackEndPool.h"
#include "proxy/ConfigurationFreshness.h"
#include "proxy/EngineDemands.h"
#include "proxy/InstanceDirectory.h"
#include "proxy/InstanceLoadReporter.h"
#include "proxy/ProtocolNames.h"
#include "proxy/RouteTable.h"
#include "proxy/RunnerRates.h"
#include "proxy/TenantQuotas.h"
#include "quarantine/SuspectRequests.h"

namespace fernlift::proxy
{

/// Counts since the start of the process.
struct ProxyCounters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;  ///< Answers of runners passed on whole.
    std::uint64_t refused = 0;   ///< Not run, and said so.
    std::uint64_t failed = 0;    ///< Ended without an answer of a runner, and may have run.
    std::uint64_t left = 0;      ///< The caller went away.
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumed = 0;
    std::uint64_t overQuota = 0;    ///< Refused for the quota of their tenant.
    std::uint64_t quarantined = 0;  ///< Not passed on, as runners ended under them.
};

struct ProxyContext
{
    const ProtocolNames& names;
    const base::Clock& clock;
    base::Random& random;
    InstanceDirectory& directory;
    InstanceLoadReporter& loadReporter;
    RunnerRates& rates;
    http::BackEndPool& pool;
    dispatch::RetryBudget& retryBudget;
    EngineDemands& demands;
    TenantQuotas& quotas;
    quarantine::SuspectRequests& suspects;
    ProxyCounters& counters;
    std::function<void()> onUrgentDemand;      ///< A request began to wait.
    std::shared_ptr<const RouteTable> routes;  ///< Null before the first configuration.
    /// A leader has confirmed the configuration, or a newer one, since the router started. Before
    /// that a route that is missing may only be missing here.
    bool areRoutesConfirmed = false;
    /// Whether requests may be served from the routes and the directory now.
    std::function<Freshness()> freshness = [] { return Freshness::kConfirmed; };
    /// A runner broke off an answer: whether it has ended is to be found out.
    std::function<void (const std::string& instance, const base::SocketAddress& address)>
        checkRunner = [] (const std::string&, const base::SocketAddress&) {};
};

}  // namespace fernlift::proxy
