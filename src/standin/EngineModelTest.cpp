#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "standin/EngineModel.h"

namespace fernlift::standin
{
namespace
{

using base::milliseconds;
using engine::OrderKind;
using engine::ReplicaPhase;

constexpr base::TimePoint kStart{};

/// Engine model with a simulated weight store that answers each fetch after a fixed time.
class EngineHarness
{
public:
    explicit EngineHarness (const EngineOptions& options) : model (options, kStart), now (kStart) {}

    engine::OrderAnswer order (OrderKind kind, base::Fence fence, base::ReplicaId replica,
                               const std::string& name, Megabytes memory = 1000)
    {
        engine::Order order;
        order.kind = kind;
        order.fence = fence;
        order.incarnation = model.options().incarnation;
        order.replica = replica;
        order.model.value = name;
        order.version = "1";
        order.memory = memory;
        return send (order);
    }
    engine::OrderAnswer send (const engine::Order& order)
    {
        const auto answer = model.onOrder (order, now);
        collect();
        return answer;
    }
    RequestHandle submit (const EngineRequest& request)
    {
        const auto outcome = model.submit (request, now);
        EXPECT_TRUE (outcome.accepted) << outcome.refusal.message;
        return outcome.handle;
    }
    /// Advances time by `duration`, event by event.
    void run (base::Duration duration)
    {
        const base::TimePoint end = now + duration;
        while (true)
        {
            base::TimePoint next = model.nextEvent();
            if (! fetches.empty())
                next = std::min (next, fetches.begin()->first);
            if (next > end)
                break;
            now = std::max (now, next);
            while (! fetches.empty() && fetches.begin()->first <= now)
            {
                const FetchId fetch = fetches.begin()->second;
                fetches.erase (fetches.begin());
                model.onFetched (fetch, now);
            }
            model.advance (now);
            collect();
        }
        now = end;
        model.advance (now);
        collect();
    }
    void collect()
    {
        for (const auto& effect : model.takeEffects())
        {
            if (const auto* fetch = std::get_if<FetchWeights> (&effect))
            {
                fetches.emplace (now + fetchTime, fetch->fetch);
            }
            else if (const auto* chunk = std::get_if<TokenChunk> (&effect))
            {
                chunks[chunk->handle].push_back (*chunk);
            }
            else if (const auto* end = std::get_if<AnswerEnded> (&effect))
            {
                ++ended[end->handle];
            }
            else if (const auto* refusal = std::get_if<AnswerRefused> (&effect))
            {
                ++refused[refusal->handle];
            }
            else if (const auto* broken = std::get_if<AnswerBroken> (&effect))
            {
                ++brokenAnswers[broken->handle];
            }
            else if (std::holds_alternative<ExitProcess> (effect))
            {
                hasExited = true;
            }
        }
    }
    std::string text (RequestHandle handle) const
    {
        std::string text;
        const auto found = chunks.find (handle);
        if (found == chunks.end())
            return text;
        for (const auto& chunk : found->second)
            text += chunk.text;
        return text;
    }
    ReplicaPhase phaseOf (base::ReplicaId id) const
    {
        for (const auto& replica : model.currentReport().replicas)
        {
            if (replica.replica == id)
                return replica.phase;
        }
        ADD_FAILURE() << "no replica " << id;
        return ReplicaPhase::kFailed;
    }
    bool has (base::ReplicaId id) const
    {
        const auto replicas = model.currentReport().replicas;
        return std::any_of (replicas.begin(), replicas.end(),
                            [id] (const auto& replica) { return replica.replica == id; });
    }

