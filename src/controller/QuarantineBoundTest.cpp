// Poison requests, which crash the runners that run them, beside healthy requests in a whole cell:
// routers report what they observe, controllers are killed, racks fail, connections are reset.
//
// Two bounds hold together: one poison request crashes few runners, and no healthy request is
// refused because of others. Planted faults show that each of the checks can fail.

#include <gtest/gtest.h>

#include "controller/QuarantineCellTestSupport.h"

namespace fernlift::controller::test
{
namespace
{

TEST (QuarantineBoundTest, WithoutFaultsAPoisonRequestCrashesThreeRunners)
{
    sumOver ({}, Fault::kNone,
             [] (std::uint64_t seed, const Outcome& outcome)
             {
                 EXPECT_EQ (outcome.crashedByPoison, 3) << "seed " << seed;
                 EXPECT_EQ (outcome.sentAfterPropagation, 0) << "seed " << seed;
                 EXPECT_EQ (outcome.healthyRefused, 0) << "seed " << seed;
             });
}

TEST (QuarantineBoundTest, ConcurrentCopiesAtThreeRoutersCrashAtMostFive)
{
    sumOver ({ .copies = 3 }, Fault::kNone,
             [] (std::uint64_t seed, const Outcome& outcome)
             {
                 EXPECT_LE (outcome.crashedByPoison, 5) << "seed " << seed;
                 EXPECT_EQ (outcome.healthyRefused, 0) << "seed " << seed;
             });
}

TEST (QuarantineBoundTest, RefusesNoHealthyRequestDuringCrashesAndRackFailures)
{
    const Outcome sum = sumOver ({ .hasCrashes = true, .killsControllers = true }, Fault::kNone,
                                 [] (std::uint64_t seed, const Outcome& outcome) {
                                     EXPECT_LE (outcome.sentAfterPropagation, 3) << "seed " << seed;
                                 });
    // At most one in 10,000.
    EXPECT_LE (sum.healthyRefused * 10'000, sum.healthy);
}

TEST (QuarantineBoundTest, PoisonRequestUnderWhichRunnersGoDarkIsNotSentAgain)
{
    sumOver ({ .goDark = true }, Fault::kNone,
             [] (std::uint64_t seed, const Outcome& outcome)
             {
                 EXPECT_LE (outcome.sentAfterPropagation, 3) << "seed " << seed;
                 EXPECT_EQ (outcome.healthyRefused, 0) << "seed " << seed;
             });
}

TEST (QuarantineBoundTest, RefusesNoHealthyRequestWhileRunnersGoDark)
{
    const Outcome sum =
        sumOver ({ .hasCrashes = true, .killsControllers = true, .goDark = true }, Fault::kNone,
                 [] (std::uint64_t seed, const Outcome& outcome)
                 { EXPECT_LE (outcome.sentAfterPropagation, 3) << "seed " << seed; });
    // At most one in 10,000.
    EXPECT_LE (sum.healthyRefused * 10'000, sum.healthy);
}

// Guards against a fourth retry when controllers are killed while runners go dark.
TEST (QuarantineBoundTest, PoisonRequestIsNotSentAgainWhileControllersAreKilledAndRunnersGoDark)
{
    constexpr std::uint64_t kSeed = 175;
    const FaultConditions conditions{ .hasCrashes = true,
                                      .killsControllers = true,
                                      .goDark = true };
    EXPECT_LE (QuarantineCell (kSeed, conditions, Fault::kNone).run().sentAfterPropagation, 3);
}

TEST (QuarantineBoundTest, DetectsDarkRunnersThatAreNotShared)
{
    EXPECT_GT (sumOver ({ .goDark = true }, Fault::kNotShared, kNoCheck).sentAfterPropagation, 3);
}

TEST (QuarantineBoundTest, DetectsCrashesThatAreNotShared)
{
    EXPECT_GT (sumOver ({}, Fault::kNotShared, kNoCheck).crashedByPoison, 5);
}

TEST (QuarantineBoundTest, DetectsBlameOfHealthyRequests)
{
    const Outcome sum = sumOver ({ .hasCrashes = true }, Fault::kHealthyBlamed, kNoCheck);
    EXPECT_GT (sum.healthyRefused * 10'000, sum.healthy);
}

TEST (QuarantineBoundTest, DetectsCrashesLostWithTheLeader)
{
    EXPECT_GT (
        sumOver ({ .killsControllers = true }, Fault::kLostWithLeader, kNoCheck).crashedByPoison,
        5);
}

}  // namespace
}  // namespace fernlift::controller::test
