#pragma once

/// Faults that tests inject to show that their checks detect them. Production code never sets one.

#include <cstdint>

namespace fernlift::cell
{

enum class PlantedFault : std::uint8_t
{
    kNone,
    kOrderWithoutFence,  ///< Orders carry the greatest fence instead of the fence of the decision.
    kReplicaReleasedOnSilence,    ///< Replicas of a runner that stops answering are released.
    kConfigurationByVersionOnly,  ///< Files with equal versions are treated as equal.
    kLeaseWithoutLeaderLease,  ///< Leases are granted by a controller that may have been deposed.
    kStaleRead,                ///< Any controller answers reads of the configuration in force.
    kMemoryCountedWhenReady,   ///< A replica reserves memory only once it is ready.
    kClaimsNotSnapshotted,     ///< Snapshots omit the claims.
};

}  // namespace fernlift::cell
