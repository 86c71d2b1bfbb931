#include <gtest/gtest.h>

#include <charconv>

#include "controller/ControllerCore.h"
#include "controller/SnapshotSchedule.h"
#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

using test::TestCell;

/// Parses test configurations: the version, a blank and any text; a text with "bad" is invalid.
config::CatalogueOutcome parseTestConfiguration (std::string_view text)
{
    config::CatalogueOutcome outcome;
    std::uint64_t version = 0;
    std::from_chars (text.data(), text.data() + text.size(), version);
    if (version == 0 || text.find ("bad") != std::string_view::npos)
    {
        outcome.problems.push_back ({ 0, "configuration", "bad" });
        return outcome;
    }
    outcome.catalogue.emplace();
    outcome.catalogue->version = version;
    config::Service service;
    service.name = "llm";
    service.engine.emplace();
    service.engine->slots = 8;
    service.engine->memoryMb = 100;
    service.engine->adapterSlots = 2;
    service.engine->loadsPerSecond = 4;
    for (const char* name : { "m1", "m2", "m3" })
    {
        config::EngineModel model;
        model.name = name;
        model.memoryMb = 40;
        model.loadTime = base::seconds (1);
        model.adapters = 4;
        service.engine->models.push_back (model);
    }
    outcome.catalogue->services.services.push_back (service);
    return outcome;
}

InstanceHeartbeat heartbeatOf (const std::string& id, std::uint64_t sequence)
{
    InstanceHeartbeat heartbeat;
    heartbeat.instance.id = id;
    heartbeat.instance.service = "llm";
    heartbeat.instance.address = "10.0.0.1:" + id.substr (2);
    heartbeat.instance.slots = 8;
    heartbeat.sequence = sequence;
    heartbeat.models = { { "m1", 1, {} } };
    return heartbeat;
}

class ControlRequestsTest : public ::testing::Test
{
protected:
    ControlRequestsTest() : m_cell (options()) { EXPECT_TRUE (m_cell.awaitLeader()); }

    static TestCell::Options options()
    {
        TestCell::Options options = test::testOptions();
        options.controller.catalogueParser = &parseTestConfiguration;
        options.controller.hasMachineList = false;
        options.controller.newLeaderOrderDelay = base::seconds (3);
        return options;
    }
    ControlVerdict ask (ControlRequest request)
    {
        const auto answer = m_cell.sendControlRequest (m_cell.leader(), std::move (request));
        return answer ? answer->verdict : ControlVerdict::kUnavailable;
    }
    std::string readBack()
    {
        const auto answer = m_cell.sendControlRequest (m_cell.leader(), ReadConfiguration{});
        return answer ? answer->text : "";
    }
    void demand (const std::string& model)
    {
        cell::EngineDemandReport report;
        report.demands.push_back ({ "llm", model, "", 1, 0, 1 });
        m_cell.sendFromRouter (0, report);
    }
    base::MemberId follower()
    {
        const base::MemberId leader = m_cell.leader();
        return leader == 1 ? 2 : 1;
    }

    TestCell m_cell;
};

TEST_F (ControlRequestsTest, FollowerRefersDrainingInstanceToLeader)
{
    InstanceHeartbeat draining = heartbeatOf ("i-1", 1);
    draining.instance.isDraining = true;
    const auto answer = m_cell.sendControlRequest (follower(), draining);
    ASSERT_TRUE (answer);
    EXPECT_EQ (answer->verdict, ControlVerdict::kNotLeader);
}

TEST_F (ControlRequestsTest, FollowerForwardsHeartbeatToLeader)
{
    const auto answer = m_cell.sendControlRequest (follower(), heartbeatOf ("i-1", 1));
    ASSERT_TRUE (answer);
    EXPECT_EQ (answer->verdict, ControlVerdict::kDone);
    m_cell.run (base::milliseconds (500));
    EXPECT_NE (m_cell.core (m_cell.leader()).state().instances().find ("i-1"), nullptr);
}

