#include <gtest/gtest.h>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (100) };
constexpr base::TimePoint kLate{ base::seconds (200) };
constexpr double kModelMemory = 40;

class EnginePlacementTest : public ::testing::Test
{
protected:
    EnginePlacementTest()
        : m_placement ({ "c1",
                         7,
                         [] (const std::string& id) { return id == "e-late" ? kLate : kStart; },
                         {},
                         1.0,
                         base::seconds (5) })
    {
        config::Service service;
        service.name = "llm";
        service.engine.emplace();
        service.engine->memoryMb = 100;  // Two models.
        service.engine->slots = 8;
        service.engine->adapterSlots = 2;
        service.engine->loadsPerSecond = 4;
        for (int number = 1; number <= 30; ++number)
        {
            config::EngineModel model;
            model.name = "m" + std::to_string (number);
            model.memoryMb = kModelMemory;
            model.loadTime = base::seconds (1);
            model.diskLoadTime = base::milliseconds (300);
            model.adapters = 4;
            service.engine->models.push_back (model);
        }
        m_placement.setServices (1, { service });
        m_service = std::move (service);
    }

    /// Registers an engine that has sent a heartbeat, and answers the poll for its report.
    void addEngine (const std::string& id, const std::vector<std::string>& models)
    {
        cell::RoutableInstance row;
        row.instance.id = id;
        row.instance.service = "llm";
        row.instance.address = id + ":80";
        m_rows[id] = row;
        m_placement.refresh (m_rows, m_now);
        sendHeartbeat (id, models);
        report (id, models, 0);
    }
    void sendHeartbeat (const std::string& id, const std::vector<std::string>& models,
                        const std::set<std::string>& onDisk = {})
    {
        EngineHeldModels heldModels;
        for (const std::string& model : models)
            heldModels.models.push_back ({ model, 1, {} });
        heldModels.onDisk = onDisk;
        m_placement.onHeartbeat (id, heldModels, m_now);
    }
    void report (const std::string& id, const std::vector<std::string>& models,
                 std::uint64_t sequence, bool isBusy = false)
    {
        engine::ServiceReport report;
        for (const std::string& model : models)
            report.models.push_back ({ model, 1, {} });
        report.sequence = sequence;
        report.isBusy = isBusy;
        m_placement.onReport (id, report, m_now);
    }
    void demand (const std::string& model, std::uint32_t waiting, std::uint32_t running = 0,
                 const std::string& adapter = "")
    {
        m_placement.onDemand (1, { { "llm", model, adapter, waiting, running, waiting } }, m_now);
    }
    /// Orders of a full round at the current time.
    std::vector<engine::ServiceOrder> orders()
    {
        std::vector<engine::ServiceOrder> found;
        for (const EngineCommand& command : m_placement.decide (m_now))
        {
            if (const auto* order = std::get_if<SendEngineOrder> (&command))
                found.push_back (order->order);
        }
        return found;
    }
    bool isPolled (const std::string& id)
    {
        for (const EngineCommand& command : m_placement.decide (m_now))
        {
            const auto* poll = std::get_if<PollEngine> (&command);
            if (poll != nullptr && poll->instance == id)
                return true;
        }
        return false;
    }
    void answer (const engine::ServiceOrder& order, engine::OrderOutcome outcome)
    {
        m_placement.onOrderAnswer (order, outcome, m_now);
    }
    void wait (base::Duration duration) { m_now += duration; }

    EnginePlacement m_placement;
    config::Service m_service;
    std::map<std::string, cell::RoutableInstance> m_rows;
    base::TimePoint m_now = kStart + base::seconds (10);
};

TEST_F (EnginePlacementTest, LimitsConcurrentPolls)
{
    constexpr std::size_t kEngines = 100;
    for (std::size_t i = 0; i < kEngines; ++i)
    {
        cell::RoutableInstance row;
        row.instance.id = "e-" + std::to_string (i);
        row.instance.service = "llm";
        m_rows[row.instance.id] = row;
    }
    m_placement.refresh (m_rows, m_now);
    std::set<std::string> polled;
    std::vector<std::string> last;
    for (std::size_t round = 0; round <= kEngines / kMaxPolls; ++round)
    {
        last.clear();
        for (const EngineCommand& command : m_placement.decide (m_now))
        {
            if (const auto* poll = std::get_if<PollEngine> (&command))
                last.push_back (poll->instance);
        }
        EXPECT_LE (last.size(), kMaxPolls);
        polled.insert (last.begin(), last.end());
        for (const std::string& id : last)
            report (id, {}, 0);
    }
    EXPECT_EQ (polled.size(), kEngines);
}

