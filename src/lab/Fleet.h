#pragma once

/// A running fleet: real processes on loopback that are killed with this object.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "lab/FleetPlan.h"
#include "lab/FleetSpec.h"

namespace fernlift::lab
{

/// State of one process of a fleet.
enum class NodeState : std::uint8_t
{
    kRunning,
    kFrozen,
    kEnded
};

[[nodiscard]] std::string_view toString (NodeState state);

struct NodeStatus
{
    std::string name;
    NodeRole role = NodeRole::kEngine;
    NodeState state = NodeState::kEnded;
    std::int64_t processId = 0;  ///< Process id; 0 when the process has ended.
    int exitCode = -1;           ///< Exit code of a process that exited; -1 otherwise.
    base::SocketAddress httpAddress;
};

/// Starts and controls the processes of one fleet. All calls handle the events of the calling
/// thread while they wait. Needs a QCoreApplication.
class Fleet
{
public:
    Fleet (FleetSpec spec, FleetFolders folders);
    /// Kills the processes that still run.
    ~Fleet();
    Fleet (const Fleet&) = delete;
    Fleet& operator= (const Fleet&) = delete;

    /// Starts every process and waits until each answers /healthz. Fails with the name and log file
    /// of the first that does not in time.
    [[nodiscard]] base::Result<void> start();
    /// Stops all processes with a planned stop: routers, controllers, then the rest. Kills those
    /// that do not end in time. Fails when a process was killed or exited with a code other than 0.
    [[nodiscard]] base::Result<void> stop();

    /// Kills a process (SIGKILL).
    [[nodiscard]] base::Result<void> kill (const std::string& name);
    /// Requests a planned stop of one process (SIGTERM). Returns at once; see waitForEnd.
    [[nodiscard]] base::Result<void> requestStop (const std::string& name);
    /// Waits for the end of a process; fails with kRequestTimeout.
    [[nodiscard]] base::Result<void> waitForEnd (const std::string& name, base::Duration timeout);
    [[nodiscard]] base::Result<void> freeze (const std::string& name);
    [[nodiscard]] base::Result<void> thaw (const std::string& name);
    /// Stops the process with a planned stop if it runs, then starts it with the same identity,
    /// files and addresses.
    [[nodiscard]] base::Result<void> restart (const std::string& name);
    /// Kills a process and starts it again. A controller starts with an empty data folder under a
    /// new member id, which must be added with `fernliftctl members`; others keep their identity
    /// and files. Returns the name of the new process.
    [[nodiscard]] base::Result<std::string> replace (const std::string& name);

    [[nodiscard]] std::vector<NodeStatus> status() const;
    [[nodiscard]] std::vector<std::string> namesOf (NodeRole role) const;
    /// Returns the HTTP address of a node; fails with kNotFound.
    [[nodiscard]] base::Result<base::SocketAddress> httpAddress (const std::string& name) const;
    [[nodiscard]] std::vector<base::SocketAddress> httpAddresses (NodeRole role) const;
    /// Like httpAddresses, but with the address of the fault proxy for a process that has one.
    [[nodiscard]] std::vector<base::SocketAddress> callerAddresses (NodeRole role) const;
    /// Addresses on which the controllers accept connections of other members and routers.
    [[nodiscard]] std::vector<base::SocketAddress> peerAddresses() const;
    [[nodiscard]] const FleetSpec& spec() const { return m_spec; }
    [[nodiscard]] const FleetFolders& folders() const { return m_folders; }
    /// Formats status() as the JSON of state.json.
    [[nodiscard]] std::string stateJson() const;

private:
    struct Node
    {
        NodePlan plan;
        std::unique_ptr<ChildProcess> process;
        bool isFrozen = false;
    };

    [[nodiscard]] base::Result<Node*> find (const std::string& name);
    [[nodiscard]] const Node* findPlan (const std::string& name) const;
    /// Gives a controller the next free member id and an empty data folder.
    void planNewIdentity (Node& controller);
    [[nodiscard]] base::Result<void> startNode (Node& node);
    [[nodiscard]] base::Result<void> waitHealthy (const std::vector<Node*>& nodes);
    /// Returns false when a process had to be killed or did not exit with code 0.
    bool stopNodes (const std::vector<NodeRole>& roles);
    void writeState() const;

    FleetSpec m_spec;
    FleetFolders m_folders;
    PortReservations m_ports;
    std::vector<Node> m_nodes;
};

}  // namespace fernlift::lab
