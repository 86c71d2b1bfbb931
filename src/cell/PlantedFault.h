#pragma once

/// Faults that tests switch on to show that their checks can fail. Production code never sets one.

#include <cstdint>

namespace fernlift::cell
{

enum class PlantedFault : std::uint8_t
{
    kNone,
    kOrderWithoutFence,           ///< Orders carry the greatest fence instead of their decision's.
    kReplicaReleasedOnSilence,    ///< A runner that stops answering is taken as gone.
    kConfigurationByVersionOnly,  ///< Equal versions count as equal files.
    kLeaseWithoutLeaderLease,     ///< Routers get leases from a controller that may be deposed.
    kStaleRead,                   ///< Any controller answers reads of what is in force.
    kMemoryCountedWhenReady,      ///< A replica reserves no memory before it is ready.
    kClaimsNotSnapshotted,        ///< A snapshot holds no claims.
};

}  // namespace fernlift::cell
