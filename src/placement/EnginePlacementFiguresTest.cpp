// Measures the duration of a decision of EnginePlacement in a large deployment: 140 engines, 288
// models and 69 routers that report demand, for some models that no engine holds. Prints the
// durations without asserting them.

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <string>
#include <vector>

#include "placement/EnginePlacement.h"

namespace fernlift::placement
{
namespace
{

using base::milliseconds;

constexpr int kEngines = 140;
constexpr int kModels = 288;
constexpr int kBusyModels = 60;
constexpr int kMissingModels = 8;
constexpr int kRouters = 69;
constexpr int kAdapters = 8;

std::string modelName (int number) { return "model" + std::to_string (number); }
std::string engineName (int number) { return "i-" + std::to_string (100000 + number); }

config::Service largeService()
{
    config::Service service;
    service.name = "llm";
    service.engine.emplace();
    service.engine->slots = 32;
    service.engine->memoryMb = 200'000;
    service.engine->adapterSlots = 8;
    service.engine->loadsPerSecond = 29;
    for (int number = 0; number < kModels; ++number)
    {
        config::EngineModel model;
        model.name = modelName (number);
        model.memoryMb = 65'000;
        model.loadTime = base::seconds (2);
        model.adapters = number % 2 == 0 ? kAdapters : 0;
        model.adapterMemoryMb = 66;
        service.engine->models.push_back (model);
    }
    return service;
}

std::map<std::string, cell::RoutableInstance> largeTable()
{
    std::map<std::string, cell::RoutableInstance> rows;
    for (int number = 0; number < kEngines; ++number)
    {
        cell::RoutableInstance row;
        row.instance.id = engineName (number);
        row.instance.service = "llm";
        row.instance.address = "10.0.0.1:" + std::to_string (number);
        row.instance.slots = 32;
        rows[row.instance.id] = row;
    }
    return rows;
}

EngineHeldModels heldModelsOf (int engine)
{
    EngineHeldModels heldModels;
    for (int offset = 0; offset < 2; ++offset)
        heldModels.models.push_back ({ modelName ((2 * engine + offset) % (kModels - 20)), 1, {} });
    return heldModels;
}

void reportDemand (EnginePlacement& placement, base::TimePoint now)
{
    for (int router = 0; router < kRouters; ++router)
    {
        std::vector<cell::EngineDemand> demands;
        for (int number = router % 4; number < kBusyModels; number += 4)
            demands.push_back ({ "llm", modelName (number), "", 0, 1, 1 });
        for (int number = 0; number < kMissingModels; ++number)
            demands.push_back ({ "llm", modelName (kModels - 1 - number), "", 1, 0, 1 });
        placement.onDemand (static_cast<std::uint64_t> (router), demands, now);
    }
}

TEST (EnginePlacementFigures, PrintsTheDurationOfADecisionInALargeDeployment)
{
    EnginePlacementOptions options;
    options.ordersFrom = [] (const std::string&) { return base::TimePoint{}; };
    EnginePlacement placement (options);
    base::TimePoint now = base::TimePoint{} + base::seconds (100);
    placement.setServices (1, { largeService() });
    const auto rows = largeTable();
    placement.refresh (rows, now);
    for (int number = 0; number < kEngines; ++number)
        placement.onHeartbeat (engineName (number), heldModelsOf (number), now);

    constexpr int kRounds = 200;
    const auto began = std::chrono::steady_clock::now();
    std::size_t commands = 0;
    for (int round = 0; round < kRounds; ++round)
    {
        now += milliseconds (10);
        if (round % 50 == 0)
            reportDemand (placement, now);
        placement.refresh (rows, now);
        commands += placement.decide (now).size();
    }
    const std::chrono::duration<double, std::milli> spent =
        std::chrono::steady_clock::now() - began;
    std::cout << "decision over " << kEngines << " engines and " << kModels
              << " models: " << spent.count() / kRounds << " ms\n";
    EXPECT_GT (commands, 0U);
}

/// A burst of requests for rare models and adapters. Each engine may be sent an order and has
/// copies of eight other models; requests wait for thirty models and thirty adapters that no engine
/// holds.
TEST (EnginePlacementFigures, PrintsTheDurationOfADecisionInABurst)
{
    constexpr int kWaiting = 30;
    constexpr int kCopies = 8;
    EnginePlacementOptions options;
    options.ordersFrom = [] (const std::string&) { return base::TimePoint{}; };
    EnginePlacement placement (options);
    base::TimePoint now = base::TimePoint{} + base::seconds (100);
    placement.setServices (1, { largeService() });
    const auto rows = largeTable();
    placement.refresh (rows, now);
    const auto sendHeartbeat = [&] (int number)
    {
        EngineHeldModels heldModels = heldModelsOf (number);
        for (int copy = 0; copy < kCopies; ++copy)
            heldModels.onDisk.insert (modelName ((number + 37 * copy) % (kModels - 20)));
        placement.onHeartbeat (engineName (number), heldModels, now);
        engine::ServiceReport report;
        for (const cell::HeldModel& model : heldModels.models)
            report.models.push_back ({ model.model, 1, {} });
        placement.onReport (engineName (number), report, now);
    };
    std::vector<cell::EngineDemand> demands;
    for (int number = 0; number < kModels; ++number)
        demands.push_back ({ "llm", modelName (number), "", 0, 1, 1, 0 });
    for (int number = 0; number < kWaiting; ++number)
    {
        demands.push_back ({ "llm", modelName (kModels - 1 - number), "", 1, 0, 1, 0 });
        demands.push_back ({ "llm", modelName (2 * number), "a1", 1, 0, 1, 0 });
    }
    std::chrono::duration<double, std::milli> spent{};
    constexpr int kRounds = 50;
    std::size_t commands = 0;
    for (int round = 0; round < kRounds; ++round)
    {
        now += base::seconds (10);  // No order of the previous round is pending any more.
        placement.refresh ({}, now);
        placement.refresh (rows, now);
        for (int number = 0; number < kEngines; ++number)
            sendHeartbeat (number);
        placement.onDemand (1, demands, now);
        now += base::seconds (1);
        const auto began = std::chrono::steady_clock::now();
        commands += placement.decide (now).size();
        spent += std::chrono::steady_clock::now() - began;
    }
    std::cout << "decision in a burst over " << kEngines << " engines and " << kModels
              << " models: " << spent.count() / kRounds << " ms\n";
    EXPECT_GT (commands, 0U);
}

}  // namespace
}  // namespace fernlift::placement
