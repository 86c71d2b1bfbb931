#include <gtest/gtest.h>

#include <algorithm>

#include "controller/ControllerCore.h"
#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

using test::testCatalogue;
using test::TestCell;
using test::testOptions;

constexpr int kOk = 200;
constexpr int kConflict = 409;

TEST (ControllerCoreTest, LoadsModelOnDemandAndNotifiesRouters)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    EXPECT_EQ (cell.apply (testCatalogue (1), true), kOk);
    EXPECT_TRUE (cell.router (0).admits (cell.now()));
    EXPECT_TRUE (cell.router (1).admits (cell.now()));
    cell.setDemand (0, "a", 1);
    ASSERT_TRUE (cell.runUntil (
        [&] { return cell.router (0).hasReplica ("a") && cell.router (1).hasReplica ("a"); },
        base::seconds (5)));
    EXPECT_EQ (cell.held ("a"), 1U);
}

/// Sends a hello of a router that holds the given version of the replica table. Returns whether the
/// router then received the whole table.
bool isTableReplaced (TestCell& cell, base::Term term, std::uint64_t version)
{
    test::TestRouter& router = cell.router (0);
    const std::pair marker (base::ReplicaId{ 0 }, std::string ("marker"));
    router.table[marker];
    cell::RouterHello hello;
    hello.router = router.id;
    hello.cell = base::CellId ("c");
    hello.configurationVersion = router.configurationVersion;
    hello.configurationDigest = router.configurationDigest;
    hello.replicaTableTerm = term;
    hello.replicaTableVersion = version;
    cell.sendFromRouter (0, hello);
    cell.run (base::seconds (1));
    return router.table.count (marker) == 0;
}

TEST (ControllerCoreTest, ReconnectingRouterKeepsItsTable)
{
    TestCell::Options options = testOptions();
    options.controller.exactShareLimit = 0;
    TestCell cell (options);
    ASSERT_TRUE (cell.awaitLeader());
    EXPECT_EQ (cell.apply (testCatalogue (1), true), kOk);
    cell.setDemand (0, "a", 1);
    ASSERT_TRUE (
        cell.runUntil ([&] { return cell.router (0).hasReplica ("a"); }, base::seconds (5)));
    const base::Term term = cell.core (cell.leader()).raftStatus().term;
    const std::uint64_t version = cell.router (0).tableVersion;
    EXPECT_FALSE (isTableReplaced (cell, term, version));
    EXPECT_TRUE (isTableReplaced (cell, term + 1, version));
    EXPECT_TRUE (isTableReplaced (cell, term, version + 1000));
    EXPECT_TRUE (cell.router (0).hasReplica ("a"));
}

TEST (ControllerCoreTest, LoadsAdapterWithItsBase)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    ASSERT_EQ (cell.apply (testCatalogue (1)), kOk);
    cell.setDemand (0, "x", 1);
    ASSERT_TRUE (
        cell.runUntil ([&] { return cell.router (0).hasReplica ("x"); }, base::seconds (5)));
    EXPECT_EQ (cell.held ("a"), 1U);
    EXPECT_EQ (cell.held ("x"), 1U);
}

TEST (ControllerCoreTest, NewLeaderContinuesOrderInFlight)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    ASSERT_EQ (cell.apply (testCatalogue (1)), kOk);
    const base::MemberId old = cell.leader();
    cell.holdsOrdersOf = old;
    cell.setDemand (0, "b", 1);
    ASSERT_TRUE (cell.runUntil ([&] { return ! cell.heldOrders.empty(); }, base::seconds (5)));
    cell.kill (old);
    ASSERT_TRUE (
        cell.runUntil ([&] { return cell.router (1).hasReplica ("b"); }, base::seconds (10)));
    EXPECT_EQ (cell.held ("b"), 1U);
    // The order of the first leader arrives late and must have no effect.
    for (const auto& [runner, order] : cell.heldOrders)
    {
        cell.engine (runner.value).take (order, cell.now());
    }
    cell.run (base::seconds (2));
    EXPECT_EQ (cell.held ("b"), 1U);
}

TEST (ControllerCoreTest, RejectsOtherTextOfSameVersionAndAcceptsRepeat)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    EXPECT_EQ (cell.apply (testCatalogue (5)), kOk);
    EXPECT_EQ (cell.apply (testCatalogue (5)), kOk);
    EXPECT_EQ (cell.apply (testCatalogue (5, "# other text\n")), kConflict);
    EXPECT_EQ (cell.apply (testCatalogue (4)), kConflict);
}

TEST (ControllerCoreTest, DemandOfManyRoutersCausesOneImmediateDecision)
{
    TestCell::Options options = testOptions();
    options.routers = 6;
    TestCell cell (options);
    ASSERT_TRUE (cell.awaitLeader());
    ASSERT_EQ (cell.apply (testCatalogue (1), true), kOk);
    const base::TimePoint requestedAt = cell.now();
    for (std::size_t router = 0; router < options.routers; ++router)
        cell.setDemand (router, "b", 3);
    ASSERT_TRUE (cell.runUntil ([&] { return cell.held ("b") == 1; }, base::seconds (5)));
    // Simulated time: a few network and disk delays of 1 ms, in steps of 5 ms.
    EXPECT_LE (base::toMilliseconds (cell.now() - requestedAt), 15);
    EXPECT_EQ (cell.ordersDelivered, 1U);
    std::size_t knowing = 0;
    ASSERT_TRUE (cell.runUntil (
        [&]
        {
            knowing = 0;
            for (std::size_t router = 0; router < options.routers; ++router)
            {
                if (cell.router (router).hasReplica ("b"))
                    ++knowing;
            }
            return knowing > 0;
        },
        base::seconds (5)));
    EXPECT_EQ (knowing, options.routers) << "all routers must be sent the replica in the same step";
    std::uint32_t credits = 0;
    for (std::size_t router = 0; router < options.routers; ++router)
    {
        for (const auto& [key, replica] : cell.router (router).table)
            credits += replica.credits;
    }
    EXPECT_EQ (credits, 8U) << "the sum must be the slots of the runner";
}

