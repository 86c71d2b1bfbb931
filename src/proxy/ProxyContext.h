#pragma once

/// State shared by all exchanges of one router.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/Random.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "cell/StreamVersions.h"
#include "dispatch/RetryBudget.h"
#include "http/BackEndPool.h"
#include "http/BufferBudget.h"
#include "http/RequestBudget.h"
#include "proxy/ConfigurationFreshness.h"
#include "proxy/EngineDemands.h"
#include "proxy/InstanceDirectory.h"
#include "proxy/InstanceLoadReporter.h"
#include "proxy/PeerMessage.h"
#include "proxy/PeerRouters.h"
#include "proxy/ProtocolNames.h"
#include "proxy/RouteTable.h"
#include "proxy/RouteTimes.h"
#include "proxy/RunnerRates.h"
#include "proxy/RunnerReachability.h"
#include "proxy/RunnerSlots.h"
#include "proxy/StreamRecorder.h"
#include "proxy/TenantQuotas.h"
#include "quarantine/SuspectRequests.h"

namespace fernlift::proxy
{

/// Counts since the start of the process.
struct ProxyCounters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;  ///< Answers of runners forwarded completely.
    std::uint64_t refused = 0;   ///< Answered as not executed.
    std::uint64_t failed = 0;    ///< Ended without an answer of a runner, possibly after execution.
    std::uint64_t cutAnswers = 0;    ///< Connections closed before their caller had received the
                                     ///< last answer.
    std::uint64_t disconnected = 0;  ///< Ended because the caller disconnected.
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumed = 0;
    std::uint64_t incompleteStreams = 0;  ///< Streams of runners that ended inside an event.
    std::uint64_t resumedByCallers = 0;   ///< Streams that callers resumed at a known version.
    std::uint64_t unknownStreams = 0;     ///< Streams that callers could not resume: their software
                                          ///< version is not known.
    std::uint64_t overQuota = 0;          ///< Refused because of the quota of their tenant.
    std::uint64_t quarantined = 0;        ///< Not forwarded because runners crashed under them.
    std::uint64_t forwardedToPeers = 0;   ///< Attempts sent to other routers.
    std::uint64_t declinedByPeers = 0;    ///< Those that the other router did not serve.
    std::uint64_t servedForPeers = 0;     ///< Requests received from other routers.
    std::uint64_t declinedToPeers = 0;    ///< Those that this router did not serve.
    std::uint64_t pausedAnswers = 0;      ///< Pauses of runners whose caller was behind.
    std::uint64_t declined = 0;           ///< Attempts that a runner had no room for.
    std::uint64_t declinedByBrittle = 0;  ///< Those at runners that state that they are brittle.
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
    dispatch::ServiceRetryBudgets& retryBudgets;
    EngineDemands& demands;
    TenantQuotas& quotas;
    quarantine::SuspectRequests& suspects;
    ProxyCounters& counters;
    std::function<void()> onUrgentDemand;      ///< Called when a request began to wait.
    std::shared_ptr<const RouteTable> routes;  ///< Null before the first configuration.
    /// Whether a leader confirmed the held configuration, or a newer one, since the router started.
    /// Before that a missing route may exist in the configuration in force.
    bool areRoutesConfirmed = false;
    /// Whether requests may currently be served from the routes and the directory.
    std::function<Freshness()> freshness = [] { return Freshness::kConfirmed; };
    /// Called after a runner broke off an answer, to probe whether the runner has crashed.
    std::function<void (const std::string& instance, const base::SocketAddress& address)>
        checkRunner = [] (const std::string&, const base::SocketAddress&) {};
    /// Called when a runner stated that it accepts no requests from now on.
    std::function<void()> onRunnerUnavailable = [] {};
    RunnerReachability reachability{};
    RunnerSlots slots{ "", 0, [] {} };  ///< Slots of runners in brittle services.
    /// Called when the connections to runners have failed so that this router became isolated.
    std::function<void()> onIsolated = [] {};
    http::BufferBudget answerBuffers{};    ///< Bytes of answers that callers have not taken yet.
    http::RequestBudget requestBuffers{};  ///< Bytes of requests until they are answered.
    RouteTimes routeTimes{};
    /// When a planned stop ends all requests that are still open; none: no stop has begun.
    std::optional<base::TimePoint> stopsAt{};
    std::string router{};         ///< Name of this router.
    PeerRouters peers{ "", "" };  ///< The other routers of the cell.
    /// Streams that callers may resume while versions are mixed.
    cell::StreamVersions streams{};
    StreamRecorder streamRecorder{};
    std::function<void (const StreamNotice& notice)> announceStream = [] (const StreamNotice&) {};
    /// Sends the probes that are due.
    std::function<void()> probeReachability = [] {};
    /// Sends the path of this router to the others; doubts only to those of its zone.
    std::function<void (PeerPath path)> announcePath = [] (PeerPath) {};
};

}  // namespace fernlift::proxy
