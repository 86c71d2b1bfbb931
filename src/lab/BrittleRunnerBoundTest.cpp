// Slots of brittle runners over a simulated cell: no fault of routers or controllers lets a runner
// decline so many requests that it fails, and the slots are used while there is demand.

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "lab/BrittleCellTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using base::seconds;

/// Share of the slots that has to be used while there is demand for all of them.
constexpr double kMinUsedShare = 0.9;

/// Number of seeds. FERNLIFT_BRITTLE_SEEDS sets a larger number for manual runs.
std::uint64_t seeds()
{
    constexpr std::uint64_t kSeeds = 10;
    const char* const more = std::getenv ("FERNLIFT_BRITTLE_SEEDS");
    return more == nullptr ? kSeeds : std::stoull (more);
}

BrittleCellOptions withEveryFault (std::size_t routers, std::size_t runners)
{
    BrittleCellOptions options;
    options.routers = routers;
    options.runners = runners;
    options.demand = 30.0 * static_cast<double> (runners);
    options.electionChance = 0.001;
    options.cutChance = 0.01 / static_cast<double> (routers);
    options.freezeChance = 0.01 / static_cast<double> (routers);
    options.restartChance = 0.005 / static_cast<double> (routers);
    options.lateAnswerChance = 0.02;
    return options;
}

/// Sum of the falls over the seeds. Prints the seeds that have any.
std::size_t fallsOf (const BrittleCellOptions& options, std::uint64_t count)
{
    std::size_t falls = 0;
    for (std::uint64_t seed = 1; seed <= count; ++seed)
    {
        BrittleCell cell (seed, options);
        cell.run();
        if (cell.falls() > 0 && options.fault == SlotFault::kNone)
            std::cout << "seed " << seed << ": " << cell.falls() << " falls, " << cell.declines()
                      << " declines\n";
        falls += cell.falls();
    }
    return falls;
}

TEST (BrittleRunnerBoundTest, NoRunnerFailsUnderFaults)
{
    for (const std::uint32_t declines : { 1U, 5U, 20U })
    {
        BrittleCellOptions options = withEveryFault (7, 4);
        options.maxDeclines = declines;
        EXPECT_EQ (fallsOf (options, seeds()), 0U) << declines;
    }
}

TEST (BrittleRunnerBoundTest, NoRunnerFailsInLargeCells)
{
    BrittleCellOptions options = withEveryFault (82, 20);
    options.slots = 24;
    options.demand = 1000;
    options.work = base::milliseconds (700);
    EXPECT_EQ (fallsOf (options, seeds() / 5), 0U);
}

TEST (BrittleRunnerBoundTest, SlotsAreUsedWhileThereIsDemand)
{
    for (const std::size_t routers : { 3U, 7U, 24U })
    {
        BrittleCellOptions options;
        options.routers = routers;
        options.work = base::milliseconds (600);
        options.run = seconds (16);
        BrittleCell cell (1, options);
        cell.run();
        EXPECT_EQ (cell.falls(), 0U) << routers;
        EXPECT_GE (cell.usedShare(), kMinUsedShare) << routers;
    }
}

TEST (BrittleRunnerBoundTest, SlotsAreNoLongerNeededSecondsAfterTheLastStatement)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
    {
        BrittleCellOptions options;
        options.statesUntil = seconds (12);
        options.run = seconds (24);
        BrittleCell cell (seed, options);
        cell.run();
        EXPECT_EQ (cell.limitedRouters(), 0U) << "seed " << seed;
        EXPECT_LE (cell.limitedUntil() - options.statesUntil, seconds (3)) << "seed " << seed;
    }
}

TEST (BrittleRunnerBoundTest, InjectedFaultsAreDetected)
{
    for (const SlotFault fault : { SlotFault::kTwoLeaders, SlotFault::kDoesNotCollect,
                                   SlotFault::kForgetsServices, SlotFault::kLosesReports })
    {
        BrittleCellOptions options = withEveryFault (7, 4);
        options.demand = 300;
        options.electionChance = 0.005;
        EXPECT_EQ (fallsOf (options, seeds()), 0U);
        options.fault = fault;
        EXPECT_GT (fallsOf (options, seeds()), 0U) << static_cast<int> (fault);
    }
}

}  // namespace
}  // namespace fernlift::lab::test
