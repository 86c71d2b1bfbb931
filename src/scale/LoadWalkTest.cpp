#include <gtest/gtest.h>

#include "scale/LoadWalk.h"

namespace fernlift::scale
{
namespace
{

TEST (LoadWalkTest, StaysAroundArrivalsTimesService)
{
    base::TimePoint now{};
    LoadWalk walk ({ .arrivalsPerSecond = 4, .meanService = base::seconds (10) }, 1, now);
    double sum = 0;
    constexpr int kSteps = 20'000;
    for (int step = 0; step < kSteps; ++step)
    {
        now += base::milliseconds (250);
        sum += walk.advance (now);
    }
    EXPECT_NEAR (sum / kSteps, 40, 2);
}

TEST (LoadWalkTest, WithoutArrivalsNothingRuns)
{
    LoadWalk walk ({ .arrivalsPerSecond = 0 }, 1, base::TimePoint{});
    EXPECT_EQ (walk.advance (base::TimePoint (base::seconds (100))), 0U);
}

TEST (LoadWalkTest, TimeThatDoesNotMoveChangesNothing)
{
    const base::TimePoint start{};
    LoadWalk walk ({}, 1, start);
    EXPECT_EQ (walk.advance (start), walk.advance (start));
}

}  // namespace
}  // namespace fernlift::scale
