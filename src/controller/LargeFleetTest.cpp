/**
 * Latencies that callers of a large fleet experience: from a request that waits for an adapter to
 * the order for it, and from the order until all routers have the update. The tests run cells of
 * three controllers with 1,000 and 20,000 engines in memory; both sizes have the same bounds.
 */

#include <gtest/gtest.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

#include "controller/ControllerCore.h"
#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;
using base::seconds;
using test::TestCell;

constexpr std::size_t kRouters = 4;
constexpr std::size_t kEnginesInMessage = 1000;
/// Bound of the time from a request that waits for an adapter to the order for it.
constexpr base::Duration kMaxOrderLatency = milliseconds (50);
/// Bound of the time until all routers have a change of an engine.
constexpr base::Duration kMaxRouterUpdateLatency = milliseconds (300);
/// Bound of the time until a new leader sends orders to engines.
constexpr base::Duration kMaxOrderLatencyOfNewLeader = milliseconds (500);

config::CatalogueOutcome parseCatalogueOfAdapters (std::string_view text)
{
    config::CatalogueOutcome outcome;
    outcome.catalogue.emplace();
    outcome.catalogue->version = std::stoull (std::string (text));
    config::Service service;
    service.name = "llm";
    service.engine.emplace();
    service.engine->slots = 64;
    service.engine->memoryMb = 140;
    service.engine->adapterSlots = 8;
    service.engine->loadsPerSecond = 100;
    for (const char* name : { "base", "common", "rare" })
    {
        config::EngineModel model;
        model.name = name;
        model.memoryMb = 40;
        model.loadTime = seconds (6);
        model.adapters = 20;
        service.engine->models.push_back (model);
    }
    outcome.catalogue->services.services.push_back (service);
    return outcome;
}

TestCell::Options optionsOf()
{
    TestCell::Options options = test::forwardingOptions (kRouters);
    options.controller.catalogueParser = &parseCatalogueOfAdapters;
    options.controller.newLeaderOrderDelay = base::Duration::zero();
    options.controller.instanceSilence = seconds (1000);
    return options;
}

/// Number of engines that placement adds between two observations.
struct Growth
{
    std::size_t known = 0;
    std::size_t largest = 0;

    void update (std::size_t present)
    {
        largest = std::max (largest, present - std::min (known, present));
        known = present;
    }
};

/// Bound of the engines added in one step of the cell, which is a few milliseconds. The leader's
/// event loop is free between steps.
constexpr std::size_t kMaxEnginesInStep = 2000;

/// The parameter is the number of engines. All hold the models "common" and "base"; the last one
/// also holds "rare".
class LargeFleetTest : public ::testing::TestWithParam<std::size_t>
{
protected:
    LargeFleetTest() : LargeFleetTest (true) {}
    explicit LargeFleetTest (bool isConfigured) : m_cell (optionsOf())
    {
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.router (number).acceptsLastKnownState = true;
        EXPECT_TRUE (m_cell.awaitLeader());
        const base::MemberId leader = m_cell.leader();
        // The routers are spread over the controllers; the first one connects to the leader.
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.reconnect (number, (leader - 1 + number) % 3 + 1);
        if (isConfigured)
            configure();
        m_cell.run (milliseconds (100));
        registerEngines();
    }

    void configure()
    {
        const auto answer =
            m_cell.sendControlRequest (m_cell.leader(), ReplaceConfiguration{ "1 " }, seconds (4));
        EXPECT_TRUE (answer && answer->verdict == ControlVerdict::kDone);
    }

