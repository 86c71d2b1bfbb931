#include "lab/FleetProgram.h"

#include <QCoreApplication>
#include <QProcess>
#include <QTemporaryDir>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "config/Settings.h"
#include "http/SignalWatcher.h"
#include "lab/Demo.h"
#include "lab/EventWait.h"
#include "lab/Fleet.h"
#include "lab/FleetControl.h"
#include "lab/Measure.h"
#include "lab/ProgramRun.h"
#include "log/Log.h"

namespace fernlift::lab
{
namespace
{

constexpr const char* kSummary =
    "runs a whole fleet on this machine.\n\nCommands:\n"
    "  start FILE     Start the fleet of a file; ends and stops it at SIGINT, SIGTERM or `stop`.\n"
    "  status         Show the processes.\n"
    "  stop           Planned stop of everything.\n"
    "  kill NODE      End a process at once.\n"
    "  freeze NODE    Stop a process from running, without ending it.\n"
    "  thaw NODE      Let a frozen process run again.\n"
    "  restart NODE   Planned stop and start with the same identity and files.\n"
    "  replace NODE   End a process and start it without its files; a controller gets a new id.\n"
    "  measure NAME   Measure real controllers: failover, claims or apply.\n"
    "  demo           Show the main job on an embedded fleet.\n";
constexpr std::int64_t kMaxTrials = 10'000;
constexpr std::int64_t kMaxRouters = 1'000;
constexpr std::int64_t kMaxSeconds = 3'600;
constexpr base::Duration kDetachTimeout = base::seconds (60);
constexpr base::Duration kStopTimeout = base::seconds (90);

struct FleetSettings
{
    std::string runFolder;
    std::string programs;
    std::string fleetFile = "examples/demo-fleet.toml";
    std::string catalogue = "examples/demo.toml";
    bool isDetached = false;
    MeasureOptions measure;
    log::Options logging;

    void declare (config::SettingsSchema& schema)
    {
        schema.setPositionals ("COMMAND [FILE|NODE]")
            .addString (
                "run_folder", &runFolder,
                "Folder of logs, data and state; empty: ./fernlift-run (demo: a temporary one).")
            .addString ("programs", &programs,
                        "Folder of the executables; empty: that of this one.")
            .addBoolean ("detach", &isDetached,
                         "start: go on in the background once all is healthy.")
            .addString ("fleet_file", &fleetFile, "demo: the fleet.")
            .addString ("catalogue", &catalogue, "demo: the catalogue to apply.")
            .addString ("csv", &measure.csvFile, "measure: file of the figures; empty: none.")
            .addString ("measured_catalogue", &measure.catalogue, "measure apply: what is applied.")
            .addStringList ("controller_flags", &measure.controllerFlags,
                            "measure: flag passed on to the controllers, for example "
                            "--heartbeat-interval-ms=20.")
            .addInteger ("trials", &measure.trials, 1, kMaxTrials,
                         "measure: failures of each kind, or applies.")
            .addInteger ("measured_routers", &measure.routers, 1, kMaxRouters,
                         "measure apply: routers that hold leases.")
            .addInteger ("seconds", &measure.seconds, 1, kMaxSeconds,
                         "measure claims: time of each load.");
        config::addLoggingSettings (schema, &logging);
    }

