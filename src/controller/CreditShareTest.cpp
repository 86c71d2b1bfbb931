#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "controller/CreditShare.h"

namespace fernlift::controller
{
namespace
{

cell::RoutableReplica replicaOf (const std::string& target, const std::string& runner,
                                 std::uint32_t slots)
{
    cell::RoutableReplica replica;
    replica.replica = 7;
    replica.runner = base::RunnerId (runner);
    replica.target = target;
    replica.slots = slots;
    return replica;
}

void addDemand (DemandTable& demands, DemandSource source, const std::string& target)
{
    cell::Demand demand;
    demand.target = target;
    demand.waiting = 1;
    demands.report (source, { { demand } }, base::TimePoint{});
}

RC_GTEST_PROP (CreditSharePropertyTest, CreditsOfSourcesWithDemandAddUpToTheSlots, ())
{
    const auto slots = *rc::gen::inRange<std::uint32_t> (1, 40);
    const auto sources = *rc::gen::inRange<DemandSource> (1, 12);
    const std::vector<std::string> targets = { "a", "b", "c" };
    const auto hasDemand = *rc::gen::container<std::vector<bool>> (sources * targets.size(),
                                                                   rc::gen::arbitrary<bool>());
    DemandTable demands;
    std::vector<cell::RoutableReplica> replicas;
    replicas.reserve (targets.size());
    for (const std::string& target : targets)
        replicas.push_back (replicaOf (target, "r", slots));
    std::uint32_t pairs = 0;
    for (DemandSource source = 0; source < sources; ++source)
    {
        for (std::size_t target = 0; target < targets.size(); ++target)
        {
            if (! hasDemand[source * targets.size() + target])
                continue;
            addDemand (demands, source, targets[target]);
            ++pairs;
        }
    }
    const CreditShare share (replicas, demands, sources);
    std::uint32_t sum = 0;
    for (DemandSource source = 0; source < sources; ++source)
    {
        for (const cell::RoutableReplica& replica : replicas)
        {
            const std::uint32_t credits = share.creditsFor (source, replica);
            RC_ASSERT (credits >= 1U);
            if (demands.hasDemand (source, replica.target))
                sum += credits;
        }
    }
    if (pairs > 0)
        RC_ASSERT (sum == std::max (slots, pairs));
}

TEST (CreditShareTest, OnlySourceWithDemandGetsEverySlot)
{
    DemandTable demands;
    addDemand (demands, 1, "a");
    const CreditShare share ({ replicaOf ("a", "r", 8), replicaOf ("b", "r", 8) }, demands, 5);
    EXPECT_EQ (share.creditsFor (1, replicaOf ("a", "r", 8)), 8U);
    EXPECT_EQ (share.creditsFor (2, replicaOf ("a", "r", 8)), 1U);
}

TEST (CreditShareTest, TargetsOnOneRunnerShareItsSlots)
{
    DemandTable demands;
    addDemand (demands, 1, "a");
    addDemand (demands, 2, "b");
    const std::vector replicas = { replicaOf ("a", "r", 8), replicaOf ("b", "r", 8),
                                   replicaOf ("a", "s", 8) };
    const CreditShare share (replicas, demands, 2);
    EXPECT_EQ (share.creditsFor (1, replicas[0]), 4U);
    EXPECT_EQ (share.creditsFor (2, replicas[1]), 4U);
    EXPECT_EQ (share.creditsFor (1, replicas[2]), 8U);
}

}  // namespace
}  // namespace fernlift::controller
