#include <gtest/gtest.h>

#include "quota/FallbackShare.h"

namespace fernlift::quota
{
namespace
{

constexpr base::TimePoint kStart = base::TimePoint{} + base::seconds (100);

config::Tenant tenant()
{
    config::Tenant tenant;
    tenant.name = "farm";
    tenant.quota = { config::QuotaUnit::kTokens, 80'000, 80'000, 1 };
    return tenant;
}

QuotaTolerance tolerance()
{
    QuotaTolerance tolerance;
    tolerance.slack = 110'000;
    return tolerance;
}

TEST (FallbackShareTest, NothingIsAdmittedBeforeTheNumberOfRoutersIsKnown)
{
    FallbackShare share (tolerance());
    base::Random random (1);
    EXPECT_FALSE (share.admits (tenant(), 1, kStart, random));
}

/// Controllers that do not lead continue to grant the other half.
TEST (FallbackShareTest, AllRoutersTogetherStayWithinHalfOfTheLimit)
{
    constexpr int kRouters = 80;
    constexpr std::uint64_t kUnits = 9000;
    base::Random random (1);
    double admitted = 0;
    for (int router = 0; router < kRouters; ++router)
    {
        FallbackShare share (tolerance());
        share.setRouters (kRouters);
        // The routers request four times the limit for one window.
        for (int i = 0; i < 28; ++i)
        {
            const base::TimePoint now = kStart + base::milliseconds (285) * i;
            admitted += share.admits (tenant(), kUnits, now, random) ? kUnits : 0;
        }
    }
    const config::TenantQuota quota = tenant().quota;
    const double limit = quota.ratePerSecond * 8 + quota.burst + tolerance().unitsFor (quota);
    EXPECT_LE (admitted, limit / 2);
    constexpr double kMinUse = 0.9;
    EXPECT_GE (admitted, kMinUse * quota.ratePerSecond * 8 / 2);
}

TEST (FallbackShareTest, NothingGrowsWhileAControllerGrants)
{
    FallbackShare share (tolerance());
    share.setRouters (1);
    base::Random random (1);
    // The first draw spends the whole initial share.
    [[maybe_unused]] const bool first = share.admits (tenant(), 1'000'000'000, kStart, random);
    share.onControllerAnswer (kStart + base::seconds (5));
    EXPECT_FALSE (share.admits (tenant(), 9000, kStart + base::seconds (5), random));
    EXPECT_TRUE (share.admits (tenant(), 9000, kStart + base::seconds (6), random));
}

TEST (FallbackShareTest, SmallRequestsPassWithoutADraw)
{
    FallbackShare share (tolerance());
    share.setRouters (80);
    base::Random random (1);
    EXPECT_TRUE (share.admits (tenant(), 200, kStart, random));
}

}  // namespace
}  // namespace fernlift::quota
