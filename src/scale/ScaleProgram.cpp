#include "scale/ScaleProgram.h"

#include <QCoreApplication>
#include <QTemporaryDir>
#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>

#include "config/Settings.h"
#include "http/SignalWatcher.h"
#include "lab/ProgramRun.h"
#include "log/Log.h"
#include "scale/HollowRouters.h"
#include "scale/HollowRunners.h"
#include "scale/ScaleStep.h"

namespace fernlift::scale
{
namespace
{

using base::ErrorKind;

constexpr const char* kSummary =
    "measures what control costs against the size of a cell.\n\nCommands:\n"
    "  scale          Step the sizes on cells of three true controllers and hollow nodes.\n"
    "  scale-routers  Hollow routers in one process; started by `scale`.\n"
    "  scale-runners  Hollow runners in one process; started by `scale`.\n";
constexpr std::int64_t kLargestSize = 1'000'000;
constexpr double kLargestRate = 10'000;
constexpr base::Duration kLongestPhase = base::seconds (600);
const std::vector<std::string> kDefaultLadders{
    "routers=20,70,140",      "runners=60,240,730",         "models=8,32,67",
    "adapters=400,1500,3000", "loads_per_hour=0,2000,8000", "changes_per_day=0,43200,86400"
};

struct ScaleSettings
{
    ScaleSizes sizes;
    std::vector<std::string> ladders;
    std::string runFolder;
    std::string programs;
    std::string output = "scale";
    std::string addressFile;
    std::int64_t firstRouter = 0;
    std::int64_t routerCount = 0;
    std::int64_t routersPerProcess = 20;
    std::vector<base::SocketAddress> controllers;
    std::vector<std::string> controllerFlags;
    std::int64_t seed = 20261202;
    double requestsPerSecond = 20;
    double runnerArrivalsPerSecond = 3.7;
    base::Duration settle = base::seconds (8);
    base::Duration measure = base::seconds (10);
    log::Options logging;

    void declare (config::SettingsSchema& schema)
    {
        schema.setPositionals ("scale|scale-routers|scale-runners");
        for (const Dimension& dimension : kDimensions)
        {
            schema.addInteger (std::string (dimension.name), &(sizes.*dimension.size), 0,
                               kLargestSize, "Size while another one is stepped.");
        }
        schema.addStringList (
            "step", &ladders,
            "Sizes to step, for example routers=20,70,140; none: all dimensions.");
        schema
            .addString ("run_folder", &runFolder,
                        "Folder of logs and data; empty: a temporary one.")
            .addString ("programs", &programs,
                        "Folder of the executables; empty: that of this one.")
            .addString ("output", &output,
                        "Prefix of the CSV files NAME-measurements.csv and "
                        "NAME-slopes.csv.")
            .addString ("address_file", &addressFile,
                        "Hollow processes: where to write the address.")
            .addInteger ("first_router", &firstRouter, 0, kLargestSize,
                         "Hollow routers: number of the first of this process.")
            .addInteger ("router_count", &routerCount, 0, kLargestSize,
                         "Hollow routers: how many this process holds.")
            .addInteger ("routers_per_process", &routersPerProcess, 1, kLargestSize,
                         "Hollow routers that share a process and its thread.")
            .addAddressList ("controllers", &controllers, "Hollow routers: peer addresses.")
            .addStringList ("controller_flag", &controllerFlags, "Passed on to each controller.")
            .addInteger ("seed", &seed, 0, kLargestSize * kLargestSize,
                         "Seed of everything random.")
            .addReal ("requests_per_second", &requestsPerSecond, 0, kLargestRate, "At each router.")
            .addReal ("runner_arrivals_per_second", &runnerArrivalsPerSecond, 0, kLargestRate,
                      "Generated load of each runner.")
            .addDuration ("settle_ms", &settle, base::milliseconds (0), kLongestPhase,
                          "Wait between readiness and the measured interval.")
            .addDuration ("measure_ms", &measure, base::milliseconds (100), kLongestPhase,
                          "Length of the measured interval of each step.");
        config::addLoggingSettings (schema, &logging);
    }
};

/// Writes whole or not at all, so that a reader never sees half an address.
base::Result<void> writeFile (const std::string& path, const std::string& text)
{
    const std::string temporary = path + ".new";
    {
        std::ofstream file (temporary);
        file << text;
        if (! file.flush())
            return base::fail (ErrorKind::kInternal, "cannot write " + path);
    }
    std::filesystem::rename (temporary, path);
    return {};
}

base::Result<int> serveUntilStopped (const ScaleSettings& settings,
                                     const base::SocketAddress& address)
{
    if (! settings.addressFile.empty())
    {
        BOOST_LEAF_CHECK (writeFile (settings.addressFile, address.toString() + "\n"));
    }
    const http::SignalWatcher signals ([] { QCoreApplication::exit (0); });
    return QCoreApplication::exec();
}

base::Result<int> serveRunners (const ScaleSettings& settings)
{
    HollowRunnersOptions options;
    options.runners = settings.sizes.runners;
    options.load.arrivalsPerSecond = settings.runnerArrivalsPerSecond;
    options.seed = static_cast<std::uint64_t> (settings.seed);
    HollowRunners runners (options);
    BOOST_LEAF_AUTO (address, runners.start());
    return serveUntilStopped (settings, address);
}

base::Result<int> serveRouters (const ScaleSettings& settings)
{
    if (settings.controllers.empty())
    {
        return base::fail (ErrorKind::kUsage, "scale-routers needs --controllers");
    }
    HollowRoutersOptions options;
    options.demand.sizes = settings.sizes;
    options.demand.requestsPerSecond = settings.requestsPerSecond;
    options.controllers = settings.controllers;
    options.firstRouter = settings.firstRouter;
    options.routerCount = settings.routerCount;
    options.seed = static_cast<std::uint64_t> (settings.seed);
    HollowRouters routers (options);
    BOOST_LEAF_AUTO (address, routers.start());
    return serveUntilStopped (settings, address);
}

const Dimension* findDimension (const std::string& name)
{
    const auto found = std::find_if (kDimensions.begin(), kDimensions.end(),
                                     [&] (const Dimension& each) { return each.name == name; });
    return found == kDimensions.end() ? nullptr : &*found;
}

class ScaleRun
{
public:
    explicit ScaleRun (const ScaleSettings& settings) : m_settings (settings) {}

