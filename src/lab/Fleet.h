#pragma once

/// A running fleet: real processes on loopback that end with this object.

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
    std::int64_t processId = 0;  ///< 0 when ended.
    int exitCode = -1;           ///< Of a process that ended by itself.
    base::SocketAddress httpAddress;
};

/// Starts and steers the processes of one fleet. All calls handle the events of the calling thread
/// while they wait. Needs a QCoreApplication.
class Fleet
{
public:
    Fleet (FleetSpec spec, FleetFolders folders);
    /// Kills what still runs.
    ~Fleet();
    Fleet (const Fleet&) = delete;
    Fleet& operator= (const Fleet&) = delete;

    /// Starts every process and waits until each answers /healthz. Fails with the name and log file
    /// of the first that does not.
    [[nodiscard]] base::Result<void> start();
    /// Planned stop of everything: routers, controllers, then the rest. Kills what does not end.
    /// Fails when a process had to be killed or ended with an exit code other than 0.
    [[nodiscard]] base::Result<void> stop();

    /// Ends a process at once.
    [[nodiscard]] base::Result<void> kill (const std::string& name);
    /// Planned stop of one process (SIGTERM). Returns at once; see waitForEnd.
    [[nodiscard]] base::Result<void> requestStop (const std::string& name);
    /// Waits for the end of a process; fails with kRequestTimeout.
    [[nodiscard]] base::Result<void> waitForEnd (const std::string& name, base::Duration timeout);
    [[nodiscard]] base::Result<void> freeze (const std::string& name);
    [[nodiscard]] base::Result<void> thaw (const std::string& name);
    /// Planned stop if it runs, then a start with the same identity, files and addresses.
    [[nodiscard]] base::Result<void> restart (const std::string& name);
    /// Ends a process and deletes its files. A controller comes back under a new member id, which
    /// must be added with `fernliftctl members`; others come back as they were.
    [[nodiscard]] base::Result<std::string> replace (const std::string& name);

    [[nodiscard]] std::vector<NodeStatus> status() const;
    [[nodiscard]] std::vector<std::string> namesOf (NodeRole role) const;
    /// Address of the HTTP interface of a node; fails with kNotFound.
    [[nodiscard]] base::Result<base::SocketAddress> httpAddress (const std::string& name) const;
    [[nodiscard]] std::vector<base::SocketAddress> httpAddresses (NodeRole role) const;
    /// As httpAddresses, with the fault proxies' addresses in place of those behind one.
    [[nodiscard]] std::vector<base::SocketAddress> callerAddresses (NodeRole role) const;
    /// Addresses at which the controllers take other members and routers.
    [[nodiscard]] std::vector<base::SocketAddress> peerAddresses() const;
    [[nodiscard]] const FleetSpec& spec() const { return m_spec; }
    [[nodiscard]] const FleetFolders& folders() const { return m_folders; }
    /// JSON of status(), as written to state.json.
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
    /// False when the process had to be killed or failed.
    bool stopNodes (const std::vector<NodeRole>& roles);
    void writeState() const;

    FleetSpec m_spec;
    FleetFolders m_folders;
    PortReservations m_ports;
    std::vector<Node> m_nodes;
};

}  // namespace fernlift::lab
