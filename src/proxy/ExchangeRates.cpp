// Choice of a runner in an exchange under the request rates and backoffs stated by runners: a
// request to a rate-limited runner needs a permit, waits for its turn, or ends.

#include <limits>
#include <utility>

#include "proxy/Exchange.h"

namespace fernlift::proxy
{
namespace
{

using base::ErrorKind;

/// Callers of runners that are backing off return at random times within this span.
constexpr base::Duration kMaxRetrySpread = base::milliseconds (200);

}  // namespace

void Exchange::chooseRunner()
{
    // Terminates because each refused permit excludes one more runner.
    while (true)
    {
        InstanceChoice choice;
        choice.reason = NoRunnerReason::kUnconfirmed;
        m_query.draw = m_context.random.uniformReal();
        if (m_context.freshness() == Freshness::kConfirmed)
            choice = m_context.directory.choose (m_query, now());
        const bool needsOtherRouter = needsPeer (choice);
        if (needsOtherRouter && m_servedPeer)
        {
            declinePeer (PeerOutcome::kUnreachable, "this router cannot connect to the runners");
            return;
        }
        if (needsOtherRouter && (forwardToPeer() || refuseIfIsolated()))
            return;
        if (choice.reason != NoRunnerReason::kNone)
        {
            beginWait (choice);
            return;
        }
        if (! takePostponedRetry())
            return;
        const bool needsPermit =
            m_context.rates.isLimited (choice.id, m_context.directory.startOf (choice.id));
        if (! needsPermit)
        {
            endWait();
            startAttempt (choice);
            return;
        }
        m_permit.account = choice.id;
        m_permitRequestedAt = now();
        m_permitChoice = std::move (choice);
        if (takePermit())
            return;
    }
}

bool Exchange::takePermit()
{
    const quota::QuotaAnswer answer = m_context.rates.take (m_permit, now());
    if (answer == quota::QuotaAnswer::kPending)
    {
        armTimer();
        return true;
    }
    const InstanceChoice choice = std::move (*m_permitChoice);
    m_permitChoice.reset();
    m_permitWaited += now() - m_permitRequestedAt;
    const bool mayStart = answer == quota::QuotaAnswer::kGranted
                          && m_context.freshness() == Freshness::kConfirmed
                          && m_context.directory.mayStillServe (choice.id, m_query, now());
    if (! mayStart)
        return false;
    endWait();
    startAttempt (choice);
    return true;
}

bool Exchange::refuseIfUnavailable (const InstanceChoice& choice)
{
    const bool isRateLimited = choice.reason == NoRunnerReason::kRateLimited;
    if (! isRateLimited && choice.reason != NoRunnerReason::kBackoff)
        return false;
    const base::Duration wait = isRateLimited ? rateLimitWait (choice) : choice.wait;
    if (now() + wait < m_waitDeadline)
        return false;
    endWait();
    if (! m_query.model.empty())
        m_context.demands.onRefusedAtOnce (m_target);
    if (isRateLimited)
    {
        endWithoutRunner (ErrorKind::kNoCapacity,
                          "all runners get as many requests as they state to take", wait);
    }
    else
    {
        endWithoutRunner (ErrorKind::kNoCapacity, "all runners decline requests for some time",
                          retryAfterBackoff (wait));
    }
    return true;
}

base::Duration Exchange::rateLimitWait (const InstanceChoice& choice)
{
    if (std::exchange (m_isWaitingForRate, true))
        return choice.wait;
    const std::uint32_t ahead = m_context.rates.waitingFor (rateQueueKey())++;
    const std::chrono::duration<double> queue (ahead / choice.ratePerSecond);
    return choice.wait + std::chrono::duration_cast<base::Duration> (queue);
}

base::Duration Exchange::retryAfterBackoff (base::Duration backoff)
{
    const std::chrono::duration<double> spread =
        std::chrono::duration<double> (kMaxRetrySpread) * m_context.random.uniformReal();
    return backoff + std::chrono::duration_cast<base::Duration> (spread);
}

std::string Exchange::rateQueueKey() const { return m_query.service + "/" + m_query.model; }

std::pair<int, base::TimePoint> Exchange::queueOrder() const
{
    if (m_route == nullptr)
        return { std::numeric_limits<int>::max(), m_arrivedAt };
    const bool hasOwnPriority = m_tenant != nullptr && m_tenant->priority;
    return { hasOwnPriority ? *m_tenant->priority : m_route->priority, m_arrivedAt };
}

}  // namespace fernlift::proxy
