// Tests of InstanceLoadSum and InstanceLoadTable.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "controller/InstanceLoadSum.h"
#include "controller/InstanceLoadTable.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;

base::TimePoint at (int milliseconds)
{
    return base::TimePoint{} + base::seconds (100) + base::milliseconds (milliseconds);
}

cell::InstanceLoadReport uses (std::vector<cell::InstanceUse> uses)
{
    cell::InstanceLoadReport report;
    report.uses = std::move (uses);
    return report;
}

cell::InstanceLoadReport slowdown (const std::string& instance, std::uint32_t percent,
                                   std::int64_t age = 0)
{
    cell::InstanceLoadReport report;
    report.slowdowns.push_back ({ instance, percent, age });
    return report;
}

TEST (InstanceLoadSum, AddsUpReporters)
{
    InstanceLoadSum sum;
    sum.onReport (1, uses ({ { "a", 2, 100 }, { "b", 1, 0 } }), at (0));
    sum.onReport (2, uses ({ { "a", 3, 50 } }), at (0));
    auto due = sum.takeDue (at (0));
    ASSERT_TRUE (due);
    EXPECT_EQ (due->uses, (std::vector<cell::InstanceUse>{ { "a", 5, 150 }, { "b", 1, 0 } }));
    sum.onReport (1, uses ({ { "a", 0, 0 } }), at (10));
    EXPECT_FALSE (sum.takeDue (at (20))) << "the report interval has not passed";
    due = sum.takeDue (at (60));
    ASSERT_TRUE (due);
    EXPECT_EQ (due->uses, (std::vector<cell::InstanceUse>{ { "a", 3, 50 } }));
    EXPECT_FALSE (sum.takeDue (at (600)));
}

TEST (InstanceLoadSum, IntervalGrowsWithTheSizeOfTheReport)
{
    InstanceLoadSum sum;
    std::vector<cell::InstanceUse> many;
    for (int number = 0; number < 3000; ++number)
        many.push_back ({ "i-" + std::to_string (number), 1, 0 });
    sum.onReport (1, uses (many), at (0));
    ASSERT_TRUE (sum.takeDue (at (0)));
    sum.onReport (1, uses ({ { "i-1", 2, 0 } }), at (10));
    EXPECT_FALSE (sum.takeDue (at (290)));
    EXPECT_TRUE (sum.takeDue (at (300)));
}

TEST (InstanceLoadSum, RemovesThePartOfADisconnectedReporter)
{
    InstanceLoadSum sum;
    sum.onReport (1, uses ({ { "a", 2, 100 } }), at (0));
    sum.onReport (2, uses ({ { "a", 3, 50 } }), at (0));
    ASSERT_TRUE (sum.takeDue (at (0)));
    sum.onReporterDisconnected (2);
    const auto due = sum.takeDue (at (60));
    ASSERT_TRUE (due);
    EXPECT_EQ (due->uses, (std::vector<cell::InstanceUse>{ { "a", 2, 100 } }));
    EXPECT_EQ (sum.reporters(), 1U);
}

TEST (InstanceLoadSum, InactiveReporterIsNotCountedUntilItReports)
{
    InstanceLoadSum sum;
    sum.onReport (1, uses ({ { "a", 2, 100 } }), at (0));
    sum.onReport (2, uses ({ { "a", 1, 0 } }), at (0));
    ASSERT_TRUE (sum.takeDue (at (0)));
    sum.setReporterActive (1, false);
    EXPECT_EQ (sum.useOf ("a").inFlight, 1U);
    const auto due = sum.takeDue (at (60));
    ASSERT_TRUE (due);
    EXPECT_EQ (due->uses, (std::vector<cell::InstanceUse>{ { "a", 1, 0 } }));
    sum.setReporterActive (1, true);
    EXPECT_EQ (sum.useOf ("a"), (InstanceLoadSum::Use{ 3, 100 }));
    sum.setReporterActive (1, false);
    sum.onReport (1, uses ({ { "b", 1, 7 } }), at (100));
    EXPECT_EQ (sum.useOf ("a").inFlight, 3U);
    EXPECT_EQ (sum.useOf ("b").inFlight, 1U);
    sum.setReporterActive (1, false);
    sum.onReporterDisconnected (1);
    EXPECT_EQ (sum.useOf ("a").inFlight, 1U) << "the part is subtracted only once";
}

TEST (InstanceLoadSum, ReportsAllRunnersToANewLeaderAtOnce)
{
    InstanceLoadSum sum;
    sum.onReport (1, uses ({ { "a", 2, 100 }, { "b", 1, 0 } }), at (0));
    ASSERT_TRUE (sum.takeDue (at (0)));
    sum.resendAll();
    const auto due = sum.takeDue (at (1));
    ASSERT_TRUE (due);
    EXPECT_EQ (due->uses.size(), 2U);
}