    static std::string engineName (std::size_t number)
    {
        return "i-" + std::to_string (100'000 + number);
    }
    [[nodiscard]] std::string lastEngine() const { return engineName (GetParam() - 1); }

    void registerEngines()
    {
        cell::RelayedHeartbeats message;
        for (std::size_t number = 0; number < GetParam(); ++number)
        {
            message.relayedHeartbeats.push_back (relayedHeartbeatOf (number));
            const bool isFull = message.relayedHeartbeats.size() == kEnginesInMessage;
            if (! isFull && number + 1 < GetParam())
                continue;
            m_cell.sendFromRouter (0, std::exchange (message, {}));
        }
        EXPECT_TRUE (
            m_cell.runUntil ([this] { return allRoutersHave (lastEngine()); }, seconds (30)));
    }
    [[nodiscard]] cell::RelayedHeartbeat relayedHeartbeatOf (std::size_t number) const
    {
        cell::RelayedHeartbeat relayed;
        relayed.instance = engineName (number);
        relayed.sequence = 1;
        relayed.hasHeldModels = true;
        relayed.models = { { "common", 1, {} }, { "base", 1, {} } };
        if (number + 1 == GetParam())
            relayed.models.push_back ({ "rare", 1, {} });
        cell::ServiceInstance instance;
        instance.id = relayed.instance;
        instance.service = "llm";
        instance.address = "10.0.0.1:" + std::to_string (number);
        instance.slots = 64;
        instance.models = relayed.models;
        instance.isReported = true;
        relayed.first = { instance };
        return relayed;
    }
    /// Relays the engines' heartbeats to a new leader, as all controllers do.
    void repeatHeartbeats()
    {
        cell::RelayedHeartbeats message;
        for (std::size_t number = 0; number + 1 < GetParam(); ++number)
        {
            message.relayedHeartbeats.push_back (relayedHeartbeatOf (number));
            message.relayedHeartbeats.back().sequence = 2;
            message.relayedHeartbeats.back().first.clear();
        }
        m_cell.sendFromRouter (0, message);
    }
    /// Sets the report that the engine returns when it is polled.
    void setReport (const std::string& id, std::vector<engine::ReportedModel> models)
    {
        engine::ServiceReport report;
        report.models = std::move (models);
        m_cell.engineReports[id] = std::move (report);
    }
    [[nodiscard]] bool allRoutersHave (const std::string& instance)
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            if (! m_cell.router (number).instances.contains (instance))
                return false;
        }
        return true;
    }
    [[nodiscard]] bool allRoutersHaveAdapter (const std::string& instance,
                                              const std::string& adapter)
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            const auto& rows = m_cell.router (number).instances;
            const auto row = rows.find (instance);
            if (row == rows.end() || ! holdsAdapter (row->second, adapter))
                return false;
        }
        return true;
    }
    static bool holdsAdapter (const cell::RoutableInstance& row, const std::string& adapter)
    {
        return std::ranges::any_of (
            row.instance.models, [&] (const cell::HeldModel& model)
            { return std::ranges::find (model.adapters, adapter) != model.adapters.end(); });
    }
    void reportWaiting (const std::string& model, const std::string& adapter)
    {
        cell::EngineDemandReport report;
        report.demands.push_back ({ "llm", model, adapter, 1, 0, 1 });
        m_cell.sendFromRouter (0, report);
    }
    /// Number of engines that placement has at a controller.
    [[nodiscard]] std::size_t enginesAt (base::MemberId member)
    {
        const std::string text = m_cell.core (member).metricsText();
        const std::string name = "\nfernlift_controller_engines ";
        return std::stoul (text.substr (text.find (name) + name.size()));
    }
    /// Time from a request that waits for an adapter of "rare" to the order for it.
    base::Duration timeToOrder (const std::string& adapter)
    {
        const std::size_t orders = m_cell.engineOrders.size();
        const base::TimePoint before = m_cell.now();
        reportWaiting ("rare", adapter);
        EXPECT_TRUE (
            m_cell.runUntil ([&] { return m_cell.engineOrders.size() > orders; }, seconds (30)));
        return m_cell.now() - before;
    }

    TestCell m_cell;
};

TEST_P (LargeFleetTest, OrdersAnAdapterSoonAfterARequestWaitsForIt)
{
    setReport (lastEngine(), { { "rare", 1, {} }, { "common", 1, {} }, { "base", 1, {} } });
    timeToOrder ("a1");  // From then on the leader has polled the engine.
    for (const char* adapter : { "a2", "a3", "a4" })
    {
        m_cell.run (milliseconds (130));
        EXPECT_LE (timeToOrder (adapter), kMaxOrderLatency) << adapter;
    }
}

TEST_P (LargeFleetTest, ANewLeaderPollsTheNeededEngineFirst)
{
    setReport (lastEngine(), { { "rare", 1, {} }, { "common", 1, {} }, { "base", 1, {} } });
    EXPECT_LE (timeToOrder ("a1"), kMaxOrderLatencyOfNewLeader);
}

