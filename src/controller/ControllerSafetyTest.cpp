// Safety properties of a leader under failures. Where a planted fault exists that violates the
// property, the test also runs with the fault and expects the violation.

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "controller/ControllerCore.h"
#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

using cell::PlantedFault;
using test::testCatalogue;
using test::TestCell;
using test::testOptions;

constexpr int kOk = 200;

bool holdsMessage (const std::vector<Effect>& effects, std::size_t kind)
{
    return std::any_of (effects.begin(), effects.end(),
                        [&] (const Effect& effect)
                        {
                            const auto* sent = std::get_if<SendToRouter> (&effect);
                            return sent != nullptr && sent->message.index() == kind;
                        });
}

constexpr std::size_t kNotLeaderReply = 0;

TEST (ControllerSafetyTest, NewLeaderActsOnlyOnceEntryOfItsTermIsCommitted)
{
    consensus::RecoveredState recovered;
    recovered.initialMembers.members = { { 1, "a:1", "a:2", "z1", true } };
    base::TimePoint now{ base::seconds (1) };
    ControllerOptions options;
    options.cell = base::CellId ("c");
    ControllerCore core (1, options, recovered, 1, now, 0);
    const auto sendHello = [&]
    {
        cell::RouterHello hello;
        hello.cell = options.cell;
        core.onRouterMessage (1, hello);
        return core.takeEffects();
    };
    // Writes stay unconfirmed, except for the vote, so that the entry of the new term is not
    // committed.
    std::uint64_t written = 0;
    for (int tick = 0; tick < 200; ++tick)
    {
        now += base::milliseconds (10);
        core.setTime (now, 0);
        core.onTick();
        for (const Effect& effect : core.takeEffects())
        {
            if (const auto* write = std::get_if<PersistEffect> (&effect))
                written = write->request.sequence;
            EXPECT_FALSE (std::holds_alternative<PollMachineList> (effect));
        }
        if (core.raftStatus().role == consensus::Role::kLeader)
            break;
        if (tick == 150)
            core.onPersisted (written);
    }
    EXPECT_TRUE (holdsMessage (sendHello(), kNotLeaderReply));
    for (int writes = 0; writes < 5; ++writes)
    {
        core.onPersisted (written);
        for (const Effect& effect : core.takeEffects())
        {
            if (const auto* write = std::get_if<PersistEffect> (&effect))
                written = write->request.sequence;
        }
    }
    EXPECT_EQ (core.raftStatus().role, consensus::Role::kLeader);
    EXPECT_FALSE (holdsMessage (sendHello(), kNotLeaderReply));
}

/// Freezes a leader while another takes over and puts version 2 in force everywhere, so that a
/// lease request reaches the frozen leader. Returns whether a router then admits requests under
/// version 1.
bool admitsUnderOldConfiguration (PlantedFault fault)
{
    TestCell::Options options = testOptions();
    options.controller.plantedFault = fault;
    TestCell cell (options);
    EXPECT_TRUE (cell.awaitLeader());
    EXPECT_EQ (cell.apply (testCatalogue (1), true), kOk);
    const base::MemberId old = cell.leader();
    cell.reconnect (0, old);
    cell.run (base::seconds (1));
    cell.freeze (old, true);
    EXPECT_TRUE (cell.runUntil ([&] { return cell.leader() != old && cell.leader() != 0; },
                                base::seconds (5)));
    cell.run (base::seconds (1));
    EXPECT_EQ (cell.apply (testCatalogue (2), true), kOk);
    bool isBroken = false;
    cell.onStep = [&]
    {
        const test::TestRouter& router = cell.router (0);
        isBroken = isBroken || (router.admits (cell.now()) && router.configurationVersion == 1);
    };
    cell.run (base::seconds (2));
    return isBroken;
}

TEST (ControllerSafetyTest, FrozenLeaderGrantsNoLease)
{
    EXPECT_FALSE (admitsUnderOldConfiguration (PlantedFault::kNone));
    EXPECT_TRUE (admitsUnderOldConfiguration (PlantedFault::kLeaseWithoutLeaderLease));
}

