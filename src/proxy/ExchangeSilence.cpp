// Runners that are silent. A request without an answer is sent to another runner in place of the
// silent one. A begun answer goes on at its silent runner until another one has begun the rest.

#include <algorithm>
#include <utility>

#include "proxy/Exchange.h"

namespace fernlift::proxy
{
namespace
{

/// A repeatable request is sent to another runner after this multiple of its target latency without
/// bytes from the runner.
constexpr int kSilenceInTargets = 2;
constexpr base::Duration kMinStreamSilence = base::milliseconds (800);
/// A resumable stream without a first event is resumed elsewhere after this time. The prefill of
/// 50,000 tokens takes 1.3 s at the 38 tokens per millisecond of known engines. A longer limit,
/// such as half the target latency (1.5 to 3 s), serves callers no better and detects a crashed
/// runner later.
constexpr base::Duration kMaxFirstEventDelay = base::milliseconds (1500);
constexpr base::Duration kMinSilence = base::milliseconds (150);
/// A runner that has not declined the rest of an answer by then is taken to have begun it.
constexpr base::Duration kMaxOverlap = base::milliseconds (250);

}  // namespace

void Exchange::extendSilenceDeadline()
{
    const std::optional<base::Duration> silence = silenceLimit();
    m_attempt.silenceDeadline = silence ? std::min (m_deadline, now() + *silence) : m_deadline;
}

std::optional<base::Duration> Exchange::silenceLimit() const
{
    const bool mayTryElsewhere = m_route->isRepeatable() && m_sentAttempts < maxAttempts();
    if (! mayTryElsewhere)
        return std::nullopt;
    if (m_route->kind == config::RouteKind::kRepeatable)
    {
        return std::max<base::Duration> (m_route->targetLatency * kSilenceInTargets, kMinSilence);
    }
    if (m_isAnswerBegun)
    {
        return std::max<base::Duration> (m_route->gapTarget * kSilenceInTargets, kMinStreamSilence);
    }
    return kMaxFirstEventDelay;
}

void Exchange::onSilence()
{
    // Idle connections to the runner may have been lost together with this one, although it still
    // accepts new ones.
    m_context.pool.forget (m_attempt.address);
    if (m_isAnswerBegun && ! m_silentAttempt)
        requestRestElsewhere();
    else
        onAttemptBroken();
}

void Exchange::requestRestElsewhere()
{
    retryBudget().chargeRetry();
    m_holdsRetry = true;
    if (! m_attempt.peer)
        recordBrokenAnswer();
    pinSoftwareVersion();
    m_query.avoidedInstance = m_attempt.instance;
    ++m_context.counters.resumed;
    logResend (log::Event::kRequestResumed);
    m_silentAttempt = std::exchange (m_attempt, Attempt());
    m_silentAttempt->connection->setListener (m_silentListener);
    dispatchNext();
}

std::optional<base::TimePoint> Exchange::overlapEnd() const
{
    const bool isWithoutAnswer = m_attempt.isSent && m_attempt.use == AnswerUse::kNone;
    if (! m_silentAttempt || ! isWithoutAnswer)
        return std::nullopt;
    // That a silent runner has not declined shows nothing.
    const bool isAtSameRunner = ! m_attempt.peer && m_attempt.instance == m_silentAttempt->instance;
    if (isAtSameRunner)
        return std::nullopt;
    return m_attempt.sentAt + kMaxOverlap;
}

void Exchange::endSilentAttempt (AttemptEnd end)
{
    if (! m_silentAttempt)
        return;
    m_events->discardIncomplete();
    endAttempt (*m_silentAttempt, end, false);
    m_silentAttempt.reset();
}

void Exchange::returnToSilentAttempt (log::Event reason)
{
    endWait();
    m_permitChoice.reset();
    m_context.rates.giveUp (m_permit);
    m_slotTicket.reset();
    m_suspectHoldDeadline.reset();
    endAttempt (AttemptEnd::kAbandoned, false);
    returnUnsentRetry();
    m_isRetryPostponed = false;
    m_attempt = std::move (*m_silentAttempt);
    m_silentAttempt.reset();
    m_attempt.connection->setListener (*this);
    extendSilenceDeadline();
    armTimer();
    log::write (reason, { { "request", m_request.headers.value (m_context.names.requestId) },
                          { "runner", m_attempt.instance },
                          { "attempts", m_sentAttempts } });
}

void Exchange::SilentAttemptListener::onHead (http::AnswerHead head)
{
    m_exchange.returnToSilentAttempt (log::Event::kSilentRunnerWentOn);
    m_exchange.onHead (std::move (head));
}

void Exchange::SilentAttemptListener::onBody (std::string_view data)
{
    m_exchange.returnToSilentAttempt (log::Event::kSilentRunnerWentOn);
    m_exchange.onBody (data);
}

void Exchange::SilentAttemptListener::onDone()
{
    m_exchange.returnToSilentAttempt (log::Event::kSilentRunnerWentOn);
    m_exchange.onDone();
}

void Exchange::SilentAttemptListener::onFailed (http::BackEndFailure /*failure*/)
{
    m_exchange.endSilentAttempt (AttemptEnd::kFailed);
}

}  // namespace fernlift::proxy
