#pragma once

/// Simulated controller machine. Runs the controller's core on a simulated disk and takes the place
/// of the I/O adapters of a real process.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "controller/ControllerCore.h"
#include "sim/Process.h"
#include "sim/SimulatedDisk.h"
#include "sim/World.h"

namespace fernlift::sim
{

class RouterNode;

class ControllerNode final : public Process
{
public:
    ControllerNode (World& world, NodeId node, base::MemberId member);

    /// Stores the first log entry of a new cell.
    void bootstrap (const consensus::MemberSet& members) { m_disk.bootstrap (members); }
    /// Starts with the state recovered from the disk.
    void start();
    /// Erases the disk and assigns the machine to member `member`. The process must not be running.
    void replaceDisk (base::MemberId member);
    /// Planned stop: transfers leadership, stops and restarts.
    void stopAndRestart();
    /// Sets the maximum duration of later syncs.
    void setDiskDelay (base::Duration longest) { m_longestSync = longest; }

    /// Accepts a connection from a router and returns its number.
    controller::RouterConnection accept (RouterNode& router, ConnectionPointer connection);
    void onRouterMessage (controller::RouterConnection connection,
                          const cell::RouterToController& message);
    void onRouterDisconnected (controller::RouterConnection connection);

    /// Handles an operator's request; `onAnswer` runs at this controller.
    void admin (const controller::AdminRequest& request,
                std::function<void (const controller::AnswerAdmin&)> onAnswer);

    [[nodiscard]] base::MemberId member() const { return m_member; }
    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] bool hasCore() const { return m_core.has_value(); }
    [[nodiscard]] controller::ControllerCore& core() { return *m_core; }
    /// True when the process is alive, not frozen and holds the leader's lease at this moment.
    [[nodiscard]] bool leadsNow();
    [[nodiscard]] consensus::Member asMember (bool isVoter) const;

protected:
    void onKilled() override;

private:
    struct RouterLink
    {
        RouterNode* router = nullptr;
        ConnectionPointer connection;
    };
    using Input = std::function<void (controller::ControllerCore&)>;

    void feed (const Input& input);
    void tick (std::uint64_t runNumber);
    void carryOut (const controller::Effect& effect);
    void apply (const controller::PersistEffect& effect);
    void apply (const controller::SendToMember& effect);
    void apply (const controller::SendToRouter& effect);
    void apply (const controller::BroadcastToRouters& effect);
    void apply (const controller::SendOrder& effect);
    void apply (const controller::PollRunner& effect);
    void apply (const controller::PollMachineList& effect);
    void apply (const controller::AnswerAdmin& effect);
    // The simulated cell has no registered services, so there are no control requests to answer.
    void apply (const controller::AnswerControl& /*effect*/) {}
    // Routers of the simulated cell get their leases directly from the leader, so no relay connects
    // to it.
    void apply (const controller::ConnectToLeader& /*connect*/) {}
    void apply (const controller::SendToLeader& /*send*/) {}
    void apply (const placement::EngineOrderDone& /*done*/) {}
    void apply (const controller::ConfigurationEvent& /*news*/) {}
    void apply (const controller::RequestQuarantined& /*quarantined*/) {}
    void apply (const controller::InstanceReportedUnreachable& /*report*/) {}
    void apply (const controller::RunnerMessageUnusable& /*unusable*/) {}
    void apply (const placement::SendEngineOrder& /*effect*/) {}
    void apply (const placement::PollEngine& /*effect*/) {}
    void failLater (const Action& onFailed);
    void writeIfIdle();
    [[nodiscard]] controller::ControllerOptions coreOptions() const;

    World& m_world;
    base::MemberId m_member;
    std::string m_address;
    std::size_t m_entriesBetweenSnapshots;
    SimulatedDisk m_disk;
    base::Duration m_longestSync;
    std::optional<controller::ControllerCore> m_core;
    bool m_isStopping = false;
    std::map<controller::RouterConnection, RouterLink> m_routers;
    controller::RouterConnection m_lastConnection = 0;
    std::map<controller::AdminTicket, std::function<void (const controller::AnswerAdmin&)>>
        m_tickets;
    controller::AdminTicket m_lastTicket = 0;
};

}  // namespace fernlift::sim
