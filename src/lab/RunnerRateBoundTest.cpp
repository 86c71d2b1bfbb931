// The rate limit that a runner states, over a simulated cell: no fault of routers or controllers
// lets the runner receive more, and the rate is used while there is demand.

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "lab/RunnerRateCellTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using base::seconds;

/// Number of seeds. FERNLIFT_RATE_SEEDS sets a larger number for manual runs.
std::uint64_t seeds()
{
    constexpr std::uint64_t kSeeds = 12;
    const char* const more = std::getenv ("FERNLIFT_RATE_SEEDS");
    return more == nullptr ? kSeeds : std::stoull (more);
}

RateCellOptions withEveryFault (std::size_t routers, double rate)
{
    RateCellOptions options;
    options.routers = routers;
    options.rate = rate;
    options.electionChance = 0.001;
    options.cutChance = 0.002;
    options.freezeChance = 0.002;
    options.restartChance = 0.001;
    return options;
}

/// Counts the seeds with a window that holds more requests than the rate allows.
std::uint64_t brokenSeeds (const RateCellOptions& options, std::uint64_t count)
{
    std::uint64_t broken = 0;
    for (std::uint64_t seed = 1; seed <= count; ++seed)
    {
        RateCell cell (seed, options);
        cell.run();
        if (cell.mostInAWindow() > cell.boundOfAWindow())
        {
            ++broken;
            ::testing::Test::RecordProperty ("broken_seed", std::to_string (seed));
        }
    }
    return broken;
}

TEST (RunnerRateBoundTest, NoWindowExceedsTheRateUnderFaults)
{
    for (const double rate : { 0.0, 0.05, 0.2, 1.0, 5.0, 40.0 })
        EXPECT_EQ (brokenSeeds (withEveryFault (7, rate), seeds()), 0U) << rate;
}

TEST (RunnerRateBoundTest, NoWindowExceedsTheRateInLargeCells)
{
    for (const std::size_t routers : { 86U, 300U })
    {
        EXPECT_EQ (brokenSeeds (withEveryFault (routers, 0.2), seeds() / 4), 0U) << routers;
        EXPECT_EQ (brokenSeeds (withEveryFault (routers, 3), seeds() / 4), 0U) << routers;
    }
}

TEST (RunnerRateBoundTest, RateIsUsedWhileThereIsDemand)
{
    constexpr double kMinUse = 0.8;
    for (const double rate : { 0.2, 1.0, 5.0 })
    {
        RateCellOptions options;
        options.rate = rate;
        options.run = seconds (62);
        RateCell cell (1, options);
        cell.run();
        EXPECT_GE (cell.meanRate(), kMinUse * rate) << rate;
    }
}

TEST (RunnerRateBoundTest, LimitIsLiftedWithinOneSecondAndAnInterval)
{
    for (const double rate : { 0.2, 1.0, 5.0 })
    {
        for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
        {
            RateCellOptions options;
            options.rate = rate;
            options.lateAnswerChance = 0;
            options.statesUntil = seconds (12);
            options.run = seconds (30);
            RateCell cell (seed, options);
            cell.run();
            EXPECT_EQ (cell.limitingRouterCount(), 0U);
            const double noticed =
                std::chrono::duration<double> (cell.limitedUntil() - options.statesUntil).count();
            EXPECT_LE (noticed, 1 + 1 / rate) << rate << ", seed " << seed;
        }
    }
}

TEST (RunnerRateBoundTest, LimitIsLiftedDespiteFaults)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
    {
        RateCellOptions options = withEveryFault (7, 1);
        options.statesUntil = seconds (12);
        options.run = seconds (60);
        RateCell cell (seed, options);
        cell.run();
        EXPECT_LT (cell.limitedUntil(), seconds (40)) << "seed " << seed;
    }
}

TEST (RunnerRateBoundTest, InjectedFaultsAreDetected)
{
    RateCellOptions options = withEveryFault (86, 5);
    options.demand = 300;
    options.freezeChance = 0.02;
    options.lateAnswerChance = 0.2;
    EXPECT_EQ (brokenSeeds (options, seeds()), 0U);
    for (const RateFault fault : { RateFault::kTwoLeaders, RateFault::kForgetsLimit,
                                   RateFault::kStaleAnswerWins, RateFault::kServesBeforeTable })
    {
        options.fault = fault;
        EXPECT_GT (brokenSeeds (options, seeds()), 0U) << static_cast<int> (fault);
    }
}

}  // namespace
}  // namespace fernlift::lab::test
