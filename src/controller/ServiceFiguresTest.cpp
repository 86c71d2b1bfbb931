// Processor time of a leader for each kind of input, at the size of a large deployment: 69 routers,
// 140 engines of a service with 288 models. Prints the figures; no time is asserted.

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <string>

#include "controller/ControllerCore.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;

constexpr int kRouters = 69;
constexpr int kEngines = 140;
constexpr int kModels = 288;
constexpr int kBusyModels = 60;

config::CatalogueOutcome parseLargeConfiguration (std::string_view /*text*/)
{
    config::CatalogueOutcome outcome;
    outcome.catalogue.emplace();
    outcome.catalogue->version = 1;
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
        model.name = "model" + std::to_string (number);
        model.memoryMb = 65'000;
        model.loadTime = base::seconds (2);
        service.engine->models.push_back (model);
    }
    outcome.catalogue->services.services.push_back (service);
    return outcome;
}

/// A controller that is its own quorum, with a disk that syncs at once.
class SingleLeader
{
public:
    SingleLeader()
    {
        consensus::RecoveredState recovered;
        recovered.initialMembers.members = { { 1, "a:1", "a:2", "z1", true } };
        ControllerOptions options;
        options.cell = base::CellId ("c");
        options.hasMachineList = false;
        options.catalogueParser = &parseLargeConfiguration;
        m_core.emplace (1, options, recovered, 1, m_now, 0);
        while (! m_core->holdsLease())
            advance (milliseconds (10));
    }

    void advance (base::Duration step)
    {
        m_now += step;
        m_core->setTime (m_now, 0);
        m_core->onTick();
        runEffects();
    }

    /// Calls `input`, runs its effects, and returns the elapsed time in microseconds.
    template <class Input>
    double measure (Input input)
    {
        const auto began = std::chrono::steady_clock::now();
        m_core->setTime (m_now, 0);
        input (*m_core);
        runEffects();
        return std::chrono::duration<double, std::micro> (std::chrono::steady_clock::now() - began)
            .count();
    }

private:
    void runEffects()
    {
        for (bool isBusy = true; isBusy;)
        {
            isBusy = false;
            for (const Effect& effect : m_core->takeEffects())
            {
                const auto* write = std::get_if<PersistEffect> (&effect);
                if (write == nullptr)
                    continue;
                isBusy = true;
                m_core->onPersisted (write->request.sequence);
            }
        }
    }

    base::TimePoint m_now{ base::seconds (1) };
    std::optional<ControllerCore> m_core;
};

InstanceHeartbeat heartbeatOf (int engine, std::uint64_t sequence)
{
    InstanceHeartbeat heartbeat;
    heartbeat.instance.id = "i-" + std::to_string (100000 + engine);
    heartbeat.instance.service = "llm";
    heartbeat.instance.address = "10.0.0.1:" + std::to_string (engine);
    heartbeat.instance.slots = 32;
    heartbeat.sequence = sequence;
    for (int offset = 0; offset < 2; ++offset)
    {
        const int model = (2 * engine + offset) % kModels;
        heartbeat.models.push_back ({ "model" + std::to_string (model), 1, {} });
    }
    return heartbeat;
}

cell::EngineDemandReport demandOf (int router)
{
    cell::EngineDemandReport report;
    for (int number = router % 4; number < kBusyModels; number += 4)
        report.demands.push_back ({ "llm", "model" + std::to_string (number), "", 0, 1, 1 });
    return report;
}

TEST (ServiceFigures, PrintsTheCostOfEachInputAtALargeSize)
{
    SingleLeader leader;
    leader.measure ([] (ControllerCore& core) { core.onControl (1, ReplaceConfiguration{ "1" }); });
    for (int router = 0; router < kRouters; ++router)
    {
        cell::RouterHello hello;
        hello.router = base::RouterId ("r" + std::to_string (router));
        hello.cell = base::CellId ("c");
        leader.measure (
            [&] (ControllerCore& core)
            { core.onRouterMessage (static_cast<RouterConnection> (router + 1), hello); });
    }
    double heartbeats = 0;
    double leases = 0;
    double demands = 0;
    double ticks = 0;
    constexpr int kSeconds = 5;
    constexpr int kSteps = kSeconds * 100;
    int heartbeatCount = 0;
    int routerCount = 0;
    for (int step = 0; step < kSteps; ++step)
    {
        ticks += leader.measure ([&] (ControllerCore&) { leader.advance (milliseconds (10)); });
        // Each engine sends a heartbeat every 1.2 s; each router requests a lease and reports its
        // demand every 0.6 s.
        for (int engine = step % 120; engine < kEngines; engine += 120, ++heartbeatCount)
        {
            heartbeats += leader.measure (
                [&] (ControllerCore& core)
                {
                    core.onControl (static_cast<ControlTicket> (1000 + heartbeatCount),
                                    heartbeatOf (engine, static_cast<std::uint64_t> (step + 1)));
                });
        }
        for (int router = step % 60; router < kRouters; router += 60, ++routerCount)
        {
            const auto connection = static_cast<RouterConnection> (router + 1);
            cell::LeaseRequest lease;
            lease.sequence = static_cast<std::uint64_t> (step + 1);
            leases += leader.measure ([&] (ControllerCore& core)
                                      { core.onRouterMessage (connection, lease); });
            demands += leader.measure ([&] (ControllerCore& core)
                                       { core.onRouterMessage (connection, demandOf (router)); });
        }
    }
    const double total = heartbeats + leases + demands + ticks;
    std::cout << "per input in us: heartbeat " << heartbeats / heartbeatCount << ", lease "
              << leases / routerCount << ", demand " << demands / routerCount << ", tick "
              << ticks / kSteps << "; in all " << total / kSeconds / 1000 << " ms a second\n";
    EXPECT_GT (total, 0);
}

}  // namespace
}  // namespace fernlift::controller
