#pragma once

/// A cluster of real controller processes on loopback with a fault proxy on every path between two
/// members.

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

/// Answer of a controller to an apply or to a read of the configuration in force.
struct ConfigurationAnswer
{
    int status = 0;  ///< HTTP status; 0 when no complete answer arrived.
    std::uint64_t version = 0;
    std::string digest;
    std::string result;  ///< "accepted" or "unchanged" for a successful apply.
};

[[nodiscard]] ConfigurationAnswer parseConfigurationAnswer (const HttpOutcome& outcome);

/// Owns the processes and the proxies between them. All calls handle the events of the calling
/// thread while they wait, because the proxies run on its event loop. Needs a QCoreApplication.
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

    /// Starts members 1 to N as a new cell. Fails with kNoQuorum when none becomes leader in time.
    [[nodiscard]] base::Result<void> start();

    /// Restarts a member that has run before, with additional flags.
    [[nodiscard]] base::Result<void> restart (base::MemberId id,
                                              const std::vector<std::string>& flags = {});
    /// Starts a new member with an empty folder, which waits until it is added to the cell.
    [[nodiscard]] base::Result<void> startJoining (base::MemberId id);
    void kill (base::MemberId id) { m_nodes.at (id).process->kill(); }
    void freeze (base::MemberId id);
    void thaw (base::MemberId id);
    /// Stops a member with a planned stop and returns its exit code.
    int stop (base::MemberId id);
    /// Deletes the data folder of a member that does not run.
    void wipe (base::MemberId id);
    [[nodiscard]] ChildProcess& process (base::MemberId id) { return *m_nodes.at (id).process; }

    /// Cuts or restores one direction. While it is cut, nothing that `from` sends reaches `to`.
    void cut (base::MemberId from, base::MemberId to, bool isCut);
    /// Cuts or restores everything that other members send to `id`.
    void cutIncoming (base::MemberId id, bool isCut);
    /// Cuts or restores everything that `id` sends to other members.
    void cutOutgoing (base::MemberId id, bool isCut);

    /// Returns the running member that reports itself leader with the highest term; 0 if none does.
    [[nodiscard]] base::MemberId leader() const;
    /// Waits until a member other than `old` leads. Returns 0 when none does in time.
    base::MemberId awaitLeader (base::MemberId old = 0,
                                base::Duration timeout = base::seconds (20));
    /// Returns the members that run and are not frozen.
    [[nodiscard]] std::vector<base::MemberId> live() const;

    /// Sends one apply to one member.
    [[nodiscard]] ConfigurationAnswer applyAt (base::MemberId id, const std::string& text,
                                               base::Duration timeout = base::seconds (5)) const;
    /// Sends the apply to the members in turn until one gives a final answer or the timeout ends.
    [[nodiscard]] ConfigurationAnswer apply (const std::string& text,
                                             base::Duration timeout = base::seconds (20)) const;
    /// Sends a linearizable read to one member. Only a leader with a lease answers with status 200.
    [[nodiscard]] ConfigurationAnswer readAt (base::MemberId id,
                                              base::Duration timeout = base::seconds (5)) const;
    /// Reads a member's own state, which may be older than the committed one.
    [[nodiscard]] ConfigurationAnswer localState (base::MemberId id) const;
    /// Waits until every live member has applied this version; false when one has not in time.
    [[nodiscard]] bool awaitEverywhere (std::uint64_t version,
                                        base::Duration timeout = base::seconds (20)) const;
    /// Builds a request for a resource of a member's admin interface.
    [[nodiscard]] HttpRequest adminRequest (base::MemberId id, const std::string& method,
                                            const std::string& resource,
                                            const std::string& body = {}) const;

    /// Runs fernliftctl with the addresses of all members, or with `controllers` if given.
    [[nodiscard]] CtlOutcome ctl (const std::vector<std::string>& arguments,
                                  const std::vector<base::SocketAddress>& controllers = {}) const;
    /// Returns the arguments of `members add` for a member that startJoining started.
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

/// Returns a small catalogue for the cluster's cell. Different values of `comment` give different
/// texts of the same version.
[[nodiscard]] std::string clusterCatalogue (std::uint64_t version, const std::string& comment = {});

}  // namespace fernlift::lab
