#include "proxy/ProxyProcess.h"

#include <algorithm>
#include <utility>

#include "log/Log.h"
#include "proxy/ControllerPreference.h"

namespace fernlift::proxy
{
namespace
{

constexpr base::milliseconds kTickInterval (25);

/// Shortest interval between attempts to move to the preferred controller, which may be down. A
/// random time of up to the same length is added.
constexpr base::Duration kMoveInterval = base::seconds (5);
/// A runner's machine answers an opening packet within a few milliseconds on the known platforms; a
/// lost one is sent again after a second.
constexpr base::Duration kReachabilityTimeout = base::milliseconds (150);
/// Time for the answer to a health check, which needs a free slot of the runner.
constexpr base::Duration kReachabilityAnswerTimeout = base::milliseconds (200);
/// A device on the path may accept a connection and reset it at once.
constexpr base::Duration kReachabilitySettleTime = base::milliseconds (20);

std::vector<base::SocketAddress> peersOf (const ProxySettings& settings)
{
    std::vector<base::SocketAddress> peers;
    for (const base::SocketAddress& seed : settings.seeds)
    {
        peers.push_back ({ seed.host, static_cast<std::uint16_t> (settings.seedPeerPort) });
    }
    return peers;
}

/// Retries at each service that are allowed before there were requests. A part of a common reserve
/// has to be earned by requests: a router that restarts could otherwise spend it twice.
double initialRetries (const ProxySettings& settings)
{
    return settings.cellRetryReserve == 0 ? static_cast<double> (settings.retryReserve) : 0;
}

}  // namespace

ProxyProcess::ProxyProcess (ProxySettings settings, ProtocolNames names,
                            cell::CatalogueParser parser, const base::Clock& clock,
                            std::uint64_t randomSeed, std::function<void (int)> onFinished)
    : m_settings (std::move (settings)),
      m_names (std::move (names)),
      m_parser (parser),
      m_clock (clock),
      m_random (randomSeed),
      m_onFinished (std::move (onFinished)),
      m_directory (m_settings.zone),
      m_rates (randomSeed, [this] { m_demandTimer.start (0); }),
      m_pool (m_settings.connectTimeout),
      m_retryBudgets (m_settings.retryShare, initialRetries (m_settings)),
      m_retryReserve (m_settings.cellRetryReserve, m_random.bits()),
      m_quotas (m_settings.quotaTolerance, [this] { m_demandTimer.start (0); }),
      m_context{ m_names,
                 m_clock,
                 m_random,
                 m_directory,
                 m_loadReporter,
                 m_rates,
                 m_pool,
                 m_retryBudgets,
                 m_demands,
                 m_quotas,
                 m_suspects,
                 m_counters,
                 [this] { m_demandTimer.start (0); },
                 nullptr },
      m_session (clock.now(), cell::ControllerSession::kShortLeaderWaitAfterLoss),
      m_link (peersOf (m_settings), m_random.bits() % peersOf (m_settings).size(),
              { [this]
                {
                    m_freshness.onContact();
                    m_session.onConnected (m_clock.now());
                    // A redirect replaces the connection without a preceding loss.
                    resetControllerState();
                    sendHello();
                    pollController();
                },
                [this] (const cell::ControllerToRouter& message) { onControllerMessage (message); },
                [this]
                {
                    resetControllerState();
                    m_session.onLost (m_clock.now(), m_random);
                } }),
      m_freshness ({ m_settings.unconfirmedGrace, m_settings.isolatedGrace }),
      m_server (m_context),
      m_readiness (m_names.readinessPath, [this] { return isReady(); }),
      m_probes ({}, [this] (const std::string& instance, RunnerProbeResult probeResult)
                { onRunnerChecked (instance, probeResult); }),
      m_reachabilityProbes (
          { kReachabilityTimeout, kReachabilityAnswerTimeout, kReachabilitySettleTime },
          [this] (const std::string& instance, RunnerProbeResult probeResult)
          { onReachabilityProbed (instance, probeResult); }),
      m_streamFetcher (m_clock, m_pool, m_random, m_context.streams)
{
    if (m_settings.cellRetryReserve > 0)
        m_retryBudgets.dropReserve();
    m_context.answerBuffers.setMaxBytes (static_cast<std::size_t> (m_settings.answerBufferBytes));
    m_context.requestBuffers.setMaxBytes (static_cast<std::size_t> (m_settings.requestBufferBytes));
    m_context.router = m_settings.id;
    m_context.slots =
        RunnerSlots (m_settings.id, m_random.bits(), [this] { m_demandTimer.start (0); });
    m_context.peers = PeerRouters (m_settings.id, m_settings.zone);
    m_context.checkRunner = [this] (const std::string& instance, const base::SocketAddress& address)
    { m_probes.check (instance, address); };
    m_context.onIsolated = [this] { onIsolated(); };
    m_context.probeReachability = [this] { probeReachability(); };
    m_context.freshness = [this] { return freshness(); };
    m_demandTimer.setSingleShot (true);
    QObject::connect (&m_demandTimer, &QTimer::timeout, &m_demandTimer,
                      [this]
                      {
                          reportDemand();
                          requestQuota();
                          reportRates();
                          reportSlots();
                      });
    QObject::connect (&m_ticker, &QTimer::timeout, &m_ticker, [this] { onTick(); });
}

base::Result<void> ProxyProcess::start()
{
    BOOST_LEAF_CHECK (m_readiness.listen (m_settings.readinessAddress));
    BOOST_LEAF_ASSIGN (m_frontAddress, m_server.listen (m_settings.frontAddress));
    if (! m_settings.peerAddress.host.empty())
    {
        m_peerKey = m_random.bits();
        BOOST_LEAF_ASSIGN (
            m_peerAddress,
            m_server.listenForPeers (m_settings.peerAddress, m_peerKey,
                                     static_cast<std::size_t> (m_settings.maxPeerRequests)));
    }
    if (! m_settings.metricsAddress.host.empty())
    {
        createMetrics();
        BOOST_LEAF_CHECK (m_metricsServer->listen (m_settings.metricsAddress));
    }
    log::write (log::Event::kRouterListening, { { "address", m_frontAddress.toString() } });
    m_ticker.start (kTickInterval);
    onTick();
    return {};
}

bool ProxyProcess::isReady() const
{
    const bool isKnown = m_context.routes != nullptr && m_directory.hasTable();
    return ! m_stopBegan && isKnown && m_freshness.at (m_clock.now()) != Freshness::kExpired;
}

void ProxyProcess::resetControllerState()
{
    m_quotas.pool().onLinkLost();
    m_rates.onLinkLost();
    m_context.slots.onLinkLost();
    m_loadReporter.onLinkLost();
    m_directory.onLinkLost();
    m_suspects.onLinkLost();
    m_retryReserve.onLinkLost();
    m_context.streamRecorder.onLinkLost();
}

void ProxyProcess::sendHello()
{
    cell::RouterHello hello;
    hello.router = base::RouterId (m_settings.id);
    hello.cell = base::CellId (m_settings.cell);
    hello.zone = base::ZoneName (m_settings.zone);
    hello.address = m_settings.frontAddress.toString();
    hello.configurationVersion = m_held.version;
    hello.configurationDigest = m_held.digest;
    hello.acceptsLastKnownState = true;
    hello.features = cell::kReadsInstanceRates | cell::kReadsRetryReserve | cell::kReadsStreams
                     | cell::kReadsSlotGrants;
    if (! m_peerAddress.host.empty())
    {
        hello.features |= cell::kReadsRouterPeers;
        hello.peerAddress = m_peerAddress.toString();
        hello.peerKey = m_peerKey;
    }
    hello.instanceTerm = m_directory.term();
    hello.instanceVersion = m_directory.version();
    m_link.send (hello);
}

Freshness ProxyProcess::freshness()
{
    const base::TimePoint now = m_clock.now();
    const Freshness present = m_freshness.at (now);
    if (present == m_loggedFreshness)
        return present;
    m_loggedFreshness = present;
    log::write (present == Freshness::kConfirmed ? log::Event::kConfigurationIsConfirmed
                                                 : log::Event::kConfigurationIsUnconfirmed,
                { { "version", m_held.version },
                  { "standing", toString (present) },
                  { "unconfirmed_ms", base::toMilliseconds (m_freshness.unconfirmedFor (now)) } });
    return present;
}

void ProxyProcess::moveToPreferred()
{
    const base::TimePoint now = m_clock.now();
    const bool isThere = ! m_preferredController || *m_preferredController == m_link.address();
    if (isThere || ! m_hasController || now < m_moveAt)
        return;
    m_moveAt =
        now + kMoveInterval
        + base::Duration (m_random.uniformInteger (0, base::Duration (kMoveInterval).count()));
    m_session.goTo (m_preferredController->toString(), now);
    pollController();
}

void ProxyProcess::setControllerAnswering (bool isAnswering)
{
    if (m_hasController == isAnswering)
        return;
    m_hasController = isAnswering;
    const auto event = isAnswering ? log::Event::kControllerFound : log::Event::kControllerLost;
    log::write (event, { { "configuration", m_held.version }, { "table", m_directory.version() } });
}

void ProxyProcess::pollController()
{
    const auto due = m_session.poll (m_clock.now());
    if (! due)
        return;
    if (const auto* connect = std::get_if<cell::ConnectController> (&*due))
    {
        setControllerAnswering (false);
        m_freshness.onConnectionTried();
        m_link.connect (connect->address);
        return;
    }
    auto request = std::get<cell::LeaseRequest> (*due);
    request.configurationVersion = m_held.version;
    request.configurationDigest = m_held.digest;
    request.instanceTerm = m_directory.term();
    request.instanceVersion = m_directory.version();
    request.needsWholeConfiguration = std::exchange (m_needsWholeConfiguration, false);
    m_link.send (request);
}

std::uint32_t ProxyProcess::routersAtController() const
{
    const auto controllers = static_cast<std::uint32_t> (m_directory.controllers().size());
    return m_directory.routers() / std::max (controllers, 1U);
}

void ProxyProcess::reportDemand()
{
    if (! m_session.isConnected())
        return;
    std::vector<cell::EngineDemand> demands =
        m_demands.takeDue (m_clock.now(), demandReportInterval (routersAtController()));
    if (! demands.empty())
        m_link.send (cell::EngineDemandReport{ std::move (demands) });
    reportUnreachable();
}

void ProxyProcess::reportUnreachable()
{
    const base::TimePoint now = m_clock.now();
    const bool isOpen = m_context.reachability.path (now) == RunnerPath::kOpen;
    // Other routers may reach runners that this one does not, so that it reports only while it
    // reaches others.
    if (isOpen && m_context.reachability.isInDoubt (now))
        return;
    std::vector<std::string> unreachable = m_directory.takeUnreachable();
    if (! isOpen)
        return;
    for (std::string& id : unreachable)
        m_link.send (cell::InstanceUnreachable{ std::move (id) });
}

void ProxyProcess::probeReachability()
{
    const base::TimePoint now = m_clock.now();
    const auto isFull = [&] (const std::string& id) { return m_directory.isFull (id, now); };
    for (const std::string& id : m_context.reachability.takeProbes (now, m_random, isFull))
        m_reachabilityProbes.check (id, m_directory.addressOf (id), healthRequest (id));
}

void ProxyProcess::announce (std::optional<PeerPath> path)
{
    if (path && ! m_peerAddress.host.empty())
        m_context.announcePath (*path);
}

std::string ProxyProcess::healthRequest (const std::string& instance) const
{
    const config::Service* service =
        m_context.routes == nullptr
            ? nullptr
            : m_context.routes->catalogue().findService (m_directory.serviceOf (instance));
    // A brittle runner that is full would have to decline the health check.
    const bool mayBeDeclined =
        service != nullptr && m_context.slots.isNeeded (m_directory.serviceOf (instance));
    if (service == nullptr || service->healthPath.empty() || mayBeDeclined)
        return {};
    return "GET " + service->healthPath + " HTTP/1.1\r\nHost: "
           + m_directory.addressOf (instance).toString() + "\r\nConnection: close\r\n\r\n";
}

void ProxyProcess::onReachabilityProbed (const std::string& instance, RunnerProbeResult probeResult)
{
    const base::TimePoint now = m_clock.now();
    RunnerReachability& reachability = m_context.reachability;
    const bool isReachable = probeResult == RunnerProbeResult::kAlive;
    const bool isSilent = probeResult == RunnerProbeResult::kSilent;
    bool isNewlyIsolated = false;
    if (isReachable)
        reachability.onConnected (instance, now);
    else if (isSilent)
        isNewlyIsolated =
            reachability.onProbeUnanswered (instance, kReachabilityAnswerTimeout, now);
    else
        isNewlyIsolated = reachability.onConnectFailed (instance, now);
    // A runner that accepted the connection of an unanswered probe may have no free slot.
    const bool mayServe = isReachable || (isSilent && ! reachability.isUnreachable (instance));
    m_directory.onProbed (instance, mayServe, now);
    if (isNewlyIsolated)
        onIsolated();
    else if (! isReachable)
        announce (m_pathAnnouncements.takeDoubt (reachability, now));
}

void ProxyProcess::onIsolated()
{
    // Connections that are still open may have been lost without notice.
    for (const std::string& id : m_directory.instances())
        m_pool.forget (m_directory.addressOf (id));
    m_context.onRunnerUnavailable();
    announce (m_pathAnnouncements.takeDue (m_context.reachability, m_clock.now()));
}

void ProxyProcess::reportLoads()
{
    const std::int64_t minRouters = m_settings.sharedLoadsFromRouters;
    m_loadReporter.setShared (minRouters != 0 && m_directory.routers() >= minRouters);
    if (! m_session.isConnected())
        return;
    const base::Duration interval = loadReportInterval (routersAtController());
    if (auto report = m_loadReporter.takeDue (m_clock.now(), interval))
    {
        m_directory.onLoadsReported (*report, m_clock.now());
        m_link.send (std::move (*report));
    }
}

void ProxyProcess::requestQuota()
{
    if (! m_session.isConnected())
        return;
    if (auto request = m_quotas.pool().takeRequest (m_clock.now()))
        m_link.send (std::move (*request));
}

void ProxyProcess::reportRates()
{
    if (! m_session.isConnected())
        return;
    if (auto report = m_rates.takeReport (m_clock.now()))
        m_link.send (std::move (*report));
    if (auto request = m_rates.takeRequest (m_clock.now()))
        m_link.send (std::move (*request));
}

void ProxyProcess::reportSlots()
{
    if (! m_session.isConnected())
        return;
    if (auto reports = m_context.slots.takeReport (m_clock.now()))
        m_link.send (std::move (*reports));
}

void ProxyProcess::onRunnerChecked (const std::string& instance, RunnerProbeResult probeResult)
{
    log::write (log::Event::kRunnerChecked,
                { { "runner", instance }, { "fate", toString (probeResult) } });
    m_suspects.onProbeResult (instance, probeResult);
    reportSuspects();
    m_server.onSuspectsChanged();
}

void ProxyProcess::reportSuspects()
{
    m_suspects.expire (m_clock.now());
    if (! m_session.isConnected())
        return;
    if (auto report = m_suspects.takeReport (m_clock.now()))
        m_link.send (std::move (*report));
}

void ProxyProcess::handleSuspension()
{
    // Timers do not count suspended time. Data that arrived in the meantime is read before the
    // deadlines are checked, so that an answer that is ready is delivered even if late.
    if (std::exchange (m_wasSuspended, false))
        m_server.checkDeadlines();
    const base::Duration suspended = m_suspensions.observe (m_clock.now(), m_clock.runningTime());
    if (suspended == base::Duration::zero())
        return;
    m_wasSuspended = true;
    log::write (log::Event::kProcessResumed,
                { { "suspended_ms", base::toMilliseconds (suspended) } });
}

void ProxyProcess::onTick()
{
    handleSuspension();
    pollController();
    probeReachability();
    announce (m_pathAnnouncements.takeDue (m_context.reachability, m_clock.now()));
    m_streamFetcher.poll (m_context.peers, m_settings.id);
    reportDemand();
    reportLoads();
    requestQuota();
    reportRates();
    reportSlots();
    m_retryBudgets.expire (m_clock.now());
    requestRetryReserve();
    sendStreams();
    reportSuspects();
    moveToPreferred();
    m_pool.expire (m_clock.now());
    m_directory.availability().expire (m_clock.now());
    m_context.peers.expire (m_clock.now());
    m_context.streams.expire (m_clock.now());
    // The avoidance of a runner may have ended.
    if (m_server.waitingExchanges() > 0)
        m_server.onDirectoryChanged();
    checkStop();
}

void ProxyProcess::reload (const ProxySettings& changed)
{
    m_settings.seeds = changed.seeds;
    // Members named by the leader take precedence over seeds.
    if (m_directory.controllers().empty())
        m_link.setControllers (peersOf (m_settings));
}

}  // namespace fernlift::proxy
