#pragma once

/// One controller as a pure state machine: consensus, the replicated state of the cell, placement
/// and the supervision of runners and routers. Input arrives by function calls, output leaves as
/// effects; sockets, disk and clocks belong to the caller. ControllerProcess and the simulator run
/// this code.

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"
#include "cell/CellState.h"
#include "cell/PlantedFault.h"
#include "cell/RouterMessages.h"
#include "consensus/RaftNode.h"
#include "controller/ConfigurationRollout.h"
#include "controller/ControlRequests.h"
#include "engine/EngineApi.h"
#include "engine/ServiceEngine.h"
#include "placement/EnginePlacement.h"
#include "quota/QuotaTolerance.h"

namespace fernlift::controller
{

/// Identifies one connection of a router; the adapter numbers them.
using RouterConnection = std::uint64_t;
/// Identifies one pending operator request; the adapter numbers them.
using AdminTicket = std::uint64_t;

struct ControllerOptions
{
    base::CellId cell;
    consensus::RaftOptions raft;
    base::Duration routerLease = base::milliseconds (2000);
    quota::QuotaTolerance quotaTolerance;  ///< Tolerance of the limits of tenants.
    base::Duration reportInterval = base::milliseconds (250);
    base::Duration machineListInterval = base::milliseconds (1000);
    base::Duration orderTimeout = base::milliseconds (2000);
    /// Longest idle time before a replica is unloaded; the operator's prices may shorten it.
    base::Duration keepAlive = base::seconds (3600);
    std::size_t entriesBetweenSnapshots = 4096;
    base::Duration claimWindow = base::seconds (600);
    /// Limit on the number of routers times table rows. Above it, all routers get the same replica
    /// table with shares in powers of two; below it, each router gets its exact share of the slots.
    std::size_t exactShareLimit = 4096;
    /// Members that are answered although the member set does not contain them: a member that joins
    /// receives the set only from the leader that it must answer.
    std::vector<consensus::Member> contacts;
    /// Parses the operator's configuration file.
    cell::CatalogueParser catalogueParser = &config::parseCatalogue;
    /// Whether the platform offers a machine list.
    bool hasMachineList = true;
    /// Whether controllers that request to join become members, and lost members are replaced,
    /// without an operator.
    bool managesMembers = false;
    /// Minimum time between the orders of two successive leaders to registered engines.
    base::Duration newLeaderOrderDelay = base::milliseconds (3000);
    /// Whether models of which no registered engine has a copy are loaded before they are
    /// requested.
    bool fetchesAhead = true;
    /// Time without heartbeats after which a registered runner is shown as silent to routers.
    base::Duration instanceSilence = base::milliseconds (3500);
    /// Clock that measures work limited to a share of the processor time. Without one, the work is
    /// throttled as if it took no time.
    std::function<base::TimePoint()> workClock{};
    cell::PlantedFault plantedFault = cell::PlantedFault::kNone;  ///< Fault injected by tests.
};

// Requests of operators.

struct AdminApply
{
    std::string text;
    bool waitInForce = false;  ///< Answer only once it is in force at every live router.
    base::Duration timeout{};
};
struct AdminStatus
{
};
struct AdminExplain
{
    std::string kind;  ///< "model", "runner" or "configuration".
    std::string name;
};
struct AdminMembers
{
};
struct AdminAddMember
{
    consensus::Member member;
};
/// Makes a learner that has caught up a voter. The core may also do so without a request.
struct AdminPromoteMember
{
    base::MemberId id = 0;
};
struct AdminRemoveMember
{
    base::MemberId id = 0;
};
struct AdminDrain
{
    base::RunnerId runner;
    bool isDraining = true;
};
/// Lists the requests that are suspects or in quarantine.
struct AdminQuarantine
{
};
struct AdminRelease
{
    std::string digest;  ///< Digest of the request; empty: all.
};
using AdminRequest =
    std::variant<AdminApply, AdminStatus, AdminExplain, AdminMembers, AdminAddMember,
                 AdminPromoteMember, AdminRemoveMember, AdminDrain, AdminQuarantine, AdminRelease>;

// Effects that the adapter carries out.

/// Write to storage; then call onPersisted(sequence).
struct PersistEffect
{
    consensus::PersistRequest request;
};
struct SendToMember
{
    consensus::Message message;
    std::string address;  ///< "ip:port" of the receiver.
};
/// Open a connection to the leader, in place of any earlier one, on which this member acts on
/// behalf of its routers; then call onLeaderConnected(), and onLeaderLost() when it closes.
struct ConnectToLeader
{
    std::string address;  ///< "ip:port" of the leader's peer port.
};
/// Send to the leader on the connection that ConnectToLeader opened.
struct SendToLeader
{
    cell::RouterToController message;
};
struct SendToRouter
{
    RouterConnection connection = 0;
    cell::ControllerToRouter message;
};
/// The same message to several routers; encoded once.
struct BroadcastToRouters
{
    std::vector<RouterConnection> connections;
    cell::ControllerToRouter message;
};
/// POST the order to the runner; then call onOrderAnswer or onOrderFailed.
struct SendOrder
{
    base::RunnerId runner;
    std::string address;
    engine::Order order;
};
/// GET /engine/report of the runner; then call onReport or onReportFailed.
struct PollRunner
{
    base::RunnerId runner;
    std::string address;
};
/// GET the machine list; then call onMachineList or onMachineListFailed.
struct PollMachineList
{
};
/// Answer to an operator: HTTP status and JSON body.
struct AnswerAdmin
{
    AdminTicket ticket = 0;
    int httpStatus = 200;
    std::string json;
};

struct AnswerControl
{
    ControlTicket ticket = 0;
    ControlAnswer answer;
};

/// A request at which runners crashed was put into quarantine: it is sent to no other runner.
struct RequestQuarantined
{
    cell::Suspect suspect;
};

/// A message in a runner's name that no valid runner of this cell can have sent. It was dropped.
struct RunnerMessageUnusable
{
    std::string instance;
    std::string reason;
};

/// A router, or a relay on behalf of one, cannot reach a runner.
struct InstanceReportedUnreachable
{
    std::string instance;
    std::string reporter;
};

using Effect = std::variant<PersistEffect, SendToMember, ConnectToLeader, SendToLeader,
                            SendToRouter, BroadcastToRouters, SendOrder, PollRunner,
                            PollMachineList, AnswerAdmin, AnswerControl, placement::SendEngineOrder,
                            placement::PollEngine, placement::EngineOrderDone, ConfigurationEvent,
                            RequestQuarantined, RunnerMessageUnusable, InstanceReportedUnreachable>;

/// Status of a member that does not lead and serves routers on behalf of the leader.
struct RelayStatus
{
    /// It holds a lease of the leader that it may pass on. Always false at the leader.
    bool mayServe = false;
    std::uint32_t routers = 0;
    std::uint64_t configuration = 0;    ///< Version of the configuration applied here.
    std::uint64_t instanceVersion = 0;  ///< Version of the instance table held.
    base::Term term = 0;                ///< Term of the leader that granted the last lease.
};

/// The state machine. Single-threaded; every call may produce effects, taken by takeEffects().
class ControllerCore
{
public:
    ControllerCore (base::MemberId self, ControllerOptions options,
                    consensus::RecoveredState recovered, std::uint64_t randomSeed,
                    base::TimePoint now, base::UnixMilliseconds unixNow);
    ~ControllerCore();
    ControllerCore (ControllerCore&&) noexcept;
    ControllerCore& operator= (ControllerCore&&) noexcept;

