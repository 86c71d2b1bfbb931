#include "sim/Platform.h"

#include <utility>

#include "sim/EngineNode.h"

namespace fernlift::sim
{
namespace
{

constexpr base::Duration kUsualLag = base::seconds (1);

standin::WeightStoreOptions weightStoreOptions()
{
    standin::WeightStoreOptions options;
    options.loadsPerSecond = 6;
    options.fullSpeedTransfers = 6;
    options.megabytesPerSecond = 40'000;
    return options;
}

}  // namespace

Platform::Platform (World& world, NodeId node, engine::MachineList machines)
    : Process (world.network, world.trace, node, "platform", 0),
      list_ (std::move (machines), kUsualLag),
      weights_ (weightStoreOptions(), world.now())
{
    begin();
}

void Platform::setLeaving (const base::RunnerId& runner)
{
    list_.setState (runner, engine::MachineState::kLeaving, queue().now());
}

void Platform::remove (const base::RunnerId& runner) { list_.remove (runner, queue().now()); }

void Platform::put (const engine::Machine& machine) { list_.put (machine, queue().now()); }

std::uint64_t Platform::beginTransfer (EngineNode& engine, standin::FetchId fetch,
                                       engine::Megabytes size)
{
    weights_.advance (queue().now());
    const std::uint64_t transfer = ++lastTransfer_;
    const auto refusal = weights_.begin (transfer, size);
    if (refusal)
    {
        queue().after (base::milliseconds (1),
                       [&engine, life = engine.life(), fetch, wait = *refusal] {
                           engine.postTo (life, [&engine, fetch, wait]
                                          { engine.onFetchRefused (fetch, wait); });
                       });
        return transfer;
    }
    transfers_[transfer] = { &engine, engine.life(), fetch };
    settle();
    return transfer;
}

void Platform::cancelTransfer (std::uint64_t transfer)
{
    if (transfers_.erase (transfer) == 0)
        return;
    weights_.advance (queue().now());
    weights_.cancel (transfer);
    settle();
}

void Platform::setWeightStoreFaults (const standin::WeightStoreFaults& faults)
{
    weights_.advance (queue().now());
    weights_.setFaults (faults);
    settle();
}

void Platform::settle()
{
    weights_.advance (queue().now());
    for (const std::uint64_t transfer : weights_.takeFinished())
    {
        const auto found = transfers_.find (transfer);
        if (found == transfers_.end())
            continue;
        const Transfer ended = found->second;
        transfers_.erase (found);
        queue().after (base::milliseconds (1),
                       [ended] {
                           ended.engine->postTo (
                               ended.life, [ended] { ended.engine->onFetched (ended.fetch); });
                       });
    }
    const auto next = weights_.nextEvent();
    if (! next)
        return;
    queue().at (std::max (*next, queue().now() + base::microseconds (1)),
                [this, number = ++wakeNumber_]
                {
                    if (number == wakeNumber_)
                        settle();
                });
}

}  // namespace fernlift::sim
