#pragma once

/// One router of a simulation: the router's core, and what the adapters of a real process would do
/// for it.

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
    /// Planned stop: ends once nothing is in progress, and starts again.
    void stopAndRestart();

    /// A caller's whole request has arrived.
    void onRequest (const CallerRequestPointer& request);
    void onCallerGone (const CallerRequestPointer& request);
    void onControllerMessage (const ConnectionPointer& connection,
                              const cell::ControllerToRouter& message);
    void onAttemptEvent (router::AttemptId attempt, const router::AttemptEvent& event);

    [[nodiscard]] router::RouterCore* core() { return core_ ? &*core_ : nullptr; }
    /// Whether it may admit requests at this moment.
    [[nodiscard]] bool isReadyNow();
    [[nodiscard]] const base::RouterId& id() const { return id_; }
    /// Sums over all lives of the process.
    [[nodiscard]] router::RouterCounters totalCounters() const;

protected:
    void onKilled() override;

private:
    struct OpenAttempt
    {
        ConnectionPointer connection;  ///< Null while it is being opened.
        cell::RoutableReplica replica;
        router::RequestTicket ticket = 0;
    };
    using Input = std::function<void (router::RouterCore&)>;

    void feed (const Input& input);
    void tick (std::uint64_t life);
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
                      std::uint64_t controllerLife, std::uint64_t number);
    void closeController();
    void openAttempt (router::AttemptId id, const router::StartAttempt& effect);
    void endAnswer (router::RequestTicket ticket);
    CallerRequestPointer findRequest (router::RequestTicket ticket) const;
    [[nodiscard]] router::RouterOptions coreOptions() const;

    World& world_;
    base::RouterId id_;
    std::optional<router::RouterCore> core_;
    bool isStopping_ = false;
    router::RouterCounters formerCounters_;

    // The controller's connection.
    std::size_t nextController_ = 0;
    std::uint64_t connectNumber_ = 0;
    ControllerNode* controller_ = nullptr;
    std::uint64_t controllerLife_ = 0;
    std::uint64_t controllerNumber_ = 0;
    ConnectionPointer controllerConnection_;

    std::map<router::RequestTicket, CallerRequestPointer> requests_;
    std::map<router::RequestTicket, CallerRequestPointer>
        detached_;  ///< Answered, outcome awaited.
    std::map<router::AttemptId, OpenAttempt> attempts_;
};

}  // namespace fernlift::sim
