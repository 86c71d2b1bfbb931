#pragma once

/// Simulates a complete cell from one seed in one thread. Equal options always give equal runs.

#include <cstdint>
#include <string>
#include <vector>

#include "sim/Callers.h"
#include "sim/FaultPlan.h"
#include "sim/SimulationOptions.h"
#include "sim/Violations.h"

namespace fernlift::sim
{

/// Result of a run.
struct SimulationReport
{
    std::uint64_t seed = 0;
    std::vector<Violation> violations;
    std::vector<std::string> trace;  ///< Latest trace lines.
    std::uint64_t digest = 0;        ///< Digest of all trace lines; equal for equal runs.
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

[[nodiscard]] SimulationReport simulate (const SimulationOptions& options);

}  // namespace fernlift::sim
