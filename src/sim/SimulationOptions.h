#pragma once

/// What a simulation is made of: sizes, length, which faults are brought about and which fault is
/// planted in the code under test.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"

namespace fernlift::sim
{

/// Faults in the code under test that a sweep must find. Each is set through the test-only option
/// of the module named; kIdentityReused is a fault of the simulated operator.
enum class PlantedFault : std::uint8_t
{
    kNone,
    kVoteBeforeSync,              // consensus
    kAppendReplyBeforeSync,       // consensus
    kLeaseWithoutMajority,        // consensus
    kLeaseWithoutVoteDelay,       // consensus
    kOrderWithoutFence,           // cell
    kReplicaReleasedOnSilence,    // cell
    kConfigurationByVersionOnly,  // cell
    kLeaseWithoutLeaderLease,     // cell
    kStaleRead,                   // cell
    kMemoryCountedWhenReady,      // cell
    kClaimsNotSnapshotted,        // cell
    kIdentityReused,              // a member whose disk was lost comes back under its old id
    kRetrySentUnrepeatable,       // router
    kPassDuplicateChunks,         // router
    kDropRefusal,                 // router
    kIgnoreLease,                 // router
    kNotRunAfterBytes,            // router
    kDispatchToLeaving,           // router
    kClockStopsInSuspension,      // the clock of a process doesn't count the time it stood still
};
[[nodiscard]] const std::vector<PlantedFault>& allPlantedFaults();
[[nodiscard]] std::string_view toString (PlantedFault fault);
[[nodiscard]] std::optional<PlantedFault> plantedFaultNamed (std::string_view name);

/// Kinds of faults that a simulation brings about.
enum class FaultKind : std::uint8_t
{
    kControllerKilled,
    kControllerFrozen,
    kControllerStopped,  ///< Planned stop and restart.
    kAllControllersKilled,
    kLeaderCutOff,        ///< Silently, in both directions, from everything but its operators.
    kLeaderAndMemberCut,  ///< One member no longer hears the leader, the others do.
    kOneWayCut,
    kPartition,
    kConnectionReset,
    kTurbulence,  ///< Loss, duplication and lateness of messages between members.
    kSlowLink,
    kSlowDisk,
    kVoterKilled,  ///< Right after it sent its vote.
    kDiskLost,     ///< And the member replaced under a new identity.
    kClockStep,
    kRouterKilled,
    kRouterFrozen,
    kRouterStopped,
    kRouterCutOff,
    kEngineKilled,
    kEngineFrozen,
    kEngineSilent,
    kEngineMisbehaves,  ///< Chunks repeated or reordered, answers broken, loads failing or slow.
    kEngineCutOff,
    kMachineLeaves,
    kApplicationKilled,
    kApplicationMisbehaves,
    kWeightStoreSlow,
    kMachineListLags,
    kRequestBurst,
    kCount,
};
constexpr std::size_t kFaultKinds = static_cast<std::size_t> (FaultKind::kCount);
[[nodiscard]] std::string_view toString (FaultKind kind);

struct SimulationOptions
{
    std::uint64_t seed = 1;
    PlantedFault plantedFault = PlantedFault::kNone;
    bool hasFaults = true;
    std::optional<FaultKind> onlyFault;  ///< Brings about just this kind.
    bool hasHourCut = false;             ///< Ends with a leader cut off for an hour.

    std::size_t controllers = 5;
    std::size_t routers = 6;
    std::size_t engines = 20;
    std::size_t applications = 3;
    base::Duration quiet = base::seconds (3);      ///< Before the first fault.
    base::Duration turmoil = base::seconds (20);   ///< While faults come.
    base::Duration recovery = base::seconds (25);  ///< From the last fault to the end.
    base::Duration meanFaultInterval = base::milliseconds (450);
    base::Duration meanRequestInterval = base::milliseconds (600);  ///< At each router.
    std::size_t traceLines = 400;
};

}  // namespace fernlift::sim
