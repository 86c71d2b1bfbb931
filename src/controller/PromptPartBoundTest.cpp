// One part of different prompts crashes the runners that run a request with it, beside healthy
// requests with the same first part in a whole cell.
//
// Two bounds hold together: the part crashes few runners, and no healthy request is refused because
// of it or of other crashes. Planted faults show that each of the checks can fail.

#include <gtest/gtest.h>

#include "controller/QuarantineCellTestSupport.h"

namespace fernlift::controller::test
{
namespace
{

/// Innocent requests that may be refused: one in this many.
constexpr std::uint64_t kHealthyPerRefused = 10'000;

TEST (PromptPartBoundTest, WithoutFaultsAPoisonPartCrashesThreeRunners)
{
    const Outcome sum = sumOver ({ .poisonsPart = true }, Fault::kNone,
                                 [] (std::uint64_t seed, const Outcome& outcome)
                                 {
                                     EXPECT_EQ (outcome.crashedByPoison, 3) << "seed " << seed;
                                     EXPECT_EQ (outcome.sentAfterPropagation, 0) << "seed " << seed;
                                 });
    EXPECT_LE (sum.healthyRefused * kHealthyPerRefused, sum.healthy);
}

TEST (PromptPartBoundTest, ConcurrentRequestsAtThreeRoutersCrashAtMostFive)
{
    const Outcome sum = sumOver ({ .copies = 3, .poisonsPart = true }, Fault::kNone,
                                 [] (std::uint64_t seed, const Outcome& outcome)
                                 {
                                     EXPECT_LE (outcome.crashedByPoison, 5) << "seed " << seed;
                                     EXPECT_EQ (outcome.sentAfterPropagation, 0) << "seed " << seed;
                                 });
    EXPECT_LE (sum.healthyRefused * kHealthyPerRefused, sum.healthy);
}

TEST (PromptPartBoundTest, RefusesNoHealthyRequestDuringCrashesAndRackFailures)
{
    const Outcome sum = sumOver (
        { .hasCrashes = true, .killsControllers = true, .poisonsPart = true }, Fault::kNone,
        [] (std::uint64_t seed, const Outcome& outcome)
        { EXPECT_LE (outcome.sentAfterPropagation, 3) << "seed " << seed; });
    EXPECT_LE (sum.healthyRefused * kHealthyPerRefused, sum.healthy);
}

TEST (PromptPartBoundTest, RarePartOfRequestsOnUnrelatedCrashesIsServed)
{
    constexpr std::uint64_t kSeed = 246;
    const Outcome outcome =
        QuarantineCell (kSeed, { .hasCrashes = true, .killsControllers = true }, Fault::kNone)
            .run();
    EXPECT_LE (outcome.healthyRefused * kHealthyPerRefused, outcome.healthy);
}

TEST (PromptPartBoundTest, NeighboursAreServedBesideFrequentPoison)
{
    const Outcome sum = sumOver ({ .isFast = true, .poisonsPart = true }, Fault::kNone,
                                 [] (std::uint64_t seed, const Outcome& outcome) {
                                     EXPECT_EQ (outcome.sentAfterPropagation, 0) << "seed " << seed;
                                 });
    EXPECT_LE (sum.healthyRefused * kHealthyPerRefused, sum.healthy);
}

TEST (PromptPartBoundTest, DetectsCrashesThatAreNotShared)
{
    EXPECT_GT (sumOver ({ .poisonsPart = true }, Fault::kNotShared, kNoCheck).crashedByPoison, 5);
}

TEST (PromptPartBoundTest, DetectsBlameOfNeighbours)
{
    const Outcome sum =
        sumOver ({ .isFast = true, .poisonsPart = true }, Fault::kNeighbourBlamed, kNoCheck);
    EXPECT_GT (sum.healthyRefused * kHealthyPerRefused, sum.healthy);
}

TEST (PromptPartBoundTest, DetectsPartsThatAreNotCleared)
{
    const Outcome sum =
        sumOver ({ .hasCrashes = true, .poisonsPart = true }, Fault::kNotCleared, kNoCheck);
    EXPECT_GT (sum.healthyRefused * kHealthyPerRefused, sum.healthy);
}

}  // namespace
}  // namespace fernlift::controller::test