/// Silences the runner that holds the only replica of b for a minute while requests wait for b.
/// Returns the maximum number of replicas of b that engines held at the same time.
std::uint32_t maxHeldDuringSilence (PlantedFault fault)
{
    TestCell::Options options = testOptions();
    options.controller.plantedFault = fault;
    TestCell cell (options);
    EXPECT_TRUE (cell.awaitLeader());
    EXPECT_EQ (cell.apply (testCatalogue (1)), kOk);
    cell.setDemand (0, "b", 1);
    EXPECT_TRUE (cell.runUntil ([&] { return cell.isReadySomewhere ("b"); }, base::seconds (5)));
    const std::string holder = cell.engine ("r1").isReady ("b") ? "r1" : "r2";
    cell.engine (holder).isAlive = false;
    std::uint32_t maxHeld = 0;
    cell.onStep = [&] { maxHeld = std::max (maxHeld, cell.held ("b")); };
    cell.run (base::seconds (60));
    return maxHeld;
}

TEST (ControllerSafetyTest, ReplicaOfSilentRunnerStillCounts)
{
    EXPECT_EQ (maxHeldDuringSilence (PlantedFault::kNone), 1U);
    EXPECT_EQ (maxHeldDuringSilence (PlantedFault::kReplicaReleasedOnSilence), 2U);
}

TEST (ControllerSafetyTest, ReplicaOfUnlistedMachineIsReplaced)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    ASSERT_EQ (cell.apply (testCatalogue (1)), kOk);
    cell.setDemand (0, "b", 1);
    ASSERT_TRUE (cell.runUntil ([&] { return cell.isReadySomewhere ("b"); }, base::seconds (5)));
    const std::string holder = cell.engine ("r1").isReady ("b") ? "r1" : "r2";
    const std::string other = holder == "r1" ? "r2" : "r1";
    cell.engine (holder).isAlive = false;
    cell.unlisted.insert (base::RunnerId (holder));
    EXPECT_TRUE (
        cell.runUntil ([&] { return cell.engine (other).isReady ("b"); }, base::seconds (20)));
}

/// Delivers the order of a dead leader long after the next leader had the replica loaded and
/// unloaded again. Returns the number of replicas of b held in the end.
std::uint32_t heldAfterLateOrder (PlantedFault fault)
{
    TestCell::Options options = testOptions (1);
    options.controller.plantedFault = fault;
    options.controller.keepAlive = base::seconds (1);
    TestCell cell (options);
    EXPECT_TRUE (cell.awaitLeader());
    EXPECT_EQ (cell.apply (testCatalogue (1)), kOk);
    const base::MemberId old = cell.leader();
    cell.holdsOrdersOf = old;
    cell.setDemand (0, "b", 1);
    EXPECT_TRUE (cell.runUntil ([&] { return ! cell.heldOrders.empty(); }, base::seconds (5)));
    cell.kill (old);
    EXPECT_TRUE (cell.runUntil ([&] { return cell.isReadySomewhere ("b"); }, base::seconds (10)));
    cell.setDemand (0, "b", 0);
    // Without fences the engine may also ignore the unload as a repeat of the load order and keep
    // b.
    cell.runUntil ([&] { return cell.held ("b") == 0; }, base::seconds (20));
    for (const auto& [runner, order] : cell.heldOrders)
    {
        cell.engine (runner.value).take (order, cell.now());
    }
    return cell.held ("b");
}

TEST (ControllerSafetyTest, LateOrderOfDeadLeaderIsFenced)
{
    EXPECT_EQ (heldAfterLateOrder (PlantedFault::kNone), 0U);
    EXPECT_EQ (heldAfterLateOrder (PlantedFault::kOrderWithoutFence), 1U);
}

