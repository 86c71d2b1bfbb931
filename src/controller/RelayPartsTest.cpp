// Tests of RelayInstanceTable, EngineDemandSum and HeartbeatBatch.

#include <gtest/gtest.h>

#include "controller/EngineDemandSum.h"
#include "controller/HeartbeatBatch.h"
#include "controller/RelayInstanceTable.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;

base::TimePoint at (int milliseconds)
{
    return base::TimePoint{} + base::seconds (100) + base::milliseconds (milliseconds);
}

cell::InstanceUpdate change (std::uint64_t from, std::uint64_t to,
                             const std::vector<std::string>& upserts,
                             const std::vector<std::string>& removals = {})
{
    cell::InstanceUpdate update;
    update.term = 3;
    update.fromVersion = from;
    update.toVersion = to;
    for (const std::string& id : upserts)
    {
        cell::RoutableInstance row;
        row.instance.id = id;
        update.upserts.push_back (row);
    }
    update.removals = removals;
    return update;
}

TEST (RelayInstanceTable, ReturnsChangesSinceAVersionOfTheLeader)
{
    RelayInstanceTable table;
    ASSERT_TRUE (table.apply (change (0, 4, { "a", "b" }), at (0)));
    ASSERT_TRUE (table.apply (change (4, 6, { "c" }, { "a" }), at (0)));
    const cell::InstanceUpdate since = table.updateSince (4, at (0));
    EXPECT_EQ (since.fromVersion, 4U);
    EXPECT_EQ (since.toVersion, 6U);
    ASSERT_EQ (since.upserts.size(), 1U);
    EXPECT_EQ (since.upserts[0].instance.id, "c");
    EXPECT_EQ (since.removals, std::vector<std::string>{ "a" });
}

TEST (RelayInstanceTable, ReturnsTheWholeTableWhenChangesAreNotKnown)
{
    RelayInstanceTable table;
    ASSERT_TRUE (table.apply (change (0, 4, { "a", "b" }), at (0)));
    const cell::InstanceUpdate whole = table.updateSince (3, at (0));
    EXPECT_EQ (whole.fromVersion, 0U);
    EXPECT_EQ (whole.upserts.size(), 2U);
}

TEST (RelayInstanceTable, StatesSoftwareHistoryWithItsPresentAge)
{
    RelayInstanceTable table;
    cell::InstanceUpdate update = change (0, 4, { "a" });
    update.softwareHistory = { 9000, { { "service", "v1", 3000 } } };
    ASSERT_TRUE (table.apply (update, at (0)));
    const cell::SoftwareHistory later = table.updateSince (4, at (500)).softwareHistory;
    EXPECT_EQ (later.knownMilliseconds, 9000);
    ASSERT_EQ (later.departed.size(), 1U);
    EXPECT_EQ (later.departed[0].ageMilliseconds, 3500);
}

TEST (RelayInstanceTable, RejectsAnUpdateAfterAGap)
{
    RelayInstanceTable table;
    ASSERT_TRUE (table.apply (change (0, 4, { "a" }), at (0)));
    EXPECT_FALSE (table.apply (change (5, 6, { "b" }), at (0)));
    EXPECT_EQ (table.version(), 4U);
}

TEST (RelayInstanceTable, RequiresTheLastVersionThatMustBeConfirmed)
{
    RelayInstanceTable table;
    ASSERT_TRUE (table.apply (change (0, 4, { "a" }), at (0)));
    EXPECT_EQ (table.requiredVersion(), 0U);
    cell::InstanceUpdate drain = change (4, 5, { "a" });
    drain.mustConfirm = true;
    ASSERT_TRUE (table.apply (drain, at (0)));
    ASSERT_TRUE (table.apply (change (5, 9, { "b" }), at (0)));
    EXPECT_EQ (table.requiredVersion(), 5U);
    EXPECT_TRUE (table.updateSince (4, at (0)).mustConfirm);
    EXPECT_FALSE (table.updateSince (5, at (0)).mustConfirm);
}

