#include "standin/StandinProcess.h"

#include <QCoreApplication>
#include <QTimer>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "config/Version.h"
#include "http/ProcessEndpoints.h"
#include "http/SignalWatcher.h"
#include "standin/ApplicationServer.h"
#include "standin/EngineServer.h"
#include "standin/MachineListServer.h"
#include "standin/StandinSettings.h"
#include "standin/WeightStoreServer.h"

namespace fernlift::standin
{
namespace
{

constexpr const char* kUsage =
    "Usage: fernlift-standin KIND [flags]\n"
    "Kinds: engine, application, weights, machines.\n"
    "fernlift-standin KIND --help lists the flags of a kind.\n";
constexpr int kIdleCheckMilliseconds = 20;
/// Maximum time that connections may take to close after the last answer.
constexpr base::Duration kCloseLimit = base::seconds (1);

using ServerFactory =
    std::function<base::Result<std::unique_ptr<StandinServer>> (const SimulatedClock&)>;

/// A kind of stand-in: its settings and a factory for its server.
struct Kind
{
    config::SettingsSchema schema;
    ServerFactory makeServer;
};

Kind makeEngineKind()
{
    auto settings = std::make_shared<EngineSettings>();
    config::SettingsSchema schema ("fernlift-standin engine", "Stand-in for a model engine.");
    settings->declare (schema);
    return { schema,
             [settings] (
                 const SimulatedClock& clock) -> base::Result<std::unique_ptr<StandinServer>>
             {
                 auto options = settings->toOptions();
                 if (! options)
                     return options.error();
                 std::optional<base::SocketAddress> weightStore;
                 if (! settings->weightStore.empty())
                 {
                     auto address = base::SocketAddress::parse (settings->weightStore);
                     if (! address)
                         return address.error();
                     weightStore = address.value();
                 }
                 return std::make_unique<EngineServer> (options.value(), clock, weightStore);
             } };
}

Kind makeApplicationKind()
{
    auto settings = std::make_shared<ApplicationSettings>();
    config::SettingsSchema schema ("fernlift-standin application",
                                   "Stand-in for an application back end.");
    settings->declare (schema);
    return { schema,
             [settings] (
                 const SimulatedClock& clock) -> base::Result<std::unique_ptr<StandinServer>>
             { return std::make_unique<ApplicationServer> (settings->toOptions(), clock); } };
}

Kind makeWeightStoreKind()
{
    auto settings = std::make_shared<WeightStoreSettings>();
    config::SettingsSchema schema ("fernlift-standin weights", "Stand-in for the weight store.");
    settings->declare (schema);
    return { schema,
             [settings] (
                 const SimulatedClock& clock) -> base::Result<std::unique_ptr<StandinServer>>
             { return std::make_unique<WeightStoreServer> (settings->toOptions(), clock); } };
}

Kind makeMachineListKind()
{
    auto settings = std::make_shared<MachineListSettings>();
    config::SettingsSchema schema ("fernlift-standin machines",
                                   "Stand-in for the platform's machine list.");
    settings->declare (schema);
    return { schema,
             [settings] (
                 const SimulatedClock& clock) -> base::Result<std::unique_ptr<StandinServer>>
             {
                 auto list = settings->toList();
                 if (! list)
                     return list.error();
                 return std::make_unique<MachineListServer> (list.value(), settings->lag, clock);
             } };
}

/// Ends the event loop once the server is idle and the grace period has passed.
class PlannedStop
{
public:
    PlannedStop (StandinServer& server, http::Server& listener, base::Duration grace)
        : m_server (server), m_listener (listener), m_grace (grace)
    {
        QObject::connect (&m_timer, &QTimer::timeout, [this] { check(); });
    }

