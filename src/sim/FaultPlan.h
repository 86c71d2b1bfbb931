#pragma once

/// Brings faults about at random, and in the end takes all of them back.

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

    /// Brings faults about until `end`.
    void begin (base::TimePoint end);
    /// Ends every fault and starts what is not running.
    void heal();
    /// A controller sends its vote.
    void onVote (ControllerNode& controller);
    /// Share of orders that arrive a second time, late.
    [[nodiscard]] double orderDuplication() const { return m_isOver ? 0 : 0.05; }
    [[nodiscard]] const FaultCounts& counts() const { return m_counts; }

private:
    void scheduleNext (base::TimePoint end);
    [[nodiscard]] FaultKind drawKind();
    /// True when the fault could be brought about now.
    bool bringAbout (FaultKind kind);
    bool hitControllers (FaultKind kind);
    bool hitNetwork (FaultKind kind);
    bool hitRouter (FaultKind kind);
    bool hitEngine (FaultKind kind);
    bool hitPlatform (FaultKind kind);

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

    /// Cuts a link for a while; the cut ends by itself or with all faults.
    void cutFor (NodeId from, NodeId to, base::Duration duration);
    void cutBothFor (NodeId first, NodeId second, base::Duration duration);
    [[nodiscard]] base::Duration draw (std::int64_t lowMilliseconds, std::int64_t highMilliseconds);
    template <class Item>
    Item& pick (const std::vector<std::unique_ptr<Item>>& items);
    [[nodiscard]] base::Duration drawSilence();

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