    EngineModel model;
    base::TimePoint now;
    base::Duration fetchTime = milliseconds (2000);
    std::multimap<base::TimePoint, FetchId> fetches;
    std::map<RequestHandle, std::vector<TokenChunk>> chunks;
    std::map<RequestHandle, int> ended;
    std::map<RequestHandle, int> refused;
    std::map<RequestHandle, int> brokenAnswers;
    bool hasExited = false;
};

EngineOptions smallEngine()
{
    EngineOptions options;
    options.runner.value = "r1";
    options.incarnation = 71;
    options.totalMemory = 3000;
    options.slots = 2;
    return options;
}

EngineRequest request (const std::string& id, std::uint64_t tokens = 10, int priority = 5)
{
    EngineRequest request;
    request.id = id;
    request.target = "m";
    request.prompt = "prompt of " + id;
    request.maxTokens = tokens;
    request.priority = priority;
    request.isStreaming = true;
    return request;
}

/// Returns an engine that has loaded model "m" as replica 1.
EngineHarness servingEngine (const EngineOptions& options = smallEngine())
{
    EngineHarness engine (options);
    EXPECT_TRUE (engine.order (OrderKind::kLoadModel, 1, 1, "m").accepted);
    engine.run (base::seconds (20));
    EXPECT_EQ (engine.phaseOf (1), ReplicaPhase::kReady);
    return engine;
}

TEST (EngineModel, LoadsFromWeightStoreThenFromMemory)
{
    EngineHarness engine (smallEngine());
    EXPECT_TRUE (engine.order (OrderKind::kLoadModel, 1, 1, "m").accepted);
    ASSERT_EQ (engine.fetches.size(), 1U);
    engine.run (milliseconds (1999));
    EXPECT_EQ (engine.phaseOf (1), ReplicaPhase::kLoading);
    engine.run (milliseconds (2000));
    EXPECT_EQ (engine.phaseOf (1), ReplicaPhase::kReady);
    engine.order (OrderKind::kUnloadModel, 2, 1, "m");
    engine.run (milliseconds (1000));
    EXPECT_FALSE (engine.has (1));
    EXPECT_EQ (engine.model.currentReport().usedMemory, 0U);
    engine.order (OrderKind::kLoadModel, 3, 3, "m");
    EXPECT_TRUE (engine.fetches.empty());
    engine.run (milliseconds (500));
    EXPECT_EQ (engine.phaseOf (3), ReplicaPhase::kReady);
}

TEST (EngineModel, RefusesOtherIncarnationsAndLowerFences)
{
    EngineHarness engine (smallEngine());
    engine::Order order;
    order.kind = OrderKind::kLoadModel;
    order.fence = 5;
    order.incarnation = 70;
    order.replica = 5;
    order.model.value = "m";
    order.memory = 1000;
    EXPECT_EQ (engine.send (order).refusal, base::ErrorKind::kIncarnationMismatch);
    order.incarnation = 71;
    EXPECT_TRUE (engine.send (order).accepted);
    EXPECT_TRUE (engine.send (order).accepted) << "the same order again";
    EXPECT_EQ (engine.model.currentReport().usedMemory, 1000U);
    order.fence = 4;
    order.replica = 4;
    const auto stale = engine.send (order);
    EXPECT_FALSE (stale.accepted);
    EXPECT_EQ (stale.refusal, base::ErrorKind::kFenceStale);
    EXPECT_EQ (stale.highestFence, 5U);
    EXPECT_FALSE (engine.has (4));
}

TEST (EngineModel, RefusedLoadStaysRefusedWhenResent)
{
    EngineHarness engine (smallEngine());
    engine.order (OrderKind::kLoadModel, 1, 1, "a", 2500);
    EXPECT_EQ (engine.order (OrderKind::kLoadModel, 2, 2, "b", 501).refusal,
               base::ErrorKind::kInsufficientMemory);
    EXPECT_FALSE (engine.order (OrderKind::kLoadModel, 2, 2, "b", 501).accepted);
    engine.order (OrderKind::kUnloadModel, 3, 1, "a");
    engine.run (base::seconds (1));
    EXPECT_EQ (engine.order (OrderKind::kLoadModel, 2, 2, "b", 501).refusal,
               base::ErrorKind::kFenceStale);
    EXPECT_FALSE (engine.has (2));
}

TEST (EngineModel, UnloadingFinishesRunningRequestsAndRefusesWaitingOnes)
{
    EngineHarness engine = servingEngine();
    const auto first = engine.submit (request ("a", 100));
    const auto second = engine.submit (request ("b", 100));
    engine.run (milliseconds (100));
    const auto third = engine.submit (request ("c", 100));
    engine.order (OrderKind::kUnloadModel, 2, 1, "m");
    EXPECT_EQ (engine.phaseOf (1), ReplicaPhase::kUnloading);
    EXPECT_EQ (engine.model.currentReport().usedMemory, 1000U);
    EXPECT_FALSE (engine.model.submit (request ("d"), engine.now).accepted);
    engine.run (base::seconds (10));
    EXPECT_EQ (engine.ended[first], 1);
    EXPECT_EQ (engine.ended[second], 1);
    EXPECT_EQ (engine.refused[third], 1);
    EXPECT_EQ (engine.text (first), expectedAnswer ("m", "prompt of a", 100));
    EXPECT_FALSE (engine.has (1));
    for (const auto& entry : engine.model.ledger())
        EXPECT_NE (entry.requestId, "c");
}

TEST (EngineModel, AdapterLoadsAfterItsBaseAndUnloadsBeforeIt)
{
    EngineHarness engine (smallEngine());
    engine.order (OrderKind::kLoadModel, 1, 1, "m");
    engine::Order adapter;
    adapter.kind = OrderKind::kLoadAdapter;
    adapter.fence = 2;
    adapter.incarnation = 71;
    adapter.replica = 2;
    adapter.baseReplica = 1;
    adapter.model.value = "m";
    adapter.adapter.value = "x";
    adapter.memory = 100;
    EXPECT_TRUE (engine.send (adapter).accepted);
    engine.run (base::seconds (1));
    EXPECT_EQ (engine.phaseOf (2), ReplicaPhase::kLoading);
    engine.run (base::seconds (10));
    EXPECT_EQ (engine.phaseOf (2), ReplicaPhase::kReady);
    engine.order (OrderKind::kUnloadModel, 3, 1, "m");
    EXPECT_EQ (engine.phaseOf (2), ReplicaPhase::kUnloading);
    engine.run (base::seconds (1));
    EXPECT_FALSE (engine.has (1));
    EXPECT_FALSE (engine.has (2));
    adapter.fence = 4;
    adapter.replica = 4;
    EXPECT_TRUE (engine.send (adapter).accepted);
    engine.run (base::seconds (1));
    EXPECT_EQ (engine.phaseOf (4), ReplicaPhase::kFailed);
    EXPECT_EQ (engine.model.currentReport().usedMemory, 0U);
}

TEST (EngineModel, UrgentRequestsPreemptOthers)
{
    EngineHarness engine = servingEngine();
    const auto longOne = engine.submit (request ("long1", 200, 9));
    const auto longTwo = engine.submit (request ("long2", 200, 9));
    engine.run (base::seconds (1));
    const auto urgent = engine.submit (request ("urgent", 10, 0));
    engine.run (milliseconds (400));
    EXPECT_EQ (engine.ended[urgent], 1);
    EXPECT_EQ (engine.ended[longOne] + engine.ended[longTwo], 0);
    EXPECT_EQ (engine.model.currentReport().runningRequests, 2U);
    engine.run (base::seconds (10));
    EXPECT_EQ (engine.text (longOne), expectedAnswer ("m", "prompt of long1", 200));
    EXPECT_EQ (engine.text (longTwo), expectedAnswer ("m", "prompt of long2", 200));
}

TEST (EngineModel, CancelStopsTokenGeneration)
{
    EngineHarness engine = servingEngine();
    const auto handle = engine.submit (request ("a", 1000));
    engine.run (milliseconds (500));
    engine.model.cancelById ("a", engine.now);
    const auto before = engine.text (handle);
    EXPECT_FALSE (before.empty());
    engine.run (base::seconds (1));
    EXPECT_EQ (engine.text (handle), before);
    ASSERT_EQ (engine.model.ledger().size(), 1U);
    EXPECT_EQ (engine.model.ledger()[0].state, LedgerState::kCancelled);
}

TEST (EngineModel, ImportedCacheSkipsPrefill)
{
    EngineOptions options = smallEngine();
    options.prefillBlocksPerStep = 1;
    EngineHarness first = servingEngine (options);
    EngineHarness second = servingEngine (options);
    EngineRequest input = request ("a", 10);
    input.prompt = std::string (64UL * 50, 'x');
    first.submit (input);
    first.run (base::seconds (2));
    const std::string bytes = first.model.exportCache ("a");
    ASSERT_FALSE (bytes.empty());
    EXPECT_FALSE (second.model.importCache ("a", "garbage"));
    EXPECT_TRUE (second.model.importCache ("a", bytes));
    input.resumeFrom = 5;
    const auto handle = second.submit (input);
    second.run (milliseconds (200));
    EXPECT_EQ (second.ended[handle], 1) << "without the import the prompt alone takes 50 steps";
}

TEST (EngineModel, InjectsStreamFaults)
{
    EngineHarness engine = servingEngine();
    EngineFaults faults;
    faults.breakAfterTokens = 4;
    engine.model.setFaults (faults);
    const auto broken = engine.submit (request ("broken", 10));
    engine.run (base::seconds (1));
    EXPECT_EQ (engine.brokenAnswers[broken], 1);
    EXPECT_EQ (engine.text (broken), expectedAnswer ("m", "prompt of broken", 4));
    faults = {};
    faults.repeatsChunks = true;
    faults.reordersChunks = true;
    engine.model.setFaults (faults);
    const auto mixed = engine.submit (request ("mixed", 9));
    engine.run (base::seconds (1));
    EXPECT_EQ (engine.ended[mixed], 1);
    std::map<std::uint64_t, std::string> byOffset;
    for (const auto& chunk : engine.chunks[mixed])
        byOffset[chunk.offset] = chunk.text;
    std::string text;
    for (const auto& [offset, part] : byOffset)
        text += part;
    EXPECT_EQ (text, expectedAnswer ("m", "prompt of mixed", 9));
    EXPECT_GT (engine.chunks[mixed].size(), 9U);
    EXPECT_GT (engine.chunks[mixed][0].offset, engine.chunks[mixed][2].offset);
    faults = {};
    faults.isSilent = true;
    engine.model.setFaults (faults);
    const auto silent = engine.submit (request ("silent"));
    engine.run (base::seconds (30));
    EXPECT_EQ (engine.ended[silent], 0);
    EXPECT_TRUE (engine.chunks[silent].empty());
}

TEST (EngineModel, InjectsLoadFaults)
{
    EngineHarness engine (smallEngine());
    EngineFaults faults;
    faults.loadsToFail = 1;
    engine.model.setFaults (faults);
    engine.order (OrderKind::kLoadModel, 1, 1, "m");
    engine.run (base::seconds (10));
    EXPECT_EQ (engine.phaseOf (1), ReplicaPhase::kFailed);
    EXPECT_EQ (engine.model.currentReport().usedMemory, 0U);
    engine.order (OrderKind::kUnloadModel, 2, 1, "m");
    engine.run (base::seconds (1));
    EXPECT_FALSE (engine.has (1));
    faults.diesDuringLoad = true;
    engine.model.setFaults (faults);
    engine.order (OrderKind::kLoadModel, 3, 3, "m");
    engine.run (base::seconds (10));
    EXPECT_TRUE (engine.hasExited);
}

TEST (EngineModel, ReportsAreDelayedAndCanBeFrozen)
{
    EngineHarness engine (smallEngine());
    engine.run (milliseconds (50));
    engine.order (OrderKind::kLoadModel, 1, 1, "m");
    EXPECT_TRUE (engine.model.report().replicas.empty());
    engine.run (milliseconds (100));
    EXPECT_TRUE (engine.model.report().replicas.empty());
    engine.run (milliseconds (100));
    EXPECT_EQ (engine.model.report().replicas.size(), 1U);
    EngineFaults faults;
    faults.freezesReports = true;
    engine.model.setFaults (faults);
    engine.run (base::seconds (10));
    EXPECT_EQ (engine.model.report().replicas[0].phase, ReplicaPhase::kLoading);
}

TEST (EngineModel, LeavingEngineRefusesNewRequestsAndFinishesAcceptedOnes)
{
    EngineHarness engine = servingEngine();
    const auto handle = engine.submit (request ("a", 50));
    engine.run (milliseconds (100));
    engine.model.setLeaving (true);
    EXPECT_FALSE (engine.model.submit (request ("b"), engine.now).accepted);
    engine.run (base::seconds (5));
    EXPECT_EQ (engine.ended[handle], 1);
    EXPECT_TRUE (engine.model.report().isLeaving);
}

engine::Order randomOrder (base::Fence* fence, base::Incarnation incarnation)
{
    engine::Order order;
    order.kind =
        *rc::gen::element (OrderKind::kLoadModel, OrderKind::kLoadModel, OrderKind::kLoadAdapter,
                           OrderKind::kUnloadModel, OrderKind::kUnloadAdapter);
    const bool isOld = *rc::gen::inRange (0, 5) == 0;
    order.fence = isOld ? *rc::gen::inRange<base::Fence> (0, *fence + 1) : ++*fence;
    order.incarnation = *rc::gen::inRange (0, 10) == 0 ? incarnation + 1 : incarnation;
    const bool isLoad =
        order.kind == OrderKind::kLoadModel || order.kind == OrderKind::kLoadAdapter;
    order.replica = isLoad ? order.fence : *rc::gen::inRange<base::ReplicaId> (1, *fence + 2);
    order.baseReplica = *rc::gen::inRange<base::ReplicaId> (1, *fence + 2);
    order.model.value = *rc::gen::element<std::string> ("a", "b", "c");
    order.version = "1";
    if (order.kind == OrderKind::kLoadAdapter)
        order.adapter.value = "x";
    order.memory = *rc::gen::inRange<Megabytes> (0, 2000);
    return order;
}

RC_GTEST_PROP (EngineModel, MemoryNeverExceedsTheTotal, ())
{
    EngineHarness engine (smallEngine());
    base::Fence fence = 0;
    base::Fence highest = 0;
    const int steps = *rc::gen::inRange (1, 60);
    for (int step = 0; step < steps; ++step)
    {
        const auto order = randomOrder (&fence, 71);
        const auto answer = engine.send (order);
        if (order.incarnation != 71 || order.fence < highest)
            RC_ASSERT (! answer.accepted);
        RC_ASSERT (answer.highestFence >= highest);
        highest = answer.highestFence;
        engine.run (milliseconds (*rc::gen::inRange (0, 1500)));
        const auto report = engine.model.currentReport();
        RC_ASSERT (report.usedMemory <= 3000U);
        Megabytes sum = 0;
        for (const auto& replica : report.replicas)
            sum += replica.memory;
        RC_ASSERT (sum == report.usedMemory);
    }
}

RC_GTEST_PROP (EngineModel, ResumedAnswerEqualsRemainderOfFullAnswer, ())
{
    EngineHarness engine = servingEngine();
    const auto tokens = *rc::gen::inRange<std::uint64_t> (1, 60);
    const auto cut = *rc::gen::inRange<std::uint64_t> (0, tokens);
    EngineRequest input = request ("a", tokens);
    input.prompt = *rc::gen::container<std::string> (rc::gen::inRange<char> (32, 126));
    EngineFaults faults;
    if (cut > 0)
        faults.breakAfterTokens = cut;
    engine.model.setFaults (faults);
    const auto first = engine.submit (input);
    engine.run (base::seconds (5));
    engine.model.setFaults ({});
    input.resumeFrom = engine.chunks[first].size();
    const auto second = engine.submit (input);
    engine.run (base::seconds (5));
    RC_ASSERT (engine.ended[second] == 1);
    RC_ASSERT (engine.text (first) + engine.text (second)
               == expectedAnswer ("m", input.prompt, tokens));
}

RC_GTEST_PROP (EngineModel, EveryRequestEndsOnceAndMatchesLedger, ())
{
    EngineHarness engine = servingEngine();
    std::map<RequestHandle, EngineRequest> submitted;
    const int count = *rc::gen::inRange (1, 20);
    for (int index = 0; index < count; ++index)
    {
        auto input = request ("r" + std::to_string (index),
                              *rc::gen::inRange<std::uint64_t> (1, 40), *rc::gen::inRange (0, 10));
        submitted[engine.submit (input)] = input;
        engine.run (milliseconds (*rc::gen::inRange (0, 300)));
        RC_ASSERT (engine.model.currentReport().runningRequests <= 2U);
    }
    engine.run (base::seconds (60));
    RC_ASSERT (engine.model.ledger().size() == submitted.size());
    for (const auto& [handle, input] : submitted)
    {
        RC_ASSERT (engine.ended[handle] == 1);
        RC_ASSERT (engine.text (handle) == expectedAnswer ("m", input.prompt, input.maxTokens));
    }
    for (const auto& entry : engine.model.ledger())
    {
        RC_ASSERT (entry.state == LedgerState::kEnded);
    }
}

}  // namespace
}  // namespace fernlift::standin
