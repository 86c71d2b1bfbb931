#include "proxy/ProxyProcess.h"

#include <algorithm>
#include <utility>

#include "http/ProcessEndpoints.h"
#include "log/Log.h"

namespace fernlift::proxy
{
namespace
{

constexpr base::milliseconds kTickInterval (25);
constexpr base::Duration kDemandInterval = base::milliseconds (500);

std::vector<base::SocketAddress> peersOf (const ProxySettings& settings)
{
    std::vector<base::SocketAddress> peers;
    for (const base::SocketAddress& seed : settings.seeds)
    {
        peers.push_back ({ seed.host, static_cast<std::uint16_t> (settings.seedPeerPort) });
    }
    return peers;
}

std::vector<base::SocketAddress> parseAll (const std::vector<std::string>& texts)
{
    std::vector<base::SocketAddress> addresses;
    for (const std::string& text : texts)
    {
        base::handleErrors (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_AUTO (address, base::SocketAddress::parse (text));
                addresses.push_back (address);
                return {};
            },
            [] (const base::Error&) {});
    }
    return addresses;
}

}  // namespace

ProxyProcess::ProxyProcess (ProxySettings settings, ProtocolNames names,
                            cell::CatalogueParser parser, const base::Clock& clock,
                            std::uint64_t randomSeed, std::function<void (int)> onFinished)
    : settings_ (std::move (settings)),
      names_ (std::move (names)),
      parser_ (parser),
      clock_ (clock),
      random_ (randomSeed),
      onFinished_ (std::move (onFinished)),
      directory_ (settings_.zone),
      pool_ (settings_.connectTimeout),
      retryBudget_ (settings_.retryShare, static_cast<double> (settings_.retryReserve)),
      context_{ names_,     clock_,    random_,
                directory_, pool_,     retryBudget_,
                demands_,   counters_, [this] { demandTimer_.start(0); },
                nullptr },
      session_ (clock.now()),
      link_ (peersOf (settings_), random_.bits() % peersOf (settings_).size(),
             { [this]
               {
                   session_.onConnected (clock_.now());
                   sendHello();
                   pollController();
               },
               [this] (const cell::ControllerToRouter& message) { onControllerMessage (message); },
               [this] { session_.onLost (clock_.now(), random_); } }),
      server_ (context_),
      readiness_ (names_.readinessPath, [this] { return isReady(); })
{
    demandTimer_.setSingleShot (true);
    QObject::connect (&demandTimer_, &QTimer::timeout, &demandTimer_, [this] { reportDemand(); });
    QObject::connect (&ticker_, &QTimer::timeout, &ticker_, [this] { onTick(); });
}

base::Result<void> ProxyProcess::start()
{
    BOOST_LEAF_CHECK (readiness_.listen (settings_.readinessAddress));
    BOOST_LEAF_AUTO (address, server_.listen (settings_.frontAddress));
    if (! settings_.metricsAddress.host.empty())
    {
        createMetrics();
        BOOST_LEAF_CHECK (metricsServer_->listen (settings_.metricsAddress));
    }
    log::write (log::Event::kRouterListening, { { "address", address.toString() } });
    ticker_.start (kTickInterval);
    onTick();
    return {};
}

void ProxyProcess::createMetrics()
{
    metrics_.addProcessMetrics();
    metrics_.addUpdate (
        [this]
        {
            const auto set = [this] (const char* name, const char* help, std::uint64_t value)
            { metrics_.gauge (name, help).set (static_cast<double> (value)); };
            set ("fernlift_proxy_requests", "Requests of callers.", counters_.requests);
            set ("fernlift_proxy_answered", "Answers of runners passed on whole.",
                 counters_.answered);
            set ("fernlift_proxy_refused", "Requests refused without having run.",
                 counters_.refused);
            set ("fernlift_proxy_failed", "Requests that ended without a whole answer.",
                 counters_.failed);
            set ("fernlift_proxy_left", "Requests whose caller went away.", counters_.left);
            set ("fernlift_proxy_attempts", "Attempts at runners.", counters_.attempts);
            set ("fernlift_proxy_retries", "Attempts after the first.", counters_.retries);
            set ("fernlift_proxy_resumed", "Streams that went on at another runner.",
                 counters_.resumed);
            set ("fernlift_proxy_connections_opened", "Connections opened to runners.",
                 pool_.opened());
            set ("fernlift_proxy_configuration_version", "Configuration in force.", held_.version);
        });
    metricsServer_ = std::make_unique<http::Server>();
    metricsServer_->setHandler (http::addProcessEndpoints (
        [] (const http::Request&, const std::shared_ptr<http::Responder>& responder)
        {
            constexpr int kNotFound = 404;
            responder->send (kNotFound, {}, "");
        },
        [this] { return isReady(); }, metrics_));
}

bool ProxyProcess::isReady() const
{
    return ! stopBegan_ && context_.routes != nullptr && directory_.hasTable();
}