TEST (ControllerSafetyTest, IsolatedLeaderSendsNoUncommittedOrder)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    ASSERT_EQ (cell.apply (testCatalogue (1)), kOk);
    const base::MemberId old = cell.leader();
    cell.reconnect (0, old);
    cell.run (base::seconds (1));
    cell.isolate (old, true);
    // The isolated leader is still connected to its router and every engine.
    cell.setDemand (0, "b", 5);
    cell.run (base::milliseconds (300));
    EXPECT_EQ (cell.ordersDelivered, 0U) << "an order was sent for an uncommitted decision";
    std::uint32_t maxHeld = 0;
    cell.onStep = [&] { maxHeld = std::max (maxHeld, cell.held ("b")); };
    ASSERT_TRUE (cell.runUntil ([&] { return cell.isReadySomewhere ("b"); }, base::seconds (15)));
    const std::uint64_t ordersBefore = cell.ordersDelivered;
    cell.run (base::seconds (3600));
    EXPECT_EQ (cell.ordersDelivered, ordersBefore);
    cell.isolate (old, false);
    cell.run (base::seconds (3));
    EXPECT_EQ (maxHeld, 1U);
}

TEST (ControllerSafetyTest, OrphanedReplicaIsUnloadedWithFence)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    ASSERT_EQ (cell.apply (testCatalogue (1)), kOk);
    cell.run (base::seconds (2));
    engine::Order undecided;
    undecided.fence = 1;
    undecided.incarnation = cell.engine ("r1").report().incarnation;
    undecided.replica = 999'999;
    undecided.model = base::ModelName ("b");
    undecided.memory = 600;
    ASSERT_TRUE (cell.engine ("r1").take (undecided, cell.now()).accepted);
    ASSERT_TRUE (cell.runUntil ([&] { return cell.held ("b") == 0; }, base::seconds (5)));
    EXPECT_EQ (cell.ordersDelivered, 1U) << "late reports must not cause a second order";
    EXPECT_GT (cell.engine ("r1").report().highestFence, 1U);
}

TEST (ControllerSafetyTest, RestartedEngineIsOrderedAgain)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    ASSERT_EQ (cell.apply (testCatalogue (1)), kOk);
    cell.setDemand (0, "b", 1);
    ASSERT_TRUE (cell.runUntil ([&] { return cell.held ("b") == 1; }, base::seconds (5)));
    for (const char* runner : { "r1", "r2" })
        cell.engine (runner).restart();
    EXPECT_EQ (cell.held ("b"), 0U);
    EXPECT_TRUE (cell.runUntil ([&] { return cell.isReadySomewhere ("b"); }, base::seconds (10)));
    EXPECT_EQ (cell.held ("b"), 1U);
}

TEST (ControllerSafetyTest, RestartFromSnapshotsRestoresLatestState)
{
    TestCell::Options options = testOptions();
    options.controller.entriesBetweenSnapshots = 10;
    TestCell cell (options);
    ASSERT_TRUE (cell.awaitLeader());
    constexpr std::uint64_t kVersions = 60;
    for (std::uint64_t version = 1; version <= kVersions; ++version)
    {
        ASSERT_EQ (cell.apply (testCatalogue (version)), kOk);
    }
    cell.setDemand (0, "b", 1);
    ASSERT_TRUE (cell.runUntil ([&] { return cell.isReadySomewhere ("b"); }, base::seconds (5)));
    cell.claim (0, 1,
                { { base::IdempotencyKey ("k"), "digest", base::RouterId ("router0"),
                    base::RequestId ("first"), cell.unixNow() + 60'000 } });
    cell.run (base::seconds (1));
    for (base::MemberId member = 1; member <= 3; ++member)
        cell.kill (member);
    for (base::MemberId member = 1; member <= 3; ++member)
        cell.restart (member);
    ASSERT_TRUE (cell.awaitLeader());
    cell.run (base::seconds (2));
    EXPECT_NE (cell.apply (testCatalogue (kVersions - 1)), kOk);
    EXPECT_EQ (cell.router (0).regressions + cell.router (1).regressions, 0U);
    EXPECT_EQ (cell.held ("b"), 1U);
    cell.claim (1, 1,
                { { base::IdempotencyKey ("k"), "digest", base::RouterId ("router1"),
                    base::RequestId ("second"), cell.unixNow() + 60'000 } });
    cell.run (base::seconds (1));
    ASSERT_FALSE (cell.router (1).claimReplies.empty());
    EXPECT_EQ (cell.router (1).claimReplies.back().answers.at (0).verdict,
               cell::ClaimVerdict::kInProgress);
}

}  // namespace
}  // namespace fernlift::controller
