// Tests of the weight store, machine list, application and prefix cache models, of completion
// parsing and of fault commands.

#include <gtest/gtest.h>

#include "engine/PromptBlocks.h"
#include "standin/ApplicationModel.h"
#include "standin/CompletionFormat.h"
#include "standin/Faults.h"
#include "standin/MachineListModel.h"
#include "standin/PrefixCache.h"
#include "standin/WeightStoreModel.h"

namespace fernlift::standin
{
namespace
{

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint kStart{};

WeightStoreOptions twoAtOnce()
{
    WeightStoreOptions options;
    options.loadsPerSecond = 4;
    options.fullSpeedTransfers = 2;
    options.megabytesPerSecond = 1000;
    return options;
}

TEST (WeightStoreModel, SharesBandwidthAboveTransferLimit)
{
    WeightStoreModel store (twoAtOnce(), kStart);
    for (TransferId id = 1; id <= 4; ++id)
        EXPECT_FALSE (store.begin (id, 1000));
    EXPECT_EQ (store.nextEvent(), kStart + seconds (2));
    store.advance (kStart + milliseconds (1999));
    EXPECT_TRUE (store.takeFinished().empty());
    store.advance (kStart + seconds (2));
    EXPECT_EQ (store.takeFinished().size(), 4U);
}

TEST (WeightStoreModel, RefusesTransfersAboveRateLimit)
{
    WeightStoreModel store (twoAtOnce(), kStart);
    for (TransferId id = 1; id <= 4; ++id)
        EXPECT_FALSE (store.begin (id, 1));
    const auto wait = store.begin (5, 1);
    ASSERT_TRUE (wait);
    EXPECT_EQ (*wait, milliseconds (250));
    store.advance (kStart + *wait);
    EXPECT_FALSE (store.begin (5, 1));
    EXPECT_TRUE (store.begin (6, 1));
}

TEST (WeightStoreModel, AppliesSlowdownAndStallFaults)
{
    WeightStoreModel store (twoAtOnce(), kStart);
    store.begin (1, 1000);
    store.setFaults ({ true, 1.0 });
    EXPECT_FALSE (store.nextEvent());
    store.advance (kStart + seconds (100));
    EXPECT_TRUE (store.takeFinished().empty());
    store.setFaults ({ false, 4.0 });
    EXPECT_EQ (store.nextEvent(), kStart + seconds (104));
    store.advance (kStart + seconds (104));
    EXPECT_EQ (store.takeFinished(), std::vector<TransferId>{ 1 });
}

TEST (MachineListModel, ChangesBecomeVisibleAfterLag)
{
    engine::MachineList list;
    list.machines.resize (1);
    list.machines[0].runner.value = "r1";
    MachineListModel model (list, seconds (30));
    EXPECT_TRUE (model.setState (base::RunnerId ("r1"), engine::MachineState::kLeaving,
                                 kStart + seconds (1)));
    EXPECT_TRUE (model.remove (base::RunnerId ("r1"), kStart + seconds (5)));
    EXPECT_FALSE (model.remove (base::RunnerId ("r2"), kStart + seconds (5)));
    EXPECT_EQ (model.visible (kStart + seconds (30)).machines.at (0).state,
               engine::MachineState::kLive);
    EXPECT_EQ (model.visible (kStart + seconds (31)).machines.at (0).state,
               engine::MachineState::kLeaving);
    EXPECT_TRUE (model.visible (kStart + seconds (35)).machines.empty());
}

std::string problemOfMachine (const std::string& text)
{
    return base::handleErrors (
        [&]() -> base::Result<std::string>
        {
            auto machine = parseMachineFlag (text);
            if (! machine)
                return machine.error();
            return std::string();
        },
        [] (const base::Error& error) { return error.message; });
}

TEST (MachineListModel, ParsesMachineFlags)
{
    const auto machine = parseMachineFlag ("a1,application,z1,127.0.0.1:9001,0,0,portal+claims");
    ASSERT_TRUE (machine);
    EXPECT_EQ (machine->role, engine::MachineRole::kApplicationRunner);
    ASSERT_EQ (machine->applications.size(), 2U);
    EXPECT_EQ (machine->applications[1].value, "claims");
    EXPECT_EQ (problemOfMachine ("r1,model,z1,127.0.0.1:9001,80000,1"), "");
    EXPECT_NE (problemOfMachine ("r1,model,z1,127.0.0.1:9001,80000"), "");
    EXPECT_NE (problemOfMachine ("r1,engine,z1,127.0.0.1:9001,80000,1"), "");
    EXPECT_NE (problemOfMachine ("r1,model,z1,localhost:9001,80000,1"), "");
    EXPECT_NE (problemOfMachine ("r1,model,z1,127.0.0.1:9001,8x,1"), "");
}

TEST (ApplicationModel, RunsEachRequestOnceWithinItsSlots)
{
    ApplicationOptions options;
    options.slots = 1;
    options.serviceTime = milliseconds (10);
    ApplicationModel model (options);
    const auto first = model.submit ({ "q1", "k1", "/a" }, kStart);
    const auto second = model.submit ({ "q2", "k1", "/b" }, kStart);
    const auto third = model.submit ({ "q3", "", "/c" }, kStart);
    model.cancel (third.handle);
    model.advance (kStart + milliseconds (10));
    ASSERT_EQ (model.takeDone().size(), 1U);
    EXPECT_EQ (model.report().runningRequests, 1U);
    model.advance (kStart + milliseconds (100));
    const auto done = model.takeDone();
    ASSERT_EQ (done.size(), 1U);
    EXPECT_EQ (done[0].handle, second.handle);
    EXPECT_NE (first.handle, second.handle);
    EXPECT_EQ (model.ledger().size(), 2U) << "the cancelled one never ran";
    EXPECT_EQ (model.keyCounts().at ("k1"), 2U);
    model.setLeaving (true);
    EXPECT_FALSE (model.submit ({ "q4", "", "/d" }, kStart + seconds (1)).accepted);
}

TEST (ApplicationModel, ClosesWithoutAnswerAfterPerforming)
{
    ApplicationModel model (ApplicationOptions{});
    ApplicationFaults faults;
    faults.closesAfterBody = true;
    model.setFaults (faults);
    model.submit ({ "q1", "k1", "/a" }, kStart);
    model.advance (kStart + seconds (1));
    const auto done = model.takeDone();
    ASSERT_EQ (done.size(), 1U);
    EXPECT_TRUE (done[0].closesWithoutAnswer);
    EXPECT_EQ (model.keyCounts().at ("k1"), 1U);
}

TEST (PrefixCache, EvictsLeastRecentlyUsedAndDelaysEvents)
{
    PrefixCache cache (4, milliseconds (500));
    cache.store ("m", { 1, 2 }, kStart);
    cache.store ("m", { 3, 4 }, kStart);
    EXPECT_EQ (cache.match ("m", { 1, 2, 9 }), 2U);
    cache.store ("m", { 5 }, kStart + milliseconds (100));
    EXPECT_EQ (cache.size(), 4U);
    EXPECT_EQ (cache.match ("m", { 3 }), 0U) << "unused for longest";
    EXPECT_EQ (cache.match ("other", { 1 }), 0U);
    EXPECT_EQ (cache.eventsAfter (0, kStart + milliseconds (500)).size(), 4U);
    const auto events = cache.eventsAfter (4, kStart + milliseconds (600));
    ASSERT_EQ (events.size(), 2U);
    EXPECT_TRUE (events[0].isStored);
    EXPECT_FALSE (events[1].isStored);
    EXPECT_EQ (events[1].block, 3U);
}

TEST (PrefixCache, DropsEventsOnFault)
{
    PrefixCache cache (4, {});
    cache.store ("m", { 1 }, kStart);
    cache.dropEvents (2);
    cache.store ("m", { 2, 3, 4 }, kStart);
    const auto events = cache.eventsAfter (0, kStart);
    ASSERT_EQ (events.size(), 2U);
    EXPECT_EQ (events[1].sequence, 4U);
}

TEST (PrefixCache, ShrinksByBlocksReservedForRequests)
{
    PrefixCache cache (4, {});
    cache.store ("m", { 1, 2, 3, 4 }, kStart);
    cache.setReserved (3, kStart);
    EXPECT_EQ (cache.size(), 1U);
}

TEST (PromptBlocks, BlockHashDependsOnAllPrecedingText)
{
    const std::string block (engine::kPromptBlockBytes, 'x');
    const std::string other (engine::kPromptBlockBytes, 'y');
    const auto both = engine::promptBlockHashes (block + block + "rest");
    ASSERT_EQ (both.size(), 2U);
    EXPECT_EQ (engine::promptBlockHashes (block + other)[0], both[0]);
    EXPECT_NE (engine::promptBlockHashes (block + other)[1], both[1]);
    EXPECT_NE (engine::promptBlockHashes (other + block)[1], both[1]);
    EXPECT_EQ (engine::promptBlockHashes (block + block, 1).size(), 1U);
}

TEST (CompletionFormat, ReadsChatAndPlainRequests)
{
    const auto chat = parseCompletion (
        R"({"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}],
          "max_tokens":7,"stream":true,"temperature":0.1})",
        true);
    ASSERT_TRUE (chat);
    EXPECT_EQ (chat->prompt, "system: s\nuser: u\n");
    EXPECT_EQ (chat->maxTokens, 7U);
    EXPECT_TRUE (chat->isStreaming);
    const auto plain = parseCompletion (R"({"model":"m","prompt":"p"})", false);
    ASSERT_TRUE (plain);
    EXPECT_EQ (plain->prompt, "p");
    EXPECT_FALSE (plain->isStreaming);
    EXPECT_FALSE (parseCompletion (R"({"model":"m"})", true));
    EXPECT_FALSE (parseCompletion (R"({"model":"m","prompt":"p","max_tokens":"7"})", false));
}

TEST (Faults, RejectsUnknownFaultNames)
{
    EngineFaults engineFaults;
    ApplicationFaults applicationFaults;
    WeightStoreFaults storeFaults;
    const auto command = parseFaultCommand (R"({"fault":"break_streams","tokens":3})");
    ASSERT_TRUE (command);
    EXPECT_TRUE (applyFault (command.value(), engineFaults));
    EXPECT_EQ (engineFaults.breakAfterTokens, 3U);
    EXPECT_FALSE (applyFault (command.value(), applicationFaults));
    EXPECT_FALSE (applyFault (command.value(), storeFaults));
    EXPECT_FALSE (parseFaultCommand (R"({"fault":3})"));
}

}  // namespace
}  // namespace fernlift::standin
