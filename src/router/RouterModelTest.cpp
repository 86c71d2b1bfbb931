// Random sequences of inputs to RouterCore, checked against the invariants of the router.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "base/Random.h"
#include "router/RouterModelTestSupport.h"

namespace fernlift::router
{
namespace
{

using testing::ModelStep;
using testing::violationOf;

RouterOptions optionsOf (PlantedFault fault, bool hedges)
{
    RouterOptions options = testing::RouterHarness::defaultOptions();
    options.plantedFault = fault;
    options.outcomeWait = base::seconds (5);
    options.maximumQueuedRequests = 24;
    if (hedges)
        options.hedgeAfter = base::milliseconds (60);
    return options;
}

std::vector<ModelStep> randomSteps (std::uint64_t seed, int count)
{
    base::Random random (seed);
    std::vector<ModelStep> steps;
    for (int made = 0; made < count; ++made)
    {
        ModelStep step;
        step.kind = static_cast<int> (random.uniformInteger (0, testing::kModelStepKinds - 1));
        step.choice = static_cast<int> (random.uniformInteger (0, 59));
        step.detail = static_cast<int> (random.uniformInteger (0, 59));
        steps.push_back (step);
    }
    return steps;
}

/// Runs random sequences and returns the first violated invariant, with its seed.
std::optional<std::string> firstViolation (PlantedFault fault, int sequences)
{
    for (int seed = 1; seed <= sequences; ++seed)
    {
        const auto steps = randomSteps (static_cast<std::uint64_t> (seed), 150);
        const auto violation = violationOf (steps, optionsOf (fault, seed % 2 == 0));
        if (violation)
            return "seed " + std::to_string (seed) + ": " + *violation;
    }
    return std::nullopt;
}

RC_GTEST_PROP (RouterModelProperty, InvariantsHoldForRandomInputs, ())
{
    const auto step =
        rc::gen::construct<ModelStep> (rc::gen::inRange (0, testing::kModelStepKinds),
                                       rc::gen::inRange (0, 60), rc::gen::inRange (0, 60));
    const auto steps = *rc::gen::container<std::vector<ModelStep>> (step);
    const auto violation =
        violationOf (steps, optionsOf (PlantedFault::kNone, *rc::gen::arbitrary<bool>()));
    if (violation)
        RC_FAIL (*violation);
}

TEST (RouterModelTest, InvariantsHoldInLongSequences)
{
    const auto violation = firstViolation (PlantedFault::kNone, 300);
    EXPECT_FALSE (violation) << *violation;
}

/// A planted fault, and part of the violation text by which the checks must report it.
struct FaultCase
{
    PlantedFault fault;
    const char* promise;
};

class RouterPlantedFaultTest : public ::testing::TestWithParam<FaultCase>
{
};

TEST_P (RouterPlantedFaultTest, IsFound)
{
    const auto violation = firstViolation (GetParam().fault, 300);
    ASSERT_TRUE (violation);
    EXPECT_NE (violation->find (GetParam().promise), std::string::npos) << *violation;
}

INSTANTIATE_TEST_SUITE_P (
    Every, RouterPlantedFaultTest,
    ::testing::Values (FaultCase{ PlantedFault::kRetrySentUnrepeatable, "is sent once" },
                       FaultCase{ PlantedFault::kPassDuplicateChunks, "each part once" },
                       FaultCase{ PlantedFault::kDropRefusal, "counted once" },
                       FaultCase{ PlantedFault::kIgnoreLease, "without a lease" },
                       FaultCase{ PlantedFault::kNotRunAfterBytes, "not run" },
                       FaultCase{ PlantedFault::kMixAttempts, "answer of one attempt" },
                       FaultCase{ PlantedFault::kDispatchToLeaving, "leaving runner" },
                       FaultCase{ PlantedFault::kStarveUrgent, "urgent request goes before" },
                       FaultCase{ PlantedFault::kHoldHopeless, "refused at once" }));

}  // namespace
}  // namespace fernlift::router