TEST (InstanceLoadSum, ReportsSummedPacesAndTheLatestSlowdown)
{
    InstanceLoadSum sum;
    cell::InstanceLoadReport one = slowdown ("a", 250, 40);
    one.paces.push_back ({ "a", "m", 3, 900 });
    cell::InstanceLoadReport other = slowdown ("a", 100, 10);
    other.paces.push_back ({ "a", "m", 1, 100 });
    sum.onReport (1, other, at (0));
    sum.onReport (2, one, at (0));
    const auto due = sum.takeDue (at (5));
    ASSERT_TRUE (due);
    EXPECT_EQ (due->paces, (std::vector<cell::InstancePace>{ { "a", "m", 4, 1000 } }));
    EXPECT_EQ (due->slowdowns, (std::vector<cell::InstanceSlowdown>{ { "a", 100, 15 } }));
    EXPECT_FALSE (sum.takeDue (at (500)));
}

/// One random event at one of two controllers that do not lead.
struct Step
{
    int relay = 0;
    std::uint64_t router = 0;
    std::string instance;
    std::uint32_t inFlight = 0;
    std::uint64_t tokens = 0;
    int kind = 0;
    int pause = 0;
};

Step drawStep()
{
    Step step;
    step.relay = *rc::gen::inRange (0, 2);
    step.router = *rc::gen::inRange<std::uint64_t> (1, 4);
    step.instance = std::string (1, *rc::gen::inRange ('a', 'e'));
    step.inFlight = *rc::gen::inRange (0U, 4U);
    step.tokens = step.inFlight == 0 ? 0 : *rc::gen::inRange<std::uint64_t> (0, 3) * 1000;
    step.kind = *rc::gen::inRange (0, 12);
    step.pause = *rc::gen::inRange (0, 80);
    return step;
}

RC_GTEST_PROP (InstanceLoads, RelayTablesMatchTheReportsAfterAnyReportsAndDisconnections, ())
{
    struct Relay
    {
        InstanceLoadSum sum;
        InstanceLoadTable table;
        std::map<std::uint64_t, std::map<std::string, InstanceLoadSum::Use>> truth;
        std::uint64_t sentVersion = 0;  // Last version that the leader sent to it.
        std::uint64_t connection = 0;
        bool isCut = false;
        std::set<std::uint64_t> silent;  // Inactive routers.
    };
    std::vector<Relay> relays (2);
    InstanceLoadSum leaderSum;
    InstanceLoadTable leaderTable;
    std::uint64_t connections = 0;
    const auto connect = [&] (Relay& relay)
    {
        leaderSum.onReporterDisconnected (relay.connection);
        relay.connection = ++connections;
        relay.sum.resendAll();
        relay.sentVersion = 0;
    };
    for (Relay& relay : relays)
        connect (relay);
    int time = 0;
    const auto pass = [&]
    {
        for (Relay& relay : relays)
        {
            if (relay.isCut)
                continue;
            if (const auto report = relay.sum.takeDue (at (time)))
                leaderSum.onReport (relay.connection, *report, at (time));
        }
        if (const auto report = leaderSum.takeDue (at (time)))
            leaderTable.onReport (*report, at (time));
        for (Relay& relay : relays)
        {
            if (relay.isCut || relay.sentVersion == leaderTable.version())
                continue;
            relay.table.apply (leaderTable.updateSince (relay.sentVersion, at (time)), at (time));
            relay.sentVersion = leaderTable.version();
        }
    };
    const auto steps = *rc::gen::inRange (1, 60);
    for (int number = 0; number < steps; ++number)
    {
        const Step step = drawStep();
        Relay& relay = relays[static_cast<std::size_t> (step.relay)];
        time += step.pause;
        if (step.kind == 7)
        {
            relay.sum.setReporterActive (step.router, false);
            relay.silent.insert (step.router);
        }
        else if (step.kind < 7)
        {
            relay.silent.erase (step.router);
            relay.sum.onReport (
                step.router, uses ({ { step.instance, step.inFlight, step.tokens } }), at (time));
            relay.truth[step.router][step.instance] = { step.inFlight, step.tokens };
        }
        else if (step.kind == 8)
        {
            relay.sum.onReporterDisconnected (step.router);
            relay.truth.erase (step.router);
        }
        else if (step.kind == 9)
        {
            relay.isCut = true;
            leaderSum.onReporterDisconnected (relay.connection);
        }
        else if (step.kind == 10)
        {
            relay.isCut = false;
            connect (relay);
        }
        else
        {  // A new leader without any state.
            leaderSum = {};
            leaderTable = {};
            for (Relay& each : relays)
                connect (each);
        }
        pass();
    }
    for (int end = 0; end < 4; ++end)
    {
        time += 100;
        pass();
    }
    for (const char letter : { 'a', 'b', 'c', 'd' })
    {
        const std::string instance (1, letter);
        InstanceLoadSum::Use truth;
        for (const Relay& relay : relays)
        {
            for (const auto& [router, held] : relay.truth)
            {
                const auto found = held.find (instance);
                if (relay.isCut || relay.silent.contains (router) || found == held.end())
                    continue;
                truth.inFlight += found->second.inFlight;
                truth.pendingPrefillTokens += found->second.pendingPrefillTokens;
            }
        }
        for (const Relay& relay : relays)
        {
            if (relay.isCut)
                continue;
            InstanceLoadSum::Use known;
            relay.table.visit (at (time),
                               [&] (const cell::InstanceLoad& load)
                               {
                                   if (load.instance == instance)
                                       known = { load.inFlight, load.pendingPrefillTokens };
                               });
            RC_ASSERT (known == truth);
        }
    }
}

