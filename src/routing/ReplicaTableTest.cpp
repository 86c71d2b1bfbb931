#include <gtest/gtest.h>

#include "routing/ReplicaTable.h"
#include "routing/RoutingTestSupport.h"

namespace fernlift::routing
{
namespace
{

using testing::change;
using testing::row;
using testing::wholeTable;

const base::TimePoint kNow (base::seconds (100));
constexpr base::Duration kLater = base::seconds (1);

TEST (ReplicaTableTest, AGapRequestsTheWholeTableAndKeepsTheRows)
{
    ReplicaTable table;
    EXPECT_FALSE (table.apply (change (3, { row ("r1") }), kNow));
    EXPECT_TRUE (table.apply (wholeTable ({ row ("r1") }, 3), kNow));
    EXPECT_TRUE (table.apply (change (3, { row ("r2") }), kNow));
    EXPECT_EQ (table.version(), 4U);
    EXPECT_FALSE (table.apply (change (6, { row ("r3") }), kNow));
    EXPECT_EQ (table.version(), 0U);
    EXPECT_EQ (table.usableReplicas ("m").size(), 2U);
    EXPECT_FALSE (table.apply (change (4, {}), kNow)) << "only a whole table closes the gap";
    EXPECT_TRUE (table.apply (wholeTable ({ row ("r3") }, 9), kNow));
    EXPECT_EQ (table.usableReplicas ("m").size(), 1U);
}

TEST (ReplicaTableTest, RemovalsDeleteRows)
{
    ReplicaTable table;
    table.apply (wholeTable ({ row ("r1"), row ("r2") }), kNow);
    table.apply (change (1, {}, { row ("r1") }), kNow);
    EXPECT_FALSE (table.isUsable (row ("r1")));
    EXPECT_TRUE (table.isUsable (row ("r2")));
    table.apply (change (2, {}, { row ("r2") }), kNow);
    EXPECT_FALSE (table.hasUsableReplica ("m"));
}

TEST (ReplicaTableTest, ALeavingRunnerIsUnusableUntilItsNextIncarnation)
{
    ReplicaTable table;
    table.apply (wholeTable ({ row ("r1"), row ("r2") }), kNow);
    EXPECT_TRUE (table.markLeaving (base::RunnerId ("r1"), 1));
    EXPECT_FALSE (table.markLeaving (base::RunnerId ("r1"), 1));
    table.apply (wholeTable ({ row ("r1"), row ("r2") }, 2), kNow);
    EXPECT_EQ (table.usableReplicas ("m").size(), 1U);
    EXPECT_FALSE (table.isUsable (row ("r1")));
    auto restarted = row ("r1");
    restarted.incarnation = 2;
    table.apply (change (2, { restarted }), kNow);
    EXPECT_EQ (table.usableReplicas ("m").size(), 2U);
}

TEST (ReplicaTableTest, ALeavingMarkOutlivesALateRowOfTheEarlierIncarnation)
{
    ReplicaTable table;
    auto restarted = row ("r1");
    restarted.incarnation = 2;
    table.apply (wholeTable ({ restarted }), kNow);
    table.markLeaving (base::RunnerId ("r1"), 2);
    table.apply (wholeTable ({ row ("r1") }, 2), kNow);
    table.apply (wholeTable ({ restarted }, 3), kNow);
    EXPECT_FALSE (table.hasUsableReplica ("m"));
}

TEST (ReplicaTableTest, TheReportedLoadIsCorrectedByOwnRequests)
{
    ReplicaTable table;
    const auto replica = row ("r1", "m", 5);
    table.apply (wholeTable ({ replica }), kNow);
    EXPECT_EQ (table.estimatedLoad (base::RunnerId ("r1")), 5U);
    table.addInFlight (replica, 0);
    table.addInFlight (replica, 8);
    EXPECT_EQ (table.estimatedLoad (base::RunnerId ("r1")), 7U);
    table.apply (change (1, { row ("r1", "m", 7) }), kNow + kLater);
    EXPECT_EQ (table.estimatedLoad (base::RunnerId ("r1")), 7U) << "the report counts the two";
    table.removeInFlight (replica, 8);
    EXPECT_EQ (table.estimatedLoad (base::RunnerId ("r1")), 6U);
    EXPECT_EQ (table.inFlightAtRunner (base::RunnerId ("r1")), (InFlightByUrgency{ { 0, 1 } }));
}

TEST (ReplicaTableTest, AReportThatLagsDoesNotCountTheLatestRequests)
{
    ReplicaTable table;
    const auto replica = row ("r1", "m", 5);
    table.apply (wholeTable ({ replica }), kNow);
    table.setTime (kNow + kLater);
    for (int made = 0; made < 3; ++made)
        table.addInFlight (replica, 0);
    table.apply (change (1, { replica }), kNow + kLater + base::milliseconds (20));
    EXPECT_EQ (table.estimatedLoad (base::RunnerId ("r1")), 8U) << "the five are others' requests";
}

TEST (ReplicaTableTest, RequestsEndedSinceTheMeasurementDoNotCountAsOthers)
{
    ReplicaTable table;
    const auto replica = row ("r1", "m", 0);
    table.apply (wholeTable ({ replica }), kNow);
    for (int made = 0; made < 3; ++made)
        table.addInFlight (replica, 0);
    table.setTime (kNow + kLater);
    for (int made = 0; made < 3; ++made)
        table.removeInFlight (replica, 0);
    table.apply (change (1, { row ("r1", "m", 3) }), kNow + kLater + base::milliseconds (20));
    EXPECT_EQ (table.estimatedLoad (base::RunnerId ("r1")), 0U);
}

TEST (ReplicaTableTest, OwnRequestsAreScaledToAllRouters)
{
    ReplicaTable table;
    const auto replica = row ("r1", "m", 0);
    table.apply (wholeTable ({ replica }), kNow);
    for (int made = 0; made < 2; ++made)
        table.addInFlight (replica, 0);
    // Half of the reported load is from this router.
    for (std::uint64_t version = 1; version < 60; ++version)
    {
        table.apply (change (version, { row ("r1", "m", 4) }),
                     kNow + kLater * static_cast<int> (version));
    }
    EXPECT_NEAR (table.likelyLoad (base::RunnerId ("r1")), 4, 0.2);
    for (int made = 0; made < 2; ++made)
        table.addInFlight (replica, 0);
    EXPECT_NEAR (table.likelyLoad (base::RunnerId ("r1")), 7, 0.3)
        << "6 by the report, 8 by the share";
}

TEST (ReplicaTableTest, OwnRequestsAtAnotherReplicaOfTheRunnerAreNotCountedTwice)
{
    ReplicaTable table;
    const auto first = row ("r1", "m");
    const auto second = row ("r1", "n");
    table.apply (wholeTable ({ first, second }), kNow);
    for (int made = 0; made < 4; ++made)
        table.addInFlight (first, 8);
    table.apply (change (1, { row ("r1", "m", 4), row ("r1", "n", 4) }), kNow + kLater);
    EXPECT_EQ (table.estimatedLoad (base::RunnerId ("r1")), 4U);
}

TEST (ReplicaTableTest, RequestsInFlightOutliveTheirRow)
{
    ReplicaTable table;
    const auto replica = row ("r1");
    table.apply (wholeTable ({ replica }), kNow);
    table.addInFlight (replica, 0);
    table.apply (change (1, {}, { replica }), kNow);
    table.apply (change (2, { replica }), kNow);
    EXPECT_EQ (table.usableReplicas ("m")[0]->inFlightTotal(), 1U);
    table.removeInFlight (replica, 0);
    table.removeInFlight (replica, 0);
    EXPECT_EQ (table.usableReplicas ("m")[0]->inFlightTotal(), 0U);
    EXPECT_EQ (table.estimatedLoad (base::RunnerId ("r1")), 0U);
}

TEST (ReplicaTableTest, RequestsOfAnEarlierIncarnationAreNotCounted)
{
    ReplicaTable table;
    const auto replica = row ("r1");
    table.apply (wholeTable ({ replica }), kNow);
    table.addInFlight (replica, 0);
    auto restarted = replica;
    restarted.incarnation = 2;
    table.apply (change (1, { restarted }), kNow);
    EXPECT_EQ (table.usableReplicas ("m")[0]->inFlightTotal(), 0U);
    table.removeInFlight (replica, 0);
    EXPECT_EQ (table.usableReplicas ("m")[0]->inFlightTotal(), 0U);
}

TEST (ReplicaTableTest, EstimatesCountFromTheirArrival)
{
    ReplicaTable table;
    auto update = wholeTable ({});
    update.estimates = { { "m", true, 500 } };
    table.apply (update, kNow);
    EXPECT_EQ (table.estimateOf ("m")->readyAt, kNow + base::milliseconds (500));
    EXPECT_FALSE (table.estimateOf ("n"));
}

TEST (ReplicaTableTest, ALoadOfARunnerAppliesToAllItsRows)
{
    ReplicaTable table;
    table.apply (wholeTable ({ row ("r1", "a", 2), row ("r1", "b", 2), row ("r2", "a", 2) }), kNow);
    cell::ReplicaUpdate update = change (1, {});
    update.loads = { { base::RunnerId ("r1"), 7 }, { base::RunnerId ("unknown"), 3 } };
    EXPECT_TRUE (table.apply (update, kNow + kLater));
    EXPECT_EQ (table.estimatedLoad (base::RunnerId ("r1")), 7U);
    EXPECT_EQ (table.estimatedLoad (base::RunnerId ("r2")), 2U);
    for (const cell::RoutableReplica& each : table.replicas())
    {
        EXPECT_EQ (each.load, each.runner.value == "r1" ? 7U : 2U) << each.target;
    }
}

}  // namespace
}  // namespace fernlift::routing