TEST (EngineDemandSum, AddsUpRoutersAndKeepsArrivals)
{
    EngineDemandSum sum;
    sum.onReport (1, { { "llm", "m", "", 1, 2, 3, 1, 700 } });
    sum.onReport (2, { { "llm", "m", "", 0, 4, 5, 2, 500 } });
    const auto due = sum.takeDue (at (0));
    ASSERT_EQ (due.size(), 1U);
    EXPECT_EQ (due[0], (cell::EngineDemand{ "llm", "m", "", 1, 6, 8, 3, 1200 }));
}

TEST (EngineDemandSum, RemovesTheDemandOfADisconnectedRouter)
{
    EngineDemandSum sum;
    sum.onReport (1, { { "llm", "m", "", 0, 2, 0, 0 } });
    ASSERT_EQ (sum.takeDue (at (0)).size(), 1U);
    sum.onRouterDisconnected (1);
    const auto due = sum.takeDue (at (300));
    ASSERT_EQ (due.size(), 1U);
    EXPECT_EQ (due[0].running, 0U);
    EXPECT_TRUE (sum.takeDue (at (600)).empty());
}

TEST (EngineDemandSum, ReportsNewlyWaitingRequestsWithoutTheRegularDelay)
{
    EngineDemandSum sum;
    sum.onReport (1, { { "llm", "m", "", 0, 2, 0, 0 } });
    ASSERT_EQ (sum.takeDue (at (0)).size(), 1U);
    sum.onReport (1, { { "llm", "m", "", 0, 3, 0, 0 } });
    EXPECT_TRUE (sum.takeDue (at (30)).empty());
    sum.onReport (2, { { "llm", "m", "", 1, 0, 1, 0 } });
    EXPECT_EQ (sum.takeDue (at (31)).size(), 1U);
}

InstanceHeartbeat heartbeat (std::uint64_t sequence, const std::string& model)
{
    InstanceHeartbeat beat;
    beat.instance.id = "i-1";
    beat.sequence = sequence;
    beat.models = { { model, 1, {} } };
    return beat;
}

