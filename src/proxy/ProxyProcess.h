#pragma once

/// Process of a router that forwards requests to registered services.

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/Error.h"
#include "base/Random.h"
#include "base/Time.h"
#include "cell/ConfigurationDelta.h"
#include "cell/ConfigurationState.h"
#include "cell/ControllerLink.h"
#include "cell/ControllerSession.h"
#include "cell/RouterMessages.h"
#include "http/Metrics.h"
#include "http/Server.h"
#include "proxy/ConfigurationFreshness.h"
#include "proxy/PathAnnouncements.h"
#include "proxy/ProtocolNames.h"
#include "proxy/ProxyContext.h"
#include "proxy/ProxyServer.h"
#include "proxy/ProxySettings.h"
#include "proxy/ReadinessServer.h"
#include "proxy/RetryReserve.h"
#include "proxy/RunnerProbes.h"
#include "proxy/StreamFetcher.h"

namespace fernlift::proxy
{

/// Why a planned stop ends the process.
enum class StopCause : std::uint8_t
{
    kDone,       ///< All requests were answered.
    kTimeLimit,  ///< The longest time of a planned stop is over.
};

/// Lives on the thread of the Qt event loop.
class ProxyProcess
{
public:
    /// `parser` parses the operator's configuration. `onFinished` is called once, with the exit
    /// code, when a planned stop is complete. `clock` must outlive the process.
    ProxyProcess (ProxySettings settings, ProtocolNames names, cell::CatalogueParser parser,
                  const base::Clock& clock, std::uint64_t randomSeed,
                  std::function<void (int exitCode)> onFinished);

    /// Starts listening and connecting to the controllers of the cell.
    base::Result<void> start();
    /// Applies the settings that may change at run time: the seeds.
    void reload (const ProxySettings& changed);
    /// Begins a planned stop: reports not ready, serves for the grace period, then finishes the
    /// open requests. Further calls have no effect.
    void beginStop();

    /// Address for callers; known after start().
    [[nodiscard]] const base::SocketAddress& frontAddress() const { return m_frontAddress; }
    /// Whether callers should be sent to this router.
    [[nodiscard]] bool isReady() const;

private:
    void connectController (const std::string& address);
    /// Resets everything that was reported to the controller or known about its version, so that
    /// the next connection starts anew.
    void resetControllerState();
    void sendHello();
    void onControllerMessage (const cell::ControllerToRouter& message);
    void confirmRoutes (const cell::LeaseGrant& grant);
    void applyConfiguration (const cell::ConfigurationUpdate& update);
    void applyInstances (const cell::InstanceUpdate& update);
    /// Applies the number of routers of the cell wherever a limit is divided by it.
    void applyRouterCount();
    /// Requests this router's share of the cell's reserve of retries from the controller.
    void requestRetryReserve();
    void applyRetryReserve (const cell::RetryReserveGrants& grants);
    /// Logs when this router's part of the reserve has changed.
    void logRetryReserve();
    /// Sends the streams and lookups of streams that are due to the controller.
    void sendStreams();
    void pollController();
    /// Connects to the preferred controller from time to time, if connected to another one.
    void moveToPreferred();
    /// Approximate number of routers connected to the same controller.
    [[nodiscard]] std::uint32_t routersAtController() const;
    /// Logs when a leader starts or stops answering.
    void setControllerAnswering (bool isAnswering);
    /// Applies the leases that cover the held configuration.
    void confirmConfiguration();
    /// Whether requests may currently be served. Logs changes.
    Freshness freshness();
    void reportDemand();
    /// Reports changes in this router's load at the runners to the controller.
    void reportLoads();
    /// Requests units of tenants' quotas from the controller, if any are needed.
    void requestQuota();
    void applyRates (const cell::ControllerToRouter& message);
    void applySlots (const cell::ControllerToRouter& message);
    /// Reports the rates stated by runners to the controller and requests permits.
    void reportRates();
    void reportSlots();
    /// Reports to the controller the runner crashes that the cell's table does not contain yet.
    void reportSuspects();
    /// Probes the runners whose reachability is in doubt.
    void probeReachability();
    /// Sends the path of this router to the others, if there is one to send.
    void announce (std::optional<PeerPath> path);
    /// Request of a probe of the runner; empty if its service has no health check.
    [[nodiscard]] std::string healthRequest (const std::string& instance) const;
    void onReachabilityProbed (const std::string& instance, RunnerProbeResult probeResult);
    /// Stops using the connections to runners after all new ones have failed.
    void onIsolated();
    void reportUnreachable();
    void onRunnerChecked (const std::string& instance, RunnerProbeResult probeResult);
    void onTick();
    /// Ends the requests whose deadlines passed while the machine was suspended.
    void handleSuspension();
    void checkStop();
    void createMetrics();
    void updateRetryMetrics();
    void finish (StopCause cause);

    ProxySettings m_settings;
    ProtocolNames m_names;
    cell::CatalogueParser m_parser;
    const base::Clock& m_clock;
    base::Random m_random;
    std::function<void (int)> m_onFinished;
    InstanceDirectory m_directory;
    InstanceLoadReporter m_loadReporter;
    RunnerRates m_rates;
    http::BackEndPool m_pool;
    dispatch::ServiceRetryBudgets m_retryBudgets;
    RetryReserve m_retryReserve;
    std::optional<double> m_loggedReserve;  ///< Part of the reserve that was logged last.
    EngineDemands m_demands;
    TenantQuotas m_quotas;
    quarantine::SuspectRequests m_suspects;
    ProxyCounters m_counters;
    QTimer m_demandTimer;  ///< Sends an urgent demand report once control is back in the event
                           ///< loop.
    ProxyContext m_context;
    cell::ControllerSession m_session;
    cell::ControllerLink m_link;
    cell::HeldConfiguration m_held;
    bool m_needsWholeConfiguration = false;  ///< Set after a change that was not based on the held
                                             ///< configuration.
    ConfigurationFreshness m_freshness;
    Freshness m_loggedFreshness = Freshness::kConfirmed;
    std::optional<base::TimePoint> m_stopBegan;
    bool m_isRefusing = false;
    bool m_hasController = false;
    std::optional<base::SocketAddress> m_preferredController;  ///< None before the first table.
    base::TimePoint m_moveAt{};  ///< Earliest time of the next move to another controller.
    bool m_isFinished = false;
    http::Metrics m_metrics;
    std::unique_ptr<http::Server> m_metricsServer;
    ProxyServer m_server;
    base::SocketAddress m_frontAddress;
    base::SocketAddress m_peerAddress;  ///< Without a host, no requests of others are served.
    std::uint64_t m_peerKey = 0;        ///< Has to be stated in requests of other routers.
    ReadinessServer m_readiness;
    RunnerProbes m_probes;
    RunnerProbes m_reachabilityProbes;
    PathAnnouncements m_pathAnnouncements;
    StreamFetcher m_streamFetcher;
    base::SuspensionWatch m_suspensions;
    bool m_wasSuspended = false;  ///< A suspension was detected at the last tick.
    QTimer m_ticker;
};

}  // namespace fernlift::proxy
