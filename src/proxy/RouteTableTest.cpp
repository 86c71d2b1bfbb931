#include <gtest/gtest.h>

#include "proxy/RouteTable.h"

namespace fernlift::proxy
{
namespace
{

config::Route routeOf (const std::string& name, const std::string& host, const std::string& prefix)
{
    config::Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.backends = { { "a", 90 }, { "b", 10 }, { "never", 0 } };
    return route;
}

class RouteTableTest : public ::testing::Test
{
protected:
    static config::ServiceCatalogue catalogue()
    {
        config::ServiceCatalogue catalogue;
        catalogue.routes = { routeOf ("root", "one.test", "/"),
                             routeOf ("short", "one.test", "/a/"),
                             routeOf ("long", "one.test", "/a/b/"),
                             routeOf ("other", "two.test", "/a/") };
        return catalogue;
    }
    std::string nameOf (const std::string& host, const std::string& path)
    {
        const config::Route* route = m_table.find (host, path);
        return route == nullptr ? "" : route->name;
    }
    RouteTable m_table{ 1, catalogue() };
};

TEST_F (RouteTableTest, TheLongestPrefixOfTheHostWins)
{
    EXPECT_EQ (nameOf ("one.test", "/a/b/c"), "long");
    EXPECT_EQ (nameOf ("one.test", "/a/b"), "short");
    EXPECT_EQ (nameOf ("one.test", "/a/x"), "short");
    EXPECT_EQ (nameOf ("one.test", "/ab"), "root");
    EXPECT_EQ (nameOf ("two.test", "/a/b/c"), "other");
    EXPECT_EQ (nameOf ("two.test", "/b"), "");
    EXPECT_EQ (nameOf ("three.test", "/a/"), "");
}

TEST_F (RouteTableTest, CaseAndPortOfTheHostDoNotCount)
{
    EXPECT_EQ (nameOf ("ONE.test:8080", "/a/"), "short");
}

TEST_F (RouteTableTest, ServicesAreChosenByWeight)
{
    const config::Route& route = *m_table.find ("one.test", "/");
    EXPECT_EQ (RouteTable::chooseService (route, 0.0), "a");
    EXPECT_EQ (RouteTable::chooseService (route, 0.89), "a");
    EXPECT_EQ (RouteTable::chooseService (route, 0.91), "b");
    EXPECT_EQ (RouteTable::chooseService (route, 0.999), "b");
}

}  // namespace
}  // namespace fernlift::proxy
