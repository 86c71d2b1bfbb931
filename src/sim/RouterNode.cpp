#include "sim/RouterNode.h"

#include <utility>

#include "sim/BackEnd.h"
#include "sim/Callers.h"
#include "sim/ConfigurationChecker.h"
#include "sim/ControllerNode.h"
#include "sim/LeavingChecker.h"

namespace fernlift::sim
{
namespace
{

constexpr base::Duration kTickInterval = base::milliseconds (10);
constexpr std::int64_t kMaxRestartMicroseconds = 500'000;

router::PlantedFault routerFault (PlantedFault fault)
{
    switch (fault)
    {
        case PlantedFault::kRetrySentUnrepeatable:
            return router::PlantedFault::kRetrySentUnrepeatable;
        case PlantedFault::kPassDuplicateChunks:
            return router::PlantedFault::kPassDuplicateChunks;
        case PlantedFault::kDropRefusal:
            return router::PlantedFault::kDropRefusal;
        case PlantedFault::kIgnoreLease:
            return router::PlantedFault::kIgnoreLease;
        case PlantedFault::kNotRunAfterBytes:
            return router::PlantedFault::kNotRunAfterBytes;
        case PlantedFault::kDispatchToLeaving:
            return router::PlantedFault::kDispatchToLeaving;
        default:
            return router::PlantedFault::kNone;
    }
}

void addTo (router::RouterCounters& sum, const router::RouterCounters& counters)
{
    sum.admitted += counters.admitted;
    sum.answered += counters.answered;
    sum.refused += counters.refused;
    sum.callersDisconnected += counters.callersDisconnected;
    sum.open += counters.open;
    sum.attempts += counters.attempts;
    sum.retries += counters.retries;
    sum.resumes += counters.resumes;
    sum.claims += counters.claims;
}

}  // namespace

RouterNode::RouterNode (World& world, NodeId node, std::size_t number)
    : Process (world.network, world.trace, node, "router-" + std::to_string (number + 1),
               drawDrift (world.random)),
      m_world (world),
      m_id (name())
{
    if (world.options.plantedFault == PlantedFault::kClockStopsInSuspension)
        stopClockInSuspension();
}

router::RouterOptions RouterNode::coreOptions() const
{
    router::RouterOptions options;
    options.router = m_id;
    options.cell = base::CellId ("simulated");
    options.zone = base::ZoneName ("z" + std::to_string (node() % 3 + 1));
    options.address = "127.2.0." + std::to_string (node()) + ":8000";
    options.outcomeWait = base::seconds (5);
    options.hedgeAfter = base::milliseconds (400);
    options.plantedFault = routerFault (m_world.options.plantedFault);
    return options;
}

void RouterNode::start()
{
    begin();
    m_isStopping = false;
    addToTrace ("starts");
    m_core.emplace (coreOptions(), random().bits(), clock().now(), clock().unixNow());
    m_world.configuration->onRouterStarted (*this);
    m_nextController = node();
    tick (runNumber());
}

void RouterNode::stopAndRestart()
{
    if (! isAlive() || isFrozen() || m_isStopping)
        return;
    addToTrace ("planned stop");
    m_isStopping = true;
    feed ([] (router::RouterCore& core) { core.beginStop(); });
}

void RouterNode::onKilled()
{
    addTo (m_formerCounters, m_core->counters());
    for (const auto& [ticket, request] : m_requests)
    {
        request->isRouterLost = true;
        m_world.callers->onRouterLost (request);
    }
    if (m_isStopping && ! m_requests.empty())
    {
        addToTrace (std::to_string (m_requests.size()) + " requests lost while stopping");
    }
    m_requests.clear();
    m_detached.clear();
    m_attempts.clear();
    m_core.reset();
    m_controllerConnection.reset();
    m_controller = nullptr;
}

router::RouterCounters RouterNode::totalCounters() const
{
    router::RouterCounters sum = m_formerCounters;
    if (m_core)
        addTo (sum, m_core->counters());
    return sum;
}

void RouterNode::tick (std::uint64_t runNumber)
{
    if (! isAlive() || runNumber != this->runNumber())
        return;
    queue().after (kTickInterval, [this, runNumber] { tick (runNumber); });
    if (isFrozen())
        return;
    feed ([] (router::RouterCore& core) { core.onTick(); });
    if (! m_isStopping || ! m_core->isIdle())
        return;
    if (! m_requests.empty())
    {
        m_world.violations.add ("planned stop cuts nothing",
                                name() + " is idle with open requests");
    }
    kill (base::Duration::zero());
    const auto pause = base::Duration (random().uniformInteger (0, kMaxRestartMicroseconds));
    queue().after (pause,
                   [this, stopped = this->runNumber()]
                   {
                       if (! isAlive() && stopped == this->runNumber())
                           start();
                   });
}

void RouterNode::feed (const Input& input)
{
    if (! m_core)
        return;
    m_core->setTime (clock().now(), clock().unixNow());
    input (*m_core);
    const std::vector<router::Effect> effects = m_core->takeEffects();
    m_world.configuration->onRouterInput (*this);
    for (const router::Effect& effect : effects)
        carryOut (effect);
}

bool RouterNode::isReadyNow()
{
    if (! isAlive() || isFrozen())
        return false;
    m_core->setTime (clock().now(), clock().unixNow());
    return m_core->isReady();
}

void RouterNode::onRequest (const CallerRequestPointer& request)
{
    request->hasReachedRouter = true;
    m_world.callers->onArrived (*this, request);
    m_core->setTime (clock().now(), clock().unixNow());
    const router::RequestTicket ticket = m_core->onRequest (request->head);
    m_requests[ticket] = request;
    feed ([] (router::RouterCore&) {});
}

void RouterNode::onCallerDisconnected (const CallerRequestPointer& request)
{
    for (const auto& [ticket, open] : m_requests)
    {
        if (open != request)
            continue;
        request->hasCallerDisconnected = true;
        const router::RequestTicket gone = ticket;
        endAnswer (gone);
        feed ([gone] (router::RouterCore& core) { core.onCallerDisconnected (gone); });
        return;
    }
}

void RouterNode::onControllerMessage (const ConnectionPointer& connection,
                                      const cell::ControllerToRouter& message)
{
    if (connection != m_controllerConnection)
        return;
    feed ([&] (router::RouterCore& core) { core.onControllerMessage (message); });
}

void RouterNode::onAttemptEvent (router::AttemptId attempt, const router::AttemptEvent& event)
{
    const auto found = m_attempts.find (attempt);
    if (found == m_attempts.end())
        return;
    const cell::RoutableReplica replica = found->second.replica;
    const bool isLast = std::holds_alternative<router::AttemptEnded> (event)
                        || std::holds_alternative<router::AttemptRefused> (event)
                        || std::holds_alternative<router::AttemptBroken> (event)
                        || std::holds_alternative<router::AttemptNotSent> (event);
    if (isLast)
    {
        if (found->second.connection)
            found->second.connection->close (Side::kOpener, true);
        m_attempts.erase (found);
    }
    const auto* headers = std::get_if<router::AttemptHeaders> (&event);
    const auto* refused = std::get_if<router::AttemptRefused> (&event);
    const bool saysLeaving = (headers != nullptr && headers->runnerIsLeaving)
                             || (refused != nullptr && refused->runnerIsLeaving);
    feed ([&] (router::RouterCore& core) { core.onAttemptEvent (attempt, event); });
    if (saysLeaving)
        m_world.leaving->onRouterLeavingReport (*this, replica);
}

void RouterNode::carryOut (const router::Effect& effect)
{
    std::visit ([this] (const auto& content) { apply (content); }, effect);
}

void RouterNode::apply (const router::SendToController& effect)
{
    if (! m_controllerConnection)
        return;
    m_controllerConnection->send (Side::kOpener,
                                  [controller = m_controller, runNumber = m_controllerRunNumber,
                                   number = m_controllerNumber, message = effect.message]
                                  {
                                      controller->postTo (
                                          runNumber, [controller, number, message]
                                          { controller->onRouterMessage (number, message); });
                                  });
}

void RouterNode::closeController()
{
    if (m_controllerConnection)
        m_controllerConnection->close (Side::kOpener, random().chance (0.5));
    m_controllerConnection.reset();
    m_controller = nullptr;
}

void RouterNode::apply (const router::ConnectController& effect)
{
    closeController();
    ControllerNode* controller = m_world.controllerAt (effect.address);
    if (controller == nullptr)
    {
        controller = m_world.controllers[m_nextController++ % m_world.controllers.size()].get();
    }
    connect (*controller);
}

void RouterNode::connect (ControllerNode& controller)
{
    const std::uint64_t attempt = ++m_connectNumber;
    if (controller.hasVanished())
        return;
    const ConnectionPointer connection = network().open (node(), controller.node());
    if (! connection)
        return;
    const base::Duration roundTrip =
        network().delay (node(), controller.node()) + network().delay (controller.node(), node());
    queue().after (
        roundTrip,
        [this, attempt, connection, &controller, runNumber = runNumber()]
        {
            postTo (runNumber,
                    [this, attempt, connection, &controller]
                    {
                        if (attempt != m_connectNumber)
                            return;
                        if (! controller.isAlive())
                        {
                            feed ([] (router::RouterCore& core) { core.onControllerLost(); });
                            return;
                        }
                        const std::uint64_t number = controller.accept (*this, connection);
                        onConnected (controller, connection, controller.runNumber(), number);
                    });
        });
}

void RouterNode::onConnected (ControllerNode& controller, const ConnectionPointer& connection,
                              std::uint64_t controllerRunNumber, std::uint64_t number)
{
    m_controller = &controller;
    m_controllerRunNumber = controllerRunNumber;
    m_controllerNumber = number;
    m_controllerConnection = connection;
    connection->onEnded (
        Side::kOpener,
        [this, runNumber = runNumber(), weak = std::weak_ptr (connection)]
        {
            postTo (runNumber,
                    [this, weak]
                    {
                        if (weak.lock() != m_controllerConnection || ! m_controllerConnection)
                            return;
                        m_controllerConnection.reset();
                        feed ([] (router::RouterCore& core) { core.onControllerLost(); });
                    });
        });
    feed ([] (router::RouterCore& core) { core.onControllerConnected(); });
}

void RouterNode::apply (const router::StartAttempt& effect)
{
    const CallerRequestPointer request = findRequest (effect.ticket);
    if (! request)
        return;
    if (! std::exchange (request->isFirstAttemptMade, true))
    {
        m_world.configuration->onFirstDispatch (*this);
    }
    m_world.leaving->onDispatch (*this, effect.replica);
    m_attempts[effect.attempt] = { nullptr, effect.replica, effect.ticket };
    openAttempt (effect.attempt, effect);
}

void RouterNode::openAttempt (router::AttemptId id, const router::StartAttempt& effect)
{
    BackEnd* backEnd = m_world.backEndAt (effect.replica.address);
    const auto failAfter = [this, id] (base::Duration wait)
    {
        queue().after (
            wait, [this, id, runNumber = runNumber()]
            { postTo (runNumber, [this, id] { onAttemptEvent (id, router::AttemptNotSent{}); }); });
    };
    const ConnectionPointer connection = backEnd == nullptr || backEnd->hasVanished()
                                             ? nullptr
                                             : network().open (node(), backEnd->node());
    if (! connection)
    {
        failAfter (effect.connectTimeout);
        return;
    }
    const base::Duration roundTrip =
        network().delay (node(), backEnd->node()) + network().delay (backEnd->node(), node());
    if (! backEnd->isAlive())
    {
        failAfter (roundTrip);
        return;
    }
    const Attempt attempt{ this,
                           runNumber(),
                           id,
                           connection,
                           findRequest (effect.ticket),
                           effect.replica,
                           effect.urgency,
                           effect.resumeFrom };
    queue().after (
        roundTrip,
        [this, attempt, backEnd, runNumber = runNumber()]
        {
            postTo (runNumber,
                    [this, attempt, backEnd]
                    {
                        const auto found = m_attempts.find (attempt.id);
                        if (found == m_attempts.end())
                            return;
                        found->second.connection = attempt.connection;
                        attempt.connection->onEnded (
                            Side::kOpener,
                            [this, id = attempt.id, runNumber = this->runNumber()] {
                                postTo (runNumber, [this, id]
                                        { onAttemptEvent (id, router::AttemptBroken{}); });
                            });
                        attempt.connection->send (
                            Side::kOpener,
                            [attempt, backEnd]
                            {
                                if (! backEnd->isAlive())
                                {
                                    if (! backEnd->hasVanished())
                                        attempt.connection->close (Side::kAcceptor, true);
                                    return;
                                }
                                backEnd->post ([attempt, backEnd] { backEnd->submit (attempt); });
                            });
                    });
        });
}

void RouterNode::apply (const router::CancelAttempt& effect)
{
    const auto found = m_attempts.find (effect.attempt);
    if (found == m_attempts.end())
        return;
    if (found->second.connection)
    {
        found->second.connection->close (Side::kOpener, random().chance (0.5));
    }
    m_attempts.erase (found);
}

CallerRequestPointer RouterNode::findRequest (router::RequestTicket ticket) const
{
    const auto found = m_requests.find (ticket);
    if (found != m_requests.end())
        return found->second;
    const auto detached = m_detached.find (ticket);
    return detached == m_detached.end() ? nullptr : detached->second;
}

void RouterNode::endAnswer (router::RequestTicket ticket)
{
    const auto found = m_requests.find (ticket);
    if (found == m_requests.end())
        return;
    m_detached[ticket] = found->second;
    m_requests.erase (found);
}

void RouterNode::apply (const router::AnswerHeaders& effect)
{
    const CallerRequestPointer request = findRequest (effect.ticket);
    if (request)
        request->httpStatus = effect.httpStatus;
}

void RouterNode::apply (const router::AnswerData& effect)
{
    const CallerRequestPointer request = findRequest (effect.ticket);
    if (request)
        request->text += effect.data;
}

void RouterNode::apply (const router::AnswerEnd& effect)
{
    const CallerRequestPointer request = findRequest (effect.ticket);
    if (! request)
        return;
    request->finalAnswers += 1;
    m_world.callers->onFinal (*this, request);
    endAnswer (effect.ticket);
}

void RouterNode::apply (const router::AnswerError& effect)
{
    const CallerRequestPointer request = findRequest (effect.ticket);
    if (! request)
        return;
    request->finalAnswers += 1;
    request->error = effect.error;
    request->execution = effect.execution;
    m_world.callers->onFinal (*this, request);
    endAnswer (effect.ticket);
}

}  // namespace fernlift::sim