    /// Sets the time for the calls that follow. Call before every other input.
    void setTime (base::TimePoint now, base::UnixMilliseconds unixNow);

    /// Advances timers; call at least every 10 ms.
    void onTick();
    void onMemberMessage (const consensus::Message& message);
    void onPersisted (std::uint64_t sequence);
    void onStorageFailed();

    void onRouterMessage (RouterConnection connection, const cell::RouterToController& message);
    void onRouterDisconnected (RouterConnection connection);

    /// The connection that ConnectToLeader requested was opened, was closed, or received a message.
    void onLeaderConnected();
    void onLeaderLost();
    void onLeaderMessage (const cell::ControllerToRouter& message);
    [[nodiscard]] RelayStatus relayStatus() const;

    void onOrderAnswer (const base::RunnerId& runner, const engine::Order& order,
                        const engine::OrderAnswer& answer);
    void onOrderFailed (const base::RunnerId& runner, const engine::Order& order);
    void onReport (const base::RunnerId& runner, const engine::Report& report);
    void onReportFailed (const base::RunnerId& runner);
    void onMachineList (const engine::MachineList& list);
    void onMachineListFailed();

    void onAdmin (AdminTicket ticket, const AdminRequest& request);
    void onControl (ControlTicket ticket, const ControlRequest& request);

    /// Answers of registered engines. `report` is null when the poll failed.
    void onEngineOrderAnswer (const engine::ServiceOrder& order, engine::OrderOutcome outcome);
    void onEngineReport (const std::string& instance, const engine::ServiceReport* report);

    /// Adds an address at which members are answered although the member set does not contain them.
    void addContact (const std::string& peerAddress);

    /// Begins a planned stop: transfers leadership. The stop is complete when isStopped().
    void beginStop();
    [[nodiscard]] bool isStopped() const;

    [[nodiscard]] std::vector<Effect> takeEffects();
    [[nodiscard]] consensus::RaftStatus raftStatus() const;
    [[nodiscard]] consensus::RaftSummary raftSummary() const;
    /// Whether this controller leads and holds the leader's lease at the time last set.
    [[nodiscard]] bool holdsLease() const;
    /// The replicated state as applied so far.
    [[nodiscard]] const cell::CellState& state() const;
    /// Metrics of the core, as text of /metrics.
    [[nodiscard]] std::string metricsText() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::controller
