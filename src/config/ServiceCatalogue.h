#pragma once

/// Routes of transparently forwarded requests and the services that answer them: the part of the
/// operator's file that names no model of fernlift's own completions interface.

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

/// What may be repeated when an attempt fails.
enum class RouteKind : std::uint8_t
{
    kRepeatable,  ///< May run more than once.
    kAtMostOnce,  ///< Runs once at most.
    kStream,      ///< Answers with events; runs once at most unless the route is resumable.
};

/// A share of a route's requests. Weight 0: none.
struct RouteBackend
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator== (const RouteBackend&) const = default;
};

/// Requests of one host whose path begins with one prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;  ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::kAtMostOnce;
    bool isResumable = false;        ///< Streams that may go on at another runner.
    base::Duration timeout{};        ///< Longest time a request is held.
    base::Duration targetLatency{};  ///< Aim for the answer, or for a stream's first event.
    base::Duration gapTarget{};      ///< Streams: longest pause between events that is in time.
    int priority = 0;                ///< 0 is the most urgent.
    std::uint32_t maximumAttempts = 1;
    bool isPublic = false;  ///< Needs no key, also where there are tenants.
    std::vector<RouteBackend> backends;

    bool operator== (const Route&) const = default;

    /// Time without an event after which callers give up a stream, also before its first event.
    [[nodiscard]] base::Duration patience() const;
    /// Whether a request may be run again after it may have run.
    [[nodiscard]] bool isRepeatable() const
    {
        return kind == RouteKind::kRepeatable || (kind == RouteKind::kStream && isResumable);
    }
};

/// A model that runners of a service can load by order.
struct EngineModel
{
    std::string name;
    double memoryMb = 0;            ///< Memory of its weights.
    base::Duration loadTime{};      ///< From the weight store.
    std::uint32_t adapters = 0;     ///< Named a1, a2 and so on.
    double adapterMemoryMb = 0;     ///< Memory of one adapter.
    base::Duration warmLoadTime{};  ///< From the runner's host memory.
    base::Duration diskLoadTime{};  ///< From the runner's disk.

    bool operator== (const EngineModel&) const = default;
};

/// What the engines of a service can do, each alike.
struct EngineSpec
{
    std::uint32_t slots = 1;
    std::uint64_t kvCacheTokens = 0;
    double memoryMb = 0;  ///< For weights and adapters together.
    std::uint32_t adapterSlots = 0;
    double loadsPerSecond = 0;  ///< Of the weight store, over all runners.
    std::vector<EngineModel> models;

    bool operator== (const EngineSpec&) const = default;
    /// The model of that name; null if there is none.
    [[nodiscard]] const EngineModel* findModel (std::string_view name) const;
};

/// Runners that answer the same requests.
struct Service
{
    std::string name;
    std::string healthPath;
    std::uint32_t maximumConnections = 0;  ///< To one runner, from all callers; 0: no bound.
    std::optional<EngineSpec> engine;      ///< Services that run models.

    bool operator== (const Service&) const = default;
};

/// What a client may send and how slowly.
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
    bool requiresKeys = false;  ///< Requests carry the key of a tenant, but on public routes.
    std::vector<Tenant> tenants;

    bool operator== (const ServiceCatalogue&) const = default;
    /// The service of that name; null if there is none.
    [[nodiscard]] const Service* findService (std::string_view name) const;
};

/// What keeps a catalogue of services from being put in force: a route to an unknown service, two
/// routes at one place, a route without weight, time limit or proper prefix. Empty when sound.
[[nodiscard]] std::vector<std::string> findServiceProblems (const ServiceCatalogue& catalogue);

}  // namespace fernlift::config
