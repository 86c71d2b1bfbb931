#include <gtest/gtest.h>

#include <cstdlib>

#include "lab/FleetSpec.h"

namespace fernlift::lab
{
namespace
{

std::string errorOf (std::string_view text)
{
    return base::handleErrors (
        [&]() -> base::Result<std::string>
        {
            BOOST_LEAF_CHECK (parseFleetSpec (text));
            return std::string();
        },
        [] (const base::Error& error) { return error.message; });
}

constexpr std::string_view kSmallFleet = R"(
cell = "c"
[[controllers]]
id = 1
zone = "z1"
[[routers]]
id = "r"
zone = "z1"
[[engines]]
id = "e"
zone = "z1"
memory_mb = 10
slots = 2
[[application_runners]]
id = "a"
zone = "z1"
slots = 2
applications = ["portal"]
)";

TEST (FleetSpec, ReadsTheDemoFleet)
{
    const char* source = std::getenv ("FERNLIFT_SOURCE_DIR");
    ASSERT_NE (source, nullptr);
    const FleetSpec spec = base::handleErrors (
        [&] { return readFleetSpec (std::string (source) + "/examples/demo-fleet.toml"); },
        [] (const base::Error& error)
        {
            ADD_FAILURE() << error.message;
            return FleetSpec();
        });
    EXPECT_EQ (spec.controllers.size(), 3U);
    EXPECT_EQ (spec.routers.size(), 2U);
    EXPECT_EQ (spec.engines.size(), 3U);
    EXPECT_EQ (spec.applicationRunners.size(), 1U);
}

TEST (FleetSpec, AcceptsASmallFleet) { EXPECT_EQ (errorOf (kSmallFleet), ""); }

TEST (FleetSpec, NamesLineAndKeyOfAnUnknownKey)
{
    const std::string error = errorOf (std::string (kSmallFleet) + "colour = 1\n");
    EXPECT_NE (error.find ("line 19"), std::string::npos) << error;
    EXPECT_NE (error.find ("application_runners[0].colour"), std::string::npos) << error;
}

TEST (FleetSpec, RefusesAWrongType)
{
    const std::string error = errorOf ("cell = 1\n");
    EXPECT_NE (error.find ("cell"), std::string::npos) << error;
}

TEST (FleetSpec, RefusesTheSameIdTwice)
{
    const std::string error =
        errorOf (std::string (kSmallFleet) + "[[routers]]\nid = \"r\"\nzone = \"z2\"\n");
    EXPECT_NE (error.find ("routers"), std::string::npos) << error;
}

}  // namespace
}  // namespace fernlift::lab
