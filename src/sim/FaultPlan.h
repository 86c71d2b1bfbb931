#pragma once

/// Injects random faults into a simulated cell and removes all of them at the end of the fault
/// period.

#include <array>
#include <cstdint>

#include "sim/BackEnd.h"
#include "sim/ControllerNode.h"
#include "sim/RouterNode.h"
#include "sim/World.h"

namespace fernlift::sim
{

using FaultCounts = std::array<std::uint64_t, kFaultKinds>;

class FaultPlan
{
public:
    explicit FaultPlan (World& world) : m_world (world) {}

    /// Injects faults until `end`.
    void begin (base::TimePoint end);
    /// Removes all faults and starts all processes that are not running.
    void heal();
    /// Called when a controller sends a granted vote.
    void onVote (ControllerNode& controller);
    /// Share of orders that are delivered a second time after a delay.
    [[nodiscard]] double orderDuplication() const { return m_isOver ? 0 : 0.05; }
    [[nodiscard]] const FaultCounts& counts() const { return m_counts; }

private:
    void scheduleNext (base::TimePoint end);
    [[nodiscard]] FaultKind drawKind();
    /// Injects a fault; false when the current state does not allow it.
    bool inject (FaultKind kind);
    bool injectControllerFault (FaultKind kind);
    bool injectNetworkFault (FaultKind kind);
    bool injectRouterFault (FaultKind kind);
    bool injectEngineFault (FaultKind kind);
    bool injectPlatformFault (FaultKind kind);

    bool killController (ControllerNode& controller);
    bool killAllControllers();
    bool killVoters();
    void slowDisks (base::Duration duration);
    bool loseDisk();
    bool loseDiskBehindPartition();
    void restartAfterDiskLoss (ControllerNode& controller);
    bool cutLeaderOff();
    bool cutLeaderFromMember();
    bool cutOneWay();
    bool partition();
    bool slowLinks();
    bool makeEngineMisbehave (EngineNode& engine);
    bool makeApplicationMisbehave();
    bool makeMachineLeave();
    void reclaim (BackEnd& backEnd);
    void killAndRestart (Process& process, base::Duration longestPause, const Action& start);
    bool stepClock();

    /// Cuts a link for `duration`, or until heal().
    void cutFor (NodeId from, NodeId to, base::Duration duration);
    void cutBothFor (NodeId first, NodeId second, base::Duration duration);
    [[nodiscard]] base::Duration draw (std::int64_t lowMilliseconds, std::int64_t highMilliseconds);
    template <class Item>
    Item& pick (const std::vector<std::unique_ptr<Item>>& items);
    [[nodiscard]] base::Duration drawDetectionDelay();

    World& m_world;
    FaultCounts m_counts{};
    bool m_isOver = false;
    std::uint64_t m_healNumber = 0;
    base::TimePoint m_votersDieUntil{};
    std::uint64_t m_lastMachine = 0;
};

template <class Item>
Item& FaultPlan::pick (const std::vector<std::unique_ptr<Item>>& items)
{
    const auto number =
        m_world.random.uniformInteger (0, static_cast<std::int64_t> (items.size()) - 1);
    return *items[static_cast<std::size_t> (number)];
}

}  // namespace fernlift::sim
