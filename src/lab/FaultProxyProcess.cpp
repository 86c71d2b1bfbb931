#include "lab/FaultProxyProcess.h"

#include <QCoreApplication>
#include <memory>

#include "config/Settings.h"
#include "http/ErrorResponse.h"
#include "http/ProcessEndpoints.h"
#include "http/SignalWatcher.h"
#include "lab/FaultProxy.h"
#include "lab/ProgramRun.h"
#include "log/Log.h"

namespace fernlift::lab
{
namespace
{

constexpr int kOk = 200;

struct ProxySettings
{
    base::SocketAddress listenAddress{ "127.0.0.1", 0 };
    base::SocketAddress targetAddress;
    base::SocketAddress httpAddress{ "127.0.0.1", 0 };
    log::Options logging;

    void declare (config::SettingsSchema& schema)
    {
        schema.addAddress ("listen_address", &listenAddress, "Where callers connect; port 0: any.")
            .addAddress ("target_address", &targetAddress, "Where connections go on to.")
            .required()
            .addAddress ("http_address", &httpAddress, "Address of the commands; port 0: any.");
        config::addLoggingSettings (schema, &logging);
        schema.addCheck (
            [this]
            {
                return config::findAddressClashes (
                    { { "listen_address", listenAddress }, { "http_address", httpAddress } });
            });
    }
};

/// Handles the control interface: POST /faults replaces the faults in force, POST /reset resets all
/// connections and GET /counters returns the counters.
base::Result<http::Response> answerCommand (const http::Request& request, FaultProxy& proxy)
{
    if (request.method == "POST" && request.path == "/faults")
    {
        BOOST_LEAF_AUTO (faults, parseProxyFaults (request.body));
        BOOST_LEAF_CHECK (proxy.setFaults (faults));
        log::write (log::Event::kProxyFaultsSet, { { "faults", request.body } });
        return http::jsonResponse (kOk, "{}");
    }
    if (request.method == "POST" && request.path == "/reset")
    {
        proxy.resetConnections();
        log::write (log::Event::kProxyConnectionsReset);
        return http::jsonResponse (kOk, "{}");
    }
    if (request.method == "GET" && request.path == "/counters")
    {
        return http::jsonResponse (kOk, toJson (proxy.counters()));
    }
    return base::fail (base::ErrorKind::kNotFound,
                       "allowed: POST /faults, POST /reset, GET /counters");
}

base::Result<int> serve (const ProxySettings& settings)
{
    http::Metrics metrics;
    metrics.addProcessMetrics();
    FaultProxy proxy (settings.targetAddress);
    http::Server server;
    server.setHandler (http::addProcessEndpoints (
        [&] (const http::Request& request, const std::shared_ptr<http::Responder>& responder)
        {
            base::handleErrors (
                [&]() -> base::Result<void>
                {
                    BOOST_LEAF_AUTO (response, answerCommand (request, proxy));
                    response.sendTo (*responder);
                    return {};
                },
                [&] (const base::Error& error)
                { http::errorResponse (error).sendTo (*responder); });
        },
        [] { return true; }, metrics));
    BOOST_LEAF_AUTO (httpAddress, server.listen (settings.httpAddress));
    BOOST_LEAF_AUTO (listenAddress, proxy.listen (settings.listenAddress));
    const http::SignalWatcher signals ([] { QCoreApplication::exit (0); });
    log::write (log::Event::kProcessStarted,
                { { "listen_address", listenAddress.toString() },
                  { "target_address", settings.targetAddress.toString() },
                  { "http_address", httpAddress.toString() } });
    const int exitCode = QCoreApplication::exec();
    log::write (log::Event::kProcessStopped);
    log::reportOmitted();
    return exitCode;
}

}  // namespace

int runFaultProxy (int argc, char** argv)
{
    return runProgram<ProxySettings> (
        argc, argv, "fernlift-faultproxy",
        "TCP proxy that brings about connection faults on command.",
        [] (const ProxySettings& settings, const auto& /*positionals*/)
        { return serve (settings); });
}

}  // namespace fernlift::lab
