#pragma once

/// Routes of transparently forwarded requests and the services that answer them: the part of the
/// configuration that is independent of the models of fernlift's own completions interface.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "config/Tenants.h"

namespace fernlift::config
{

/// Whether the requests of a route may be repeated when an attempt fails.
enum class RouteKind : std::uint8_t
{
    kRepeatable,  ///< May run more than once.
    kAtMostOnce,  ///< Runs at most once.
    kStream,      ///< Answers with events; runs at most once unless the route is resumable.
};

/// A service and its share of a route's requests; weight 0 receives none.
struct RouteBackend
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator== (const RouteBackend&) const = default;
};

/// Settings for requests to one host whose path begins with one prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;  ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::kAtMostOnce;
    bool isResumable = false;        ///< Streams may continue at another runner.
    base::Duration timeout{};        ///< Longest time a request is kept open.
    base::Duration targetLatency{};  ///< Target time to the answer, or to a stream's first event.
    base::Duration gapTarget{};      ///< Streams: target for the longest gap between two events.
    int priority = 0;                ///< 0 is the most urgent.
    std::uint32_t maximumAttempts = 1;
    bool isPublic = false;  ///< Needs no API key, even if keys are required elsewhere.
    std::vector<RouteBackend> backends;

    bool operator== (const Route&) const = default;

    /// Longest time without an event, also before the first one, after which callers abandon a
    /// stream.
    [[nodiscard]] base::Duration eventWaitLimit() const;
    /// Whether a request may be run again after it may have run.
    [[nodiscard]] bool isRepeatable() const
    {
        return kind == RouteKind::kRepeatable || (kind == RouteKind::kStream && isResumable);
    }
};

/// A model that runners of a service load when they are ordered to.
struct EngineModel
{
    std::string name;
    double memoryMb = 0;            ///< Memory of its weights.
    base::Duration loadTime{};      ///< Time to load it from the weight store.
    std::uint32_t adapters = 0;     ///< Number of adapters, named a1, a2 and so on.
    double adapterMemoryMb = 0;     ///< Memory of one adapter.
    base::Duration warmLoadTime{};  ///< Time to load it from the runner's host memory.
    base::Duration diskLoadTime{};  ///< Time to load it from the runner's disk.

    bool operator== (const EngineModel&) const = default;
};

/// Capacity of the engines of a service, the same for each engine.
struct EngineSpec
{
    std::uint32_t slots = 1;
    std::uint64_t kvCacheTokens = 0;
    double memoryMb = 0;  ///< Memory for weights and adapters together.
    std::uint32_t adapterSlots = 0;
    double loadsPerSecond = 0;  ///< Rate limit of the weight store, over all runners.
    std::vector<EngineModel> models;

    bool operator== (const EngineSpec&) const = default;
    /// The model of that name; null if there is none.
    [[nodiscard]] const EngineModel* findModel (std::string_view name) const;
};

/// A group of runners that answer the same requests.
struct Service
{
    std::string name;
    std::string healthPath;
    std::uint32_t maximumConnections = 0;  ///< To one runner, over all callers; 0: unlimited.
    std::optional<EngineSpec> engine;      ///< Set for services that run models.

    bool operator== (const Service&) const = default;
};

/// Bounds on the size of a client's requests and on the time that they take to arrive.
struct ClientLimits
{
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 4UL * 1024 * 1024;
    base::Duration headerTimeout = base::seconds (3);
    base::Duration idleTimeout = base::seconds (15);

    bool operator== (const ClientLimits&) const = default;
};

struct ServiceCatalogue
{
    ClientLimits limits;
    std::vector<Route> routes;
    std::vector<Service> services;
    bool requiresKeys = false;  ///< Requests need a tenant's key, except on public routes.
    std::vector<Tenant> tenants;

    bool operator== (const ServiceCatalogue&) const = default;
    /// The service of that name; null if there is none.
    [[nodiscard]] const Service* findService (std::string_view name) const;
};

/// Problems for which a service catalogue is rejected: a route to an unknown service, two routes
/// with the same host and prefix, a route without weight, time limit or valid prefix. Empty when
/// valid.
[[nodiscard]] std::vector<std::string> findServiceProblems (const ServiceCatalogue& catalogue);

}  // namespace fernlift::config