TEST (InstanceLoadTable, ReturnsChangesSinceAVersionAndTheWholeTableToANewReceiver)
{
    InstanceLoadTable table;
    table.onReport (uses ({ { "a", 1, 0 }, { "b", 2, 0 } }), at (0));
    const std::uint64_t version = table.version();
    table.onReport (uses ({ { "b", 0, 0 } }), at (0));
    const auto changes = table.updateSince (version, at (0));
    EXPECT_FALSE (changes.isWhole);
    ASSERT_EQ (changes.loads.size(), 1U);
    EXPECT_EQ (changes.loads[0].instance, "b");
    EXPECT_EQ (table.rowsSince (version), 1U);
    const auto whole = table.updateSince (0, at (0));
    EXPECT_TRUE (whole.isWhole);
    ASSERT_EQ (whole.loads.size(), 1U) << "idle runners are omitted";
    EXPECT_EQ (whole.loads[0].instance, "a");
}

TEST (InstanceLoadTable, IgnoresSmallChangesOfPrefillTokens)
{
    InstanceLoadTable table;
    table.onReport (uses ({ { "a", 1, 5000 } }), at (0));
    const std::uint64_t version = table.version();
    table.onReport (uses ({ { "a", 1, 5060 } }), at (0));
    EXPECT_EQ (table.version(), version);
    table.onReport (uses ({ { "a", 1, 5120 } }), at (0));
    EXPECT_GT (table.version(), version) << "differences count from the last published value";
    table.onReport (uses ({ { "a", 1, 80 } }), at (0));
    const std::uint64_t later = table.version();
    table.onReport (uses ({ { "a", 1, 0 } }), at (0));
    EXPECT_GT (table.version(), later) << "the end of all prefills is always published";
}

TEST (InstanceLoadTable, RepeatsAPersistentSlowdown)
{
    InstanceLoadTable table;
    table.onReport (slowdown ("a", 100), at (0));
    const std::uint64_t nominal = table.version();
    table.onReport (slowdown ("a", 100), at (500));
    EXPECT_EQ (table.version(), nominal) << "nominal speed is no change";
    table.onReport (slowdown ("a", 250), at (600));
    const std::uint64_t slow = table.version();
    EXPECT_GT (slow, nominal);
    table.onReport (slowdown ("a", 245), at (700));
    EXPECT_EQ (table.version(), slow);
    table.onReport (slowdown ("a", 250), at (800));
    EXPECT_GT (table.version(), slow);
    const auto update = table.updateSince (slow, at (830));
    ASSERT_EQ (update.loads.size(), 1U);
    EXPECT_EQ (update.loads[0].slowdownPercent, 250U);
    EXPECT_EQ (update.loads[0].slowdownAgeMilliseconds, 30);
    const std::uint64_t repeated = table.version();
    table.onReport (slowdown ("a", 100, 100), at (850));
    EXPECT_EQ (table.version(), repeated) << "the report is older than the last one";
    table.onReport (slowdown ("a", 100), at (860));
    EXPECT_GT (table.version(), repeated);
}

TEST (InstanceLoadTable, RunnersOmittedFromAWholeUpdateBecomeIdle)
{
    InstanceLoadTable leader;
    InstanceLoadTable relay;
    leader.onReport (uses ({ { "a", 1, 0 }, { "b", 2, 0 } }), at (0));
    relay.apply (leader.updateSince (0, at (0)), at (0));
    const std::uint64_t version = relay.version();
    InstanceLoadTable next;
    next.onReport (uses ({ { "b", 2, 0 } }), at (0));
    next.setSpeed ("c", 55);
    relay.apply (next.updateSince (0, at (0)), at (0));
    std::map<std::string, cell::InstanceLoad> update;
    for (const cell::InstanceLoad& load : relay.updateSince (version, at (0)).loads)
        update[load.instance] = load;
    EXPECT_EQ (update.at ("a").inFlight, 0U);
    EXPECT_EQ (update.at ("c").speedPercent, 55U);
    EXPECT_EQ (relay.loadOf ("c", at (0)).speedPercent, 55U);
    EXPECT_EQ (relay.loadOf ("d", at (0)).speedPercent, 100U);
}

TEST (InstanceLoadTable, ForgetsRemovedRunners)
{
    InstanceLoadTable table;
    table.onReport (uses ({ { "a", 1, 0 }, { "b", 2, 0 } }), at (0));
    table.keepOnly ([] (const std::string& instance) { return instance == "b"; });
    EXPECT_EQ (table.size(), 1U);
    EXPECT_EQ (table.updateSince (0, at (0)).loads.size(), 1U);
}

}  // namespace
}  // namespace fernlift::controller
