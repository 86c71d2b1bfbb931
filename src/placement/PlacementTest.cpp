#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/Random.h"
#include "placement/Placement.h"
#include "placement/PlacementTestSupport.h"

namespace fernlift::placement
{
namespace
{

using cell::ReplicaStage;
using engine::CheckpointPlace;
using test::TestWorld;

std::vector<base::ReplicaId> evictedReplicas (TestWorld& world)
{
    std::vector<base::ReplicaId> ids;
    for (const UnloadDecision& unload : world.unloads())
        ids.push_back (unload.replica);
    return ids;
}

TEST (PlacementTest, MostUrgentDemandGetsTheMemory)
{
    TestWorld world;
    world.addModel ("deep", 600, 1);
    world.addModel ("urgent", 600, 1);
    world.addRunner ("r1", 1000);
    world.setDemand ("deep", 50, 0, 8);
    world.setDemand ("urgent", 1, 0, 0);
    const auto loads = world.loads();
    ASSERT_EQ (loads.size(), 1U);
    EXPECT_EQ (loads[0].model.value, "urgent");
}

TEST (PlacementTest, EvictsAnIdleReplicaBeforeOneInUse)
{
    TestWorld world;
    world.addModel ("idle", 400, 1);
    world.addModel ("used", 400, 1, "deep");
    world.addModel ("new", 500, 1);
    world.addRunner ("r1", 1000);
    const base::ReplicaId idle = world.addReplica ("idle", "r1");
    world.addReplica ("used", "r1");
    world.setDemand ("used", 0, 3);
    world.setDemand ("new", 1, 0, 0);
    EXPECT_EQ (evictedReplicas (world), std::vector{ idle });
    EXPECT_TRUE (world.loads().empty()) << "the memory is not free yet";
}

TEST (PlacementTest, NeverEvictsReplicasUsedByMoreUrgentClasses)
{
    TestWorld world;
    world.addModel ("used", 800, 1, "urgent");
    world.addModel ("equal", 800, 1, "normal");
    world.addModel ("new", 800, 1);
    world.addRunner ("r1", 1000);
    world.addRunner ("r2", 1000);
    world.addReplica ("used", "r1");
    const base::ReplicaId equal = world.addReplica ("equal", "r2");
    world.setDemand ("used", 0, 1);
    world.setDemand ("equal", 0, 1);
    world.setDemand ("new", 9, 0, 5);
    EXPECT_TRUE (world.decide().empty());
    // A strictly more urgent need evicts the less urgent replica, but not right after its load.
    world.setDemand ("new", 9, 0, 1);
    EXPECT_EQ (evictedReplicas (world), std::vector{ equal });
    world.replica (equal).readyFor = base::seconds (1);
    EXPECT_TRUE (world.decide().empty());
}

TEST (PlacementTest, PlacesAnAdapterOnARunnerWithItsBase)
{
    TestWorld world;
    world.addModel ("base", 400, 2);
    world.addAdapter ("adapter", "base", 100, 2);
    world.addRunner ("r1", 2000);
    world.addRunner ("r2", 1000);
    const base::ReplicaId base = world.addReplica ("base", "r2");
    world.setDemand ("adapter", 1);
    const auto loads = world.loads();
    ASSERT_EQ (loads.size(), 1U);
    EXPECT_EQ (loads[0].runner.value, "r2");
    EXPECT_EQ (loads[0].baseReplica, base);
    EXPECT_EQ (loads[0].adapter.value, "adapter");
}

TEST (PlacementTest, LoadsABaseOnARunnerWithMemoryForTheAdapter)
{
    TestWorld world;
    world.addModel ("base", 400, 1);
    world.addAdapter ("adapter", "base", 100, 1);
    world.addRunner ("r1", 450);
    world.addRunner ("r2", 500);
    world.setDemand ("adapter", 1);
    const auto loads = world.loads();
    ASSERT_EQ (loads.size(), 1U);
    EXPECT_EQ (loads[0].runner.value, "r2");
    EXPECT_TRUE (loads[0].adapter.empty());
}

TEST (PlacementTest, PrefersMemoryThenDiskThenRemote)
{
    TestWorld world;
    world.addModel ("a", 400, 1);
    world.addRunner ("remote", 9000);
    world.addRunner ("disk", 2000);
    world.addRunner ("memory", 1000);
    world.setCheckpoint ("disk", "a", CheckpointPlace::kDisk);
    world.setCheckpoint ("memory", "a", CheckpointPlace::kMemory);
    world.setDemand ("a", 1);
    EXPECT_EQ (world.loads().at (0).runner.value, "memory");
    world.runner ("memory").takesNewWork = false;
    EXPECT_EQ (world.loads().at (0).runner.value, "disk");
    world.runner ("disk").isResponsive = false;
    EXPECT_EQ (world.loads().at (0).runner.value, "remote");
}

TEST (PlacementTest, SpreadsReplicasOverZones)
{
    TestWorld world;
    world.addModel ("a", 400, 2);
    world.addRunner ("r1", 9000, "z1");
    world.addRunner ("r2", 8000, "z1");
    world.addRunner ("r3", 1000, "z2");
    world.setDemand ("a", 16);
    const auto loads = world.loads();
    ASSERT_EQ (loads.size(), 2U);
    EXPECT_EQ (loads[0].runner.value, "r1");
    EXPECT_EQ (loads[1].runner.value, "r3");
}

TEST (PlacementTest, ReplacesAReplicaOnALeavingRunnerBelowMaxReplicas)
{
    TestWorld world;
    world.addModel ("a", 400, 2);
    world.addRunner ("r1", 1000).takesNewWork = false;
    world.addRunner ("r2", 1000);
    world.addReplica ("a", "r1");
    world.setDemand ("a", 0, 2);
    const auto loads = world.loads();
    ASSERT_EQ (loads.size(), 1U);
    EXPECT_EQ (loads[0].runner.value, "r2");
    EXPECT_TRUE (world.unloads().empty()) << "it serves until its replacement is ready";
}

TEST (PlacementTest, UnloadsAReplicaOnALeavingRunnerAtMaxReplicas)
{
    TestWorld world;
    world.addModel ("a", 400, 1);
    world.addRunner ("r1", 1000).takesNewWork = false;
    world.addRunner ("r2", 1000);
    const base::ReplicaId old = world.addReplica ("a", "r1");
    world.setDemand ("a", 3, 2);
    EXPECT_TRUE (world.loads().empty());
    EXPECT_EQ (evictedReplicas (world), std::vector{ old });
}

TEST (PlacementTest, SilentRunnerIsNeitherUsedNorReplacedAboveMaxReplicas)
{
    TestWorld world;
    world.addModel ("a", 400, 1);
    world.addRunner ("r1", 1000).isResponsive = false;
    world.addRunner ("r2", 1000);
    world.addReplica ("a", "r1");
    world.setDemand ("a", 5);
    EXPECT_TRUE (world.decide().empty());
    world.catalogue.models[0].maxReplicas = 2;
    EXPECT_EQ (world.loads().at (0).runner.value, "r2");
}

TEST (PlacementTest, LoweredMaxReplicasUnloadsTheLeastUsed)
{
    TestWorld world;
    world.addModel ("a", 400, 1);
    world.addRunner ("r1", 1000);
    world.addRunner ("r2", 1000);
    const base::ReplicaId used = world.addReplica ("a", "r1");
    const base::ReplicaId unused = world.addReplica ("a", "r2");
    world.replica (used).activeRequests = 3;
    world.setDemand ("a", 0, 3);
    EXPECT_EQ (evictedReplicas (world), std::vector{ unused });
}

TEST (PlacementTest, RemovedModelAndOldVersionAreUnloaded)
{
    TestWorld world;
    world.addModel ("a", 400, 1);
    world.addModel ("b", 400, 1);
    world.addRunner ("r1", 1000);
    const base::ReplicaId removed = world.addReplica ("a", "r1");
    const base::ReplicaId old = world.addReplica ("b", "r1");
    world.catalogue.models[1].version = "2";
    world.catalogue.models.erase (world.catalogue.models.begin());
    EXPECT_EQ (evictedReplicas (world), (std::vector{ removed, old }));
}

TEST (PlacementTest, LimitsConcurrentLoadsFromTheStore)
{
    TestWorld world;
    for (const char* name : { "a", "b", "c", "d" })
    {
        world.addModel (name, 100, 1);
        world.setDemand (name, 1);
    }
    world.addRunner ("r1", 1000);
    world.catalogue.weightStore.concurrentLoads = 3;
    EXPECT_EQ (world.loads().size(), 3U);
    world.snapshot.storeConcurrency = 2;
    EXPECT_EQ (world.loads().size(), 2U);
    world.snapshot.storeStarts = 1;
    EXPECT_EQ (world.loads().size(), 1U);
    world.setCheckpoint ("r1", "d", CheckpointPlace::kDisk);
    EXPECT_EQ (world.loads().size(), 2U) << "a load from the runner's disk needs no store";
}

TEST (PlacementTest, StopsAbandonedOrLessUrgentLoadWhenTheStoreIsFull)
{
    TestWorld world;
    world.addModel ("deep", 100, 1, "deep");
    world.addModel ("gone", 100, 1, "deep");
    world.addModel ("new", 100, 1);
    world.addRunner ("r1", 1000);
    world.catalogue.weightStore.concurrentLoads = 2;
    const base::ReplicaId deep = world.addReplica ("deep", "r1", ReplicaStage::kLoading);
    const base::ReplicaId gone = world.addReplica ("gone", "r1", ReplicaStage::kLoading);
    world.setDemand ("deep", 4, 0, 8);
    world.replica (gone).idleFor = base::seconds (5);
    EXPECT_TRUE (world.unloads().empty()) << "no other load needs the store slot";
    world.setDemand ("new", 1, 0, 8);
    EXPECT_EQ (evictedReplicas (world), std::vector{ gone });
    world.setDemand ("gone", 1, 0, 8);
    EXPECT_TRUE (world.unloads().empty()) << "equally urgent loads are not interrupted";
    world.setDemand ("new", 1, 0, 0);
    EXPECT_EQ (evictedReplicas (world), std::vector{ gone })
        << "the latest of the less urgent loads";
    EXPECT_NE (world.replica (deep).replica.stage, ReplicaStage::kUnloading);
}

TEST (PlacementTest, EvictsAnAbandonedLoad)
{
    TestWorld world;
    world.addModel ("gone", 800, 1);
    world.addModel ("new", 800, 1);
    world.addRunner ("r1", 1000);
    const base::ReplicaId gone = world.addReplica ("gone", "r1", ReplicaStage::kLoading);
    world.replica (gone).idleFor = base::seconds (1);
    world.setDemand ("new", 1);
    EXPECT_TRUE (world.decide().empty());
    world.replica (gone).idleFor = base::seconds (3);
    EXPECT_EQ (evictedReplicas (world), std::vector{ gone });
}

TEST (PlacementTest, KeepAliveFollowsThePrices)
{
    TestWorld world;
    world.addModel ("a", 500, 1);
    world.addRunner ("r1", 1000);
    const base::ReplicaId replica = world.addReplica ("a", "r1");
    world.snapshot.keepAlive = base::seconds (3600);
    world.replica (replica).replica.readyAt = 10'000;
    world.catalogue.prices = { 0.01, 1.0 };
    // Half an idle accelerator costs as much as a cold start of 10 s after 720 s.
    world.replica (replica).idleFor = base::seconds (719);
    EXPECT_TRUE (world.decide().empty());
    world.replica (replica).idleFor = base::seconds (721);
    EXPECT_EQ (evictedReplicas (world), std::vector{ replica });
    world.catalogue.prices = { 1.0, 1.0 };
    EXPECT_TRUE (world.decide().empty());
    world.replica (replica).idleFor = base::seconds (3601);
    EXPECT_EQ (evictedReplicas (world), std::vector{ replica });
    world.catalogue.models[0].minReplicas = 1;
    EXPECT_TRUE (world.decide().empty());
}

TEST (PlacementTest, ReasonsNameTheInputs)
{
    TestWorld world;
    world.addModel ("a", 400, 1);
    world.addModel ("b", 800, 1);
    world.addRunner ("r1", 1000);
    world.addReplica ("a", "r1");
    world.setDemand ("b", 7, 2);
    EXPECT_EQ (world.unloads().at (0).reason,
               "evicted for b: 7 waiting and 2 running with 0 usable replicas");
    world.snapshot.replicas.clear();
    EXPECT_EQ (world.loads().at (0).reason,
               "7 waiting and 2 running with 0 usable replicas; checkpoint remote");
}

/// A cell with random models, adapters and runners.
TestWorld randomWorld (base::Random& random)
{
    TestWorld world;
    for (int number = 0; number < 6; ++number)
    {
        const std::string name (1, static_cast<char> ('a' + number));
        const auto memory = static_cast<engine::Megabytes> (random.uniformInteger (100, 700));
        const auto bound = static_cast<std::uint32_t> (random.uniformInteger (1, 3));
        const char* classes[] = { "urgent", "normal", "deep" };
        config::Model& model =
            world.addModel (name, memory, bound, classes[random.uniformInteger (0, 2)]);
        if (random.chance (0.2))
            model.minReplicas = 1;
    }
    for (int number = 0; number < 3; ++number)
    {
        const std::string model (1, static_cast<char> ('a' + random.uniformInteger (0, 5)));
        world.addAdapter ("x" + std::to_string (number), model, 50,
                          static_cast<std::uint32_t> (random.uniformInteger (1, 2)));
    }
    for (int number = 0; number < 3; ++number)
    {
        world.addRunner ("r" + std::to_string (number),
                         static_cast<engine::Megabytes> (random.uniformInteger (600, 1500)),
                         "z" + std::to_string (number));
    }
    world.catalogue.weightStore.concurrentLoads =
        static_cast<std::uint32_t> (random.uniformInteger (1, 4));
    return world;
}

/// Sets the demand of one target: requests that fit on its ready replicas run, the others wait.
void placeRequests (TestWorld& world, const std::string& target, std::uint32_t requests,
                    int urgency)
{
    std::uint32_t ready = 0;
    for (const ReplicaView& view : world.snapshot.replicas)
    {
        const bool serves =
            view.replica.target() == target && view.replica.stage == ReplicaStage::kReady;
        if (serves)
            ++ready;
    }
    const std::uint32_t running = std::min (requests, ready * 8);
    world.setDemand (target, requests - running, running, urgency);
}

using Requests = std::map<std::string, std::pair<std::uint32_t, int>>;

Requests randomRequests (const TestWorld& world, base::Random& random)
{
    Requests requests;
    const auto draw = [&] (const std::string& target)
    {
        if (random.chance (0.5))
            return;
        requests[target] = { static_cast<std::uint32_t> (random.uniformInteger (1, 20)),
                             static_cast<int> (random.uniformInteger (0, 9)) };
    };
    for (const config::Model& model : world.catalogue.models)
        draw (model.name.value);
    for (const config::Adapter& adapter : world.catalogue.adapters)
        draw (adapter.name.value);
    return requests;
}

std::string describe (const std::vector<Decision>& decisions)
{
    std::string text;
    for (const Decision& decision : decisions)
    {
        if (const auto* load = std::get_if<LoadDecision> (&decision))
        {
            text += "load " + load->model.value + load->adapter.value + " on " + load->runner.value
                    + " (" + load->reason + "); ";
        }
        else
        {
            const auto& unload = std::get<UnloadDecision> (decision);
            text += "unload " + std::to_string (unload.replica) + " (" + unload.reason + "); ";
        }
    }
    return text;
}

RC_GTEST_PROP (PlacementPropertyTest, SteadyDemandLeadsToNoFurtherDecisions, ())
{
    constexpr int kRoundsToSettle = 200;
    constexpr int kRoundsSettled = 100;
    base::Random random (*rc::gen::arbitrary<std::uint64_t>());
    TestWorld world = randomWorld (random);
    const Requests requests = randomRequests (world, random);
    std::string lateDecisions;
    for (int round = 0; round < kRoundsToSettle + kRoundsSettled; ++round)
    {
        for (const auto& [target, load] : requests)
        {
            placeRequests (world, target, load.first, load.second);
        }
        const std::vector<Decision> decisions = world.step();
        RC_ASSERT (world.violation() == "");
        if (round < kRoundsToSettle || decisions.empty())
            continue;
        lateDecisions += "round " + std::to_string (round) + ": " + describe (decisions) + "\n";
    }
    RC_ASSERT (lateDecisions == "");
}

RC_GTEST_PROP (PlacementPropertyTest, ChangingDemandNeverExceedsMaxReplicasOrMemory, ())
{
    base::Random random (*rc::gen::arbitrary<std::uint64_t>());
    TestWorld world = randomWorld (random);
    for (int round = 0; round < 100; ++round)
    {
        world.snapshot.demands.clear();
        for (const auto& [target, load] : randomRequests (world, random))
        {
            placeRequests (world, target, load.first, load.second);
        }
        for (RunnerView& runner : world.snapshot.runners)
        {
            if (random.chance (0.05))
                runner.takesNewWork = ! runner.takesNewWork;
            if (random.chance (0.05))
                runner.isResponsive = ! runner.isResponsive;
        }
        const std::vector<Decision> first = world.decide();
        RC_ASSERT (first == world.decide());
        world.step();
        RC_ASSERT (world.violation() == "");
    }
}

}  // namespace
}  // namespace fernlift::placement