TEST_F (ControlRequestsTest, HighestVersionPrevailsAndOthersAreAcknowledged)
{
    EXPECT_EQ (ask (ReplaceConfiguration{ "5 a" }), ControlVerdict::kDone);
    EXPECT_EQ (ask (ReplaceConfiguration{ "5 other" }), ControlVerdict::kDone);
    EXPECT_EQ (ask (ReplaceConfiguration{ "4 older" }), ControlVerdict::kDone);
    EXPECT_EQ (ask (ReplaceConfiguration{ "6 bad" }), ControlVerdict::kInvalid);
    EXPECT_EQ (readBack(), "5 a");
    EXPECT_EQ (ask (ReplaceConfiguration{ "7 b" }), ControlVerdict::kDone);
    EXPECT_EQ (readBack(), "7 b");
    m_cell.run (base::milliseconds (200));
    EXPECT_EQ (m_cell.router (0).configurationVersion, 7U);
}

TEST_F (ControlRequestsTest, ChangeIsAcknowledgedOnceNoRouterServesUnderEarlierVersion)
{
    ASSERT_EQ (ask (ReplaceConfiguration{ "5 a" }), ControlVerdict::kDone);
    m_cell.run (base::seconds (1));
    ASSERT_TRUE (m_cell.router (1).admits (m_cell.now()));
    m_cell.router (1).isCut = true;  // It receives nothing, and its lease continues.
    ASSERT_EQ (ask (ReplaceConfiguration{ "6 b" }), ControlVerdict::kDone);
    const test::TestRouter& router = m_cell.router (1);
    ASSERT_EQ (router.configurationVersion, 5U);
    EXPECT_FALSE (router.admits (m_cell.now()))
        << "the router serves under 5 after 6 was acknowledged";
}

TEST_F (ControlRequestsTest, RepeatedChangeIsAcknowledgedUnderSameCondition)
{
    ASSERT_EQ (ask (ReplaceConfiguration{ "5 a" }), ControlVerdict::kDone);
    m_cell.run (base::seconds (1));
    m_cell.router (1).isCut = true;
    const auto first = m_cell.sendControlRequest (m_cell.leader(), ReplaceConfiguration{ "6 b" },
                                                  base::milliseconds (500));
    ASSERT_FALSE (first) << "router 1 may still serve under 5";
    EXPECT_EQ (ask (ReplaceConfiguration{ "6 b" }), ControlVerdict::kDone);
    EXPECT_FALSE (m_cell.router (1).admits (m_cell.now()));
}

TEST_F (ControlRequestsTest, ChangeIsEncodedOnceForAllRouters)
{
    ASSERT_EQ (ask (ReplaceConfiguration{ "5 a" }), ControlVerdict::kDone);
    m_cell.run (base::seconds (1));
    m_cell.configurationMessages = 0;
    ASSERT_EQ (ask (ReplaceConfiguration{ "6 b" }), ControlVerdict::kDone);
    m_cell.run (base::milliseconds (100));
    ASSERT_EQ (m_cell.router (0).configurationVersion, 6U);
    ASSERT_EQ (m_cell.router (1).configurationVersion, 6U);
    EXPECT_EQ (m_cell.configurationMessages, 1U)
        << "comparing and encoding a configuration is expensive at the leader";
}

TEST_F (ControlRequestsTest, RouterWithoutStateGetsLastKnownStateWithoutLeader)
{
    ask (ReplaceConfiguration{ "5 a" });
    ask (heartbeatOf ("i-1", 1));
    m_cell.run (base::milliseconds (1500));
    for (const base::MemberId member : { 1U, 2U, 3U })
        m_cell.kill (member);
    for (const std::size_t router : { 0U, 1U })
    {
        m_cell.router (router).configurationVersion = 0;
        m_cell.router (router).instances.clear();
        m_cell.router (router).instanceTerm = 0;
        m_cell.router (router).instanceVersion = 0;
    }
    m_cell.router (0).acceptsLastKnownState = true;
    m_cell.restart (1);  // A single member cannot become leader.
    m_cell.reconnect (0, 1);
    m_cell.reconnect (1, 1);
    m_cell.run (base::milliseconds (50));
    EXPECT_EQ (m_cell.leader(), 0U);
    EXPECT_EQ (m_cell.router (0).configurationVersion, 5U);
    EXPECT_TRUE (m_cell.router (0).instances.contains ("i-1"));
    EXPECT_EQ (m_cell.router (1).configurationVersion, 0U) << "router 1 serves only with a lease";
}

