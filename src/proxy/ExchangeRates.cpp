// How an exchange finds a runner, with regard to runners that state how many requests a second they
// take: a request goes to one of them with a permit, waits for its turn, or ends.

#include <limits>
#include <utility>

#include "proxy/Exchange.h"

namespace fernlift::proxy
{
namespace
{

using base::ErrorKind;

}  // namespace

void Exchange::chooseRunner()
{
    // Each refusal of a permit leaves one runner less to choose from.
    while (true)
    {
        InstanceChoice choice;
        choice.reason = NoChoice::kUnconfirmed;
        m_query.draw = m_context.random.uniformReal();
        if (m_context.freshness() == Freshness::kConfirmed)
            choice = m_context.directory.choose (m_query, now());
        if (choice.reason != NoChoice::kNone)
        {
            beginWait (choice);
            return;
        }
        const bool needsPermit =
            m_context.rates.isLimited (choice.id, m_context.directory.startOf (choice.id));
        if (! needsPermit)
        {
            endWait();
            startAttempt (choice);
            return;
        }
        m_permit.account = choice.id;
        m_permitAskedAt = now();
        m_wanted = std::move (choice);
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
    const InstanceChoice choice = std::move (*m_wanted);
    m_wanted.reset();
    m_permitWaited += now() - m_permitAskedAt;
    const bool mayStart = answer == quota::QuotaAnswer::kGranted
                          && m_context.freshness() == Freshness::kConfirmed
                          && m_context.directory.mayStillServe (choice.id, m_query, now());
    if (! mayStart)
        return false;
    endWait();
    startAttempt (choice);
    return true;
}

bool Exchange::refuseBeyondRates (const InstanceChoice& choice)
{
    if (choice.reason != NoChoice::kRateLimited)
        return false;
    base::Duration wait = choice.rateWait;
    if (! std::exchange (m_isWaitingForRate, true))
    {
        const std::uint32_t ahead = m_context.rates.waitingFor (rateQueue())++;
        const std::chrono::duration<double> queue (ahead / choice.ratePerSecond);
        wait += std::chrono::duration_cast<base::Duration> (queue);
    }
    if (now() + wait < m_waitDeadline)
        return false;
    endWait();
    if (! m_query.model.empty())
        m_context.demands.onTurnedAway (m_target);
    endUnserved (ErrorKind::kNoCapacity, "all runners get as many requests as they state to take",
                 wait);
    return true;
}

std::string Exchange::rateQueue() const { return m_query.service + "/" + m_query.model; }

std::pair<int, base::TimePoint> Exchange::turn() const
{
    if (m_route == nullptr)
        return { std::numeric_limits<int>::max(), m_arrivedAt };
    const bool hasOwnPriority = m_tenant != nullptr && m_tenant->priority;
    return { hasOwnPriority ? *m_tenant->priority : m_route->priority, m_arrivedAt };
}

}  // namespace fernlift::proxy
