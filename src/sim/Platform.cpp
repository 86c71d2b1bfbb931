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
      m_list (std::move (machines), kUsualLag),
      m_weights (weightStoreOptions(), world.now())
{
    begin();
}

void Platform::setLeaving (const base::RunnerId& runner)
{
    m_list.setState (runner, engine::MachineState::kLeaving, queue().now());
}

void Platform::remove (const base::RunnerId& runner) { m_list.remove (runner, queue().now()); }

void Platform::put (const engine::Machine& machine) { m_list.put (machine, queue().now()); }

std::uint64_t Platform::beginTransfer (EngineNode& engine, standin::FetchId fetch,
                                       engine::Megabytes size)
{
    m_weights.advance (queue().now());
    const std::uint64_t transfer = ++m_lastTransfer;
    const auto refusal = m_weights.begin (transfer, size);
    if (refusal)
    {
        queue().after (base::milliseconds (1),
                       [&engine, runNumber = engine.runNumber(), fetch, wait = *refusal] {
                           engine.postTo (runNumber, [&engine, fetch, wait]
                                          { engine.onFetchRefused (fetch, wait); });
                       });
        return transfer;
    }
    m_transfers[transfer] = { &engine, engine.runNumber(), fetch };
    advanceModel();
    return transfer;
}

void Platform::cancelTransfer (std::uint64_t transfer)
{
    if (m_transfers.erase (transfer) == 0)
        return;
    m_weights.advance (queue().now());
    m_weights.cancel (transfer);
    advanceModel();
}

void Platform::setWeightStoreFaults (const standin::WeightStoreFaults& faults)
{
    m_weights.advance (queue().now());
    m_weights.setFaults (faults);
    advanceModel();
}

void Platform::advanceModel()
{
    m_weights.advance (queue().now());
    for (const std::uint64_t transfer : m_weights.takeFinished())
    {
        const auto found = m_transfers.find (transfer);
        if (found == m_transfers.end())
            continue;
        const Transfer ended = found->second;
        m_transfers.erase (found);
        queue().after (base::milliseconds (1),
                       [ended] {
                           ended.engine->postTo (
                               ended.runNumber, [ended] { ended.engine->onFetched (ended.fetch); });
                       });
    }
    const auto next = m_weights.nextEvent();
    if (! next)
        return;
    queue().at (std::max (*next, queue().now() + base::microseconds (1)),
                [this, number = ++m_wakeNumber]
                {
                    if (number == m_wakeNumber)
                        advanceModel();
                });
}

}  // namespace fernlift::sim