TEST_F (ControlRequestsTest, RouterWithConfigurationGetsNoOlderOneFromFollower)
{
    ask (ReplaceConfiguration{ "5 a" });
    m_cell.run (base::milliseconds (200));
    m_cell.cut (follower(), true);
    ask (ReplaceConfiguration{ "6 b" });
    m_cell.run (base::milliseconds (200));
    ASSERT_EQ (m_cell.router (0).configurationVersion, 6U);
    m_cell.reconnect (0, follower());
    m_cell.run (base::milliseconds (200));
    EXPECT_EQ (m_cell.router (0).regressions, 0U);
}

TEST_F (ControlRequestsTest, FollowerNotifiesWaitingRoutersOfNewLeader)
{
    for (const base::MemberId member : { 1U, 2U, 3U })
        m_cell.kill (member);
    m_cell.restart (1);
    std::vector<std::string> leaders;
    ControllerCore& core = m_cell.core (1);
    core.setTime (m_cell.now(), 0);
    cell::RouterHello hello;
    hello.router = base::RouterId ("r");
    hello.cell = base::CellId ("c");
    core.onRouterMessage (77, hello);
    const auto collectReplies = [&]
    {
        for (const Effect& effect : core.takeEffects())
        {
            const auto* sent = std::get_if<SendToRouter> (&effect);
            if (sent == nullptr || sent->connection != 77)
                continue;
            if (const auto* reply = std::get_if<cell::NotLeaderReply> (&sent->message))
                leaders.push_back (reply->leaderAddress);
        }
    };
    collectReplies();
    EXPECT_EQ (leaders, std::vector<std::string>{ "" });
    leaders.clear();
    const consensus::AppendRequest heartbeat{ 0, 0, 0, 1, {} };
    core.onMemberMessage ({ 2, 1, 99, heartbeat });
    collectReplies();
    ASSERT_EQ (leaders.size(), 1U);
    EXPECT_FALSE (leaders[0].empty());
}

TEST_F (ControlRequestsTest, ManyLargeConfigurationsCauseSnapshot)
{
    // Compressed entries are small, but the time to parse them depends on the uncompressed size.
    const std::string padding (SnapshotSchedule::kLongLogBytes / 4, 'x');
    for (int version = 1; version <= 12; ++version)
        ask (ReplaceConfiguration{ std::to_string (version) + " " + padding });
    m_cell.run (base::seconds (1));
    for (const base::MemberId member : { 1U, 2U, 3U })
        EXPECT_GT (m_cell.snapshotIndex (member), 0U) << "member " << member;
}

TEST_F (ControlRequestsTest, ReadIsUnavailableWithoutConfiguration)
{
    EXPECT_EQ (ask (ReadConfiguration{}), ControlVerdict::kUnavailable);
}

TEST_F (ControlRequestsTest, DrainIsCommittedAndSentToRouters)
{
    EXPECT_EQ (ask (heartbeatOf ("i-1", 1)), ControlVerdict::kDone);
    m_cell.run (base::milliseconds (200));
    EXPECT_FALSE (m_cell.router (1).instances.at ("i-1").instance.isDraining);
    InstanceHeartbeat draining = heartbeatOf ("i-1", 2);
    draining.instance.isDraining = true;
    EXPECT_EQ (ask (draining), ControlVerdict::kDone);
    m_cell.run (base::milliseconds (50));
    EXPECT_TRUE (m_cell.router (0).instances.at ("i-1").instance.isDraining);
    EXPECT_TRUE (m_cell.router (1).instances.at ("i-1").instance.isDraining);
}

TEST_F (ControlRequestsTest, DrainIsAcknowledgedOnceNoRouterMaySendRequests)
{
    ask (ReplaceConfiguration{ "5 a" });
    ask (heartbeatOf ("i-1", 1));
    m_cell.run (base::seconds (1));
    m_cell.router (1).isCut = true;  // It receives nothing, and its lease continues.
    InstanceHeartbeat draining = heartbeatOf ("i-1", 2);
    draining.instance.isDraining = true;
    const auto first =
        m_cell.sendControlRequest (m_cell.leader(), draining, base::milliseconds (500));
    EXPECT_FALSE (first) << "router 1 may still send requests to the instance";
    draining.sequence = 3;
    EXPECT_EQ (ask (draining), ControlVerdict::kDone);
    EXPECT_FALSE (m_cell.router (1).instances.at ("i-1").instance.isDraining);
    EXPECT_FALSE (m_cell.router (1).admits (m_cell.now()));
}

