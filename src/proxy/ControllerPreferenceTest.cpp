#include <gtest/gtest.h>

#include <map>

#include "proxy/ControllerPreference.h"

namespace fernlift::proxy
{
namespace
{

std::vector<cell::ControllerEndpoint> nineControllers()
{
    std::vector<cell::ControllerEndpoint> controllers;
    for (int number = 1; number <= 9; ++number)
    {
        const std::string zone = "z" + std::to_string (number % 3);
        controllers.push_back ({ "10.0.0." + std::to_string (number) + ":7", zone, number == 1 });
    }
    return controllers;
}

TEST (ControllerPreference, RoutersOfZoneSpreadOverItsControllersExceptLeader)
{
    const auto controllers = nineControllers();
    std::map<std::string, int> routers;
    for (int number = 0; number < 90; ++number)
    {
        const std::string router = "front-" + std::to_string (number);
        const auto preferred = preferredControllers (controllers, router, "z1");
        ASSERT_EQ (preferred.size(), controllers.size());
        ++routers[preferred.front().toString()];
        EXPECT_EQ (preferred.back().toString(), "10.0.0.1:7");
    }
    // The zone has controllers 1 (the leader), 4 and 7.
    EXPECT_EQ (routers.size(), 2U);
    EXPECT_GT (routers["10.0.0.4:7"], 25);
    EXPECT_GT (routers["10.0.0.7:7"], 25);
}

TEST (ControllerPreference, RemovedControllerMovesOnlyItsOwnRouters)
{
    auto controllers = nineControllers();
    auto fewer = controllers;
    fewer.erase (fewer.begin() + 3);
    for (int number = 0; number < 50; ++number)
    {
        const std::string router = "front-" + std::to_string (number);
        const auto before = preferredControllers (controllers, router, "z1").front();
        const auto after = preferredControllers (fewer, router, "z1").front();
        EXPECT_TRUE (before == after || before.toString() == "10.0.0.4:7");
    }
}

TEST (ControllerPreference, FallsBackToOtherZonesAndLeader)
{
    const std::vector<cell::ControllerEndpoint> alone{ { "10.0.0.1:7", "z1", true } };
    EXPECT_EQ (preferredControllers (alone, "front-1", "z2").size(), 1U);
}

}  // namespace
}  // namespace fernlift::proxy