TEST (ControllerCoreTest, UnansweredOrderIsSentAgain)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    ASSERT_EQ (cell.apply (testCatalogue (1)), kOk);
    cell.holdsOrdersOf = cell.leader();
    cell.setDemand (0, "b", 1);
    cell.run (base::seconds (3));
    EXPECT_GT (cell.heldOrders.size(), 1U);
    EXPECT_EQ (cell.heldOrders.front().second, cell.heldOrders.back().second);
    cell.holdsOrdersOf.reset();
    EXPECT_TRUE (
        cell.runUntil ([&] { return cell.router (0).hasReplica ("b"); }, base::seconds (5)));
    EXPECT_EQ (cell.held ("b"), 1U);
}

TEST (ControllerCoreTest, ClaimSurvivesLeaderChange)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    ASSERT_EQ (cell.apply (testCatalogue (1)), kOk);
    cell.run (base::seconds (1));
    const auto claimOf = [&] (const std::string& request)
    {
        return cell::Claim{ base::IdempotencyKey ("k"), "digest", base::RouterId ("router0"),
                            base::RequestId (request), cell.unixNow() + 60'000 };
    };
    const auto verdictOf = [&] (std::uint64_t sequence, const std::string& request)
    {
        cell.claim (0, sequence, { claimOf (request) });
        const auto isAnswered = [&]
        {
            const auto& replies = cell.router (0).claimReplies;
            return ! replies.empty() && replies.back().sequence == sequence;
        };
        if (! cell.runUntil (isAnswered, base::seconds (5)))
            return cell::ClaimVerdict::kTableFull;
        return cell.router (0).claimReplies.back().answers.at (0).verdict;
    };
    EXPECT_EQ (verdictOf (1, "first"), cell::ClaimVerdict::kGranted);
    cell.kill (cell.leader());
    ASSERT_TRUE (cell.awaitLeader());
    cell.run (base::seconds (3));
    EXPECT_EQ (verdictOf (2, "first"), cell::ClaimVerdict::kGranted);
    EXPECT_EQ (verdictOf (3, "second"), cell::ClaimVerdict::kInProgress);
}

TEST (ControllerCoreTest, MembersAreAddedAndRemovedOneAtATime)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    constexpr base::MemberId kNew = 9;
    const base::MemberId leader = cell.leader();
    const auto statusOf = [&] (const AdminRequest& request)
    {
        const auto answer = cell.ask (leader, request);
        cell.run (base::milliseconds (200));
        return answer ? answer->httpStatus : 0;
    };
    EXPECT_EQ (statusOf (AdminAddMember{ { 1, "c1:1", "c1:2", "z1", false } }), kConflict);
    EXPECT_EQ (statusOf (AdminAddMember{ { kNew, "c9:1", "c9:2", "z1", false } }), kOk);
    EXPECT_NE (statusOf (AdminPromoteMember{ kNew }), kOk) << "the learner has not caught up";
    EXPECT_NE (cell.ask (leader, AdminMembers{})->json.find ("c9:1"), std::string::npos);
    EXPECT_EQ (statusOf (AdminRemoveMember{ kNew }), kOk);
    EXPECT_EQ (cell.ask (leader, AdminMembers{})->json.find ("c9:1"), std::string::npos);
    const base::MemberId follower = leader == 1 ? 2 : 1;
    EXPECT_NE (cell.ask (follower, AdminRemoveMember{ 3 })->httpStatus, kOk);
}

TEST (ControllerCoreTest, LeavingSeenByOneRouterReachesAllRouters)
{
    TestCell cell (testOptions());
    ASSERT_TRUE (cell.awaitLeader());
    ASSERT_EQ (cell.apply (testCatalogue (1)), kOk);
    cell.setDemand (0, "b", 0, 2);
    cell.setDemand (1, "b", 1);
    ASSERT_TRUE (
        cell.runUntil ([&] { return cell.router (1).hasReplica ("b"); }, base::seconds (5)));
    const std::string holder = cell.engine ("r1").isReady ("b") ? "r1" : "r2";
    const std::string other = holder == "r1" ? "r2" : "r1";
    cell.sendFromRouter (0, cell::RunnerLeavingReport{ base::RunnerId (holder),
                                                       cell.engine (holder).report().incarnation });
    const base::TimePoint reportedAt = cell.now();
    ASSERT_TRUE (
        cell.runUntil ([&] { return ! cell.router (1).hasReplica ("b"); }, base::seconds (5)));
    // Simulated time of a few messages; neither the machine list nor the engine reports the
    // leaving.
    EXPECT_LE (base::toMilliseconds (cell.now() - reportedAt), 20);
    std::uint32_t maxHeld = 0;
    cell.onStep = [&] { maxHeld = std::max (maxHeld, cell.held ("b")); };
    EXPECT_TRUE (
        cell.runUntil ([&] { return cell.engine (other).isReady ("b"); }, base::seconds (10)));
    EXPECT_EQ (maxHeld, 1U);
}

}  // namespace
}  // namespace fernlift::controller
