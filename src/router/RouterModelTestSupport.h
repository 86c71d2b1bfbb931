#pragma once

/// Test support: a model of the callers, back ends and controller of one RouterCore. It turns a
/// list of numbers into inputs in any order and checks the invariants of the router at each effect.

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "router/ModelControllerTestSupport.h"
#include "routing/ReplicaTable.h"

namespace fernlift::router::testing
{

/// One input, encoded in numbers so that every sequence is valid and can be shrunk.
struct ModelStep
{
    int kind = 0;
    int choice = 0;
    int detail = 0;
};
inline constexpr int kModelStepKinds = 30;

struct Violation : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

class RouterModel
{
public:
    explicit RouterModel (const RouterOptions& options) : m_core (options, 1, m_now, kUnixStart)
    {
        connect();
        m_controller.upsert (row ("r1", "m", 0));
        m_controller.upsert (row ("r2", "m", 0));
        m_controller.upsert (row ("a1", "portal", 0));
        deliver (m_controller.wholeTable());
    }

    /// Applies one input and checks the invariants.
    void run (const ModelStep& step);
    /// Adds healthy replicas, answers everything that is open and checks that nothing is left.
    void healAndFinish();

private:
    struct Request
    {
        RequestHead head;
        int urgency = 0;
        bool isRepeatable = true;
        base::TimePoint deadline{};
        std::string text;  ///< Text that the caller received.
        bool hasHeaders = false;
        int ends = 0;
        bool isGone = false;
        std::vector<AttemptId> attempts;
        [[nodiscard]] bool isOpen() const { return ends == 0 && ! isGone; }
    };
    struct BackEndAttempt
    {
        StartAttempt start;
        int tokens = 0;  ///< Tokens delivered so far.
        bool hasHeaders = false;
        bool isOver = false;          ///< The back end has ended the attempt.
        bool isLive = true;           ///< Not ended, and not cancelled by the router.
        bool isProvenNotRun = false;  ///< The router received a proof that it did not run.
    };

    static constexpr base::UnixMilliseconds kUnixStart = 1'800'000'000'000;
    static constexpr int kTokens = 4;  ///< Tokens of every answer.

    static void require (bool holds, const std::string& promise)
    {
        if (! holds)
            throw Violation (promise);
    }
    static cell::RoutableReplica row (const std::string& runner, const std::string& target,
                                      base::Incarnation restarts)
    {
        cell::RoutableReplica made = RouterHarness::replica (runner, target, 2);
        made.incarnation = 1 + restarts;
        made.isApplication = target == "portal";
        made.replica = made.isApplication ? 0 : 10;
        return made;
    }
    /// Token streams are the same at every back end; other answers contain the attempt.
    [[nodiscard]] static std::string token (const Request& request, AttemptId attempt, int number)
    {
        const bool isStream =
            request.head.isStreaming && request.head.protocol == Protocol::kCompletions;
        const std::string source = isStream ? "" : "@" + std::to_string (attempt);
        return request.head.id.value + source + "." + std::to_string (number) + " ";
    }

    // Inputs.
    void advance (base::Duration duration);
    void connect();
    void deliver (const cell::ControllerToRouter& message)
    {
        const auto* update = std::get_if<cell::ReplicaUpdate> (&message);
        if (update != nullptr)
            trackTable (*update);
        if (! m_controller.isConnected)
            return;
        m_core.onControllerMessage (message);
        takeEffects();
    }
    /// Tracks the replica table and estimates that the router has.
    void trackTable (const cell::ReplicaUpdate& update)
    {
        const bool isWhole = update.fromVersion == 0;
        m_hasTable = m_controller.isConnected && (isWhole || m_hasTable);
        if (! m_hasTable)
            return;
        if (isWhole)
            m_estimates.clear();
        for (const auto& estimate : update.estimates)
        {
            const auto readyAt = m_now + base::milliseconds (estimate.readyInMilliseconds);
            m_estimates[estimate.target] = { estimate.canBeServed, readyAt };
        }
    }
    void deliverAll (const std::vector<cell::ControllerToRouter>& messages)
    {
        for (const auto& message : messages)
            deliver (message);
    }
    void request (const ModelStep& step);
    void disconnectCaller (const ModelStep& step);
    void attemptEvent (const ModelStep& step);
    void deliverEvent (AttemptId id, const AttemptEvent& event);
    void finishAttempt (AttemptId id);
    void changeReplicas (const ModelStep& step);
    void changeControl (const ModelStep& step);

    // Effects.
    void takeEffects()
    {
        for (Effect& effect : m_core.takeEffects())
        {
            std::visit ([this] (auto& content) { take (content); }, effect);
        }
    }
    void take (const SendToController& send)
    {
        if (m_controller.isConnected)
            m_controller.onSent (send.message, m_now);
    }
    void take (const ConnectController& /*connect*/)
    {
        if (m_controller.isConnected)
            m_controller.disconnect (false);
    }
    void take (const StartAttempt& start);
    void take (const CancelAttempt& cancel) { m_attempts.at (cancel.attempt).isLive = false; }
    void take (const AnswerHeaders& headers);
    void take (const AnswerData& data);
    void take (const AnswerEnd& end);
    void take (const AnswerError& error);

    // Checks.
    void checkStart (const Request& request, const StartAttempt& start) const;
    void checkText (const Request& request, bool isWhole) const;
    void checkAll() const;
    void checkServable (const Request& request) const;
    [[nodiscard]] bool isProvenNotRun (const Request& request) const
    {
        return std::all_of (request.attempts.begin(), request.attempts.end(),
                            [this] (AttemptId id) { return m_attempts.at (id).isProvenNotRun; });
    }

    base::TimePoint m_now{ base::seconds (1000) };
    ModelController m_controller;
    std::map<RequestTicket, Request> m_requests;
    std::map<AttemptId, BackEndAttempt> m_attempts;
    std::set<std::pair<base::RunnerId, base::Incarnation>> m_leaving;
    std::map<std::string, base::Incarnation> m_restarts;
    std::optional<Request> m_arriving;  ///< Request whose ticket onRequest() has not returned yet.
    bool m_isStopping = false;
    bool m_hasTable = false;  ///< The router has the current table of the controller.
    std::map<std::string, routing::ReadyEstimate> m_estimates;
    RouterCore m_core;
};

/// The first invariant that the inputs violate, if any.
std::optional<std::string> violationOf (const std::vector<ModelStep>& steps,
                                        const RouterOptions& options);

}  // namespace fernlift::router::testing
