#pragma once

/// Chooses replicas to unload to free memory for a more urgent one.

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
    bool interruptsUse = false;     ///< A replica is in use by less urgent requests.
    base::Duration shortestIdle{};  ///< Shortest idle time of the replicas.
    engine::Megabytes memoryFreed = 0;
};

/// Evictions on one runner that free `memory`, least recently used first; nullopt when that would
/// need the eviction of a replica in use by requests as urgent as `urgency`. `kept` is never
/// chosen.
[[nodiscard]] std::optional<EvictionChoice> chooseEvictions (const Plan& plan,
                                                             const Plan::PlannedRunner& planned,
                                                             engine::Megabytes memory, int urgency,
                                                             base::ReplicaId kept);

/// Whether `left` is less disruptive than `right`.
[[nodiscard]] bool isBetter (const EvictionChoice& left, const EvictionChoice& right);

}  // namespace fernlift::placement
