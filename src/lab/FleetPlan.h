#pragma once

/// Derives the processes to start from a fleet file: names, addresses, folders and command lines.

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
    base::SocketAddress callerAddress;  ///< Address of the fault proxy if any, else httpAddress.
    base::SocketAddress peerAddress;    ///< Set for controllers only.
    std::string dataFolder;             ///< Set for controllers only.
    ProcessPlan process;
    std::vector<std::string> firstStartFlags;  ///< Flags added until the process was healthy once.
};

/// Folders of the executables and of the files of a run.
struct FleetFolders
{
    std::string programs;  ///< Folder of the executables.
    std::string run;       ///< Folder of logs, data folders and state.json.
};

/// Plans all processes of a fleet, in the order in which they are started.
[[nodiscard]] base::Result<std::vector<NodePlan>> planFleet (const FleetSpec& spec,
                                                             const FleetFolders& folders,
                                                             PortReservations& ports);

/// File to which a back end writes its ledger at a planned stop.
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
