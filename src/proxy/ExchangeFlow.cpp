// Flow control of an exchange: a runner whose caller reads slowly is paused, so that the router
// holds only a bounded part of each answer.

#include <utility>

#include "proxy/Exchange.h"

namespace fernlift::proxy
{

void Exchange::writeToCaller (std::string_view data)
{
    m_caller.writeBody (data);
    if (m_caller.isBehind())
        pauseAnswer();
}

void Exchange::pauseAnswer()
{
    if (! m_attempt.connection || std::exchange (m_attempt.isPaused, true))
        return;
    ++m_context.counters.pausedAnswers;
    m_attempt.connection->setPaused (true);
    if (m_attempt.peer)
        return;
    m_context.reachability.onAttemptEnd();
    if (isCurrentIncarnation (m_attempt))
        m_context.directory.onPaused (m_attempt.instance);
}

void Exchange::onCallerCaughtUp()
{
    if (m_isEnded || ! m_attempt.isPaused)
        return;
    resumeAnswer (m_attempt);
    m_attempt.connection->setMaxReadBytes (m_context.answerBuffers.maxBytesPerAnswer());
    m_attempt.connection->setPaused (false);
    extendSilenceDeadline();
    armTimer();
}

void Exchange::resumeAnswer (Attempt& attempt)
{
    if (! std::exchange (attempt.isPaused, false))
        return;
    attempt.resumedAt = now();
    if (attempt.peer)
        return;
    m_context.reachability.onAttemptBegin (now());
    if (isCurrentIncarnation (attempt))
        m_context.directory.onResumed (attempt.instance, now());
}

}  // namespace fernlift::proxy
