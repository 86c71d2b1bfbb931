#pragma once

/// Runs many seeds, in several threads, and adds their reports up. What comes out does not depend
/// on the number of threads.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sim/Simulation.h"

namespace fernlift::sim
{

struct SweepOptions
{
    SimulationOptions simulation;
    std::uint64_t firstSeed = 1;
    std::uint64_t seeds = 200;
    unsigned threads = 1;
    bool stopsAtFirstViolation = false;
};

/// One seed that failed.
struct FailedSeed
{
    std::uint64_t seed = 0;
    std::vector<Violation> violations;
    std::vector<std::string> trace;
};

struct SweepReport
{
    std::uint64_t seedsRun = 0;
    std::vector<FailedSeed> failures;  ///< In the order of their seeds.
    FaultCounts faults{};
    RequestTotals requests;
    std::uint64_t events = 0;
    std::uint64_t committedEntries = 0;
    std::uint64_t terms = 0;
    std::uint64_t loads = 0;
    std::uint64_t appliesAnswered = 0;
    std::uint64_t readsAnswered = 0;
    std::uint64_t membersReplaced = 0;
    std::uint64_t backEndsLeft = 0;
};

/// `onProgress` is called from time to time with the number of seeds run so far, by one thread at a
/// time.
[[nodiscard]] SweepReport runSweep (
    const SweepOptions& options,
    const std::function<void (std::uint64_t, const SimulationReport&)>& onProgress = {});

/// The command that runs one seed again.
[[nodiscard]] std::string replayCommand (const SimulationOptions& options, std::uint64_t seed);
/// Everything a person wants to know of a sweep.
[[nodiscard]] std::string describe (const SweepReport& report, const SweepOptions& options);

}  // namespace fernlift::sim
