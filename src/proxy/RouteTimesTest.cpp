// Tests of the times that requests of a route are expected to take.

#include <gtest/gtest.h>

#include <string>

#include "base/Random.h"
#include "proxy/RouteTimes.h"

namespace fernlift::proxy
{
namespace
{

using base::milliseconds;

/// Share of requests with times drawn from [shortest, longest) ms that end within the expected one.
double shareWithinExpected (double shortest, double longest)
{
    constexpr int kRequests = 4000;
    base::Random random (1);
    RouteTimes times;
    int within = 0;
    for (int request = 0; request < kRequests; ++request)
    {
        const double drawn = shortest + (longest - shortest) * random.uniformReal();
        const milliseconds time (static_cast<int> (drawn));
        within += time <= times.expected ("route") ? 1 : 0;
        times.onAnswered ("route", time);
    }
    return static_cast<double> (within) / kRequests;
}

TEST (RouteTimesTest, NothingIsExpectedOfAnUnknownRoute)
{
    EXPECT_EQ (RouteTimes().expected ("route"), base::Duration::zero());
}

TEST (RouteTimesTest, MostAnswersAreCompleteWithinTheExpectedTime)
{
    EXPECT_GE (shareWithinExpected (4000, 8000), 0.9);
    EXPECT_GE (shareWithinExpected (100, 1000), 0.9);
}

TEST (RouteTimesTest, EqualTimesAreExpectedAgain)
{
    RouteTimes times;
    for (int request = 0; request < 100; ++request)
        times.onAnswered ("route", milliseconds (200));
    EXPECT_LT (times.expected ("route"), milliseconds (220));
}

TEST (RouteTimesTest, RemembersABoundedNumberOfRoutes)
{
    RouteTimes times;
    for (std::size_t number = 0; number <= RouteTimes::kMaxRoutes; ++number)
        times.onAnswered (std::to_string (number), milliseconds (100));
    EXPECT_EQ (times.expected ("0"), base::Duration::zero());
    EXPECT_GT (times.expected (std::to_string (RouteTimes::kMaxRoutes)), base::Duration::zero());
}

}  // namespace
}  // namespace fernlift::proxy
