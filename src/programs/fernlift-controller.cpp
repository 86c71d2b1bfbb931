/// Main function of fernlift-controller, one member of a cell's controller quorum.

#include <QCoreApplication>

#include "controller/ControllerProcess.h"
#include "controller/ControllerSettings.h"
#include "http/FileWatcher.h"
#include "http/SignalWatcher.h"
#include "log/Log.h"
#include "platform/Configuration.h"
#include "platform/Control.h"
#include "platform/Engine.h"

namespace
{

using fernlift::base::Error;
using fernlift::controller::ControllerProcess;
using fernlift::controller::ControllerSettings;
namespace log = fernlift::log;

/// Starts the process. On failure logs the error and returns the exit code.
std::optional<int> startOrLogError (ControllerProcess& process)
{
    return fernlift::base::handleErrors (
        [&]() -> fernlift::base::Result<std::optional<int>>
        {
            BOOST_LEAF_CHECK (process.start());
            return std::optional<int>();
        },
        [] (const Error& error) -> std::optional<int>
        {
            const auto& traits = fernlift::base::traitsOf (error.kind);
            log::write (log::Event::kControllerStartFailed,
                        { { "kind", traits.name }, { "error", error.message } });
            return traits.exitCode;
        });
}

/// Interval at which the settings file is checked for changes.
constexpr fernlift::base::milliseconds kSettingsInterval (2000);

fernlift::config::CommandLineOutcome readSettings (int argc, char** argv,
                                                   ControllerSettings& settings)
{
    fernlift::config::SettingsSchema schema ("fernlift-controller",
                                             "One member of the controller quorum of a cell.");
    fernlift::controller::declareSettings (schema, settings);
    return fernlift::config::parseCommandLine (argc, argv, schema);
}

}  // namespace

int main (int argc, char** argv)
{
    // Qt's own event dispatcher has less overhead per event than the GLib dispatcher.
    qputenv ("QT_NO_GLIB", "1");
    ControllerSettings settings;
    const auto outcome = readSettings (argc, argv, settings);
    if (outcome.exitCode)
        return *outcome.exitCode;

    const QCoreApplication application (argc, argv);
    settings.logging.destination = log::Destination::kStandardOutput;
    settings.logging.program = "fernlift-controller";
    settings.logging.instance =
        settings.id != 0 ? std::to_string (settings.id) : settings.peerAddress.toString();
    log::initialize (settings.logging);
    log::write (log::Event::kProcessStarted,
                { { "cell", settings.cell }, { "zone", settings.zone } });

    ControllerProcess::ServiceProtocol protocol;
    if (! settings.controlAddress.host.empty())
    {
        protocol = { fernlift::platform::controlCodec(), fernlift::platform::engineCodec() };
        settings.core.catalogueParser = &fernlift::platform::parseConfiguration;
    }
    ControllerProcess process (settings, protocol,
                               [] (int exitCode) { QCoreApplication::exit (exitCode); });
    if (const auto exitCode = startOrLogError (process))
        return *exitCode;
    const auto reload = [&]
    {
        ControllerSettings changed;
        if (readSettings (argc, argv, changed).exitCode)
        {
            log::write (log::Event::kSettingsReloadFailed);
            return;
        }
        log::write (log::Event::kSettingsReloaded);
        process.reload (changed);
    };
    const fernlift::http::FileWatcher watcher (outcome.settingsFile, kSettingsInterval, reload);
    const fernlift::http::SignalWatcher signalWatcher ([&process] { process.beginStop(); }, reload);
    const int exitCode = QCoreApplication::exec();
    log::write (log::Event::kProcessStopped, { { "exit_code", exitCode } });
    log::reportOmitted();
    return exitCode;
}