TEST_F (EnginePlacementTest, PollsTheNeededEngineFirst)
{
    constexpr int kEngines = 1000;
    for (int number = 0; number < kEngines; ++number)
    {
        const std::string id = "e" + std::to_string (1000 + number);
        cell::RoutableInstance row;
        row.instance.id = id;
        row.instance.service = "llm";
        m_rows[id] = row;
    }
    m_placement.refresh (m_rows, m_now);
    for (const auto& [id, row] : m_rows)
        sendHeartbeat (id, { id == "e1999" ? "m2" : "m1" });
    static_cast<void> (orders());  // Other engines are polled meanwhile.
    demand ("m2", 1, 0, "a1");
    EXPECT_TRUE (isPolled ("e1999"));
    report ("e1999", { "m2" }, 0);
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    EXPECT_EQ (sent[0].instance, "e1999");
    EXPECT_EQ (sent[0].adapter, "a1");
}

TEST_F (EnginePlacementTest, LimitsTheRateOfPollsWithoutNeed)
{
    constexpr int kEngines = 2000;
    constexpr int kSeconds = 20;
    constexpr std::size_t kMaxAtOnce = 256;
    constexpr std::size_t kPerSecond = 10;
    for (int number = 0; number < kEngines; ++number)
    {
        cell::RoutableInstance row;
        row.instance.id = "e" + std::to_string (number);
        row.instance.service = "llm";
        m_rows[row.instance.id] = row;
    }
    m_placement.refresh (m_rows, m_now);
    std::size_t polled = 0;
    for (int round = 0; round < kSeconds * 10; ++round)
    {
        for (const EngineCommand& command : m_placement.decide (m_now))
        {
            if (const auto* poll = std::get_if<PollEngine> (&command))
            {
                ++polled;
                report (poll->instance, {}, 0);
            }
        }
        wait (base::milliseconds (100));
    }
    EXPECT_LE (polled, kMaxAtOnce + kSeconds * kPerSecond);
    EXPECT_GE (polled, kMaxAtOnce);
}

TEST_F (EnginePlacementTest, KeepsHeartbeatsThatArriveBeforeTheEngineIsCommitted)
{
    sendHeartbeat ("e1", { "m1" }, { "m2" });
    cell::RoutableInstance row;
    row.instance.id = "e1";
    row.instance.service = "llm";
    m_rows["e1"] = row;
    m_placement.refresh (m_rows, m_now);
    const auto models = m_placement.routableModels ("e1", m_now);
    ASSERT_TRUE (models);
    ASSERT_EQ (models->size(), 1U);
    EXPECT_EQ (models->front().model, "m1");
}

TEST_F (EnginePlacementTest, NewLeaderUsesReplicatedModelsBeforeTheFirstHeartbeat)
{
    for (const char* id : { "e1", "e2" })
    {
        cell::RoutableInstance row;
        row.instance.id = id;
        row.instance.service = "llm";
        row.instance.isReported = true;
        row.instance.models = { { "m1", 1, {} } };
        m_rows[id] = row;
    }
    m_placement.refresh (m_rows, m_now);
    demand ("m1", 1, 0, "a1");
    EXPECT_TRUE (orders().empty());
    report ("e1", { "m1" }, 3);
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    EXPECT_EQ (sent[0].adapter, "a1");
    EXPECT_EQ (sent[0].expectedSequence, 3U);
}

