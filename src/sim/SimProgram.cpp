#include "sim/SimProgram.h"

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "config/Settings.h"
#include "log/Log.h"
#include "sim/Sweep.h"

namespace fernlift::sim
{
namespace
{

constexpr int kViolated = 1;
constexpr int kUsage = 2;
constexpr int kLongSeeds = 10'000;
constexpr std::uint64_t kProgressEvery = 500;
constexpr std::size_t kReplayTraceLines = 100'000;

constexpr const char* kSummary =
    "runs a whole cell in one thread from one seed, with faults, and checks invariants.\n\n"
    "Commands:\n"
    "  sweep    Run seeds one after the other and report violations.\n"
    "  planted  Sweep once for each planted fault until it is found.\n"
    "  replay   Run one seed again and print its events.\n";
constexpr std::int64_t kMaxSeeds = 100'000'000;
constexpr std::int64_t kMaxThreads = 256;

struct Arguments
{
    std::int64_t seeds = 200;
    std::int64_t first = 1;
    std::int64_t threads = 1;
    std::int64_t seed = 1;
    bool isLong = false;
    bool hasHourCut = false;
    bool hasFaults = true;
    std::string plantedFault = std::string (toString (PlantedFault::kNone));
    log::Options logging;

    void declare (config::SettingsSchema& schema);
};

std::vector<std::string> namesOfPlantedFaults()
{
    std::vector<std::string> names{ std::string (toString (PlantedFault::kNone)) };
    for (const PlantedFault fault : allPlantedFaults())
        names.emplace_back (toString (fault));
    return names;
}

void Arguments::declare (config::SettingsSchema& schema)
{
    schema.setPositionals ("COMMAND")
        .addInteger ("seeds", &seeds, 1, kMaxSeeds, "sweep, planted: seeds to run.")
        .addInteger ("first", &first, 0, kMaxSeeds, "sweep, planted: first seed.")
        .addInteger ("threads", &threads, 1, kMaxThreads, "sweep, planted: threads.")
        .addBoolean ("long", &isLong, "sweep: run 10,000 seeds.")
        .addInteger ("seed", &seed, 0, kMaxSeeds, "replay: seed to run.")
        .addChoice ("planted_fault", &plantedFault, namesOfPlantedFaults(),
                    "sweep, replay: a deliberate fault that must be found.")
        .addBoolean ("hour_cut", &hasHourCut,
                     "sweep, replay: end with a leader cut off for an hour.")
        .addBoolean ("faults", &hasFaults, "sweep, replay: bring faults about.");
    config::addLoggingSettings (schema, &logging);
}

void fill (SimulationOptions& options, const Arguments& arguments)
{
    options.hasHourCut = arguments.hasHourCut;
    options.hasFaults = arguments.hasFaults;
    options.plantedFault =
        plantedFaultNamed (arguments.plantedFault).value_or (PlantedFault::kNone);
}

int sweep (const Arguments& arguments)
{
    SweepOptions options;
    fill (options.simulation, arguments);
    options.firstSeed = static_cast<std::uint64_t> (arguments.first);
    options.seeds = static_cast<std::uint64_t> (arguments.isLong ? kLongSeeds : arguments.seeds);
    options.threads = static_cast<unsigned> (arguments.threads);
    const auto begin = std::chrono::steady_clock::now();
    const SweepReport report = runSweep (
        options,
        [&] (std::uint64_t seedsRun, const SimulationReport& last)
        {
            if (! last.violations.empty())
            {
                std::fprintf (stderr, "seed %llu: %s: %s\n",
                              static_cast<unsigned long long> (last.seed),
                              last.violations.front().invariant.c_str(),
                              last.violations.front().detail.c_str());
            }
            if (seedsRun % kProgressEvery != 0)
                return;
            std::fprintf (stderr, "%llu seeds run\n", static_cast<unsigned long long> (seedsRun));
        });
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    std::printf ("%swall time: %.1f s, %u threads\n", describe (report, options).c_str(),
                 elapsed.count(), options.threads);
    return report.failures.empty() ? 0 : kViolated;
}

/// Runs a sweep for each planted fault until an invariant is violated. Prints the number of seeds
/// needed and the violated invariant.
int findPlantedFaults (const Arguments& arguments)
{
    bool isEachFound = true;
    for (const PlantedFault fault : allPlantedFaults())
    {
        SweepOptions options;
        options.simulation.plantedFault = fault;
        options.firstSeed = static_cast<std::uint64_t> (arguments.first);
        options.seeds = static_cast<std::uint64_t> (arguments.seeds);
        options.threads = static_cast<unsigned> (arguments.threads);
        options.stopsAtFirstViolation = true;
        const SweepReport report = runSweep (options);
        isEachFound = isEachFound && ! report.failures.empty();
        const std::string name (toString (fault));
        if (report.failures.empty())
        {
            std::printf ("| %s | not found in %lld seeds | |\n", name.c_str(),
                         static_cast<long long> (arguments.seeds));
            continue;
        }
        const FailedSeed& first = report.failures.front();
        const std::string seeds = std::to_string (first.seed - options.firstSeed + 1);
        std::printf ("| %s | %s | %s |\n", name.c_str(), seeds.c_str(),
                     first.violations.front().invariant.c_str());
    }
    return isEachFound ? 0 : kViolated;
}

int replay (const Arguments& arguments)
{
    SimulationOptions options;
    fill (options, arguments);
    options.seed = static_cast<std::uint64_t> (arguments.seed);
    options.traceLines = kReplayTraceLines;
    const SimulationReport report = simulate (options);
    for (const std::string& line : report.trace)
        std::printf ("%s\n", line.c_str());
    std::printf ("seed %llu: %zu violations, digest %016llx\n",
                 static_cast<unsigned long long> (report.seed), report.violations.size(),
                 static_cast<unsigned long long> (report.digest));
    return report.violations.empty() ? 0 : kViolated;
}

}  // namespace

int runSimProgram (int argc, char** argv)
{
    Arguments arguments;
    arguments.logging.program = "fernlift-sim";
    config::SettingsSchema schema ("fernlift-sim", kSummary);
    arguments.declare (schema);
    const config::CommandLineOutcome outcome = config::parseCommandLine (argc, argv, schema);
    if (outcome.exitCode)
        return *outcome.exitCode;
    const std::string command = outcome.positionals.size() == 1 ? outcome.positionals.front() : "";
    if (command == "sweep")
        return sweep (arguments);
    if (command == "replay")
        return replay (arguments);
    if (command == "planted")
        return findPlantedFaults (arguments);
    std::fprintf (stderr, "fernlift-sim: one command is needed: sweep, planted or replay\n");
    return kUsage;
}

}  // namespace fernlift::sim
