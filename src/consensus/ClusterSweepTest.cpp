// Runs the simulated cluster over many seeds, and checks with planted faults that the invariants
// can detect violations.

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "consensus/ClusterSimulation.h"

namespace fernlift::consensus
{
namespace
{

constexpr std::uint64_t kSeeds = 300;
/// A planted fault must be detected within this many seeds.
constexpr std::uint64_t kSeedsForPlantedFault = 300;

MemberId membersOf (std::uint64_t seed) { return seed % 2 == 0 ? 3 : 5; }

std::uint64_t numberFromEnvironment (const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv (name);
    return text == nullptr ? otherwise : std::strtoull (text, nullptr, 10);
}

void print (const ClusterCounts& seen)
{
    for (const auto& [name, count] : seen.counts)
        std::cout << "  " << name << ": " << count << "\n";
}

TEST (ClusterSweep, everySeedKeepsEveryInvariant)
{
    const std::uint64_t seeds = numberFromEnvironment ("FERNLIFT_CLUSTER_SEEDS", kSeeds);
    ClusterCounts seen;
    std::uint64_t failures = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        ClusterOptions options;
        options.seed = seed;
        options.memberCount = membersOf (seed);
        const ClusterReport report = ClusterSimulation (options).run();
        seen.add (report.seen);
        for (const std::string& violation : report.violations)
        {
            ADD_FAILURE() << violation << "\n" << replayHint (options);
        }
        if (! report.violations.empty())
            ++failures;
    }
    std::cout << seeds << " seeds, " << failures << " with violations\n";
    print (seen);
}

TEST (ClusterSweep, replaysOneSeed)
{
    ClusterOptions options;
    options.seed = numberFromEnvironment ("FERNLIFT_CLUSTER_SEED", 1);
    options.memberCount = numberFromEnvironment ("FERNLIFT_CLUSTER_MEMBERS", 5);
    options.fault = static_cast<PlantedFault> (numberFromEnvironment ("FERNLIFT_CLUSTER_FAULT", 0));
    options.isTraced = true;
    const ClusterReport first = ClusterSimulation (options).run();
    const ClusterReport second = ClusterSimulation (options).run();
    EXPECT_EQ (first.digest, second.digest) << "one seed gives one run";
    EXPECT_EQ (first.violations, second.violations);
    if (first.violations.empty())
        return;
    for (const std::string& event : first.trace)
        std::cout << event << "\n";
    for (const std::string& violation : first.violations)
        ADD_FAILURE() << violation;
}

class PlantedFaultSweep : public ::testing::TestWithParam<PlantedFault>
{
};

/// Returns the name of the violated invariant.
std::string invariantOf (const std::string& violation)
{
    return violation.substr (0, violation.find (" (member"));
}

/// With FERNLIFT_CLUSTER_TALLY set, runs all seeds and counts the detections by invariant.
TEST_P (PlantedFaultSweep, isCaught)
{
    const bool runsAll = std::getenv ("FERNLIFT_CLUSTER_TALLY") != nullptr;
    std::map<std::string, std::uint64_t> catches;
    for (std::uint64_t seed = 1; seed <= kSeedsForPlantedFault; ++seed)
    {
        ClusterOptions options;
        options.seed = seed;
        options.memberCount = membersOf (seed);
        options.fault = GetParam();
        const ClusterReport report = ClusterSimulation (options).run();
        if (report.violations.empty())
            continue;
        if (catches.empty())
        {
            std::cout << "caught by seed " << seed << ": " << report.violations.front() << "\n";
        }
        ++catches[invariantOf (report.violations.front())];
        if (! runsAll)
            return;
    }
    for (const auto& [invariant, count] : catches)
        std::cout << "  " << invariant << ": " << count << "\n";
    EXPECT_FALSE (catches.empty()) << "not caught within " << kSeedsForPlantedFault << " seeds";
}

INSTANTIATE_TEST_SUITE_P (EveryFault, PlantedFaultSweep,
                          ::testing::Values (PlantedFault::kVoteBeforeSync,
                                             PlantedFault::kAppendReplyBeforeSync,
                                             PlantedFault::kLeaseWithoutMajority,
                                             PlantedFault::kLeaseWithoutVoteDelay,
                                             PlantedFault::kIdentityReusedAfterDiskLoss,
                                             PlantedFault::kCommitOfEarlierTermByCounting,
                                             PlantedFault::kSnapshotReplyBeforeSync,
                                             PlantedFault::kConcurrentMembershipChanges));

}  // namespace
}  // namespace fernlift::consensus