    void begin()
    {
        log::write (log::Event::kProcessStopping);
        m_began = m_clock.now();
        m_server.beginStop();
        m_timer.start (kIdleCheckMilliseconds);
    }

private:
    void check()
    {
        const bool isOver = m_clock.now() - m_began >= m_grace;
        if (! isOver || ! m_server.isIdle() || m_listener.openResponses() > 0)
            return;
        if (! m_listeningEnded)
        {
            m_listeningEnded = m_clock.now();
            m_listener.stopListening();
        }
        const bool isClosed = m_listener.openConnections() == 0;
        if (isClosed || m_clock.now() - *m_listeningEnded >= kCloseLimit)
            QCoreApplication::exit (0);
    }

    StandinServer& m_server;
    http::Server& m_listener;
    base::Duration m_grace;
    base::SystemClock m_clock;
    base::TimePoint m_began{};
    std::optional<base::TimePoint> m_listeningEnded;
    QTimer m_timer;
};

/// Appends the ledger to a file as one line of JSON, so that it survives the process.
base::Result<void> appendLedger (const std::string& path, const std::string& json)
{
    if (path.empty() || json.empty())
        return {};
    std::ofstream file (path, std::ios::app);
    file << json << "\n" << std::flush;
    if (! file)
        return base::fail (base::ErrorKind::kStorageFailed, "cannot write " + path);
    return {};
}

int serve (const std::string& kind, const CommonSettings& common, const ServerFactory& makeServer)
{
    const SimulatedClock clock (common.timeScale);
    http::Metrics metrics;
    metrics.addProcessMetrics();
    http::Server listener;
    return base::handleErrors (
        [&]() -> base::Result<int>
        {
            auto made = makeServer (clock);
            if (! made)
                return made.error();
            const std::unique_ptr<StandinServer> server = std::move (made.value());
            listener.setHandler (
                http::addProcessEndpoints ([&] (const http::Request& request,
                                                const std::shared_ptr<http::Responder>& responder)
                                           { server->handle (request, responder); },
                                           [] { return true; }, metrics));
            auto address = listener.listen (common.httpAddress);
            if (! address)
                return address.error();
            PlannedStop stop (*server, listener, common.stopGrace);
            const http::SignalWatcher signals ([&] { stop.begin(); });
            log::write (log::Event::kProcessStarted,
                        { { "kind", kind }, { "address", address->toString() } });
            const int code = QCoreApplication::exec();
            BOOST_LEAF_CHECK (appendLedger (common.ledgerFile, server->ledgerJson()));
            log::write (log::Event::kProcessStopped);
            log::reportOmitted();
            return code;
        },
        [] (const base::Error& error)
        {
            std::cerr << "fernlift-standin: " << error.message << "\n";
            return base::traitsOf (error.kind).exitCode;
        });
}

std::optional<Kind> makeKind (const std::string& name)
{
    if (name == "engine")
        return makeEngineKind();
    if (name == "application")
        return makeApplicationKind();
    if (name == "weights")
        return makeWeightStoreKind();
    if (name == "machines")
        return makeMachineListKind();
    return std::nullopt;
}

}  // namespace

int runStandin (int argc, char** argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--version")
    {
        std::cout << "fernlift-standin " << config::version() << "\n";
        return 0;
    }
    if (name == "--help")
    {
        std::cout << kUsage;
        return 0;
    }
    auto kind = makeKind (name);
    if (! kind)
    {
        std::cerr << "fernlift-standin: unknown kind '" << name << "'\n" << kUsage;
        return base::traitsOf (base::ErrorKind::kUsage).exitCode;
    }
    CommonSettings common;
    common.log.program = "fernlift-standin";
    common.declare (kind->schema);
    const auto outcome = config::parseCommandLine (argc - 1, argv + 1, kind->schema);
    if (outcome.exitCode)
        return *outcome.exitCode;
    common.log.instance = name;
    log::initialize (common.log);
    QCoreApplication application (argc, argv);
    return serve (name, common, kind->makeServer);
}

}  // namespace fernlift::standin
