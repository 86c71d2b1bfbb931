#pragma once

/// Checks invariants of replicas and orders by comparing the state of the engines with the
/// committed log: engines hold only replicas that were decided, replica limits are kept, memory is
/// never overcommitted, and an order is accepted only with the fence of its decision.

#include <string>

#include "cell/CellState.h"
#include "engine/EngineApi.h"
#include "sim/World.h"

namespace fernlift::sim
{

class ReplicaChecker
{
public:
    explicit ReplicaChecker (World& world) : m_world (world) {}

    void onCommitted (base::LogIndex index, const cell::Command& command,
                      const cell::ApplyResult& result);
    /// Called when an engine answered an order; `fenceBefore` is its highest fence before the
    /// order.
    void onOrder (EngineNode& engine, const engine::Order& order, const engine::OrderAnswer& answer,
                  base::Fence fenceBefore);
    /// Called after an engine handled an order or ended.
    void onEngineChanged (EngineNode& engine);

    [[nodiscard]] std::uint64_t loads() const { return m_loads; }

private:
    void checkAll();
    void checkEngine (EngineNode& engine);
    void checkBounds();
    void checkLoadResult (base::LogIndex index, const cell::DecideLoad& command,
                          const cell::ApplyResult& result);
    void checkDecision (EngineNode& engine, const engine::Order& order);

    World& m_world;
    std::uint64_t m_loads = 0;
};

}  // namespace fernlift::sim