TEST_P (LargeFleetTest, AllRoutersReceiveALoadedAdapterSoon)
{
    setReport (lastEngine(), { { "rare", 1, {} }, { "common", 1, {} }, { "base", 1, {} } });
    for (const char* adapter : { "a1", "a2", "a3" })
    {
        timeToOrder (adapter);
        const base::TimePoint before = m_cell.now();
        EXPECT_TRUE (m_cell.runUntil ([&] { return allRoutersHaveAdapter (lastEngine(), adapter); },
                                      seconds (30)));
        EXPECT_LE (m_cell.now() - before, kMaxRouterUpdateLatency) << adapter;
    }
}

TEST_P (LargeFleetTest, StatusShowsTheEnginesOfPlacement)
{
    EXPECT_TRUE (
        m_cell.runUntil ([&] { return enginesAt (m_cell.leader()) == GetParam(); }, seconds (1)));
    const auto answer = m_cell.ask (m_cell.leader(), AdminStatus{});
    ASSERT_TRUE (answer);
    const QJsonObject status =
        QJsonDocument::fromJson (QByteArray::fromStdString (answer->json)).object();
    const auto engines = static_cast<qint64> (GetParam());
    EXPECT_EQ (status[u"engine_placement"].toObject()[u"engines"].toInteger(), engines);
    EXPECT_EQ (status[u"instance_table"].toObject()[u"instances"].toInteger(), engines);
}

TEST_P (LargeFleetTest, SendsEachRegisteredEngineOnce)
{
    m_cell.run (seconds (2));
    const std::size_t receivers =
        kRouters + 2;  // The two controllers that do not lead receive rows too.
    EXPECT_LT (m_cell.instanceRowsSent, receivers * GetParam() * 11 / 10);
}

TEST_P (LargeFleetTest, ANewLeaderSendsChangesInsteadOfTheWholeTable)
{
    setReport (lastEngine(), { { "rare", 1, {} }, { "common", 1, {} }, { "base", 1, {} } });
    timeToOrder ("a1");
    m_cell.run (seconds (1));
    const std::uint64_t rows = m_cell.instanceRowsSent;
    const base::MemberId earlier = m_cell.leader();
    m_cell.kill (earlier);
    ASSERT_TRUE (m_cell.runUntil (
        [&] { return m_cell.leader() != 0 && m_cell.leader() != earlier; }, seconds (10)));
    m_cell.reconnect (0, m_cell.leader());
    repeatHeartbeats();
    m_cell.run (seconds (4));  // The new leader may send orders to every engine by then.
    timeToOrder ("a2");
    EXPECT_TRUE (
        m_cell.runUntil ([&] { return allRoutersHaveAdapter (lastEngine(), "a2"); }, seconds (30)));
    // A whole table has a row for each engine.
    EXPECT_LT (m_cell.instanceRowsSent - rows, GetParam() / 10);
}

TEST_P (LargeFleetTest, ANewLeaderAddsEnginesInBatches)
{
    const base::MemberId earlier = m_cell.leader();
    m_cell.kill (earlier);
    Growth growth;
    const auto hasAll = [&]
    {
        const base::MemberId leader = m_cell.leader();
        if (leader == 0 || leader == earlier)
            return false;
        growth.update (enginesAt (leader));
        return growth.known == GetParam();
    };
    EXPECT_TRUE (m_cell.runUntil (hasAll, seconds (5)));
    EXPECT_LE (growth.largest, kMaxEnginesInStep);
}

INSTANTIATE_TEST_SUITE_P (Engines, LargeFleetTest, ::testing::Values (1000, 20'000));

/// All engines have registered before the cell has a configuration.
class LargeFleetBeforeConfigurationTest : public LargeFleetTest
{
protected:
    LargeFleetBeforeConfigurationTest() : LargeFleetTest (false) {}
};

// Guards against an election during the first configuration: a leader that adds all engines in one
// step is busy for longer than the election timeout of the other controllers.
TEST_P (LargeFleetBeforeConfigurationTest, AddsEnginesInBatches)
{
    Growth growth;
    m_cell.onStep = [&] { growth.update (enginesAt (m_cell.leader())); };
    configure();
    EXPECT_TRUE (m_cell.runUntil ([&] { return growth.known == GetParam(); }, seconds (5)));
    EXPECT_LE (growth.largest, kMaxEnginesInStep);
}

INSTANTIATE_TEST_SUITE_P (Engines, LargeFleetBeforeConfigurationTest,
                          ::testing::Values (1000, 20'000));

}  // namespace
}  // namespace fernlift::controller
