#include <gtest/gtest.h>

#include <algorithm>

#include "lab/FleetPlan.h"
#include "lab/TestSupport.h"

namespace fernlift::lab
{
namespace
{

FleetSpec specWithProxies()
{
    FleetSpec spec;
    spec.cell = base::CellId ("c");
    spec.controllers = { { 1, base::ZoneName ("z1"), true } };
    spec.routers = { { base::RouterId ("router-1"), base::ZoneName ("z1"), true },
                     { base::RouterId ("router-2"), base::ZoneName ("z1"), false } };
    spec.engines = { { base::RunnerId ("engine-1"), base::ZoneName ("z1"), 1000, 2, true } };
    spec.applicationRunners = {
        { base::RunnerId ("portal-1"), base::ZoneName ("z1"), 2, { "portal" }, true }
    };
    return spec;
}

class FleetPlanTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ensureApplication();
        ASSERT_TRUE (succeeds (
            [this]() -> base::Result<void>
            {
                BOOST_LEAF_ASSIGN (m_plans,
                                   planFleet (specWithProxies(), { "bin", "run" }, m_ports));
                return {};
            }));
    }

    const NodePlan& plan (const std::string& name) const
    {
        const auto found = std::find_if (m_plans.begin(), m_plans.end(),
                                         [&] (const NodePlan& each) { return each.name == name; });
        if (found == m_plans.end())
        {
            throw std::out_of_range (name);
        }
        return *found;
    }

    std::string flagOf (const std::string& name, const std::string& flag) const
    {
        const std::vector<std::string>& arguments = plan (name).process.arguments;
        const auto found = std::find (arguments.begin(), arguments.end(), flag);
        return found == arguments.end() ? "" : *(found + 1);
    }

    bool mentions (const std::string& name, const base::SocketAddress& address) const
    {
        const std::vector<std::string>& arguments = plan (name).process.arguments;
        return std::any_of (arguments.begin(), arguments.end(),
                            [&] (const std::string& argument)
                            { return argument.find (address.toString()) != std::string::npos; });
    }

    PortReservations m_ports;
    std::vector<NodePlan> m_plans;
};

TEST_F (FleetPlanTest, PlacesAProxyBeforeEachProcessThatRequestsOne)
{
    for (const char* name : { "engine-1", "portal-1", "router-1" })
    {
        const NodePlan& node = plan (name);
        EXPECT_EQ (flagOf (proxyName (name), "--target-address"), node.httpAddress.toString());
        EXPECT_EQ (flagOf (proxyName (name), "--listen-address"), node.callerAddress.toString());
        EXPECT_NE (node.callerAddress, node.httpAddress);
    }
    EXPECT_EQ (plan ("router-2").callerAddress, plan ("router-2").httpAddress);
}

TEST_F (FleetPlanTest, TheMachineListNamesTheProxiesOfBackEnds)
{
    for (const char* name : { "engine-1", "portal-1" })
    {
        EXPECT_TRUE (mentions ("machines", plan (name).callerAddress)) << name;
        EXPECT_FALSE (mentions ("machines", plan (name).httpAddress)) << name;
    }
}

TEST_F (FleetPlanTest, RoutersReachAControllerThroughItsProxy)
{
    const NodePlan& controller = plan ("controller-1");
    const std::string proxy = proxyName (controller.name);
    EXPECT_EQ (flagOf (proxy, "--target-address"), controller.peerAddress.toString());
    EXPECT_EQ (flagOf ("router-2", "--controllers"), flagOf (proxy, "--listen-address"));
    EXPECT_EQ (flagOf (controller.name, "--peer-address"), controller.peerAddress.toString());
}

}  // namespace
}  // namespace fernlift::lab
