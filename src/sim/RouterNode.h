#pragma once

/// Simulated router. Runs the router's core and takes the place of the I/O adapters of a real
/// process.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "router/RouterCore.h"
#include "sim/CallerRequest.h"
#include "sim/Process.h"
#include "sim/World.h"

namespace fernlift::sim
{

class RouterNode final : public Process
{
public:
    RouterNode (World& world, NodeId node, std::size_t number);

    void start();
    /// Planned stop: finishes all requests, stops and restarts.
    void stopAndRestart();

    /// Handles a completely received request of a caller.
    void onRequest (const CallerRequestPointer& request);
    void onCallerDisconnected (const CallerRequestPointer& request);
    void onControllerMessage (const ConnectionPointer& connection,
                              const cell::ControllerToRouter& message);
    void onAttemptEvent (router::AttemptId attempt, const router::AttemptEvent& event);

    [[nodiscard]] router::RouterCore* core() { return m_core ? &*m_core : nullptr; }
    /// True when the router may admit requests at this moment.
    [[nodiscard]] bool isReadyNow();
    [[nodiscard]] const base::RouterId& id() const { return m_id; }
    /// Counters summed over all runs of the process.
    [[nodiscard]] router::RouterCounters totalCounters() const;

protected:
    void onKilled() override;

private:
    struct OpenAttempt
    {
        ConnectionPointer connection;  ///< Null while the connection is being opened.
        cell::RoutableReplica replica;
        router::RequestTicket ticket = 0;
    };
    using Input = std::function<void (router::RouterCore&)>;

    void feed (const Input& input);
    void tick (std::uint64_t runNumber);
    void carryOut (const router::Effect& effect);
    void apply (const router::SendToController& effect);
    void apply (const router::ConnectController& effect);
    void apply (const router::StartAttempt& effect);
    void apply (const router::CancelAttempt& effect);
    void apply (const router::AnswerHeaders& effect);
    void apply (const router::AnswerData& effect);
    void apply (const router::AnswerEnd& effect);
    void apply (const router::AnswerError& effect);
    void connect (ControllerNode& controller);
    void onConnected (ControllerNode& controller, const ConnectionPointer& connection,
                      std::uint64_t controllerRunNumber, std::uint64_t number);
    void closeController();
    void openAttempt (router::AttemptId id, const router::StartAttempt& effect);
    void endAnswer (router::RequestTicket ticket);
    CallerRequestPointer findRequest (router::RequestTicket ticket) const;
    [[nodiscard]] router::RouterOptions coreOptions() const;

    World& m_world;
    base::RouterId m_id;
    std::optional<router::RouterCore> m_core;
    bool m_isStopping = false;
    router::RouterCounters m_formerCounters;

    // Connection to a controller.
    std::size_t m_nextController = 0;
    std::uint64_t m_connectNumber = 0;
    ControllerNode* m_controller = nullptr;
    std::uint64_t m_controllerRunNumber = 0;
    std::uint64_t m_controllerNumber = 0;
    ConnectionPointer m_controllerConnection;

    std::map<router::RequestTicket, CallerRequestPointer> m_requests;
    std::map<router::RequestTicket, CallerRequestPointer>
        m_detached;  ///< Answered requests with attempts still in progress.
    std::map<router::AttemptId, OpenAttempt> m_attempts;
};

}  // namespace fernlift::sim
