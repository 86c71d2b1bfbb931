#include <gtest/gtest.h>

#include "controller/RoutableTable.h"
#include "controller/RouterSessions.h"

namespace fernlift::controller
{
namespace
{

constexpr base::TimePoint kNow{ base::seconds (100) };

cell::RoutableReplica row (base::ReplicaId replica, const std::string& runner, std::uint32_t load)
{
    cell::RoutableReplica entry;
    entry.replica = replica;
    entry.runner = base::RunnerId (runner);
    entry.target = "m" + std::to_string (replica);
    entry.slots = 64;
    entry.load = load;
    return entry;
}

TEST (RoutableTableTest, SmallChangesOfLoadAreInsignificant)
{
    EXPECT_FALSE (isSignificantLoadChange (40, 50));
    EXPECT_TRUE (isSignificantLoadChange (40, 51));
    EXPECT_FALSE (isSignificantLoadChange (2, 3));
    EXPECT_TRUE (isSignificantLoadChange (2, 4));
    EXPECT_TRUE (isSignificantLoadChange (0, 1));
    EXPECT_TRUE (isSignificantLoadChange (1, 0));
}

TEST (RoutableTableTest, SharerCountIsAPowerOfTwoWithHysteresis)
{
    EXPECT_EQ (stableSharerCount (0, 0), 1U);
    EXPECT_EQ (stableSharerCount (0, 5), 8U);
    EXPECT_EQ (stableSharerCount (8, 9), 16U);
    EXPECT_EQ (stableSharerCount (8, 3), 8U);
    EXPECT_EQ (stableSharerCount (8, 2), 2U);
}

TEST (RoutableTableTest, SendsLoadOncePerRunner)
{
    RoutableTable table;
    ASSERT_TRUE (
        table.replace ({ row (1, "r1", 10), row (2, "r1", 10), row (3, "r2", 10) }, {}, kNow));
    EXPECT_FALSE (
        table.replace ({ row (1, "r1", 11), row (2, "r1", 11), row (3, "r2", 10) }, {}, kNow));
    ASSERT_TRUE (
        table.replace ({ row (1, "r1", 30), row (2, "r1", 30), row (3, "r2", 10) }, {}, kNow));
    const auto updates = table.updatesSince (1, kNow);
    ASSERT_EQ (updates.size(), 1U);
    EXPECT_TRUE (updates[0].upserts.empty());
    ASSERT_EQ (updates[0].loads.size(), 1U);
    EXPECT_EQ (updates[0].loads[0], (cell::RunnerLoad{ base::RunnerId ("r1"), 30 }));
}

/// Many small changes add up: the load sent stays close to the actual one.
TEST (RoutableTableTest, SlowDriftIsEventuallySent)
{
    RoutableTable table;
    table.replace ({ row (1, "r1", 10) }, {}, kNow);
    for (std::uint32_t load = 11; load <= 40; ++load)
        table.replace ({ row (1, "r1", load) }, {}, kNow);
    const auto whole = table.updatesSince (0, kNow);
    ASSERT_EQ (whole.size(), 1U);
    EXPECT_FALSE (isSignificantLoadChange (whole[0].upserts[0].load, 40));
}

TEST (RoutableTableTest, SendsMissedChangesInOrder)
{
    RoutableTable table;
    table.replace ({ row (1, "r1", 1) }, {}, kNow);
    table.replace ({ row (1, "r1", 1), row (2, "r1", 1) }, {}, kNow);
    table.replace ({ row (2, "r1", 1) }, {}, kNow);
    const auto updates = table.updatesSince (1, kNow);
    ASSERT_EQ (updates.size(), 2U);
    EXPECT_EQ (updates[0].fromVersion, 1U);
    EXPECT_EQ (updates[0].upserts.size(), 1U);
    EXPECT_EQ (updates[1].toVersion, table.version());
    EXPECT_EQ (updates[1].removals.size(), 1U);
    EXPECT_TRUE (table.updatesSince (table.version(), kNow).empty());
}

TEST (RoutableTableTest, SendsTheWholeTableToARouterTooFarBehind)
{
    RoutableTable table;
    for (std::uint32_t replicas = 1; replicas <= 60; ++replicas)
    {
        std::vector<cell::RoutableReplica> rows;
        for (std::uint32_t each = 1; each <= replicas; ++each)
            rows.push_back (row (each, "r1", 1));
        table.replace (std::move (rows), {}, kNow);
    }
    EXPECT_TRUE (table.keepsChangesSince (table.version() - 1));
    EXPECT_FALSE (table.keepsChangesSince (table.version() + 1));
    for (const std::uint64_t version : { 0, 1 })
    {
        EXPECT_FALSE (table.keepsChangesSince (version));
        const auto updates = table.updatesSince (version, kNow);
        ASSERT_EQ (updates.size(), 1U);
        EXPECT_EQ (updates[0].fromVersion, 0U);
        EXPECT_EQ (updates[0].upserts.size(), 60U);
    }
}

TEST (RoutableTableTest, SendsAnEmptyTable)
{
    RoutableTable table;
    EXPECT_TRUE (table.replace ({}, {}, kNow));
    EXPECT_EQ (table.updatesSince (0, kNow).size(), 1U);
}

/// A router without a table reports version 0. Continuous changes must not delay the whole table.
TEST (RouterSessionTableTest, ResendsALostTableWhileChangesAreSent)
{
    RouterSessions sessions (base::seconds (2));
    RouterSession& session = sessions.open (1, {}, kNow);
    session.tableVersion = 7;
    session.wholeTableSentAt = kNow;
    session.tableSentAt = kNow + base::seconds (10);
    cell::LeaseRequest request;
    request.replicaTableVersion = 0;
    sessions.onLeaseRequest (session, request, 1, kNow + base::seconds (10));
    EXPECT_EQ (session.tableVersion, 0U);
}

TEST (RouterSessionTableTest, RequestSentBeforeTheTableArrivedCausesNoResend)
{
    RouterSessions sessions (base::seconds (2));
    RouterSession& session = sessions.open (1, {}, kNow);
    session.tableVersion = 7;
    session.wholeTableSentAt = session.tableSentAt = kNow;
    cell::LeaseRequest request;
    request.replicaTableVersion = 0;
    sessions.onLeaseRequest (session, request, 1, kNow + base::seconds (1));
    EXPECT_EQ (session.tableVersion, 7U);
}

}  // namespace
}  // namespace fernlift::controller