/// Returns the number of runners whose held models are sent to a new leader within the given time,
/// with a heartbeat of each runner every two seconds.
std::size_t heldModelsSentToNewLeader (std::size_t runners, int milliseconds)
{
    HeartbeatBatch batch;
    std::size_t sent = 0;
    const auto receiveAll = [&] (std::uint64_t sequence, int from)
    {
        constexpr int kInterval = 2000;
        for (int time = 0; time < kInterval; time += 10)
        {
            for (std::size_t number = time / 10; number < runners; number += kInterval / 10)
            {
                InstanceHeartbeat beat = heartbeat (sequence, "m1");
                beat.instance.id = "i-" + std::to_string (number);
                batch.add (beat, true, at (from + time));
            }
            for (const cell::RelayedHeartbeat& relayed : batch.takeDue (at (from + time)))
                sent +=
                    relayed.hasHeldModels && from >= 10'000 && from + time < 10'000 + milliseconds;
        }
    };
    receiveAll (1, 0);
    batch.resendAll();
    receiveAll (2, 10'000);
    return sent;
}

TEST (HeartbeatBatch, SendsHeldModelsToANewLeaderAtALimitedRate)
{
    EXPECT_EQ (heldModelsSentToNewLeader (40, 2000), 40U) << "a small cell sends all of them";
    EXPECT_LE (heldModelsSentToNewLeader (700, 1000), 250U);
    EXPECT_GE (heldModelsSentToNewLeader (700, 2000), 150U);
}

TEST (HeartbeatBatch, SendsHeldModelsOnlyWhenTheyChange)
{
    HeartbeatBatch batch;
    batch.add (heartbeat (1, "m1"), true, at (0));
    const auto first = batch.takeDue (at (0));
    ASSERT_EQ (first.size(), 1U);
    EXPECT_TRUE (first[0].hasHeldModels);
    batch.add (heartbeat (2, "m1"), true, at (100));
    EXPECT_TRUE (batch.takeDue (at (100)).empty());
    const auto second = batch.takeDue (at (300));
    ASSERT_EQ (second.size(), 1U);
    EXPECT_FALSE (second[0].hasHeldModels);
    EXPECT_EQ (second[0].sequence, 2U);
    batch.add (heartbeat (3, "m2"), true, at (310));
    // Changes within the urgent interval are sent together.
    EXPECT_TRUE (batch.takeDue (at (310)).empty());
    const auto third = batch.takeDue (at (325));
    ASSERT_EQ (third.size(), 1U);
    EXPECT_EQ (third[0].models[0].model, "m2");
}

TEST (HeartbeatBatch, SendsTheCompleteInstanceUntilTheCellHasRegisteredIt)
{
    HeartbeatBatch batch;
    for (const std::uint64_t sequence : { 1U, 2U })
    {
        const base::TimePoint now = at (static_cast<int> (sequence) * 25);
        batch.add (heartbeat (sequence, "m1"), false, now);
        const auto due = batch.takeDue (now);
        ASSERT_EQ (due.size(), 1U);
        ASSERT_EQ (due[0].first.size(), 1U);
        EXPECT_EQ (due[0].first[0].id, "i-1");
    }
}

TEST (HeartbeatBatch, RepeatedHeldModelsWaitForTheRegularInterval)
{
    HeartbeatBatch batch;
    batch.add (heartbeat (1, "m1"), true, at (0));
    ASSERT_EQ (batch.takeDue (at (0)).size(), 1U);
    batch.add (heartbeat (2, "m1"), true, at (2400));
    ASSERT_EQ (batch.takeDue (at (2400)).size(), 1U);
    batch.add (heartbeat (3, "m1"), true, at (2510));
    EXPECT_TRUE (batch.takeDue (at (2540)).empty());
    const auto due = batch.takeDue (at (2700));
    ASSERT_EQ (due.size(), 1U);
    EXPECT_TRUE (due[0].hasHeldModels);
}

TEST (HeartbeatBatch, LimitsTheRateOfRepeatsForManyRunners)
{
    constexpr int kRunners = 400;
    constexpr int kSeconds = 24;
    HeartbeatBatch batch;
    std::size_t sent = 0;
    // Each runner sends a heartbeat every 1.2 s; the first ones are all sent on as changes.
    for (int now = 0; now < kSeconds * 1000; now += 3)
    {
        InstanceHeartbeat beat = heartbeat (static_cast<std::uint64_t> (now / 1200 + 1), "m1");
        beat.instance.id = "i-" + std::to_string (now / 3 % kRunners);
        batch.add (beat, true, at (now));
        for (const cell::RelayedHeartbeat& relayed : batch.takeDue (at (now)))
            sent += relayed.hasHeldModels ? 1 : 0;
    }
    const std::size_t repeats = sent - kRunners;
    EXPECT_GE (repeats, kRunners) << "each runner is repeated within 24 s";
    EXPECT_LE (repeats, 60 * kSeconds)
        << "a fixed interval of 2.5 s would cause 133 repeats per second";
}

TEST (HeartbeatBatch, LateHeartbeatDoesNotReplaceANewerOne)
{
    HeartbeatBatch batch;
    batch.add (heartbeat (5, "m2"), true, at (0));
    batch.add (heartbeat (4, "m1"), true, at (1));
    const auto due = batch.takeDue (at (2));
    ASSERT_EQ (due.size(), 1U);
    EXPECT_EQ (due[0].sequence, 5U);
    EXPECT_EQ (due[0].models[0].model, "m2");
}

TEST (HeartbeatBatch, LaterIncarnationReplacesAnEarlierOneRegardlessOfSequence)
{
    HeartbeatBatch batch;
    InstanceHeartbeat earlier = heartbeat (90, "m2");
    earlier.instance.startedAt = 1000;
    InstanceHeartbeat later = heartbeat (1, "m1");
    later.instance.startedAt = 2000;
    batch.add (earlier, true, at (0));
    batch.add (later, false, at (1));
    earlier.sequence = 91;
    batch.add (earlier, true, at (2));
    const auto due = batch.takeDue (at (3));
    ASSERT_EQ (due.size(), 1U);
    EXPECT_EQ (due[0].startedAt, 2000);
    EXPECT_EQ (due[0].sequence, 1U);
    ASSERT_EQ (due[0].first.size(), 1U);
}

}  // namespace
}  // namespace fernlift::controller
