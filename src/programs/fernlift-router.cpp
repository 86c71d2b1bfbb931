/// Main function of fernlift-router, one router of a cell. It sends each request of a caller to a
/// replica, or, as `fernlift-router forward`, to a runner of a registered service.

#include <QCoreApplication>
#include <functional>
#include <optional>
#include <random>
#include <string_view>

#include "http/FileWatcher.h"
#include "http/SignalWatcher.h"
#include "log/Log.h"
#include "platform/Configuration.h"
#include "platform/Forwarding.h"
#include "proxy/ProxyProcess.h"
#include "proxy/ProxySettings.h"
#include "router/RouterProcess.h"
#include "router/RouterSettings.h"

namespace
{

using fernlift::base::Error;
using fernlift::router::RouterProcess;
using fernlift::router::RouterSettings;
namespace log = fernlift::log;

/// Interval at which the settings file is checked for changes.
constexpr fernlift::base::milliseconds kSettingsInterval (2000);

std::uint64_t generateSeed()
{
    std::random_device device;
    constexpr unsigned kBitsInDraw = 32;
    return (static_cast<std::uint64_t> (device()) << kBitsInDraw) | device();
}

/// Starts the process. On failure logs the error and returns the exit code.
template <class Process>
std::optional<int> startOrLogError (Process& process)
{
    return fernlift::base::handleErrors (
        [&]() -> fernlift::base::Result<std::optional<int>>
        {
            BOOST_LEAF_CHECK (process.start());
            return std::optional<int>();
        },
        [] (const Error& error) -> std::optional<int>
        {
            log::write (log::Event::kListenFailed, { { "error", error.message } });
            return fernlift::base::traitsOf (error.kind).exitCode;
        });
}

/// Runs a process until its graceful shutdown is complete, and returns the exit code.
template <class Process>
int runUntilStopped (Process& process, std::function<void()> onReload = {})
{
    if (const auto exitCode = startOrLogError (process))
        return *exitCode;
    const fernlift::http::SignalWatcher signalWatcher ([&process] { process.beginStop(); },
                                                       std::move (onReload));
    const int exitCode = QCoreApplication::exec();
    log::write (log::Event::kProcessStopped, { { "exit_code", exitCode } });
    log::reportOmitted();
    return exitCode;
}

/// Initializes logging from settings that have been read, and logs the start of the process.
template <class Settings>
void initializeLogging (Settings& settings)
{
    settings.logging.destination = log::Destination::kStandardOutput;
    settings.logging.program = "fernlift-router";
    settings.logging.instance = settings.id;
    log::initialize (settings.logging);
    log::write (log::Event::kProcessStarted,
                { { "cell", settings.cell }, { "zone", settings.zone } });
}

int runRouter (int argc, char** argv)
{
    RouterSettings settings;
    fernlift::config::SettingsSchema schema ("fernlift-router", "One router of a cell.");
    fernlift::router::declareSettings (schema, settings);
    const auto outcome = fernlift::config::parseCommandLine (argc, argv, schema);
    if (outcome.exitCode)
        return *outcome.exitCode;
    const QCoreApplication application (argc, argv);
    initializeLogging (settings);
    const fernlift::base::SystemClock clock;
    RouterProcess process (settings, clock, generateSeed(),
                           [] (int exitCode) { QCoreApplication::exit (exitCode); });
    return runUntilStopped (process);
}

/// Reads the settings of a forwarding router.
fernlift::config::CommandLineOutcome readSettings (int argc, char** argv,
                                                   fernlift::proxy::ProxySettings& settings)
{
    fernlift::config::SettingsSchema schema ("fernlift-router forward",
                                             "One router that forwards to registered services.");
    fernlift::proxy::declareSettings (schema, settings);
    return fernlift::config::parseCommandLine (argc, argv, schema);
}

int runForwarder (int argc, char** argv)
{
    fernlift::proxy::ProxySettings settings;
    const auto outcome = readSettings (argc, argv, settings);
    if (outcome.exitCode)
        return *outcome.exitCode;
    const QCoreApplication application (argc, argv);
    initializeLogging (settings);
    const fernlift::base::SystemClock clock;
    fernlift::proxy::ProxyProcess process (
        settings, fernlift::platform::protocolNames(), &fernlift::platform::parseConfiguration,
        clock, generateSeed(), [] (int exitCode) { QCoreApplication::exit (exitCode); });
    const auto reload = [&]
    {
        fernlift::proxy::ProxySettings changed;
        if (readSettings (argc, argv, changed).exitCode)
        {
            log::write (log::Event::kSettingsReloadFailed);
            return;
        }
        log::write (log::Event::kSettingsReloaded);
        process.reload (changed);
    };
    const fernlift::http::FileWatcher watcher (outcome.settingsFile, kSettingsInterval, reload);
    return runUntilStopped (process, reload);
}

}  // namespace

int main (int argc, char** argv)
{
    // Qt's own event dispatcher has less overhead per event than the GLib dispatcher.
    qputenv ("QT_NO_GLIB", "1");
    const bool isForwarder = argc > 1 && std::string_view (argv[1]) == "forward";
    return isForwarder ? runForwarder (argc - 1, argv + 1) : runRouter (argc, argv);
}