TEST_F (EnginePlacementTest, LaterIncarnationStartsFromReplicatedModels)
{
    addEngine ("e1", { "m1" });
    // Other engines that do not answer use up the polls without need.
    for (int number = 0; number < 400; ++number)
    {
        cell::RoutableInstance other;
        other.instance.id = "a" + std::to_string (number);
        other.instance.service = "llm";
        m_rows[other.instance.id] = other;
    }
    cell::RoutableInstance& row = m_rows["e1"];
    row.instance.startedAt = 1;
    m_placement.refresh (m_rows, m_now);
    static_cast<void> (orders());
    // Its first heartbeat arrives before the cell has committed the new incarnation.
    sendHeartbeat ("e1", { "m2" });
    row.instance.startedAt = 2;
    row.instance.isReported = true;
    row.instance.models = { { "m2", 1, {} } };
    m_placement.refresh (m_rows, m_now);
    demand ("m2", 1, 0, "a1");
    EXPECT_TRUE (isPolled ("e1"));
    report ("e1", { "m2" }, 0);
    EXPECT_EQ (orders().size(), 1U);
}

TEST_F (EnginePlacementTest, SendsNoOrderBeforeOrdersFrom)
{
    m_now = kStart - base::milliseconds (1);
    addEngine ("e1", { "m1" });
    demand ("m2", 1);
    EXPECT_TRUE (orders().empty());
    m_now = kStart;
    EXPECT_EQ (orders().size(), 1U);
}

TEST_F (EnginePlacementTest, AppliesOrdersFromPerEngine)
{
    addEngine ("e-late", {});
    demand ("m2", 1);
    EXPECT_TRUE (orders().empty());
    addEngine ("e1", { "m1" });
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    EXPECT_EQ (sent[0].instance, "e1");
}

TEST_F (EnginePlacementTest, PollsAnEngineWithUnknownSequenceBeforeAnOrder)
{
    cell::RoutableInstance row;
    row.instance = { "e1", "llm", "e1:80", "z", 8, false, false, {} };
    m_rows["e1"] = row;
    m_placement.refresh (m_rows, m_now);
    sendHeartbeat ("e1", { "m1" });
    demand ("m2", 1);
    EXPECT_TRUE (isPolled ("e1"));
    EXPECT_TRUE (orders().empty());
    report ("e1", { "m1" }, 5);
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    EXPECT_EQ (sent[0].expectedSequence, 5U);
    EXPECT_EQ (sent[0].fence, 7U);
}

TEST_F (EnginePlacementTest, SendsOneOrderAtATimeAndNoneDuringAModelLoad)
{
    addEngine ("e1", { "m1" });
    demand ("m2", 1);
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    demand ("m1", 1, 0, "a1");
    EXPECT_TRUE (orders().empty());
    answer (sent[0], engine::OrderOutcome::kUnderWay);
    EXPECT_TRUE (orders().empty());
    sendHeartbeat ("e1", { "m1", "m2" });
    const auto next = orders();
    ASSERT_EQ (next.size(), 1U);
    EXPECT_EQ (next[0].adapter, "a1");
    EXPECT_EQ (next[0].expectedSequence, 1U);
}

TEST_F (EnginePlacementTest, NeverOvercommitsMemory)
{
    addEngine ("e1", { "m1", "m2" });
    wait (base::seconds (30));
    sendHeartbeat ("e1", { "m1", "m2" });
    demand ("m3", 1);
    EXPECT_TRUE (orders().empty());  // Routers receive the withdrawal first.
    const auto held = m_placement.routableModels ("e1", m_now);
    ASSERT_TRUE (held);
    EXPECT_EQ (held->size(), 1U);
    wait (kWithdrawalDelay);
    const auto unload = orders();
    ASSERT_EQ (unload.size(), 1U);
    EXPECT_FALSE (unload[0].isLoad);
    answer (unload[0], engine::OrderOutcome::kUnderWay);
    EXPECT_TRUE (orders().empty());  // Still held.
    sendHeartbeat ("e1", { unload[0].model == "m1" ? "m2" : "m1" });
    const auto load = orders();
    ASSERT_EQ (load.size(), 1U);
    EXPECT_TRUE (load[0].isLoad);
    EXPECT_EQ (load[0].model, "m3");
}

TEST_F (EnginePlacementTest, DoesNotEvictAModelWithWaitingRequests)
{
    addEngine ("e1", { "m1", "m2" });
    demand ("m1", 1);
    demand ("m2", 1);
    demand ("m3", 1);
    for (int round = 0; round < 10; ++round)
    {
        EXPECT_TRUE (orders().empty());
        wait (kWithdrawalDelay);
    }
}

