// Handling of the answer of a runner in an exchange.

#include <algorithm>
#include <utility>
#include <variant>

#include "base/Overloaded.h"
#include "proxy/Exchange.h"
#include "proxy/ForwardedMessage.h"
#include "proxy/StatedLoad.h"

namespace fernlift::proxy
{
namespace
{

/// Answers up to this size are buffered until complete, so that a truncated one can be retried.
constexpr std::size_t kMaxBufferedBytes = 256UL * 1024;
/// Longest event of a stream. Its bytes are held until it is complete.
constexpr std::size_t kMaxEventBytes = 1024UL * 1024;
/// Brittle runners count the requests that they decline in a second.
constexpr base::Duration kBrittleBackoff = base::seconds (1);
constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerError = 500;

}  // namespace

std::size_t Exchange::maxBufferedBytes() const
{
    return std::min (kMaxBufferedBytes, m_context.answerBuffers.maxBytesPerAnswer());
}

bool Exchange::isTooLong (const http::EventSplitter& events) const
{
    const std::size_t maxBytes = m_context.answerBuffers.isExhausted()
                                     ? m_context.answerBuffers.maxBytesPerAnswer()
                                     : kMaxEventBytes;
    return events.incompleteBytes().size() > maxBytes;
}

void Exchange::updateKeptBytes()
{
    std::size_t bytes = m_attempt.bufferedBody.size();
    if (m_events)
        bytes += m_events->incompleteBytes().size();
    if (m_attempt.unsplitEvents)
        bytes += m_attempt.unsplitEvents->incompleteBytes().size();
    m_keptBytes.set (bytes);
}

void Exchange::recordPrefillEnd (Attempt& attempt)
{
    if (std::exchange (attempt.isPrefillDone, true))
        return;
    if (isCurrentIncarnation (attempt))
        m_context.directory.onAnswerBegun (attempt.instance, attempt.prefillTokens);
    m_context.loadReporter.onAnswerBegun (attempt.instance, attempt.prefillTokens);
    if (! m_query.model.empty())
        m_context.demands.onPrefillEnd (m_target);
}

void Exchange::recordLoad (const http::AnswerHead& head)
{
    if (m_context.names.load.empty())
        return;
    const auto load = parseStatedLoad (head.headers.value (m_context.names.load));
    if (! load || ! isCurrentIncarnation (m_attempt))
        return;
    m_context.directory.onLoad (m_attempt.instance, *load, now());
    if (load->slowdownPercent)
        m_context.loadReporter.onSlowdown (m_attempt.instance, *load->slowdownPercent, now());
}

bool Exchange::isRefusal (const http::AnswerHead& head) const
{
    return head.status == kMisdirected || head.headers.contains (m_context.names.notExecuted);
}

void Exchange::recordRate (const http::AnswerHead& head)
{
    // A misdirected request may have been answered by another instance at the same address.
    if (head.status == kMisdirected || ! isCurrentIncarnation (m_attempt))
        return;
    RateObservation observation;
    observation.instance = m_attempt.instance;
    observation.startedAt = m_attempt.instanceStart;
    observation.sentAt = m_attempt.sentAt;
    observation.isSuccess = head.status < kFirstServerError && ! isRefusal (head);
    m_context.rates.onAnswer (observation, readStatedRate (head.headers, m_context.names.rateLimit),
                              now());
}

void Exchange::recordAvailability (const http::AnswerHead& head)
{
    // A misdirected request may have been answered by another instance at the same address.
    if (head.status == kMisdirected)
        return;
    const cell::Incarnation runner = m_attempt.incarnation();
    routing::RunnerAvailability& availability = m_context.directory.availability();
    const std::string& leaving = m_context.names.leaving;
    const bool isLeaving = ! leaving.empty() && head.headers.value (leaving) == "1";
    if (isLeaving && availability.onLeaving (runner, now()))
        m_context.onRunnerUnavailable();
    // A 429 of an executed request is the application's statement to its caller.
    const bool isDeclined =
        head.status == kServiceUnavailable || (head.status == kTooManyRequests && isRefusal (head));
    if (isDeclined)
    {
        recordDecline (head);
        recordBackoff (statedBackoff (head));
    }
    else if (head.status < kFirstServerError && ! isRefusal (head))
        availability.onSuccess (runner, m_attempt.sentAt, now());
}

http::RetryAfter Exchange::statedBackoff (const http::AnswerHead& head) const
{
    http::RetryAfter stated = http::readRetryAfter (head.headers);
    if (! statedBrittleness (head).empty()
        && ! std::holds_alternative<http::RetryAfterDelay> (stated))
        return http::RetryAfterDelay{ kBrittleBackoff };
    return stated;
}

std::string Exchange::statedBrittleness (const http::AnswerHead& head) const
{
    const std::string& name = m_context.names.brittle;
    return name.empty() ? std::string() : head.headers.value (name);
}

void Exchange::recordBrittleness (const http::AnswerHead& head)
{
    // A misdirected request may have been answered by another instance at the same address.
    if (head.status == kMisdirected || ! isCurrentIncarnation (m_attempt))
        return;
    BrittleObservation observation;
    observation.runner = m_attempt.incarnation();
    observation.service = m_query.service;
    observation.sentAt = m_attempt.sentAt;
    observation.isBrittle = ! statedBrittleness (head).empty();
    observation.isDecline = head.status == kServiceUnavailable && isRefusal (head);
    observation.isSuccess = head.status < kFirstServerError && ! isRefusal (head);
    m_context.slots.onAnswer (observation, now());
}

void Exchange::recordDecline (const http::AnswerHead& head)
{
    const std::string brittleness = statedBrittleness (head);
    ++m_context.counters.declined;
    if (! brittleness.empty())
        ++m_context.counters.declinedByBrittle;
    const RunnerLoad load = m_context.directory.loadOf (m_attempt.instance, now());
    log::write (log::Event::kRunnerDeclined,
                { { "request", m_request.headers.value (m_context.names.requestId) },
                  { "runner", m_attempt.incarnation().name() },
                  { "status", head.status },
                  { "brittle", brittleness },
                  { "own_requests", load.own },
                  { "other_requests", load.others },
                  { "slots", load.slots },
                  { "sent_ms", base::toMilliseconds (now() - m_attempt.sentAt) } });
}

void Exchange::recordBackoff (const http::RetryAfter& stated)
{
    const cell::Incarnation runner = m_attempt.incarnation();
    routing::RunnerAvailability& availability = m_context.directory.availability();
    std::visit (
        base::Overloaded{ [] (const http::NoRetryAfter&) {},
                          [&] (const http::RetryAfterDelay& retryAfter)
                          {
                              if (availability.onBackoff (runner, retryAfter.delay, now()))
                                  m_context.onRunnerUnavailable();
                          },
                          [&] (const http::UnreadableRetryAfter& retryAfter)
                          { availability.onUnreadableBackoff (runner, retryAfter.text, now()); } },
        stated);
}

void Exchange::recordHead (const http::AnswerHead& head)
{
    recordLoad (head);
    recordRate (head);
    recordAvailability (head);
    recordBrittleness (head);
    recordPrefillEnd (m_attempt);
    recordBytes();
    if (! m_attempt.connection->wasUsedBefore())
        m_context.reachability.onConnected (m_attempt.instance, now());
}

void Exchange::recordBytes()
{
    if (m_attempt.peer)
        return;
    m_context.reachability.onBytes (now());
    if (isCurrentIncarnation (m_attempt))
        m_context.directory.onBytes (m_attempt.instance, now());
    if (m_context.suspects.hasMissingAnswers())
        m_context.suspects.onBytes (m_attempt.incarnation().name());
}

http::Headers Exchange::answerHeaders() const
{
    http::Headers headers = forwardedAnswerHeaders (m_attempt.head.headers, m_context.names);
    if (m_servedPeer)
        addPeerAnswer (headers, peerAnswer (PeerOutcome::kAnswered));
    return headers;
}

void Exchange::onHead (http::AnswerHead head)
{
    if (m_attempt.peer)
        onPeerHead (head);
    else
        recordHead (head);
    if (! m_isAnswerBegun)
        m_answeredAt = now();
    extendSilenceDeadline();
    m_attempt.head = std::move (head);
    const bool isDecided = m_attempt.peer && m_attempt.use != AnswerUse::kNone;
    if (isDecided)
        return;
    if (! m_attempt.peer && isRefusal (m_attempt.head))
    {
        m_attempt.use = AnswerUse::kRefusal;
        return;
    }
    if (m_events)
    {  // A resumed stream keeps the answer head of its first runner.
        const bool isStream =
            m_attempt.head.status == kOk && http::isEventStream (m_attempt.head.headers);
        m_attempt.use = isStream ? AnswerUse::kEvents : AnswerUse::kRetry;
        if (isStream)
            endSilentAttempt (AttemptEnd::kFailed);
        return;
    }
    if (m_attempt.head.status >= kFirstServerError && mayRunAgain())
    {
        m_attempt.use = AnswerUse::kRetry;
        return;
    }
    const bool hasEvents = http::isEventStream (m_attempt.head.headers);
    if (hasEvents && m_route->kind == config::RouteKind::kStream)
    {
        m_attempt.use = AnswerUse::kEvents;
        m_events.emplace();
        forwardHead();
        return;
    }
    if (hasEvents)
        m_attempt.unsplitEvents.emplace();
    const bool isSmall = ! m_attempt.head.hasLength || m_attempt.head.length <= maxBufferedBytes();
    m_attempt.use = isSmall ? AnswerUse::kBuffer : AnswerUse::kForward;
    if (! isSmall)
        forwardHead();
}

void Exchange::forwardHead()
{
    m_isAnswerBegun = true;
    // The rest of a resumed stream may have another length than the first runner stated.
    const bool hasLength = m_attempt.head.hasLength && ! m_events;
    const AnswerFraming framing{ hasLength, hasLength ? m_attempt.head.length : 0 };
    m_caller.beginAnswer (m_attempt.head.status, answerHeaders(), framing);
}

void Exchange::forwardEvents (std::string_view events)
{
    if (events.empty())
        return;
    const base::TimePoint earlier = std::exchange (m_lastEventAt, now());
    const bool isFirst = earlier == base::TimePoint{};
    if (isFirst)
        announceStream();
    writeToCaller (events);
    if (isFirst)
        return;
    const base::Duration pause = m_lastEventAt - earlier;
    m_longestPause = std::max (m_longestPause, pause);
    // A gap that began in an earlier attempt, or before a pause, is not due to this runner.
    const base::TimePoint readSince = std::max (m_attempt.sentAt, m_attempt.resumedAt);
    if (earlier >= readSince && ! m_query.model.empty() && ! m_attempt.peer)
    {
        m_context.loadReporter.onPause (m_attempt.instance, m_query.model, pause, m_events->count(),
                                        m_lastEventAt);
    }
}

void Exchange::onBody (std::string_view data)
{
    recordBytes();
    extendSilenceDeadline();
    if (m_attempt.unsplitEvents)
    {
        static_cast<void> (m_attempt.unsplitEvents->feed (data));
        if (isTooLong (*m_attempt.unsplitEvents))
        {
            onAttemptBroken();
            return;
        }
    }
    switch (m_attempt.use)
    {
        case AnswerUse::kBuffer:
            m_attempt.bufferedBody.append (data);
            if (m_attempt.bufferedBody.size() > maxBufferedBytes())
            {
                m_attempt.use = AnswerUse::kForward;
                forwardHead();
                writeToCaller (std::exchange (m_attempt.bufferedBody, {}));
            }
            updateKeptBytes();
            return;
        case AnswerUse::kForward:
            writeToCaller (data);
            updateKeptBytes();
            return;
        case AnswerUse::kEvents:
            forwardEvents (m_events->feed (data));
            updateKeptBytes();
            if (isTooLong (*m_events))
                onAttemptBroken();
            return;
        case AnswerUse::kNone:
        case AnswerUse::kRefusal:
        case AnswerUse::kRetry:
        case AnswerUse::kDeclined:
            return;
    }
}

void Exchange::onDone()
{
    switch (m_attempt.use)
    {
        case AnswerUse::kDeclined:
            onPeerDeclined();
            return;
        case AnswerUse::kRefusal:
        {
            m_attempt.isSent = false;
            const bool isNotHeld = m_attempt.head.status == kMisdirected;
            if (isNotHeld)
            {
                m_context.directory.onNotHeld (m_attempt.instance, m_query.model, m_query.adapter,
                                               now());
            }
            endAttempt (isNotHeld ? AttemptEnd::kNotHeld : AttemptEnd::kRefused, true);
            // A misdirected request was not executed and does not count as an attempt.
            if (isNotHeld)
                --m_sentAttempts;
            afterRefusal();
            return;
        }
        case AnswerUse::kRetry:
            endAttempt (AttemptEnd::kFailed, true);
            afterFailure();
            return;
        case AnswerUse::kEvents:
            finishEvents (*m_events);
            return;
        default:
            if (m_attempt.unsplitEvents)
                finishEvents (*m_attempt.unsplitEvents);
            else
                finishAnswer();
    }
}

void Exchange::finishEvents (const http::EventSplitter& events)
{
    if (! events.isInsideEvent())
    {
        finishAnswer();
        return;
    }
    ++m_context.counters.incompleteStreams;
    logIncompleteStream (events);
    onAttemptBroken();
}

void Exchange::finishAnswer()
{
    if (m_attempt.use == AnswerUse::kBuffer)
    {
        m_keptBytes.set (0);
        m_caller.sendAnswer (m_attempt.head.status, answerHeaders(), m_attempt.bufferedBody);
    }
    else
    {
        // Only comments are left.
        if (m_attempt.use == AnswerUse::kEvents)
            m_caller.writeBody (m_events->incompleteBytes());
        m_caller.endAnswer();
    }
    if (! m_attempt.peer && isRecordedAsSuspect())
        m_context.suspects.onCompleteAnswer (identity());
    // A runner that answers with an error may not have processed the prompt.
    if (! m_attempt.peer && m_attempt.head.status < kFirstErrorStatus)
        clearPromptParts();
    const bool isFailure = m_attempt.head.status >= kFirstServerError;
    if (! m_attempt.peer && ! isFailure)
        m_context.routeTimes.onAnswered (m_route->name, now() - m_attempt.sentAt);
    endAttempt (isFailure ? AttemptEnd::kFailed : AttemptEnd::kAnswered, true);
    ++m_context.counters.answered;
    logEnd (log::Event::kRequestAnswered, std::to_string (m_attempt.head.status));
    end();
}

}  // namespace fernlift::proxy
