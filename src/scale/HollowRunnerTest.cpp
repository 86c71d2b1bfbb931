#include <gtest/gtest.h>

#include "scale/HollowRunner.h"

namespace fernlift::scale
{
namespace
{

standin::EngineOptions options()
{
    standin::EngineOptions options;
    options.runner = base::RunnerId ("runner-1");
    options.incarnation = 5;
    options.slots = 64;
    return options;
}

engine::Order loadOrder()
{
    engine::Order order;
    order.fence = 12;
    order.incarnation = 5;
    order.replica = 12;
    order.model = base::ModelName ("m");
    order.version = "1";
    order.memory = 1000;
    return order;
}

base::TimePoint at (int seconds) { return base::TimePoint (base::seconds (seconds)); }

TEST (HollowRunnerTest, LoadsWithoutAWeightStoreAndThenReportsLoad)
{
    HollowRunner runner (options(), {}, 1, at (0));
    EXPECT_EQ (runner.report (at (1)).runningRequests, 0U);
    EXPECT_TRUE (runner.order (loadOrder(), at (2)).accepted);
    for (int second = 3; second < 20; ++second)
        (void)runner.report (at (second));
    const engine::Report report = runner.report (at (20));
    ASSERT_EQ (report.replicas.size(), 1U);
    EXPECT_EQ (report.replicas[0].phase, engine::ReplicaPhase::kReady);
    EXPECT_GT (report.runningRequests, 0U);
    EXPECT_EQ (report.replicas[0].runningRequests, report.runningRequests);
}

TEST (HollowRunnerTest, KeepsTheFencesOfTheEngine)
{
    HollowRunner runner (options(), {}, 1, at (0));
    engine::Order stale = loadOrder();
    stale.incarnation = 4;
    EXPECT_FALSE (runner.order (stale, at (1)).accepted);
}

}  // namespace
}  // namespace fernlift::scale