TEST_F (EnginePlacementTest, EvictsAModelInUseOnlyWithoutAnIdleOne)
{
    addEngine ("e1", { "m1", "m2" });
    addEngine ("e2", { "m4", "m5" });
    for (const char* model : { "m1", "m2", "m4" })
        m_placement.onDemand (1, { { "llm", model, "", 0, 1, 1 } }, m_now);
    demand ("m5", 0);
    demand ("m3", 1);
    EXPECT_TRUE (orders().empty());
    wait (kWithdrawalDelay);
    const auto unload = orders();
    ASSERT_EQ (unload.size(), 1U);
    EXPECT_FALSE (unload[0].isLoad);
    EXPECT_EQ (unload[0].model, "m5");
}

TEST_F (EnginePlacementTest, UnansweredOrderBlocksOthersUntilAReport)
{
    addEngine ("e1", { "m1" });
    demand ("m2", 1);
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    answer (sent[0], engine::OrderOutcome::kUnknown);
    EXPECT_TRUE (orders().empty());
    wait (kMaxReportLag);
    EXPECT_TRUE (isPolled ("e1"));
    report ("e1", { "m1" }, 0);  // Not accepted so far.
    const auto again = orders();
    ASSERT_EQ (again.size(), 1U);
    EXPECT_EQ (again[0].expectedSequence,
               0U);  // If the first one arrives late, the sequence no longer matches.
}

TEST_F (EnginePlacementTest, WaitsForAnUnansweredOrderThatWasAccepted)
{
    addEngine ("e1", { "m1" });
    demand ("m2", 1);
    const auto sent = orders();
    answer (sent.at (0), engine::OrderOutcome::kUnknown);
    wait (kMaxReportLag);
    EXPECT_TRUE (isPolled ("e1"));
    report ("e1", { "m1" }, 1, true);
    EXPECT_TRUE (orders().empty());
    sendHeartbeat ("e1", { "m1", "m2" });
    EXPECT_TRUE (orders().empty());
}

TEST_F (EnginePlacementTest, LimitsTheRateOfLoadsFromTheStore)
{
    for (int number = 1; number <= 30; ++number)
        addEngine ("e" + std::to_string (number), {});
    for (int number = 1; number <= 30; ++number)
        demand ("m" + std::to_string (number), 1);
    std::size_t loads = 0;
    for (int round = 0; round < 50; ++round)
    {
        for (const auto& order : orders())
        {
            ++loads;
            answer (order, engine::OrderOutcome::kUnderWay);
            sendHeartbeat (order.instance,
                           { order.model });  // Complete at once: only the rate is limiting.
        }
        wait (base::milliseconds (90));
    }
    EXPECT_LE (loads, 20U);  // 4 per second in 4.5 s, without loads of an earlier leader.
    EXPECT_GE (loads, 15U);
}

TEST_F (EnginePlacementTest, StoreLimitsDoNotApplyToLoadsFromDisk)
{
    for (int number = 1; number <= 30; ++number)
    {
        const std::string id = "e" + std::to_string (number);
        addEngine (id, {});
        sendHeartbeat (id, {}, { "m" + std::to_string (number) });
    }
    EXPECT_EQ (orders().size(), 30U);  // Free memory is filled with models that no engine holds.
}

TEST_F (EnginePlacementTest, AddsAReplicaOfACongestedModel)
{
    addEngine ("e1", { "m1" });
    addEngine ("e2", { "m2" });
    // Five of eight slots exceed kMaxSlotShare.
    demand ("m1", 0, 5);
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    EXPECT_EQ (sent[0].instance, "e2");
    EXPECT_EQ (sent[0].model, "m1");
}

