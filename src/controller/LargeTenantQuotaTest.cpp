/**
 * The quota of one large tenant over a cell of nine controllers, while messages are late or lost,
 * leaders change, and routers and controllers are cut off. No window may hold more than the limit
 * and its tolerance.
 *
 * What was seen: a window held up to 1.15 of the bound, in 100 of 100 seeds.
 *
 * The cause: a router that was cut off admitted rate / routers by itself. The leader kept that back
 * of its own half of the limit, the other controllers went on to grant theirs in full, so that with
 * half of the routers cut off 1.25 of the rate was admitted. Routers whose grants came late besides
 * counted the time before as time without a controller.
 *
 * The evidence: in ten seeds a window held 1.04 of the bound in the mean once the time before a
 * grant did not count any more, 1.00 without routers that are cut off, and 0.73 with half of the
 * rate for those that are.
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
        EXPECT_LE (cell.mostInAWindow(), cell.limitOfAWindow()) << "seed " << seed;
    }
}

}  // namespace
}  // namespace fernlift::controller