    base::Result<int> run()
    {
        const auto& texts = m_settings.ladders.empty() ? kDefaultLadders : m_settings.ladders;
        std::vector<Ladder> ladders;
        for (const std::string& text : texts)
        {
            BOOST_LEAF_AUTO (ladder, parseLadder (text));
            ladders.push_back (std::move (ladder));
        }
        for (const Ladder& ladder : ladders)
        {
            for (const std::int64_t size : ladder.sizes)
                BOOST_LEAF_CHECK (runOne (ladder, size));
        }
        return m_failed == 0 ? 0 : 1;
    }

private:
    base::Result<void> runOne (const Ladder& ladder, std::int64_t size)
    {
        StepOptions options = optionsOf (ladder, size);
        std::cout << ladder.dimension << '=' << size << ": " << std::flush;
        base::handleErrors (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_AUTO (rows, runStep (options));
                m_rows.insert (m_rows.end(), rows.begin(), rows.end());
                std::cout << rows.size() << " quantities\n" << std::flush;
                return {};
            },
            [&] (const base::Error& error)
            {
                ++m_failed;
                std::cout << "failed: " << error.message << '\n' << std::flush;
            });
        // What is measured so far is written after each step.
        BOOST_LEAF_CHECK (
            writeFile (m_settings.output + "-measurements.csv", measurementsCsv (m_rows)));
        return writeFile (m_settings.output + "-slopes.csv", slopesCsv (slopesOf (m_rows)));
    }

    StepOptions optionsOf (const Ladder& ladder, std::int64_t size)
    {
        const std::string own = QCoreApplication::applicationDirPath().toStdString();
        const std::string run =
            m_settings.runFolder.empty() ? m_temporary.path().toStdString() : m_settings.runFolder;
        StepOptions options;
        options.dimension = ladder.dimension;
        options.sizes = m_settings.sizes;
        options.sizes.*findDimension (ladder.dimension)->size = size;
        options.size = size;
        options.folders.programs = m_settings.programs.empty() ? own : m_settings.programs;
        options.folders.run = std::filesystem::absolute (run).string() + "/step-"
                              + std::to_string (++m_steps) + "-" + ladder.dimension;
        options.program = QCoreApplication::applicationFilePath().toStdString();
        options.seed = static_cast<std::uint64_t> (m_settings.seed);
        options.requestsPerSecond = m_settings.requestsPerSecond;
        options.runnerArrivalsPerSecond = m_settings.runnerArrivalsPerSecond;
        options.settle = m_settings.settle;
        options.measure = m_settings.measure;
        options.routersPerProcess = m_settings.routersPerProcess;
        options.controllerFlags = m_settings.controllerFlags;
        return options;
    }

    const ScaleSettings& m_settings;
    QTemporaryDir m_temporary;
    int m_steps = 0;
    int m_failed = 0;
    std::vector<Measurement> m_rows;
};

base::Result<int> dispatch (const ScaleSettings& settings, const std::string& verb)
{
    if (verb == "scale-runners")
        return serveRunners (settings);
    if (verb == "scale-routers")
        return serveRouters (settings);
    return ScaleRun (settings).run();
}

}  // namespace

base::Result<Ladder> parseLadder (std::string_view text)
{
    Ladder ladder;
    const std::size_t equals = text.find ('=');
    ladder.dimension = std::string (text.substr (0, equals));
    const auto invalid = [&]
    {
        return base::fail (ErrorKind::kUsage,
                           "step: '" + std::string (text) + "' is not DIMENSION=SIZE[,SIZE...]");
    };
    if (equals == std::string_view::npos || findDimension (ladder.dimension) == nullptr)
    {
        return invalid();
    }
    text.remove_prefix (equals + 1);
    while (true)
    {
        const std::string_view part = text.substr (0, text.find (','));
        std::int64_t size = 0;
        const auto [end, status] = std::from_chars (part.data(), part.data() + part.size(), size);
        const bool isWhole = status == std::errc() && end == part.data() + part.size();
        if (! isWhole || size < 0 || size > kLargestSize)
            return invalid();
        ladder.sizes.push_back (size);
        if (part.size() == text.size())
            return ladder;
        text.remove_prefix (part.size() + 1);
    }
}

bool isScaleCommand (int argc, char** argv)
{
    if (argc < 2)
        return false;
    const std::string_view verb = argv[1];
    return verb == "scale" || verb == "scale-routers" || verb == "scale-runners";
}

int runScaleProgram (int argc, char** argv)
{
    return lab::runProgram<ScaleSettings> (
        argc, argv, "fernlift-fleet", kSummary,
        [] (ScaleSettings& settings, const std::vector<std::string>& positionals)
        { return dispatch (settings, positionals.empty() ? "scale" : positionals.front()); });
}

}  // namespace fernlift::scale
