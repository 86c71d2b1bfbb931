#include "router/CallerExchanges.h"

#include <utility>

#include "http/ErrorResponse.h"
#include "http/EventSplitter.h"
#include "router/BackEndRequest.h"

namespace fernlift::router
{
namespace
{

constexpr std::string_view kLastEvent = "data: [DONE]\n\n";

std::string errorEvent (const AnswerError& effect, const base::RequestId& id)
{
    return "data: " + http::errorJson (effect.error, effect.execution, id.value, effect.retryAfter)
           + "\n\n";
}

}  // namespace

CallerExchanges::CallerExchanges (std::size_t bufferBytes, const base::Clock& clock,
                                  http::Metrics& metrics, Handlers handlers)
    : m_bufferBytes (bufferBytes),
      m_clock (clock),
      m_handlers (std::move (handlers)),
      m_firstByteSeconds (metrics.histogram ("fernlift_router_first_byte_seconds",
                                             "Arrival of a request to the begin of its answer.",
                                             http::latencyBounds())),
      m_answerSeconds (metrics.histogram ("fernlift_router_answer_seconds",
                                          "Arrival of a request to the end of its whole answer.",
                                          http::latencyBounds())),
      m_pauses (metrics.counter ("fernlift_router_slow_caller_pauses_total",
                                 "Times an answer was paused for a caller that did not read."))
{
}

void CallerExchanges::add (RequestTicket ticket, CallerRequest request,
                           std::shared_ptr<http::Responder> responder)
{
    responder->onClosed (
        [this, ticket]
        {
            if (take (ticket))
                m_handlers.onDisconnected (ticket);
        });
    responder->onDrained ([this, ticket] { onDrained (ticket); });
    Caller caller;
    caller.request = std::move (request);
    caller.responder = std::move (responder);
    caller.arrivedAt = m_clock.now();
    m_callers.emplace (ticket, std::move (caller));
}

const CallerRequest* CallerExchanges::requestOf (RequestTicket ticket) const
{
    const auto found = m_callers.find (ticket);
    return found == m_callers.end() ? nullptr : &found->second.request;
}

void CallerExchanges::recordHeaders (RequestTicket ticket, AttemptId attempt,
                                     const http::Headers& headers)
{
    const auto found = m_callers.find (ticket);
    if (found == m_callers.end() || found->second.hasBegun)
        return;
    found->second.headersOfAttempts[attempt] = headers;
}

void CallerExchanges::begin (const AnswerHeaders& effect)
{
    const auto found = m_callers.find (effect.ticket);
    if (found == m_callers.end())
        return;
    Caller& caller = found->second;
    const http::Headers& headers = caller.headersOfAttempts[effect.attempt];
    const RequestHead& head = caller.request.head;
    caller.hasBegun = true;
    caller.isEventStream = head.isStreaming && head.protocol == Protocol::kCompletions
                           && http::isEventStream (headers);
    m_firstByteSeconds.observe (secondsSince (caller.arrivedAt));
    caller.responder->begin (effect.httpStatus, answerHeaders (headers, head.id));
}

void CallerExchanges::write (const AnswerData& effect)
{
    const auto found = m_callers.find (effect.ticket);
    if (found == m_callers.end())
        return;
    Caller& caller = found->second;
    caller.responder->write (effect.data);
    if (caller.responder->bytesToWrite() <= m_bufferBytes)
        return;
    if (! std::exchange (caller.isPaused, true))
        m_pauses.add();
    m_handlers.onPaused (effect.ticket, true);
}

void CallerExchanges::onDrained (RequestTicket ticket)
{
    const auto found = m_callers.find (ticket);
    if (found == m_callers.end() || ! std::exchange (found->second.isPaused, false))
        return;
    m_handlers.onPaused (ticket, false);
}

std::optional<CallerExchanges::Caller> CallerExchanges::take (RequestTicket ticket)
{
    const auto found = m_callers.find (ticket);
    if (found == m_callers.end())
        return std::nullopt;
    std::optional<Caller> caller = std::move (found->second);
    m_callers.erase (found);
    // Reading resumes because the outcome of a non-repeatable request is still awaited.
    if (caller->isPaused)
        m_handlers.onPaused (ticket, false);
    return caller;
}

void CallerExchanges::end (const AnswerEnd& effect)
{
    const std::optional<Caller> caller = take (effect.ticket);
    if (! caller)
        return;
    m_answerSeconds.observe (secondsSince (caller->arrivedAt));
    if (caller->isEventStream)
        caller->responder->write (kLastEvent);
    caller->responder->end();
}

void CallerExchanges::fail (const AnswerError& effect)
{
    const std::optional<Caller> caller = take (effect.ticket);
    if (! caller)
        return;
    const base::RequestId& id = caller->request.head.id;
    if (! caller->hasBegun)
    {
        http::errorResponse (effect.error, effect.execution, id.value, effect.retryAfter)
            .sendTo (*caller->responder);
    }
    else if (caller->isEventStream)
    {
        caller->responder->write (errorEvent (effect, id));
        caller->responder->end();
    }
    else
    {
        // The status line was sent, so only an aborted connection can signal the failure.
        caller->responder->abort();
    }
}

double CallerExchanges::secondsSince (base::TimePoint start) const
{
    return std::chrono::duration<double> (m_clock.now() - start).count();
}

}  // namespace fernlift::router
