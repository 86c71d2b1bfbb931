#include "sim/ReplicaChecker.h"

#include <algorithm>
#include <map>

#include "sim/ConsensusChecker.h"
#include "sim/EngineNode.h"

namespace fernlift::sim
{
namespace
{

bool isLoad (const engine::Order& order)
{
    return order.kind == engine::OrderKind::kLoadModel
           || order.kind == engine::OrderKind::kLoadAdapter;
}

/// Maximum number of replicas of a target in a configuration; 0 when it is not listed.
std::uint32_t boundOf (const config::Catalogue* catalogue, const std::string& target)
{
    if (catalogue == nullptr)
        return 0;
    if (const auto* model = catalogue->findModel (base::ModelName (target)))
        return model->maxReplicas;
    const auto* adapter = catalogue->findAdapter (base::AdapterName (target));
    return adapter == nullptr ? 0 : adapter->maxReplicas;
}

std::string describe (const engine::Order& order)
{
    return std::string (isLoad (order) ? "load" : "unload") + " of replica "
           + std::to_string (order.replica) + " with fence " + std::to_string (order.fence);
}

}  // namespace

void ReplicaChecker::onCommitted (base::LogIndex index, const cell::Command& command,
                                  const cell::ApplyResult& result)
{
    if (const auto* load = std::get_if<cell::DecideLoad> (&command))
    {
        checkLoadResult (index, *load, result);
    }
    const bool mayRelease = std::holds_alternative<cell::ReplicaReleased> (command)
                            || std::holds_alternative<cell::RemoveRunner> (command)
                            || std::holds_alternative<cell::ObserveRunner> (command);
    if (mayRelease)
        checkAll();
}

void ReplicaChecker::checkLoadResult (base::LogIndex index, const cell::DecideLoad& command,
                                      const cell::ApplyResult& result)
{
    const auto* load = std::get_if<cell::LoadResult> (&result);
    if (load == nullptr || load->refusal != cell::LoadRefusal::kNone)
        return;
    ++m_loads;
    const cell::CellState& state = m_world.consensus->state();
    const std::string target =
        command.adapter.empty() ? command.model.value : command.adapter.value;
    const std::uint32_t count = state.replicas().count (target);
    if (count > boundOf (state.configuration().catalogue(), target))
    {
        m_world.violations.add ("replicas within the bound",
                                "decision " + std::to_string (index) + " makes "
                                    + std::to_string (count) + " replicas of " + target);
    }
    const cell::Runner* runner = state.replicas().findRunner (command.runner);
    if (runner != nullptr
        && state.replicas().reservedMemory (command.runner) > runner->machine.memory)
    {
        m_world.violations.add ("memory never overcommitted", "decision " + std::to_string (index)
                                                                  + " reserves more memory than "
                                                                  + command.runner.value + " has");
    }
}

void ReplicaChecker::onOrder (EngineNode& engine, const engine::Order& order,
                              const engine::OrderAnswer& answer, base::Fence fenceBefore)
{
    if (! answer.accepted)
    {
        if (isLoad (order) && answer.refusal == base::ErrorKind::kInsufficientMemory)
        {
            m_world.violations.add (
                "memory never overcommitted",
                engine.name() + " has too little memory for " + describe (order));
        }
        return;
    }
    if (order.fence < fenceBefore)
    {
        m_world.violations.add ("no order with a lower fence",
                                engine.name() + " accepted the " + describe (order)
                                    + " after fence " + std::to_string (fenceBefore));
    }
    checkDecision (engine, order);
}

void ReplicaChecker::checkDecision (EngineNode& engine, const engine::Order& order)
{
    const auto command = m_world.consensus->commandAt (order.fence);
    const auto* load = command ? std::get_if<cell::DecideLoad> (&*command) : nullptr;
    const auto* unload = command ? std::get_if<cell::DecideUnload> (&*command) : nullptr;
    bool isDecided = false;
    if (isLoad (order))
    {
        isDecided = load != nullptr && order.replica == order.fence
                    && load->runner == engine.machine().runner
                    && load->incarnation == engine.incarnation() && load->model == order.model
                    && load->adapter == order.adapter;
    }
    else
    {
        isDecided = unload != nullptr && unload->replica == order.replica;
    }
    if (isDecided)
        return;
    m_world.violations.add ("orders carry the fence of their decision",
                            engine.name() + " accepted the " + describe (order)
                                + ", which is not the index of that decision");
}

void ReplicaChecker::onEngineChanged (EngineNode& engine)
{
    checkEngine (engine);
    checkBounds();
}

void ReplicaChecker::checkAll()
{
    for (const auto& engine : m_world.engines)
        checkEngine (*engine);
    checkBounds();
}

void ReplicaChecker::checkEngine (EngineNode& engine)
{
    if (! engine.isAlive())
        return;
    const engine::Report actualReport = engine.actualReport();
    if (actualReport.usedMemory > actualReport.totalMemory)
    {
        m_world.violations.add ("memory never overcommitted",
                                engine.name() + " uses more memory than it has");
    }
    const cell::ReplicaTable& table = m_world.consensus->state().replicas();
    for (const engine::ReplicaReport& replica : actualReport.replicas)
    {
        if (replica.phase == engine::ReplicaPhase::kFailed)
            continue;
        const cell::Replica* decided = table.findReplica (replica.replica);
        const bool isDecided = decided != nullptr && decided->runner == engine.machine().runner
                               && decided->incarnation == engine.incarnation();
        if (isDecided)
            continue;
        m_world.violations.add ("no replica that was not decided",
                                engine.name() + " holds replica " + std::to_string (replica.replica)
                                    + " of " + replica.model.value);
    }
}

void ReplicaChecker::checkBounds()
{
    const cell::CellState& state = m_world.consensus->state();
    std::map<std::string, std::uint32_t> held;
    for (const auto& engine : m_world.engines)
    {
        if (! engine->isAlive())
            continue;
        for (const engine::ReplicaReport& replica : engine->actualReport().replicas)
        {
            if (replica.phase == engine::ReplicaPhase::kFailed)
                continue;
            ++held[replica.adapter.empty() ? replica.model.value : replica.adapter.value];
        }
    }
    for (const auto& [name, count] : held)
    {
        // Replicas that were decided before the limit was lowered may still exist.
        const std::uint32_t allowed = std::max (boundOf (state.configuration().catalogue(), name),
                                                state.replicas().count (name));
        if (count <= allowed)
            continue;
        m_world.violations.add ("replicas within the bound",
                                std::to_string (count) + " replicas of " + name + " are loaded, "
                                    + std::to_string (allowed) + " allowed");
    }
}

}  // namespace fernlift::sim
