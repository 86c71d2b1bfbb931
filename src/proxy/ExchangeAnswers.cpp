// What an exchange does with the answer of a runner.

#include <algorithm>
#include <utility>

#include "proxy/Exchange.h"
#include "proxy/ForwardedMessage.h"
#include "proxy/StatedLoad.h"

namespace fernlift::proxy
{
namespace
{

/// Answers up to this size are passed on once they are whole, so that a cut one can be replaced.
constexpr std::size_t kCollectedBytes = 256UL * 1024;
constexpr int kMisdirected = 421;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerError = 500;

}  // namespace

void Exchange::notePromptRead()
{
    if (std::exchange (m_isPromptRead, true))
        return;
    if (isAtPresentIncarnation())
        m_context.directory.onAnswerBegun (m_instance, m_tokensToRead);
    m_context.loadReporter.onAnswerBegun (m_instance, m_tokensToRead);
    if (! m_query.model.empty())
        m_context.demands.onRead (m_target);
}

void Exchange::noteLoad (const http::AnswerHead& head)
{
    if (m_context.names.load.empty())
        return;
    const auto load = parseStatedLoad (head.headers.value (m_context.names.load));
    if (! load || ! isAtPresentIncarnation())
        return;
    m_context.directory.onLoad (m_instance, *load, now());
    if (load->slowdownPercent)
        m_context.loadReporter.onSlowdown (m_instance, *load->slowdownPercent, now());
}

bool Exchange::isRefusal (const http::AnswerHead& head) const
{
    return head.status == kMisdirected || head.headers.contains (m_context.names.notExecuted);
}

void Exchange::noteRate (const http::AnswerHead& head)
{
    // Whoever says that it is not the runner meant may be another one at its address.
    if (head.status == kMisdirected || ! isAtPresentIncarnation())
        return;
    RateObservation seen;
    seen.instance = m_instance;
    seen.startedAt = m_instanceStart;
    seen.sentAt = m_attemptSentAt;
    seen.isProper = head.status < kFirstServerError && ! isRefusal (head);
    m_context.rates.onAnswer (seen, readStatedRate (head.headers, m_context.names.rateLimit),
                              now());
}

void Exchange::onHead (http::AnswerHead head)
{
    noteLoad (head);
    noteRate (head);
    notePromptRead();
    if (isAtPresentIncarnation())
        m_context.directory.onBytes (m_instance, now());
    if (! m_isAnswerBegun)
        m_answeredAt = now();
    noteProgress();
    m_head = std::move (head);
    if (isRefusal (m_head))
    {
        m_use = AnswerUse::kRefusal;
        return;
    }
    if (m_events)
    {  // A resumed stream keeps the head of its first runner.
        const bool isStream = m_head.status < kFirstErrorStatus;
        m_use = isStream ? AnswerUse::kEvents : AnswerUse::kRetry;
        return;
    }
    if (m_head.status >= kFirstServerError && mayRunAgain())
    {
        m_use = AnswerUse::kRetry;
        return;
    }
    const bool isEventStream =
        m_head.headers.value ("Content-Type").starts_with ("text/event-stream")
        && m_route->kind == config::RouteKind::kStream;
    if (isEventStream)
    {
        m_use = AnswerUse::kEvents;
        m_events.emplace();
        passHead();
        return;
    }
    const bool isSmall = ! m_head.hasLength || m_head.length <= kCollectedBytes;
    m_use = isSmall ? AnswerUse::kCollect : AnswerUse::kPass;
    if (! isSmall)
        passHead();
}

void Exchange::passHead()
{
    m_isAnswerBegun = true;
    const AnswerFraming framing{ m_head.hasLength, m_head.length };
    m_caller.beginAnswer (m_head.status, passedAnswerHeaders (m_head.headers, m_context.names),
                          framing);
}

void Exchange::passEvents (std::string_view events)
{
    if (events.empty())
        return;
    m_caller.writeBody (events);
    const base::TimePoint earlier = std::exchange (m_lastEventAt, now());
    if (earlier == base::TimePoint{})
        return;
    const base::Duration pause = m_lastEventAt - earlier;
    m_longestPause = std::max (m_longestPause, pause);
    // A pause that began at an earlier attempt tells nothing of this runner.
    if (earlier >= m_attemptSentAt && ! m_query.model.empty())
    {
        m_context.loadReporter.onPause (m_instance, m_query.model, pause, m_events->count(),
                                        m_lastEventAt);
    }
}

void Exchange::onBody (std::string_view data)
{
    if (isAtPresentIncarnation())
        m_context.directory.onBytes (m_instance, now());
    noteProgress();
    switch (m_use)
    {
        case AnswerUse::kCollect:
            m_collected.append (data);
            if (m_collected.size() > kCollectedBytes)
            {
                m_use = AnswerUse::kPass;
                passHead();
                m_caller.writeBody (std::exchange (m_collected, {}));
            }
            return;
        case AnswerUse::kPass:
            m_caller.writeBody (data);
            return;
        case AnswerUse::kEvents:
            passEvents (m_events->feed (data));
            return;
        case AnswerUse::kNone:
        case AnswerUse::kRefusal:
        case AnswerUse::kRetry:
            return;
    }
}

void Exchange::onDone()
{
    switch (m_use)
    {
        case AnswerUse::kRefusal:
        {
            m_isAttemptSent = false;
            const bool isNotHeld = m_head.status == kMisdirected;
            if (isNotHeld)
            {
                m_context.directory.onNotHeld (m_instance, m_query.model, m_query.adapter, now());
            }
            endAttempt (isNotHeld ? AttemptEnd::kNotHeld : AttemptEnd::kRefused, true);
            // A runner that does not hold what it was asked for, or is another instance, is no
            // attempt.
            if (isNotHeld)
                --m_sent;
            afterRefusal();
            return;
        }
        case AnswerUse::kRetry:
            endAttempt (AttemptEnd::kFailed, true);
            afterFailure();
            return;
        default:
            finishAnswer();
    }
}

void Exchange::finishAnswer()
{
    if (m_use == AnswerUse::kCollect)
    {
        m_caller.sendAnswer (m_head.status, passedAnswerHeaders (m_head.headers, m_context.names),
                             m_collected);
    }
    else
    {
        if (m_use == AnswerUse::kEvents)
            m_caller.writeBody (m_events->rest());
        m_caller.endAnswer();
    }
    if (standing().isSuspect())
        m_context.suspects.onWholeAnswer (identity());
    const bool isFailure = m_head.status >= kFirstServerError;
    endAttempt (isFailure ? AttemptEnd::kFailed : AttemptEnd::kAnswered, true);
    ++m_context.counters.answered;
    logEnd (log::Event::kRequestAnswered, std::to_string (m_head.status));
    end();
}

}  // namespace fernlift::proxy
