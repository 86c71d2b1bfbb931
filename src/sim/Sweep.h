#pragma once

/// Runs many seeds in several threads and sums their reports. The result does not depend on the
/// number of threads.

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

/// A seed whose run violated an invariant.
struct FailedSeed
{
    std::uint64_t seed = 0;
    std::vector<Violation> violations;
    std::vector<std::string> trace;
};

struct SweepReport
{
    std::uint64_t seedsRun = 0;
    std::vector<FailedSeed> failures;  ///< Failed seeds in ascending order.
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

/// Runs a sweep. Calls `onProgress` after each seed with the number of seeds run so far; the calls
/// do not overlap.
[[nodiscard]] SweepReport runSweep (
    const SweepOptions& options,
    const std::function<void (std::uint64_t, const SimulationReport&)>& onProgress = {});

/// Returns the command line that replays one seed.
[[nodiscard]] std::string replayCommand (const SimulationOptions& options, std::uint64_t seed);
/// Returns a summary of a sweep as readable text.
[[nodiscard]] std::string describe (const SweepReport& report, const SweepOptions& options);

}  // namespace fernlift::sim
