#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "scale/LinearFit.h"

namespace fernlift::scale
{
namespace
{

TEST (LinearFitTest, NeedsTwoDifferentSizes)
{
    EXPECT_FALSE (fitLine ({}));
    EXPECT_FALSE (fitLine ({ { 1, 2 } }));
    EXPECT_FALSE (fitLine ({ { 3, 2 }, { 3, 4 } }));
}

TEST (LinearFitTest, TwoPointsGiveALineWithoutAnError)
{
    const auto fit = fitLine ({ { 1, 5 }, { 3, 9 } });
    ASSERT_TRUE (fit);
    EXPECT_DOUBLE_EQ (fit->slope, 2);
    EXPECT_DOUBLE_EQ (fit->intercept, 3);
    EXPECT_FALSE (fit->slopeError);
}

/// Worked out by hand: means (2, 4), Sxx = 2, Sxy = 3, residual squares 1.5, one degree of freedom.
TEST (LinearFitTest, KnownStandardErrors)
{
    const auto fit = fitLine ({ { 1, 2 }, { 2, 5 }, { 3, 5 } });
    ASSERT_TRUE (fit);
    EXPECT_DOUBLE_EQ (fit->slope, 1.5);
    EXPECT_DOUBLE_EQ (fit->intercept, 1);
    EXPECT_NEAR (*fit->slopeError, std::sqrt (1.5 / 2), 1e-12);
    EXPECT_NEAR (*fit->interceptError, std::sqrt (1.5 * (1.0 / 3 + 4.0 / 2)), 1e-12);
}

RC_GTEST_PROP (LinearFitTest, FindsTheLineThroughExactPoints, ())
{
    const double slope = *rc::gen::inRange (-1000, 1000);
    const double intercept = *rc::gen::inRange (-1000, 1000);
    std::vector<Point> points;
    for (const int x : *rc::gen::unique<std::vector<int>> (5, rc::gen::inRange (-500, 500)))
    {
        points.push_back ({ double (x), intercept + slope * x });
    }
    const auto fit = fitLine (points);
    RC_ASSERT (fit.has_value());
    RC_ASSERT (std::abs (fit->slope - slope) < 1e-6);
    RC_ASSERT (std::abs (fit->intercept - intercept) < 1e-6);
    RC_ASSERT (*fit->slopeError < 1e-6);
}

}  // namespace
}  // namespace fernlift::scale