void ProxyProcess::sendHello()
{
    cell::RouterHello hello;
    hello.router = base::RouterId (settings_.id);
    hello.cell = base::CellId (settings_.cell);
    hello.zone = base::ZoneName (settings_.zone);
    hello.address = settings_.frontAddress.toString();
    hello.configurationVersion = held_.version;
    hello.configurationDigest = held_.digest;
    link_.send (hello);
}

void ProxyProcess::onControllerMessage (const cell::ControllerToRouter& message)
{
    if (const auto* other = std::get_if<cell::NotLeaderReply> (&message))
    {
        session_.onNotLeader (*other, clock_.now(), random_);
    }
    else if (const auto* grant = std::get_if<cell::LeaseGrant> (&message))
    {
        session_.onGrant (*grant);
        noteController (true);
    }
    else if (const auto* configuration = std::get_if<cell::ConfigurationUpdate> (&message))
    {
        takeConfiguration (*configuration);
    }
    else if (const auto* instances = std::get_if<cell::InstanceUpdate> (&message))
    {
        takeInstances (*instances);
    }
}

void ProxyProcess::takeConfiguration (const cell::ConfigurationUpdate& update)
{
    if (update.version <= held_.version)
        return;
    std::optional<std::string> text = cell::wholeText (update, held_);
    if (! text)
    {
        session_.requestSoon (clock_.now());
        return;
    }
    config::CatalogueOutcome outcome = parser_ (*text);
    if (! outcome.catalogue)
        return;
    held_ = { update.version, update.digest, std::move (*text) };
    server_.setLimits (outcome.catalogue->services.limits);
    context_.routes =
        std::make_shared<const RouteTable> (held_.version, std::move (outcome.catalogue->services));
    log::write (log::Event::kConfigurationTaken,
                { { "version", held_.version }, { "digest", held_.digest } });
    server_.onDirectoryChanged();
    session_.requestSoon (clock_.now());
}

void ProxyProcess::takeInstances (const cell::InstanceUpdate& update)
{
    if (! directory_.apply (update, clock_.now()))
    {
        // A gap: a new connection gets the whole table.
        link_.close();
        session_.onLost (clock_.now(), random_);
        return;
    }
    log::write (log::Event::kInstancesTaken, { { "term", update.term },
                                               { "from", update.fromVersion },
                                               { "to", update.toVersion },
                                               { "changed", update.upserts.size() },
                                               { "removed", update.removals.size() },
                                               { "runners", directory_.size() } });
    link_.setControllers (parseAll (update.controllers));
    server_.onDirectoryChanged();
}

void ProxyProcess::noteController (bool isAnswering)
{
    if (hasController_ == isAnswering)
        return;
    hasController_ = isAnswering;
    const auto event = isAnswering ? log::Event::kControllerFound : log::Event::kControllerLost;
    log::write (event, { { "configuration", held_.version }, { "table", directory_.version() } });
}

void ProxyProcess::pollController()
{
    const auto due = session_.poll (clock_.now());
    if (! due)
        return;
    if (const auto* connect = std::get_if<router::ConnectController> (&*due))
    {
        noteController (false);
        link_.connect (connect->address);
        return;
    }
    auto request = std::get<cell::LeaseRequest> (*due);
    request.configurationVersion = held_.version;
    request.configurationDigest = held_.digest;
    link_.send (request);
}

void ProxyProcess::reportDemand()
{
    if (! session_.isConnected())
        return;
    std::vector<cell::EngineDemand> demands = demands_.takeDue (clock_.now(), kDemandInterval);
    if (! demands.empty())
        link_.send (cell::EngineDemandReport{ std::move (demands) });
    for (std::string& id : directory_.takeUnreachable())
    {
        link_.send (cell::InstanceUnreachable{ std::move (id) });
    }
}

void ProxyProcess::onTick()
{
    pollController();
    reportDemand();
    pool_.expire (clock_.now());
    // Runners that were avoided for a while may be tried again.
    if (server_.waitingExchanges() > 0)
        server_.onDirectoryChanged();
    checkStop();
}

void ProxyProcess::reload (const ProxySettings& changed)
{
    settings_.seeds = changed.seeds;
    // Members that the leader named are known better than seeds.
    if (directory_.controllers().empty())
        link_.setControllers (peersOf (settings_));
}

void ProxyProcess::beginStop()
{
    if (stopBegan_)
    {
        finish (0);
        return;
    }
    log::write (log::Event::kProcessStopping);
    stopBegan_ = clock_.now();
    server_.beginClosing();
}

void ProxyProcess::checkStop()
{
    if (! stopBegan_ || isFinished_)
        return;
    const base::Duration passed = clock_.now() - *stopBegan_;
    if (passed >= settings_.stopGrace && ! std::exchange (isRefusing_, true))
    {
        server_.beginRefusing();
    }
    const bool isDone =
        isRefusing_ && server_.openExchanges() == 0 && server_.openConnections() == 0;
    if (isDone || passed >= settings_.stopTimeout)
        finish (0);
}

void ProxyProcess::finish (int exitCode)
{
    if (std::exchange (isFinished_, true))
        return;
    ticker_.stop();
    onFinished_ (exitCode);
}

}  // namespace fernlift::proxy
