#pragma once

/// Options of a simulation: size of the cell, duration, kinds of injected faults, and the fault
/// that is planted in the code under test.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"

namespace fernlift::sim
{

/// Faults in the code under test that a sweep must find. Each is enabled by the test-only option of
/// the module named beside it; kIdentityReused is a fault of the simulated operator.
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
    kIdentityReused,              // operator: a member whose disk was lost rejoins with its old id
    kRetrySentUnrepeatable,       // router
    kPassDuplicateChunks,         // router
    kDropRefusal,                 // router
    kIgnoreLease,                 // router
    kNotRunAfterBytes,            // router
    kDispatchToLeaving,           // router
    kClockStopsInSuspension,      // process: its clock stops while it is frozen
};
[[nodiscard]] const std::vector<PlantedFault>& allPlantedFaults();
[[nodiscard]] std::string_view toString (PlantedFault fault);
[[nodiscard]] std::optional<PlantedFault> plantedFaultNamed (std::string_view name);

/// Kinds of faults that a simulation injects.
enum class FaultKind : std::uint8_t
{
    kControllerKilled,
    kControllerFrozen,
    kControllerStopped,  ///< Planned stop and restart.
    kAllControllersKilled,
    kLeaderCutOff,        ///< Silently, in both directions, but never from its operators.
    kLeaderAndMemberCut,  ///< Link between the leader and one member cut.
    kOneWayCut,
    kPartition,
    kConnectionReset,
    kTurbulence,  ///< Loss and duplication of datagrams, delay of all traffic.
    kSlowLink,
    kSlowDisk,
    kVoterKilled,  ///< Killed right after it sent its vote.
    kDiskLost,     ///< The member is replaced by one with a new identity.
    kClockStep,
    kRouterKilled,
    kRouterFrozen,
    kRouterStopped,
    kRouterCutOff,
    kEngineKilled,
    kEngineFrozen,
    kEngineSilent,
    kEngineMisbehaves,  ///< Repeated or reordered chunks, broken answers, failed or slow loads.
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
    std::optional<FaultKind> onlyFault;  ///< Injects only this kind of fault.
    bool hasHourCut = false;             ///< Cuts the leader off for an hour after the faults.

    std::size_t controllers = 5;
    std::size_t routers = 6;
    std::size_t engines = 20;
    std::size_t applications = 3;
    base::Duration quiet = base::seconds (3);         ///< Time before the first fault.
    base::Duration faultPeriod = base::seconds (20);  ///< Time during which faults are injected.
    base::Duration recovery = base::seconds (25);     ///< Time from the last fault to the end.
    base::Duration meanFaultInterval = base::milliseconds (450);
    base::Duration meanRequestInterval = base::milliseconds (600);  ///< Per router.
    std::size_t traceLines = 400;
};

}  // namespace fernlift::sim
