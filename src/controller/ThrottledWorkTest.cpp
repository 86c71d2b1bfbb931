#include <gtest/gtest.h>

#include "controller/ThrottledWork.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;

constexpr base::Duration kInterval = milliseconds (30);

base::TimePoint at (int milliseconds)
{
    return base::TimePoint{} + base::seconds (100) + base::milliseconds (milliseconds);
}

TEST (ThrottledWork, firstRunIsDueAtOnce)
{
    ThrottledWork work;
    EXPECT_TRUE (work.takeDue (at (0), kInterval));
    EXPECT_FALSE (work.takeDue (at (100), kInterval)) << "no run was requested again";
}

TEST (ThrottledWork, requestsWithinAnIntervalAreMergedIntoOneRun)
{
    ThrottledWork work;
    int runs = 0;
    for (int millisecond = 0; millisecond < 300; ++millisecond)
    {
        work.request();
        if (work.takeDue (at (millisecond), kInterval))
            ++runs;
    }
    EXPECT_EQ (runs, 10);
}

TEST (ThrottledWork, aRequestWithinTheIntervalIsNotLost)
{
    ThrottledWork work;
    ASSERT_TRUE (work.takeDue (at (0), kInterval));
    work.request();
    EXPECT_FALSE (work.takeDue (at (29), kInterval));
    EXPECT_TRUE (work.takeDue (at (30), kInterval));
}

TEST (ThrottledWork, aRequestAfterTheIntervalIsDueAtOnce)
{
    ThrottledWork work;
    ASSERT_TRUE (work.takeDue (at (0), kInterval));
    work.request();
    EXPECT_TRUE (work.takeDue (at (1000), kInterval));
}

}  // namespace
}  // namespace fernlift::controller