TEST_F (ControlRequestsTest, RepeatedDrainJoinsThePendingOne)
{
    ask (ReplaceConfiguration{ "5 a" });
    ask (heartbeatOf ("i-1", 1));
    m_cell.run (base::seconds (3));
    m_cell.router (1).isCut = true;
    InstanceHeartbeat draining = heartbeatOf ("i-1", 2);
    draining.instance.isDraining = true;
    // A runner gives up each call after a second; the lease of the isolated router lasts two.
    std::optional<ControlAnswer> answer;
    int calls = 0;
    while (! answer && calls < 10)
    {
        ++calls;
        ++draining.sequence;
        answer = m_cell.sendControlRequest (m_cell.leader(), draining, base::milliseconds (900));
    }
    ASSERT_TRUE (answer);
    EXPECT_EQ (answer->verdict, ControlVerdict::kDone);
    EXPECT_LE (calls, 3);
    EXPECT_FALSE (m_cell.router (1).admits (m_cell.now()));
}

TEST_F (ControlRequestsTest, DeregistrationIsAcknowledgedOnceNoRouterMaySendRequests)
{
    ask (ReplaceConfiguration{ "5 a" });
    ask (heartbeatOf ("i-1", 1));
    m_cell.run (base::seconds (1));
    m_cell.router (1).isCut = true;
    EXPECT_EQ (ask (InstanceDeregistration{ "i-1" }), ControlVerdict::kDone);
    EXPECT_TRUE (m_cell.router (1).instances.contains ("i-1"));
    EXPECT_FALSE (m_cell.router (1).admits (m_cell.now()));
}

TEST_F (ControlRequestsTest, DrainIsAcknowledgedQuicklyWhenAllRoutersAreConnected)
{
    ask (ReplaceConfiguration{ "5 a" });
    ask (heartbeatOf ("i-1", 1));
    m_cell.run (base::seconds (3));
    InstanceHeartbeat draining = heartbeatOf ("i-1", 2);
    draining.instance.isDraining = true;
    const base::TimePoint requestedAt = m_cell.now();
    EXPECT_EQ (ask (draining), ControlVerdict::kDone);
    EXPECT_LT (m_cell.now() - requestedAt, base::milliseconds (100));
}

TEST_F (ControlRequestsTest, InstanceReplacesPredecessorAtItsAddress)
{
    InstanceHeartbeat earlier = heartbeatOf ("i-1", 9);
    ASSERT_TRUE (m_cell.sendControlRequest (m_cell.leader(), earlier));
    InstanceHeartbeat next = heartbeatOf ("i-2", 1);
    next.instance.address = earlier.instance.address;
    ASSERT_TRUE (m_cell.sendControlRequest (m_cell.leader(), next));
    m_cell.run (base::milliseconds (200));
    // A delayed heartbeat must not restore the earlier instance.
    earlier.sequence = 10;
    ASSERT_TRUE (m_cell.sendControlRequest (m_cell.leader(), earlier));
    m_cell.run (base::milliseconds (200));
    const auto& instances = m_cell.core (m_cell.leader()).state().instances();
    EXPECT_EQ (instances.find ("i-1"), nullptr);
    EXPECT_NE (instances.find ("i-2"), nullptr);
}

TEST_F (ControlRequestsTest, DrainSurvivesLeaderChangeAndLateHeartbeat)
{
    ask (heartbeatOf ("i-1", 1));
    InstanceHeartbeat draining = heartbeatOf ("i-1", 3);
    draining.instance.isDraining = true;
    EXPECT_EQ (ask (draining), ControlVerdict::kDone);
    m_cell.kill (m_cell.leader());
    ASSERT_TRUE (m_cell.awaitLeader());
    EXPECT_EQ (ask (heartbeatOf ("i-1", 2)), ControlVerdict::kDone);
    const cell::ServiceInstance* instance =
        m_cell.core (m_cell.leader()).state().instances().find ("i-1");
    ASSERT_NE (instance, nullptr);
    EXPECT_TRUE (instance->isDraining);
}

