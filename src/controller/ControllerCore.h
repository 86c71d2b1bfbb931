#pragma once

/// One controller as a pure state machine: consensus, the cell's state machine, placement and the
/// watch over runners and routers. The Qt adapter and the simulator run the same code.

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
    quota::QuotaTolerance quotaTolerance;  ///< Of the limits of tenants.
    base::Duration reportInterval = base::milliseconds (250);
    base::Duration machineListInterval = base::milliseconds (1000);
    base::Duration orderTimeout = base::milliseconds (2000);
    /// Longest idle time before a replica is dropped; the operator's prices may make it shorter.
    base::Duration keepAlive = base::seconds (3600);
    std::size_t entriesBetweenSnapshots = 4096;
    base::Duration claimWindow = base::seconds (600);
    /// Above this many routers times rows, all routers get one replica table with shares in powers
    /// of two; below, each gets its exact share of the slots.
    std::size_t exactShareLimit = 4096;
    /// Addresses of members that are answered while the member set does not name them: a member
    /// that joins learns the set only from the leader that it must answer.
    std::vector<consensus::Member> contacts;
    /// Reads the operator's file.
    cell::CatalogueParser catalogueParser = &config::parseCatalogue;
    /// Whether the platform has a machine list to ask.
    bool hasMachineList = true;
    /// Whether members that ask to join are taken in, and lost ones are replaced, without an
    /// operator.
    bool managesMembers = false;
    /// Time between the orders of two leaders to registered engines.
    base::Duration orderPause = base::milliseconds (3000);
    /// Silence after which a registered runner is told as silent to routers.
    /// Models of which no registered engine has a copy are loaded before anybody asks for them.
    bool fetchesAhead = true;
    base::Duration instanceSilence = base::milliseconds (3500);
    /// Clock by which work is measured that may take no more than a share of the time; without one
    /// it is paced as if it took none.
    std::function<base::TimePoint()> workClock{};
    cell::PlantedFault plantedFault = cell::PlantedFault::kNone;  ///< For tests only.
};

// Requests of operators.

struct AdminApply
{
    std::string text;
    bool waitInForce = false;  ///< Answer only once every live router has it in force.
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
/// Makes a learner that has caught up a voter. The core may also do so by itself.
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
/// Reads which requests are suspects or in quarantine.
struct AdminQuarantine
{
};
struct AdminRelease
{
    std::string digest;  ///< Empty: all.
};
using AdminRequest =
    std::variant<AdminApply, AdminStatus, AdminExplain, AdminMembers, AdminAddMember,
                 AdminPromoteMember, AdminRemoveMember, AdminDrain, AdminQuarantine, AdminRelease>;

// Effects the adapter carries out.

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
/// Open a connection to the leader, in place of any earlier one, on which this member acts for its
/// routers; then call onLeaderConnected(), and onLeaderLost() when it closes.
struct ConnectToLeader
{
    std::string address;  ///< "ip:port" for members.
};
/// Send to the leader on that connection.
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

/// A runner ended under a request that is passed on to no other from now on.
struct RequestQuarantined
{
    cell::Suspect suspect;
};

/// A message in a runner's name that no proper runner of this cell can have sent. It was dropped.
struct RunnerMessageUnusable
{
    std::string instance;
    std::string reason;
};

using Effect = std::variant<PersistEffect, SendToMember, ConnectToLeader, SendToLeader,
                            SendToRouter, BroadcastToRouters, SendOrder, PollRunner,
                            PollMachineList, AnswerAdmin, AnswerControl, placement::SendEngineOrder,
                            placement::PollEngine, placement::EngineOrderDone, ConfigurationNews,
                            RequestQuarantined, RunnerMessageUnusable>;

/// A member that does not lead, as it serves routers on behalf of the leader.
struct RelayStatus
{
    bool mayServe =
        false;  ///< It has a lease of the leader to pass on. Always false at the leader.
    std::uint32_t routers = 0;
    std::uint64_t configuration = 0;    ///< Applied here.
    std::uint64_t instanceVersion = 0;  ///< Table of instances held.
    base::Term term = 0;                ///< Of the leader that granted the last lease.
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

    /// Time for this and the following calls. Call before every other input.
    void setTime (base::TimePoint now, base::UnixMilliseconds unixNow);

    /// Advances timers; call at least every 10 ms.
    void onTick();
    void onMemberMessage (const consensus::Message& message);
    void onPersisted (std::uint64_t sequence);
    void onStorageFailed();

    void onRouterMessage (RouterConnection connection, const cell::RouterToController& message);
    void onRouterGone (RouterConnection connection);

    /// The connection that ConnectToLeader asked for stands, is gone, or brought a message.
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

    /// Answers of registered engines. `report` is null when there is none.
    void onEngineOrderAnswer (const engine::ServiceOrder& order, engine::OrderOutcome outcome);
    void onEngineReport (const std::string& instance, const engine::ServiceReport* report);

    /// An address at which members are answered that the member set does not name.
    void addContact (const std::string& peerAddress);

    /// Begins a planned stop: hands leadership over. Done when isStopped().
    void beginStop();
    [[nodiscard]] bool isStopped() const;

    [[nodiscard]] std::vector<Effect> takeEffects();
    [[nodiscard]] consensus::RaftStatus raftStatus() const;
    [[nodiscard]] consensus::RaftSummary raftSummary() const;
    /// Whether this controller leads and holds the leader's lease at the time set last.
    [[nodiscard]] bool holdsLease() const;
    /// The replicated state as applied so far.
    [[nodiscard]] const cell::CellState& state() const;
    /// Text of /metrics that only the core knows.
    [[nodiscard]] std::string metricsText() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::controller
