#pragma once

/// A router that forwards requests to registered services, as a process.

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
#include "proxy/ProtocolNames.h"
#include "proxy/ProxyContext.h"
#include "proxy/ProxyServer.h"
#include "proxy/ProxySettings.h"
#include "proxy/ReadinessServer.h"
#include "proxy/RunnerProbes.h"

namespace fernlift::proxy
{

/// Lives on the thread of the Qt event loop.
class ProxyProcess
{
public:
    /// `parser` reads the operator's file; `onFinished` is called once, with the exit code, when a
    /// planned stop is done. `clock` must outlive the process.
    ProxyProcess (ProxySettings settings, ProtocolNames names, cell::CatalogueParser parser,
                  const base::Clock& clock, std::uint64_t randomSeed,
                  std::function<void (int exitCode)> onFinished);

    /// Listens and begins to look for the leader of the cell.
    base::Result<void> start();
    /// Takes over what may change while the process runs: the seeds.
    void reload (const ProxySettings& changed);
    /// Begins a planned stop: not ready, serves on for the grace, then finishes what is open. A
    /// second call ends it at once.
    void beginStop();

    /// Where callers reach the process; known once it has started.
    [[nodiscard]] const base::SocketAddress& frontAddress() const { return m_frontAddress; }
    /// Whether callers should be sent here.
    [[nodiscard]] bool isReady() const;

private:
    void connectController (const std::string& address);
    /// What was told on the connection before is told again, and nothing is taken for granted of
    /// what its controller could read.
    void forgetController();
    void sendHello();
    void onControllerMessage (const cell::ControllerToRouter& message);
    void confirmRoutes (const cell::LeaseGrant& grant);
    void takeConfiguration (const cell::ConfigurationUpdate& update);
    void takeInstances (const cell::InstanceUpdate& update);
    /// Takes this router's part of the retries that all routers of the cell may make.
    void limitRetries();
    void pollController();
    /// Goes to the controller that this router had better be connected to, now and then.
    void moveToPreferred();
    /// About how many routers share this one's controller.
    [[nodiscard]] std::uint32_t routersAtController() const;
    /// Logs when the leader begins or ceases to answer.
    void noteController (bool isAnswering);
    /// Takes over the leases that cover the configuration held.
    void confirmConfiguration();
    /// Whether requests may be served now; logs when that changes.
    Freshness freshness();
    void reportDemand();
    /// Tells the controller what changed of this router's use of runners.
    void reportLoads();
    /// Asks the controller for units of tenants' quotas, if any are needed.
    void requestQuota();
    void takeRates (const cell::ControllerToRouter& message);
    /// Tells the controller what runners stated of their rates, and asks for permits.
    void reportRates();
    /// Tells the controller of runners that ended under requests, if it does not know.
    void reportSuspects();
    void onRunnerChecked (const std::string& instance, RunnerFate fate);
    void onTick();
    /// Requests whose time ran out while the machine was suspended end.
    void followSuspension();
    void checkStop();
    void createMetrics();
    void finish (int exitCode);

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
    dispatch::RetryBudget m_retryBudget;
    EngineDemands m_demands;
    TenantQuotas m_quotas;
    quarantine::SuspectRequests m_suspects;
    ProxyCounters m_counters;
    ProxyContext m_context;
    cell::ControllerSession m_session;
    cell::ControllerLink m_link;
    cell::HeldConfiguration m_held;
    bool m_needsWholeConfiguration = false;  ///< A change came that does not fit.
    ConfigurationFreshness m_freshness;
    Freshness m_toldFreshness = Freshness::kConfirmed;
    std::optional<base::TimePoint> m_stopBegan;
    bool m_isRefusing = false;
    bool m_hasController = false;
    std::optional<base::SocketAddress> m_preferredController;  ///< None before the first table.
    base::TimePoint m_moveAt{};  ///< Not to another controller before.
    bool m_isFinished = false;
    http::Metrics m_metrics;
    std::unique_ptr<http::Server> m_metricsServer;
    ProxyServer m_server;
    base::SocketAddress m_frontAddress;
    ReadinessServer m_readiness;
    RunnerProbes m_probes;
    base::SuspensionWatch m_suspensions;
    bool m_wasSuspended = false;  ///< Noticed at the last tick.
    QTimer m_demandTimer;  ///< Sends an urgent report of demand once control is in the event loop.
    QTimer m_ticker;
};

}  // namespace fernlift::proxy
