// Queueing and refusals: from the arrival of a request until it gets a slot at a replica.

#include <algorithm>
#include <utility>

#include "admission/RetryAfter.h"
#include "router/RouterCoreImplementation.h"

namespace fernlift::router
{
namespace
{

using base::ErrorKind;

/// Retry-After without an estimate for the target.
constexpr base::Duration kDefaultEstimate = base::seconds (2);
constexpr base::Duration kStoppingEstimate = base::milliseconds (200);
constexpr base::Duration kLeaseEstimate = base::seconds (1);
/// Interval of the checks of waiting requests against the estimated wait in their queue.
constexpr base::Duration kWaitCheckInterval = base::milliseconds (100);

}  // namespace

RequestTicket RouterCore::Implementation::onRequest (const RequestHead& head)
{
    const RequestTicket ticket = ++m_lastTicket;
    m_counters.admitted += 1;
    m_traces.begin (head.id, head.target, m_now, m_unixNow);
    if (const auto refusal = reasonToRefuseAtOnce (head))
    {
        RouterRequest refused;
        refused.ticket = ticket;
        refused.head = head;
        failNotRun (refused, *refusal);
        return ticket;
    }
    m_demand.onArrival (head.target);
    RouterRequest& request = admit (head, *m_configuration.classOf (head));
    enqueueNew (request);
    settle();
    return ticket;
}

std::optional<RouterCore::Implementation::Refusal>
RouterCore::Implementation::reasonToRefuseAtOnce (const RequestHead& head) const
{
    if (m_stoppingSince)
        return Refusal{ ErrorKind::kStopping, "router is stopping", kStoppingEstimate };
    const bool needsLease = m_options.plantedFault != PlantedFault::kIgnoreLease;
    if (needsLease && ! isReady())
    {
        return Refusal{ ErrorKind::kLeaseExpired, "no lease on the configuration", kLeaseEstimate };
    }
    if (! m_configuration.hasTarget (head.protocol, head.target))
    {
        return Refusal{ ErrorKind::kModelNotFound, "'" + head.target + "' is not configured", {} };
    }
    const config::RequestClass* requestClass = m_configuration.classOf (head);
    if (requestClass == nullptr)
    {
        return Refusal{ ErrorKind::kInvalidRequest, "the request class is not configured", {} };
    }
    const bool isRepeatable = requestClass->repeatable || head.isSafeMethod;
    if (! isRepeatable && head.idempotencyKey.empty())
    {
        return Refusal{ ErrorKind::kIdempotencyKeyRequired,
                        "class '" + requestClass->name.value + "' needs an Idempotency-Key",
                        {} };
    }
    if (head.deadline && *head.deadline <= base::Duration::zero())
    {
        return Refusal{ ErrorKind::kDeadlinePassed,
                        "the deadline had passed when the request arrived",
                        {} };
    }
    return std::nullopt;
}

RouterRequest& RouterCore::Implementation::admit (const RequestHead& head,
                                                  const config::RequestClass& requestClass)
{
    RouterRequest& request = m_requests[m_lastTicket];
    request.ticket = m_lastTicket;
    request.head = head;
    request.urgency = requestClass.urgency;
    request.isRepeatable = requestClass.repeatable || head.isSafeMethod;
    request.arrivedAt = m_now;
    // A caller can shorten the deadline of its class but not extend it.
    const base::Duration allowed = requestClass.deadline;
    request.deadline = m_now + std::min (head.deadline.value_or (allowed), allowed);
    request.answerDeadline = request.deadline + m_options.wholeAnswerTimeout;
    return request;
}

admission::QueuedRequest RouterCore::Implementation::queueEntry (const RouterRequest& request) const
{
    return admission::QueuedRequest{ request.ticket, request.head.caller, request.deadline,
                                     request.head.bodyBytes };
}

void RouterCore::Implementation::enqueueNew (RouterRequest& request)
{
    const std::string target = request.head.target;
    const std::size_t ahead = m_queues.countAhead (target, request.urgency);
    if (const auto refusal = reasonNotServable (request, ahead))
    {
        failNotRun (request, *refusal);
        return;
    }
    const auto outcome = m_queues.push (target, request.urgency, queueEntry (request));
    for (const admission::Ticket displaced : outcome.displaced)
    {
        RouterRequest& victim = m_requests.at (displaced);
        failNotRun (victim,
                    { ErrorKind::kQueueFull, "evicted from the queue by a more urgent request",
                      waitEstimate (victim) });
    }
    if (! outcome.isAccepted)
    {
        failNotRun (request,
                    { ErrorKind::kQueueFull, "the request queue is full", waitEstimate (request) });
        return;
    }
    const RequestTicket ticket = request.ticket;
    setTimer (request);
    serveTarget (target, request.urgency);
    const auto still = m_requests.find (ticket);
    const bool isWaiting =
        still != m_requests.end() && still->second.state == RequestState::kQueued;
    const bool isFirst = m_queues.countWaiting (target) == 1;
    if (isWaiting && isFirst && ! m_table.hasUsableReplica (target))
        m_demand.onColdTarget();
}

void RouterCore::Implementation::requeue (RouterRequest& request)
{
    request.state = RequestState::kQueued;
    m_queues.requeue (request.head.target, request.urgency, queueEntry (request));
    setTimer (request);
    m_mustServe = true;
}

std::optional<RouterCore::Implementation::Refusal> RouterCore::Implementation::reasonNotServable (
    const RouterRequest& request, std::size_t ahead) const
{
    const std::string& target = request.head.target;
    if (m_options.plantedFault == PlantedFault::kHoldHopeless)
        return std::nullopt;
    if (m_table.hasUsableReplica (target))
    {
        const base::Duration backoff = shortestBackoff (target);
        if (m_now + backoff > request.deadline)
        {
            return Refusal{ ErrorKind::kNoCapacity, "all runners decline requests for some time",
                            backoff };
        }
        const auto wait = m_waits.waitBehind (target, ahead, m_now);
        if (! wait || m_now + *wait <= request.deadline)
            return std::nullopt;
        return Refusal{ ErrorKind::kDeadlineUnreachable,
                        "the estimated wait in the queue exceeds the deadline", *wait };
    }
    const auto estimate = m_table.estimateOf (target);
    if (! estimate)
        return std::nullopt;
    const base::Duration untilReady =
        std::max<base::Duration> (estimate->readyAt - m_now, base::Duration::zero());
    if (! estimate->canBeServed)
    {
        return Refusal{ ErrorKind::kNoCapacity, "no runner may hold '" + target + "' now",
                        std::max (untilReady, kDefaultEstimate) };
    }
    if (m_now + untilReady <= request.deadline)
        return std::nullopt;
    return Refusal{ ErrorKind::kDeadlineUnreachable, "'" + target + "' is not loaded in time",
                    untilReady };
}

void RouterCore::Implementation::refuseUnservable()
{
    std::vector<RequestTicket> waiting;
    for (const auto& [ticket, request] : m_requests)
    {
        const bool isWaiting =
            request.state == RequestState::kQueued || request.state == RequestState::kBackingOff;
        if (isWaiting && ! request.hasReachedCaller)
            waiting.push_back (ticket);
    }
    for (const RequestTicket ticket : waiting)
    {
        RouterRequest& request = m_requests.at (ticket);
        if (! m_configuration.hasTarget (request.head.protocol, request.head.target))
        {
            failNotRun (request,
                        { ErrorKind::kModelNotFound, "the target is no longer configured", {} });
        }
        else if (const auto refusal = reasonNotServable (request, 0))
        {
            failNotRun (request, *refusal);
        }
    }
}

void RouterCore::Implementation::checkWaitEstimates()
{
    if (m_now < m_nextWaitCheck)
        return;
    m_nextWaitCheck = m_now + kWaitCheckInterval;
    for (const std::string& target : m_queues.targetsWaiting())
    {
        std::size_t ahead = 0;
        for (const admission::Ticket ticket : m_queues.inServiceOrder (target))
        {
            RouterRequest& request = m_requests.at (ticket);
            const auto refusal = reasonNotServable (request, ahead);
            if (refusal && ! request.hasReachedCaller)
            {
                failNotRun (request, *refusal);
            }
            else
            {
                ahead += 1;
            }
        }
    }
}

void RouterCore::Implementation::refuseWaiting (ErrorKind kind, const std::string& message,
                                                base::Duration estimate)
{
    std::vector<RequestTicket> waiting;
    for (const auto& [ticket, request] : m_requests)
    {
        if (! request.wasDispatched && ! request.isDetached)
            waiting.push_back (ticket);
    }
    for (const RequestTicket ticket : waiting)
    {
        failNotRun (m_requests.at (ticket), { kind, message, estimate });
    }
}

void RouterCore::Implementation::serveQueues()
{
    // Serving can free slots again, for example when it refuses a request.
    while (std::exchange (m_mustServe, false))
    {
        std::vector<int> urgencies = m_queues.urgenciesWaiting();
        if (m_options.plantedFault == PlantedFault::kStarveUrgent)
            std::ranges::reverse (urgencies);
        for (const int urgency : urgencies)
        {
            for (const std::string& target : m_queues.targetsWaiting (urgency))
            {
                serveTarget (target, urgency);
            }
        }
    }
}

void RouterCore::Implementation::serveTarget (const std::string& target, int urgency)
{
    while (const auto ticket = m_queues.front (target, urgency))
    {
        RouterRequest& request = m_requests.at (*ticket);
        const auto replica = chooseReplica (request);
        if (! replica)
            return;
        m_queues.popServed (*ticket);
        const bool othersWait = m_queues.countWaiting (target) > 0;
        m_waits.onDispatch (target, othersWait, m_now);
        beginService (request, *replica);
    }
}

std::optional<cell::RoutableReplica> RouterCore::Implementation::chooseReplica (
    const RouterRequest& request)
{
    std::vector<const routing::ReplicaState*> candidates =
        m_table.usableReplicas (request.head.target);
    std::erase_if (candidates, [&] (const routing::ReplicaState* state)
                   { return ! hasRoom (*state, request.urgency); });
    routing::ChoiceRequest choice{ request.head.prefixHashes, request.avoid, std::nullopt };
    const bool isReserved = m_configuration.reservation().hasReservation (request.urgency);
    if (isReserved)
        choice.pausesLessUrgentThan = request.urgency;
    const routing::ReplicaState* chosen =
        m_chooser.choose (candidates, choice, m_table, m_outliers, m_prefixes, m_now, m_random);
    if (chosen == nullptr)
        return std::nullopt;
    return chosen->info;
}

base::Duration RouterCore::Implementation::backoffOf (const cell::RoutableReplica& replica) const
{
    if (m_availability.isEmpty())
        return base::Duration::zero();
    return m_availability.waitFor (incarnationOf (replica), m_now);
}

base::Duration RouterCore::Implementation::shortestBackoff (const std::string& target) const
{
    if (m_availability.isEmpty())
        return base::Duration::zero();
    std::optional<base::Duration> shortest;
    for (const routing::ReplicaState* state : m_table.usableReplicas (target))
    {
        const base::Duration backoff = backoffOf (state->info);
        shortest = std::min (shortest.value_or (backoff), backoff);
    }
    return shortest.value_or (base::Duration::zero());
}

bool RouterCore::Implementation::hasRoom (const routing::ReplicaState& state, int urgency) const
{
    if (backoffOf (state.info) > base::Duration::zero())
        return false;
    const admission::SlotReservation& reservation = m_configuration.reservation();
    const cell::RoutableReplica& info = state.info;
    const bool isReserved = reservation.hasReservation (urgency);
    const bool isEntering = info.entryCredits != 0 && ! m_demand.hasReportedDemand (info.target);
    const std::uint32_t share = isEntering ? info.entryCredits : info.credits;
    std::uint32_t credits = share == 0 ? std::max (info.slots, 1U) : share;
    std::uint32_t used = state.inFlightTotal();
    if (isReserved)
    {
        // Credits can be as low as one. For a class with reserved slots, which engines run first,
        // less urgent requests do not count, and it gets at least as many credits as reserved
        // slots.
        used = routing::countUpTo (state.inFlight, urgency);
        credits = std::max (credits, reservation.reservedSlots (urgency, info.slots));
    }
    if (! reservation.mayStart (urgency, credits, used, state.inFlight))
        return false;
    // The load is only an estimate. Classes with reserved slots may exceed it because engines serve
    // them first.
    if (info.slots == 0 || isReserved)
        return true;
    return reservation.mayStart (urgency, info.slots, m_table.estimatedLoad (info.runner),
                                 m_table.inFlightAtRunner (info.runner));
}

base::Duration RouterCore::Implementation::waitEstimate (const RouterRequest& request) const
{
    const std::string& target = request.head.target;
    if (m_table.hasUsableReplica (target))
    {
        const std::size_t ahead = m_queues.countAhead (target, request.urgency);
        return std::max (m_waits.waitBehind (target, ahead, m_now).value_or (kDefaultEstimate),
                         shortestBackoff (target));
    }
    const auto estimate = m_table.estimateOf (target);
    if (! estimate || estimate->readyAt <= m_now)
        return kDefaultEstimate;
    return estimate->readyAt - m_now;
}

void RouterCore::Implementation::failNotRun (RouterRequest& request, const Refusal& refusal)
{
    const bool isRetryable = base::traitsOf (refusal.kind).retryable;
    std::optional<base::Duration> retryAfter;
    if (isRetryable)
        retryAfter = admission::retryAfter (refusal.estimate, m_random);
    const auto execution =
        request.mayHaveRun ? base::Execution::kUnknown : base::Execution::kNotRun;
    fail (request, base::Error{ refusal.kind, refusal.message }, execution, retryAfter);
}

}  // namespace fernlift::router