TEST_F (ControlRequestsTest, IsolatedLeaderAcknowledgesNothing)
{
    const base::MemberId leader = m_cell.leader();
    ask (heartbeatOf ("i-1", 1));
    m_cell.isolate (leader, true);
    InstanceHeartbeat draining = heartbeatOf ("i-1", 2);
    draining.instance.isDraining = true;
    const auto answer = m_cell.sendControlRequest (leader, draining, base::seconds (5));
    EXPECT_TRUE (! answer || answer->verdict != ControlVerdict::kDone);
    const auto read = m_cell.sendControlRequest (leader, ReadConfiguration{}, base::seconds (1));
    EXPECT_TRUE (! read || read->verdict != ControlVerdict::kDone);
}

TEST_F (ControlRequestsTest, NewLeaderHasModelsOfRunners)
{
    ask (ReplaceConfiguration{ "1 a" });
    ask (heartbeatOf ("i-1", 1));
    m_cell.kill (m_cell.leader());
    ASSERT_TRUE (m_cell.awaitLeader());
    const cell::ServiceInstance* instance =
        m_cell.core (m_cell.leader()).state().instances().find ("i-1");
    ASSERT_NE (instance, nullptr);
    ASSERT_EQ (instance->models.size(), 1U);
    EXPECT_EQ (instance->models[0].model, "m1");
}

TEST_F (ControlRequestsTest, LoadsModelThatRequestsWaitFor)
{
    ask (ReplaceConfiguration{ "1 a" });
    m_cell.engineReports["i-1"].models = { { "m1", 1, {} } };
    m_cell.run (base::seconds (4));
    ask (heartbeatOf ("i-1", 1));
    m_cell.run (base::milliseconds (200));
    demand ("m2");
    ASSERT_TRUE (
        m_cell.runUntil ([&] { return ! m_cell.engineOrders.empty(); }, base::seconds (2)));
    const engine::ServiceOrder& order = m_cell.engineOrders[0].order;
    EXPECT_TRUE (order.isLoad);
    EXPECT_EQ (order.model, "m2");
    EXPECT_EQ (order.instance, "i-1");
    EXPECT_EQ (order.expectedSequence, 0U);
}

TEST_F (ControlRequestsTest, OrdersOfTwoLeadersAreSeparatedByDelay)
{
    ask (ReplaceConfiguration{ "1 a" });
    m_cell.engineReports["i-1"].models = { { "m1", 1, {} } };
    m_cell.run (base::seconds (4));
    ask (heartbeatOf ("i-1", 1));
    m_cell.run (base::milliseconds (200));
    demand ("m2");
    ASSERT_TRUE (
        m_cell.runUntil ([&] { return ! m_cell.engineOrders.empty(); }, base::seconds (2)));
    m_cell.kill (m_cell.leader());
    ASSERT_TRUE (m_cell.awaitLeader());
    m_cell.engineReports["i-1"].models = { { "m1", 1, {} } };
    ask (heartbeatOf ("i-1", 2));
    std::uint64_t sequence = 3;
    base::TimePoint requestedAt = m_cell.now();
    ASSERT_TRUE (m_cell.runUntil (
        [&]
        {
            if (m_cell.now() - requestedAt >= base::milliseconds (500))
            {
                requestedAt = m_cell.now();
                const base::MemberId leader = m_cell.leader();
                m_cell.core (leader).onControl (0, heartbeatOf ("i-1", sequence++));
                demand ("m3");
            }
            return m_cell.engineOrders.back().from != m_cell.engineOrders.front().from;
        },
        base::seconds (10)));
    for (std::size_t index = 1; index < m_cell.engineOrders.size(); ++index)
    {
        const auto& before = m_cell.engineOrders[index - 1];
        const auto& after = m_cell.engineOrders[index];
        if (before.from == after.from)
            continue;
        EXPECT_GE (after.at - before.at, base::seconds (3));
        EXPECT_GT (after.order.fence, before.order.fence);
    }
}