    [[nodiscard]] FleetFolders folders() const
    {
        const std::string run = runFolder.empty() ? "fernlift-run" : runFolder;
        const std::string own = QCoreApplication::applicationDirPath().toStdString();
        return { programs.empty() ? own : programs, std::filesystem::absolute (run).string() };
    }
};

base::Result<int> startDetached (const FleetSettings& settings, const std::string& file)
{
    const FleetFolders folders = settings.folders();
    std::filesystem::create_directories (folders.run);
    QProcess process;
    process.setProgram (QCoreApplication::applicationFilePath());
    process.setArguments ({ QStringLiteral ("start"), QString::fromStdString (file),
                            QStringLiteral ("--run-folder"), QString::fromStdString (folders.run),
                            QStringLiteral ("--programs"),
                            QString::fromStdString (folders.programs) });
    const QString log = QString::fromStdString (folders.run + "/fleet.log");
    process.setStandardOutputFile (log, QIODevice::Append);
    process.setStandardErrorFile (log, QIODevice::Append);
    process.setStandardInputFile (QProcess::nullDevice());
    if (! process.startDetached())
    {
        return base::fail (base::ErrorKind::kInternal, "cannot start the fleet in the background");
    }
    if (! waitUntil ([&] { return isFleetRunning (folders.run); }, kDetachTimeout))
    {
        return base::fail (base::ErrorKind::kInternal,
                           "the fleet did not start in time; see " + folders.run + "/fleet.log");
    }
    std::cout << "running; state in " << folders.run << "/state.json\n";
    return 0;
}

base::Result<int> startFleet (const FleetSettings& settings, const std::string& file)
{
    const FleetFolders folders = settings.folders();
    if (isFleetRunning (folders.run))
    {
        return base::fail (base::ErrorKind::kUsage, "a fleet is already running in " + folders.run);
    }
    if (settings.isDetached)
    {
        return startDetached (settings, file);
    }
    BOOST_LEAF_AUTO (spec, readFleetSpec (file));
    Fleet fleet (std::move (spec), folders);
    bool isStopping = false;
    const http::SignalWatcher signals ([&] { isStopping = true; });
    BOOST_LEAF_CHECK (fleet.start());
    FleetControl control (fleet, [&] { isStopping = true; });
    BOOST_LEAF_CHECK (control.listen (folders.run));
    log::write (log::Event::kFleetStarted, { { "run_folder", folders.run } });
    while (! isStopping)
    {
        handleEventsFor (base::milliseconds (100));
    }
    BOOST_LEAF_CHECK (fleet.stop());
    log::write (log::Event::kFleetStopped);
    return 0;
}

base::Result<int> stopFleet (const FleetSettings& settings)
{
    const std::string run = settings.folders().run;
    BOOST_LEAF_CHECK (sendFleetCommand (run, { "stop", "" }));
    if (! waitUntil ([&] { return ! isFleetRunning (run); }, kStopTimeout))
    {
        return base::fail (base::ErrorKind::kRequestTimeout, "the fleet did not stop in time");
    }
    return 0;
}

base::Result<int> runDemoCommand (const FleetSettings& settings)
{
    const QTemporaryDir temporary;
    FleetFolders folders = settings.folders();
    if (settings.runFolder.empty())
    {
        folders.run = temporary.path().toStdString();
    }
    BOOST_LEAF_AUTO (spec, readFleetSpec (settings.fleetFile));
    return runDemo (std::move (spec), folders, settings.catalogue, std::cout);
}

base::Result<int> runMeasureCommand (const FleetSettings& settings, const std::string& name)
{
    const QTemporaryDir temporary;
    MeasureOptions options = settings.measure;
    options.programs = settings.folders().programs;
    options.run = settings.runFolder.empty() ? temporary.path().toStdString() : settings.runFolder;
    return runMeasurement (name, options, std::cout);
}

base::Result<int> dispatch (const FleetSettings& settings,
                            const std::vector<std::string>& positionals)
{
    const std::string verb = positionals.empty() ? "" : positionals.front();
    const bool hasArgument = positionals.size() == 2;
    if (verb == "start" && hasArgument)
    {
        return startFleet (settings, positionals[1]);
    }
    if (verb == "demo" && positionals.size() == 1)
    {
        return runDemoCommand (settings);
    }
    if (verb == "measure" && hasArgument)
    {
        return runMeasureCommand (settings, positionals[1]);
    }
    if (verb == "stop" && positionals.size() == 1)
    {
        return stopFleet (settings);
    }
    const bool isStatus = verb == "status" && positionals.size() == 1;
    const bool isNodeCommand = hasArgument
                               && (verb == "kill" || verb == "freeze" || verb == "thaw"
                                   || verb == "restart" || verb == "replace");
    if (! isStatus && ! isNodeCommand)
    {
        return base::fail (base::ErrorKind::kUsage, "unknown command; --help lists the commands");
    }
    BOOST_LEAF_AUTO (answer, sendFleetCommand (settings.folders().run,
                                               { verb, hasArgument ? positionals[1] : "" }));
    std::cout << answer << '\n';
    return 0;
}

}  // namespace

int runFleetProgram (int argc, char** argv)
{
    return runProgram<FleetSettings> (argc, argv, "fernlift-fleet", kSummary, dispatch);
}

}  // namespace fernlift::lab