TEST_F (EnginePlacementTest, AddsNoReplicaForAFewShortPromptsInPrefill)
{
    addEngine ("e1", { "m1" });
    addEngine ("e2", { "m2" });
    m_placement.onDemand (1, { { "llm", "m1", "", 0, 4, 4, 3, 2'000 } }, m_now);
    EXPECT_TRUE (orders().empty());
}

TEST_F (EnginePlacementTest, CountsRequestsForOtherModelsOfTheEngineAsCongestion)
{
    addEngine ("e1", { "m1", "m2" });
    addEngine ("e2", { "m3" });
    // Three of eight slots each: only together do they exceed the limit.
    m_placement.onDemand (1, { { "llm", "m1", "", 0, 3, 3 }, { "llm", "m2", "", 0, 3, 3 } }, m_now);
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    EXPECT_EQ (sent[0].instance, "e2");
}

TEST_F (EnginePlacementTest, AddsNoReplicaOnACongestedEngine)
{
    addEngine ("e1", { "m1" });
    addEngine ("e2", { "m2" });
    m_placement.onDemand (1, { { "llm", "m1", "", 0, 6, 6 }, { "llm", "m2", "", 0, 6, 6 } }, m_now);
    EXPECT_TRUE (orders().empty());
}

TEST_F (EnginePlacementTest, AddsAReplicaOnAnEngineThatIsLessBusyThanTheHolders)
{
    addEngine ("e1", { "m1" });
    addEngine ("e2", { "m2" });
    m_placement.onDemand (1, { { "llm", "m1", "", 0, 12, 12 }, { "llm", "m2", "", 0, 4, 4 } },
                          m_now);
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    EXPECT_EQ (sent[0].instance, "e2");
    EXPECT_EQ (sent[0].model, "m1");
}

TEST_F (EnginePlacementTest, AddsASpareReplicaAtAHighRequestRate)
{
    addEngine ("e1", { "m1" });
    addEngine ("e2", { "m2" });
    m_placement.onDemand (1, { { "llm", "m1", "", 0, 1, 30 } }, m_now);
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    EXPECT_EQ (sent[0].instance, "e2");
    EXPECT_EQ (sent[0].model, "m1");
}

TEST_F (EnginePlacementTest, AddsAReplicaForHighPrefillLoad)
{
    addEngine ("e1", { "m1" });
    addEngine ("e2", { "m2" });
    // Prompts of four seconds that take an engine three seconds of prefill; no request waits.
    m_placement.onDemand (1, { { "llm", "m1", "", 0, 1, 12, 0, 114'000 } }, m_now);
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    EXPECT_EQ (sent[0].model, "m1");
}

TEST_F (EnginePlacementTest, ReplicasOfACongestedModelDoNotEvictRecentlyRequestedModels)
{
    addEngine ("e1", { "m1", "m4" });
    addEngine ("e2", { "m2", "m3" });
    for (const char* model : { "m2", "m3", "m4" })
        demand (model, 0);
    m_placement.onDemand (1, { { "llm", "m2", "", 0, 0, 1, 0 }, { "llm", "m3", "", 0, 0, 1, 0 } },
                          m_now);
    demand ("m1", 0, 5);
    wait (kWithdrawalDelay);
    EXPECT_TRUE (orders().empty());
}

TEST_F (EnginePlacementTest, WaitsForABusyEngineWithACopyInsteadOfTheStore)
{
    addEngine ("e1", { "m1", "m2" });
    addEngine ("e2", { "m4", "m5" });
    wait (base::seconds (30));
    sendHeartbeat ("e1", { "m1", "m2" }, { "m3" });
    sendHeartbeat ("e2", { "m4", "m5" });
    m_placement.onDemand (1, { { "llm", "m1", "a1", 1, 0, 1 } }, m_now);
    const auto adapter = orders();
    ASSERT_EQ (adapter.size(), 1U);
    EXPECT_EQ (adapter[0].instance, "e1");
    demand ("m3", 1);
    EXPECT_TRUE (orders().empty());
    wait (kWithdrawalDelay);
    EXPECT_TRUE (orders().empty()) << "e2 would have to load it from the store";
    answer (adapter[0], engine::OrderOutcome::kUnderWay);
    EXPECT_TRUE (orders().empty());
    wait (kWithdrawalDelay);
    const auto unload = orders();
    ASSERT_EQ (unload.size(), 1U);
    EXPECT_EQ (unload[0].instance, "e1");
    EXPECT_EQ (unload[0].model, "m2");
}

// Guards against starvation: models whose engines are busy use up all plans of each round, so
// that other models are not loaded although their engines are free.
TEST_F (EnginePlacementTest, ModelsWithoutAFreeEngineDoNotDelayOthers)
{
    // A loading engine has the copies of most models; an idle one has the copy of another model.
    std::set<std::string> copies;
    for (int number = 1; number <= 20; ++number)
        copies.insert ("m" + std::to_string (number));
    addEngine ("e-busy", {});
    sendHeartbeat ("e-busy", {}, copies);
    demand ("m1", 1);
    const auto first = orders();
    ASSERT_EQ (first.size(), 1);
    answer (first[0], engine::OrderOutcome::kUnderWay);
    addEngine ("e-idle", { "m29", "m30" });
    sendHeartbeat ("e-idle", { "m29", "m30" }, { "m21" });
    // The other models have waited longer, but less than kMaxWaitForCopy.
    for (int number = 2; number <= 20; ++number)
        demand ("m" + std::to_string (number), 2);
    wait (base::milliseconds (100));
    demand ("m21", 1);
    std::vector<engine::ServiceOrder> found;
    for (int round = 0; round < 5 && found.empty(); ++round)
    {
        found = orders();
        wait (base::milliseconds (20));
    }
    ASSERT_EQ (found.size(), 1);
    EXPECT_EQ (found[0].instance, "e-idle");
}

TEST_F (EnginePlacementTest, EvictsForAStoreLoadOnlyWhenAStoreSlotIsFree)
{
    for (int number = 1; number <= 12; ++number)
        addEngine ("e" + std::to_string (number), { "m" + std::to_string (number) });
    for (int number = 13; number <= 30; ++number)
        demand ("m" + std::to_string (number), 1);
    std::size_t loads = 0;
    for (int round = 0; round < 5; ++round)
    {
        for (const auto& order : orders())
        {
            answer (order, engine::OrderOutcome::kUnderWay);
            loads += order.isLoad ? 1 : 0;
        }
        wait (base::milliseconds (100));
    }
    EXPECT_EQ (loads, 3U);  // Initial limit of StoreConcurrency.
}

TEST_F (EnginePlacementTest, EvictsABusyModelForALongWaitingRequest)
{
    addEngine ("e1", { "m1", "m2" });
    const auto keepBusy = [&]
    {
        demand ("m1", 0, 1);
        m_placement.onDemand (2, { { "llm", "m2", "", 0, 1, 1 } }, m_now);
    };
    demand ("m3", 1);
    bool isEvicted = false;
    for (int round = 0; round < 40 && ! isEvicted; ++round)
    {
        keepBusy();
        for (const auto& order : orders())
            isEvicted = ! order.isLoad;
        wait (base::milliseconds (100));
    }
    EXPECT_TRUE (isEvicted);
}

TEST_F (EnginePlacementTest, PrefetchesAModelWithoutCopiesOnce)
{
    EnginePlacementOptions options;
    options.fence = 7;
    options.ordersFrom = [] (const std::string&) { return kStart; };
    options.fetchesAhead = true;
    m_placement = EnginePlacement (std::move (options));
    config::Service service = m_service;
    service.engine->models.resize (3);
    m_placement.setServices (2, { service });
    addEngine ("e1", { "m1" });
    addEngine ("e2", { "m2" });
    const auto sent = orders();
    ASSERT_EQ (sent.size(), 1U);
    EXPECT_EQ (sent[0].model, "m3");
    answer (sent[0], engine::OrderOutcome::kUnderWay);
    sendHeartbeat (sent[0].instance, { sent[0].instance == "e1" ? "m1" : "m2", "m3" });
    wait (base::seconds (30));
    sendHeartbeat ("e1", { "m1" });
    sendHeartbeat ("e2", { "m2" });
    EXPECT_TRUE (orders().empty());
}

TEST_F (EnginePlacementTest, PlacesAnAdapterOnAnyHolderOfItsModel)
{
    addEngine ("e1", { "m1" });
    addEngine ("e2", { "m1" });
    // The adapter slots of both engines are taken; all adapters of the first one are in use.
    std::vector<cell::EngineDemand> demands;
    for (const char* adapter : { "a1", "a2", "a3", "a4" })
    {
        demand ("m1", 1, 0, adapter);
        for (const auto& order : orders())
        {
            answer (order, engine::OrderOutcome::kUnderWay);
            const bool isInUse = order.instance == "e1";
            demands.push_back ({ "llm", "m1", adapter, 0, isInUse ? 1U : 0U, 1 });
        }
        m_placement.onDemand (1, demands, m_now);
        wait (base::seconds (1));
    }
    demand ("m1", 1, 0, "a5");
    const auto unload = orders();
    ASSERT_EQ (unload.size(), 1U);
    EXPECT_EQ (unload[0].instance, "e2");
    EXPECT_FALSE (unload[0].isLoad);
}

TEST_F (EnginePlacementTest, EvictsTheLeastRecentlyRequestedAdapter)
{
    addEngine ("e1", { "m1" });
    for (const char* adapter : { "a1", "a2" })
    {
        demand ("m1", 1, 0, adapter);
        for (const auto& order : orders())
            answer (order, engine::OrderOutcome::kUnderWay);
        m_placement.onDemand (1, { { "llm", "m1", adapter, 0, 0, 0 } }, m_now);
        wait (base::seconds (1));
    }
    demand ("m1", 1, 0, "a3");
    const auto unload = orders();
    ASSERT_EQ (unload.size(), 1U);
    EXPECT_FALSE (unload[0].isLoad);
    EXPECT_EQ (unload[0].adapter, "a1");
    answer (unload[0], engine::OrderOutcome::kAlreadyHolds);
    const auto load = orders();
    ASSERT_EQ (load.size(), 1U);
    EXPECT_EQ (load[0].adapter, "a3");
}

TEST_F (EnginePlacementTest, LoadsAModelOfARateLimitedEngineElsewhereOnceRequestsWait)
{
    addEngine ("e1", { "m1" });
    addEngine ("e2", {});
    m_placement.setRateLimited ({ "e1" });
    demand ("m1", 0, 1);
    EXPECT_TRUE (orders().empty()) << "no request waits at the rate-limited engine";
    demand ("m1", 1, 1);
    const auto found = orders();
    ASSERT_EQ (found.size(), 1U);
    EXPECT_EQ (found[0].instance, "e2");
    EXPECT_EQ (found[0].model, "m1");
    EXPECT_TRUE (orders().empty()) << "one more replica is enough";
}

TEST_F (EnginePlacementTest, LoadsNothingOnARateLimitedEngine)
{
    addEngine ("e1", {});
    m_placement.setRateLimited ({ "e1" });
    demand ("m1", 1);
    EXPECT_TRUE (orders().empty());
    m_placement.setRateLimited ({});
    EXPECT_EQ (orders().size(), 1U);
}

TEST_F (EnginePlacementTest, SendsNoOrdersToADrainingEngine)
{
    addEngine ("e1", { "m1" });
    m_rows["e1"].instance.isDraining = true;
    m_placement.refresh (m_rows, m_now);
    demand ("m2", 1);
    EXPECT_TRUE (orders().empty());
}

TEST_F (EnginePlacementTest, DiscardsTheStateOfAnEarlierIncarnation)
{
    addEngine ("e1", { "m1" });
    m_rows["e1"].instance.startedAt = 1000;
    m_placement.refresh (m_rows, m_now);
    demand ("m2", 1);
    const auto before = orders();
    ASSERT_EQ (before.size(), 1U);
    m_rows["e1"].instance.startedAt = 2000;
    m_placement.refresh (m_rows, m_now);
    EXPECT_FALSE (m_placement.routableModels ("e1", m_now));
    // Late answers and reports of the earlier incarnation are ignored.
    answer (before[0], engine::OrderOutcome::kUnderWay);
    engine::ServiceReport late;
    late.startedAt = 1000;
    late.sequence = 7;
    late.models = { { "m1", 1, {} } };
    m_placement.onReport ("e1", late, m_now);
    EXPECT_FALSE (m_placement.routableModels ("e1", m_now));
    wait (base::seconds (1));
    EXPECT_TRUE (isPolled ("e1"));
    engine::ServiceReport present;
    present.startedAt = 2000;
    m_placement.onReport ("e1", present, m_now);
    const auto after = orders();
    ASSERT_EQ (after.size(), 1U);
    EXPECT_EQ (after[0].startedAt, 2000);
    EXPECT_EQ (after[0].expectedSequence, 0U);
}

}  // namespace
}  // namespace fernlift::placement