TEST_F (ControlRequestsTest, NewLeaderOrdersEngineWithoutRecentOrderAtOnce)
{
    ask (ReplaceConfiguration{ "1 a" });
    m_cell.engineReports["i-1"].models = { { "m1", 1, {} } };
    m_cell.run (base::seconds (6));
    ask (heartbeatOf ("i-1", 1));
    const base::MemberId before = m_cell.leader();
    m_cell.kill (before);
    ASSERT_TRUE (m_cell.awaitLeader());
    const base::TimePoint leaderSince = m_cell.now();
    ask (heartbeatOf ("i-1", 2));
    ASSERT_TRUE (m_cell.runUntil (
        [&]
        {
            demand ("m2");
            return ! m_cell.engineOrders.empty();
        },
        base::seconds (2)));
    EXPECT_LT (m_cell.engineOrders[0].at - leaderSince, base::seconds (2));
    EXPECT_NE (m_cell.engineOrders[0].from, before);
}

InstanceHeartbeat incarnationOf (base::UnixMilliseconds startedAt, std::uint64_t sequence)
{
    InstanceHeartbeat heartbeat = heartbeatOf ("i-1", sequence);
    heartbeat.instance.startedAt = startedAt;
    return heartbeat;
}

TEST_F (ControlRequestsTest, RestartedRunnerUnderSameIdTakesRequests)
{
    ask (ReplaceConfiguration{ "5 a" });
    ask (incarnationOf (1000, 90));
    InstanceHeartbeat draining = incarnationOf (1000, 91);
    draining.instance.isDraining = true;
    EXPECT_EQ (ask (draining), ControlVerdict::kDone);
    EXPECT_EQ (ask (InstanceDeregistration{ "i-1", 1000 }), ControlVerdict::kDone);
    EXPECT_EQ (ask (incarnationOf (2000, 1)), ControlVerdict::kDone);
    m_cell.run (base::milliseconds (200));
    // Late messages of the earlier incarnation.
    ask (incarnationOf (1000, 92));
    ask (draining);
    ask (InstanceDeregistration{ "i-1", 1000 });
    m_cell.run (base::milliseconds (200));
    ASSERT_TRUE (m_cell.router (1).instances.contains ("i-1"));
    const cell::ServiceInstance& instance = m_cell.router (1).instances.at ("i-1").instance;
    EXPECT_EQ (instance.startedAt, 2000);
    EXPECT_FALSE (instance.isDraining);
}

TEST_F (ControlRequestsTest, DrainOfLaterIncarnationWaitsForItself)
{
    ask (ReplaceConfiguration{ "5 a" });
    for (const base::UnixMilliseconds startedAt : { 1000, 2000 })
    {
        ask (incarnationOf (startedAt, 1));
        m_cell.run (base::seconds (1));
        InstanceHeartbeat draining = incarnationOf (startedAt, 2);
        draining.instance.isDraining = true;
        EXPECT_EQ (ask (draining), ControlVerdict::kDone);
        const bool isShown = m_cell.router (1).instances.at ("i-1").instance.isDraining;
        EXPECT_TRUE (isShown || ! m_cell.router (1).admits (m_cell.now())) << startedAt;
        m_cell.run (base::seconds (1));
    }
}

TEST_F (ControlRequestsTest, RunnerOfUnknownServiceReplacesNoRunner)
{
    ask (ReplaceConfiguration{ "5 a" });
    ask (heartbeatOf ("i-1", 1));
    InstanceHeartbeat sameAddress = heartbeatOf ("i-9", 1);
    sameAddress.instance.service = "other";
    sameAddress.instance.address = heartbeatOf ("i-1", 1).instance.address;
    EXPECT_EQ (ask (sameAddress), ControlVerdict::kDone);
    InstanceHeartbeat sameId = heartbeatOf ("i-1", 2);
    sameId.instance.service = "other";
    EXPECT_EQ (ask (sameId), ControlVerdict::kDone);
    m_cell.run (base::milliseconds (200));
    EXPECT_EQ (m_cell.unusableMessages, 2U);
    EXPECT_FALSE (m_cell.router (1).instances.contains ("i-9"));
    ASSERT_TRUE (m_cell.router (1).instances.contains ("i-1"));
    EXPECT_FALSE (m_cell.router (1).instances.at ("i-1").isSilent);
}

}  // namespace
}  // namespace fernlift::controller
