// Final answers, disconnected callers and the timer of each request.

#include <algorithm>
#include <utility>

#include "router/RouterCoreImplementation.h"

namespace fernlift::router
{
namespace
{

using base::ErrorKind;

}  // namespace

void RouterCore::Implementation::fail (RouterRequest& request, base::Error error,
                                       base::Execution execution,
                                       std::optional<base::Duration> retryAfter)
{
    const bool isProvenNotRun = ! request.mayHaveRun && request.attempts.empty();
    if (request.isClaimed)
    {
        recordOutcome (request,
                       isProvenNotRun ? cell::ClaimOutcome::kNotRun : cell::ClaimOutcome::kUnknown,
                       0);
    }
    trace (request, "ended as " + std::string (base::traitsOf (error.kind).name));
    answerError (request, std::move (error), execution, retryAfter);
    forget (request);
}

void RouterCore::Implementation::answerError (const RouterRequest& request, base::Error error,
                                              base::Execution execution,
                                              std::optional<base::Duration> retryAfter)
{
    if (m_options.plantedFault == PlantedFault::kDropRefusal)
        return;
    if (m_options.plantedFault == PlantedFault::kNotRunAfterBytes)
    {
        execution = base::Execution::kNotRun;
    }
    m_counters.refused += 1;
    m_errorsByKind[error.kind] += 1;
    m_effects.emplace_back (
        AnswerError{ request.ticket, std::move (error), execution, retryAfter });
}

void RouterCore::Implementation::recordOutcome (RouterRequest& request, cell::ClaimOutcome outcome,
                                                int httpStatus)
{
    if (! request.isClaimed)
        return;
    request.isClaimed = false;
    m_claims.recordOutcome ({ request.claim->key, request.claim->request, outcome, httpStatus },
                            m_now);
}

void RouterCore::Implementation::forget (RouterRequest& request)
{
    const RequestTicket ticket = request.ticket;
    if (m_queues.remove (ticket) && m_queues.countWaiting (request.head.target) == 0)
    {
        m_waits.onQueueEmpty (request.head.target);
    }
    while (! request.attempts.empty())
        dropAttempt (request, request.attempts.front().id(), true);
    if (request.reserved)
    {
        m_table.removeInFlight (*request.reserved, request.urgency);
        m_mustServe = true;
    }
    if (request.claim)
    {
        m_claims.abandon (*request.claim);
        m_claimOwners.erase (request.claim->request);
    }
    if (request.timerAt)
        m_timers.erase ({ *request.timerAt, ticket });
    m_requests.erase (ticket);
}

/// Keeps a non-repeatable request without its caller until its outcome is known.
void RouterCore::Implementation::detach (RouterRequest& request)
{
    request.isDetached = true;
    request.detachedUntil = m_now + m_options.outcomeWait;
    request.buffered.clear();
    setTimer (request);
}

void RouterCore::Implementation::onCallerDisconnected (RequestTicket ticket)
{
    const auto entry = m_requests.find (ticket);
    if (entry == m_requests.end() || entry->second.isDetached)
        return;
    RouterRequest& request = entry->second;
    m_counters.callersDisconnected += 1;
    trace (request, "caller left");
    if (! request.isRepeatable && request.state == RequestState::kDispatched)
    {
        detach (request);
    }
    else
    {
        const auto outcome =
            request.mayHaveRun ? cell::ClaimOutcome::kUnknown : cell::ClaimOutcome::kNotRun;
        recordOutcome (request, outcome, 0);
        forget (request);
    }
    settle();
}

/// True if no part of the answer was sent to the caller, who still waits for it.
bool RouterCore::Implementation::awaitsFirstByte (const RouterRequest& request) const
{
    return ! request.hasReachedCaller && ! request.isDetached;
}

std::optional<base::TimePoint> RouterCore::Implementation::nextTimer (
    const RouterRequest& request) const
{
    std::optional<base::TimePoint> next;
    const auto consider = [&next] (base::TimePoint at) { next = next ? std::min (*next, at) : at; };
    if (request.isDetached)
    {
        consider (request.detachedUntil);
        return next;
    }
    consider (awaitsFirstByte (request) ? request.deadline : request.answerDeadline);
    if (request.state == RequestState::kBackingOff)
        consider (request.nextAttemptAt);
    if (request.resumeBy)
        consider (*request.resumeBy);
    if (request.hedgeAt)
        consider (*request.hedgeAt);
    for (const dispatch::Attempt& attempt : request.attempts)
        consider (attempt.timeoutAt());
    return next;
}

void RouterCore::Implementation::setTimer (RouterRequest& request)
{
    if (request.timerAt)
        m_timers.erase ({ *request.timerAt, request.ticket });
    request.timerAt = nextTimer (request);
    if (request.timerAt)
        m_timers.emplace (*request.timerAt, request.ticket);
}

void RouterCore::Implementation::runTimers()
{
    while (! m_timers.empty() && m_timers.begin()->first <= m_now)
    {
        RouterRequest& request = m_requests.at (m_timers.begin()->second);
        m_timers.erase (m_timers.begin());
        request.timerAt.reset();
        onRequestTimer (request);
    }
}

void RouterCore::Implementation::onRequestTimer (RouterRequest& request)
{
    if (request.isDetached)
    {
        recordOutcome (request, cell::ClaimOutcome::kUnknown, 0);
        forget (request);
        return;
    }
    if (awaitsFirstByte (request) && m_now >= request.deadline)
    {
        const bool isAnswering = std::any_of (request.attempts.begin(), request.attempts.end(),
                                              [&] (const dispatch::Attempt& attempt)
                                              { return attempt.id() == request.answeringAttempt; });
        if (isAnswering && ! request.buffered.empty())
        {
            // The answer was buffered to allow another attempt; at the deadline it has to be sent.
            beginAnswer (request);
            setTimer (request);
        }
        else
        {
            onDeadline (request);
        }
        return;
    }
    if (! awaitsFirstByte (request) && m_now >= request.answerDeadline)
    {
        onDeadline (request);
        return;
    }
    if (request.resumeBy && m_now >= *request.resumeBy)
    {
        fail (request, { ErrorKind::kUpstreamBroken, "the stream could not be resumed in time" },
              base::Execution::kUnknown, std::nullopt);
        return;
    }
    for (const dispatch::Attempt& attempt : request.attempts)
    {
        if (attempt.timeoutAt() > m_now)
            continue;
        const AttemptId id = attempt.id();
        m_effects.emplace_back (CancelAttempt{ id });
        onAttemptFailed (request, id, dispatch::AttemptFailure::kTimedOut);
        return;
    }
    if (request.state == RequestState::kBackingOff && m_now >= request.nextAttemptAt)
    {
        request.avoid.clear();
        requeue (request);
        return;
    }
    if (request.hedgeAt && m_now >= *request.hedgeAt)
        startHedge (request);
    setTimer (request);
}

void RouterCore::Implementation::onDeadline (RouterRequest& request)
{
    if (request.state != RequestState::kDispatched && ! request.mayHaveRun)
    {
        failNotRun (request, { ErrorKind::kDeadlinePassed, "the deadline passed while waiting",
                               waitEstimate (request) });
        return;
    }
    if (request.isRepeatable)
    {
        fail (request, { ErrorKind::kUpstreamTimeout, "the back end did not answer in time" },
              base::Execution::kUnknown, std::nullopt);
        return;
    }
    answerError (request, { ErrorKind::kOutcomeUnknown, "the back end did not answer in time" },
                 base::Execution::kUnknown, std::nullopt);
    trace (request, "deadline passed; waiting for the outcome");
    detach (request);
}

void RouterCore::Implementation::trace (const RouterRequest& request, std::string step)
{
    m_traces.add (request.head.id, m_now, std::move (step));
}

}  // namespace fernlift::router
