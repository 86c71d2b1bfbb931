#include <gtest/gtest.h>

#include <map>

#include "sim/Sweep.h"

namespace fernlift::sim
{
namespace
{

constexpr unsigned kThreads = 3;

SweepOptions sweepOf (std::uint64_t seeds)
{
    SweepOptions options;
    options.seeds = seeds;
    options.threads = kThreads;
    return options;
}

TEST (SimulationTest, SameSeedGivesSameRun)
{
    SimulationOptions options;
    options.seed = 17;
    const SimulationReport first = simulate (options);
    const SimulationReport second = simulate (options);
    EXPECT_EQ (first.digest, second.digest);
    EXPECT_EQ (first.events, second.events);
    options.seed = 18;
    EXPECT_NE (simulate (options).digest, first.digest);
}

TEST (SimulationTest, ServesNearlyAllRequestsWithoutFaults)
{
    SweepOptions options = sweepOf (6);
    options.simulation.hasFaults = false;
    const SweepReport report = runSweep (options);
    EXPECT_TRUE (report.failures.empty()) << describe (report, options);
    EXPECT_EQ (report.requests.lostWithRouter, 0U);
    EXPECT_GT (report.requests.served * 10, report.requests.sent * 8);
}

TEST (SimulationTest, HoldsInvariantsOverManySeeds)
{
    constexpr std::uint64_t kSeeds = 200;
    const SweepOptions options = sweepOf (kSeeds);
    const SweepReport report = runSweep (options);
    EXPECT_TRUE (report.failures.empty()) << describe (report, options);
    EXPECT_EQ (report.seedsRun, kSeeds);
    // The check is meaningful only if every kind of fault was injected and requests were served.
    for (std::size_t kind = 0; kind < kFaultKinds; ++kind)
    {
        EXPECT_GT (report.faults[kind], 0U) << toString (static_cast<FaultKind> (kind));
    }
    EXPECT_GT (report.requests.served, report.requests.sent / 3);
    EXPECT_GT (report.membersReplaced, 0U);
}

TEST (SimulationTest, LeaderIsolatedForAnHourHasNoEffect)
{
    SweepOptions options = sweepOf (1);
    options.simulation.hasHourCut = true;
    options.simulation.hasFaults = false;
    // A small cell is sufficient for this test and runs faster.
    options.simulation.routers = 2;
    options.simulation.engines = 6;
    options.simulation.applications = 1;
    options.simulation.meanRequestInterval = base::seconds (20);
    const SweepReport report = runSweep (options);
    EXPECT_TRUE (report.failures.empty()) << describe (report, options);
}

class PlantedFaultTest : public testing::TestWithParam<PlantedFault>
{
};

TEST_P (PlantedFaultTest, IsFound)
{
    // The fault that is hardest to find is found at seed 110. All seeds run only if none finds it.
    constexpr std::uint64_t kMaxSeeds = 300;
    SweepOptions options = sweepOf (kMaxSeeds);
    options.simulation.plantedFault = GetParam();
    options.stopsAtFirstViolation = true;
    const SweepReport report = runSweep (options);
    EXPECT_FALSE (report.failures.empty()) << toString (GetParam());
}

INSTANTIATE_TEST_SUITE_P (Sweep, PlantedFaultTest, testing::ValuesIn (allPlantedFaults()),
                          [] (const auto& parameter)
                          {
                              std::string name (toString (parameter.param));
                              std::erase (name, '-');
                              return name;
                          });

}  // namespace
}  // namespace fernlift::sim
