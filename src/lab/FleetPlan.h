#pragma once

/// From a fleet file to the processes to start: names, addresses, folders and command lines.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "lab/ChildProcess.h"
#include "lab/FleetSpec.h"
#include "lab/PortReservations.h"

namespace fernlift::lab
{

enum class NodeRole : std::uint8_t
{
    kWeightStore,
    kMachineList,
    kEngine,
    kApplicationRunner,
    kController,
    kRouter,
    kFaultProxy,
};

[[nodiscard]] std::string_view toString (NodeRole role);

/// One process of a fleet.
struct NodePlan
{
    std::string name;
    NodeRole role = NodeRole::kEngine;
    base::SocketAddress httpAddress;
    base::SocketAddress callerAddress;  ///< Of its fault proxy if it has one, else httpAddress.
    base::SocketAddress peerAddress;    ///< Controllers only.
    std::string dataFolder;             ///< Controllers only.
    ProcessPlan process;
    std::vector<std::string> firstStartFlags;  ///< Added until the process has once been healthy.
};

/// Where a fleet finds programs and keeps its files.
struct FleetFolders
{
    std::string programs;  ///< Folder of the executables.
    std::string run;       ///< Logs, data folders and state.json.
};

/// All processes of a fleet, in the order in which they are started.
[[nodiscard]] base::Result<std::vector<NodePlan>> planFleet (const FleetSpec& spec,
                                                             const FleetFolders& folders,
                                                             PortReservations& ports);

/// File in which the ledger of a back end outlives a planned stop.
[[nodiscard]] std::string ledgerFile (const FleetFolders& folders, const std::string& node);
/// Name of the fault proxy before a process, for example "proxy-engine-1".
[[nodiscard]] std::string proxyName (const std::string& node);
/// Name of a controller's process, for example "controller-2".
[[nodiscard]] std::string controllerName (base::MemberId id);
/// Value of the flag --members for one controller.
[[nodiscard]] std::string memberText (const ControllerSpec& controller,
                                      const base::SocketAddress& peerAddress,
                                      const base::SocketAddress& httpAddress);
/// Flags of a controller, without --members.
[[nodiscard]] std::vector<std::string> controllerArguments (
    const FleetSpec& spec, const ControllerSpec& controller, const base::SocketAddress& peerAddress,
    const base::SocketAddress& httpAddress, const std::string& dataFolder,
    const base::SocketAddress& machinesAddress);

}  // namespace fernlift::lab
