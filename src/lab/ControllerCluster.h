#pragma once

/// A quorum of real controllers on loopback with a fault proxy on every path between two members.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/Error.h"
#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "lab/ChildProcess.h"
#include "lab/FaultProxy.h"
#include "lab/FleetProbes.h"
#include "lab/HttpCall.h"
#include "lab/PortReservations.h"

namespace fernlift::lab
{

/// What a controller answered to an apply, or to a question for the configuration in force.
struct ConfigurationAnswer
{
    int status = 0;  ///< HTTP status; 0 when no whole answer came.
    std::uint64_t version = 0;
    std::string digest;
    std::string result;  ///< "accepted" or "unchanged" for an apply that was taken.
};

[[nodiscard]] ConfigurationAnswer parseConfigurationAnswer (const HttpOutcome& outcome);

/// The processes and the proxies between them. All calls handle the events of the calling thread
/// while they wait, so that the proxies go on. Needs a QCoreApplication.
class ControllerCluster
{
public:
    static constexpr const char* kCell = "lab";

    struct Options
    {
        std::size_t members = 3;
        std::string programs;  ///< Folder of the executables.
        std::string run;       ///< Folder of logs and data.
        bool hasProxies = true;
        std::string cell = kCell;
        std::vector<std::string> flags;  ///< Passed on to every controller.
    };

    explicit ControllerCluster (Options options);

    /// Starts members 1 to N as a new cell; fails with kNoQuorum when none leads in time.
    [[nodiscard]] base::Result<void> start();

    /// Starts a process of a member that has run before, with further flags.
    [[nodiscard]] base::Result<void> restart (base::MemberId id,
                                              const std::vector<std::string>& flags = {});
    /// Starts a new member with an empty folder that waits to be added.
    [[nodiscard]] base::Result<void> startJoining (base::MemberId id);
    void kill (base::MemberId id) { m_nodes.at (id).process->kill(); }
    void freeze (base::MemberId id);
    void thaw (base::MemberId id);
    /// Planned stop; the exit code.
    int stop (base::MemberId id);
    /// Deletes the data folder of a member that does not run.
    void wipe (base::MemberId id);
    [[nodiscard]] ChildProcess& process (base::MemberId id) { return *m_nodes.at (id).process; }

    /// Cuts or heals one direction: nothing that `from` sends reaches `to`.
    void cut (base::MemberId from, base::MemberId to, bool isCut);
    /// Cuts or heals all that `id` would hear from other members.
    void cutIncoming (base::MemberId id, bool isCut);
    /// Cuts or heals all that `id` sends to other members.
    void cutOutgoing (base::MemberId id, bool isCut);

    /// The running member that says it leads with the highest term; 0: none does.
    [[nodiscard]] base::MemberId leader() const;
    /// Waits until a member other than `old` leads; 0 when none does in time.
    base::MemberId awaitLeader (base::MemberId old = 0,
                                base::Duration timeout = base::seconds (20));
    /// Members that run and are not frozen.
    [[nodiscard]] std::vector<base::MemberId> live() const;

    /// One apply at one member.
    [[nodiscard]] ConfigurationAnswer applyAt (base::MemberId id, const std::string& text,
                                               base::Duration timeout = base::seconds (5)) const;
    /// Applies at whoever takes it, again and again until there is a final answer or time is up.
    [[nodiscard]] ConfigurationAnswer apply (const std::string& text,
                                             base::Duration timeout = base::seconds (20)) const;
    /// The linearizable read of one member: status 200 only from a leader with a lease.
    [[nodiscard]] ConfigurationAnswer readAt (base::MemberId id,
                                              base::Duration timeout = base::seconds (5)) const;
    /// What a member says of its own state, behind or not.
    [[nodiscard]] ConfigurationAnswer localState (base::MemberId id) const;
    /// Waits until every live member has applied this version.
    [[nodiscard]] bool awaitEverywhere (std::uint64_t version,
                                        base::Duration timeout = base::seconds (20)) const;
    /// Request for an operators' resource of a member.
    [[nodiscard]] HttpRequest adminRequest (base::MemberId id, const std::string& method,
                                            const std::string& resource,
                                            const std::string& body = {}) const;

    /// fernliftctl with the addresses of all members, or with `controllers` instead.
    [[nodiscard]] CtlOutcome ctl (const std::vector<std::string>& arguments,
                                  const std::vector<base::SocketAddress>& controllers = {}) const;
    /// Arguments of `members add` for a member started by startJoining.
    [[nodiscard]] std::vector<std::string> additionOf (base::MemberId id) const;

    [[nodiscard]] base::SocketAddress httpAddress (base::MemberId id) const;
    [[nodiscard]] base::SocketAddress peerAddress (base::MemberId id) const;
    [[nodiscard]] std::string dataFolder (base::MemberId id) const;

private:
    struct Node
    {
        base::SocketAddress peerAddress;
        base::SocketAddress httpAddress;
        std::unique_ptr<ChildProcess> process;
        bool isFrozen = false;
    };

    [[nodiscard]] base::Result<void> plan (base::MemberId id);
    [[nodiscard]] base::Result<void> planProxies();
    [[nodiscard]] base::Result<void> startProcess (base::MemberId id,
                                                   const std::vector<std::string>& flags);
    [[nodiscard]] std::vector<std::string> membersFlags (base::MemberId self) const;

    Options m_options;
    PortReservations m_ports;
    base::SocketAddress m_machinesAddress;
    std::map<base::MemberId, Node> m_nodes;
    std::map<std::pair<base::MemberId, base::MemberId>, std::unique_ptr<FaultProxy>> m_proxies;
    std::map<std::pair<base::MemberId, base::MemberId>, base::SocketAddress> m_proxyAddresses;
};

/// A small catalogue of the cluster's cell. `comment` makes texts of one version differ.
[[nodiscard]] std::string clusterCatalogue (std::uint64_t version, const std::string& comment = {});

}  // namespace fernlift::lab
