#include <gtest/gtest.h>

#include <map>
#include <set>

#include "scale/HollowDemand.h"
#include "scale/ScaleCatalogue.h"

namespace fernlift::scale
{
namespace
{

constexpr ScaleSizes kSizes{
    .routers = 10, .runners = 30, .models = 8, .adapters = 500, .loadsPerHour = 36'000
};

std::map<std::string, int> requestsInASecondsRun (HollowDemandOptions options, int seconds)
{
    HollowDemand demand (options, 7, base::TimePoint{});
    std::map<std::string, int> counts;
    while (const auto request = demand.next (base::TimePoint (base::seconds (seconds))))
    {
        ++counts[request->head.target];
    }
    return counts;
}

TEST (HollowDemandTest, KeepsTheRate)
{
    int total = 0;
    for (const auto& [target, count] :
         requestsInASecondsRun ({ .sizes = { .loadsPerHour = 0 }, .requestsPerSecond = 20 }, 1000))
    {
        total += count;
    }
    EXPECT_NEAR (total, 20'000, 600);
}

TEST (HollowDemandTest, ColdRequestsAskForAnotherIdleAdapterEachTime)
{
    const auto counts = requestsInASecondsRun ({ .sizes = kSizes, .requestsPerSecond = 0 }, 40);
    EXPECT_NEAR (static_cast<double> (counts.size()), 40, 15);  // One a second at each router.
    for (const auto& [target, count] : counts)
    {
        EXPECT_EQ (count, 1) << target;
        EXPECT_GE (target, adapterName (activeAdapters (kSizes.adapters)));
    }
}

TEST (HollowDemandTest, RoutersAskForDifferentIdleAdapters)
{
    std::set<std::string> seen;
    for (std::int64_t router = 0; router < kSizes.routers; ++router)
    {
        const auto counts = requestsInASecondsRun (
            { .sizes = kSizes, .requestsPerSecond = 0, .router = router }, 40);
        for (const auto& [target, count] : counts)
            EXPECT_TRUE (seen.insert (target).second) << target;
    }
}

TEST (HollowDemandTest, ClaimsCarryAKeyOfTheirOwn)
{
    HollowDemand demand ({ .claimShare = 1 }, 7, base::TimePoint{});
    std::set<std::string> keys;
    for (int count = 0; count < 50; ++count)
    {
        const auto request = demand.next (base::TimePoint (base::seconds (60)));
        ASSERT_TRUE (request);
        EXPECT_TRUE (keys.insert (request->head.idempotencyKey.value).second);
        EXPECT_EQ (request->head.requestClass->value, "approval");
    }
}

}  // namespace
}  // namespace fernlift::scale
