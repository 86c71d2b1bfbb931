/**
 * The quota of one large tenant in a cell of nine controllers, while messages are late or lost,
 * leaders change, and routers and controllers are disconnected. No window may exceed the limit plus
 * its tolerance.
 *
 * Guards against two faults that together fill a window to 1.15 of the bound. With a fallback share
 * of rate / routers for each disconnected router, 1.25 of the rate is admitted while half of the
 * routers are disconnected: the leader reserves the fallback share from its own half of the limit
 * only, and the other controllers grant their half in full. Routers with late grants count the time
 * before a grant as time without a controller. Without the second fault the fullest window holds
 * about 1.04 of the bound, and 1.00 if no router is disconnected; with half of the rate as the
 * fallback share it holds 0.73.
 */

#include <gtest/gtest.h>

#include "controller/QuotaCellTestSupport.h"

namespace fernlift::controller
{
namespace
{

constexpr std::uint64_t kSeeds = 3;

TEST (LargeTenantQuotaTest, NoWindowHoldsMoreThanTheLimitInACellOfNineControllers)
{
    testing::QuotaCellOptions options;
    options.lossChance = 0.02;
    options.lateChance = 0.05;
    options.electionChance = 0.003;
    options.routerCutChance = 0.0005;
    options.controllerCutChance = 0.002;
    options.controllers = 9;
    options.traffic[0].rate = 1'400'000;
    options.traffic[0].burst = 1'400'000;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    {
        testing::QuotaCell cell (seed, options);
        cell.run();
        EXPECT_LE (cell.maxInAnyWindow(), cell.windowLimit()) << "seed " << seed;
    }
}

}  // namespace
}  // namespace fernlift::controller
