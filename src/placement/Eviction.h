#pragma once

/// Chooses replicas to unload so that a more pressing one finds memory.

#include <optional>
#include <vector>

#include "placement/Plan.h"

namespace fernlift::placement
{

/// Replicas to unload on one runner.
struct EvictionChoice
{
    base::RunnerId runner;
    std::vector<const ReplicaView*> evictions;
    bool interruptsUse = false;     ///< A victim is in use by less urgent requests.
    base::Duration shortestIdle{};  ///< Of the victims.
    engine::Megabytes memoryFreed = 0;
};

/// Victims on one runner that make room for `memory`, least recently used first; none when that
/// cannot be done without hurting a target that is as urgent as `urgency`. `kept` is never chosen.
[[nodiscard]] std::optional<EvictionChoice> chooseEvictions (const Plan& plan,
                                                             const Plan::PlannedRunner& planned,
                                                             engine::Megabytes memory, int urgency,
                                                             base::ReplicaId kept);

/// True when `left` disturbs less than `right`.
[[nodiscard]] bool isBetter (const EvictionChoice& left, const EvictionChoice& right);

}  // namespace fernlift::placement
