#include <gtest/gtest.h>

#include <vector>

#include "placement/EngineIndex.h"

namespace fernlift::placement
{
namespace
{

/// A usable engine of the service "llm".
EngineState engineOf (const std::string& id)
{
    EngineState engine;
    engine.id = id;
    engine.service = "llm";
    engine.isUsable = true;
    return engine;
}

std::vector<std::string> holdersOf (EngineIndex& index, const std::string& model)
{
    std::vector<std::string> ids;
    for (const EngineIndex::Holder& holder : index.locationsOf ("llm", model).holders)
        ids.push_back (holder.engine->id);
    return ids;
}

TEST (EngineIndexTest, SortsHoldersByFreeAdapterSlots)
{
    EngineState first = engineOf ("e1");
    first.models["m1"].adapters = { "a1", "a2" };
    EngineState second = engineOf ("e2");
    second.models["m1"].adapters = { "a1" };
    EngineIndex index;
    index.update (first);
    index.update (second);
    EXPECT_EQ (holdersOf (index, "m1"), (std::vector<std::string>{ "e2", "e1" }));
    first.models["m1"].adapters.clear();
    index.update (first);
    EXPECT_EQ (holdersOf (index, "m1"), (std::vector<std::string>{ "e1", "e2" }));
}

TEST (EngineIndexTest, HasAnAdapterThatAHolderHasOrIsLoading)
{
    EngineState engine = engineOf ("e1");
    engine.models["m1"];
    EngineIndex index;
    index.update (engine);
    EXPECT_FALSE (index.hasAdapter ("llm", "m1", "a1"));
    engine.unanswered.emplace().order.model = "m1";
    engine.unanswered->order.adapter = "a1";
    index.update (engine);
    EXPECT_TRUE (index.hasAdapter ("llm", "m1", "a1"));
    engine.unanswered.reset();
    engine.adaptersDue[adapterKey ("m1", "a1")] = {};
    index.update (engine);
    EXPECT_TRUE (index.hasAdapter ("llm", "m1", "a1"));
    engine.adaptersDue.clear();
    index.update (engine);
    EXPECT_FALSE (index.hasAdapter ("llm", "m1", "a1"));
}

TEST (EngineIndexTest, OmitsWithdrawnModelsAndUnusableEngines)
{
    EngineState engine = engineOf ("e1");
    engine.models["m1"].adapters = { "a1" };
    engine.models["m2"];
    EngineIndex index;
    index.update (engine);
    engine.withdrawn = { "m1" };
    index.update (engine);
    EXPECT_TRUE (holdersOf (index, "m1").empty());
    EXPECT_FALSE (index.hasAdapter ("llm", "m1", "a1"));
    EXPECT_EQ (holdersOf (index, "m2"), std::vector<std::string>{ "e1" });
    engine.isUsable = false;
    index.update (engine);
    EXPECT_TRUE (holdersOf (index, "m2").empty());
}

TEST (EngineIndexTest, CountsACopyInMemoryAndOnDiskOnce)
{
    EngineState engine = engineOf ("e1");
    engine.inMemory = { "m1" };
    engine.onDisk = { "m1", "m2" };
    EngineIndex index;
    index.update (engine);
    EXPECT_EQ (index.locationsOf ("llm", "m1").copies.size(), 1U);
    EXPECT_EQ (index.locationsOf ("llm", "m2").copies.size(), 1U);
    index.remove (engine);
    EXPECT_TRUE (index.locationsOf ("llm", "m1").copies.empty());
}

}  // namespace
}  // namespace fernlift::placement
