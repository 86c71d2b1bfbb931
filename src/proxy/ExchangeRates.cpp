// Choice of a runner in an exchange under the request rates and backoffs stated by runners: a
// request to a rate-limited runner needs a permit, waits for its turn, or ends.

#include <algorithm>
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
/// Runners among which the leader chooses for a request in a brittle service.
constexpr std::size_t kMaxSlotRunners = 16;

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
            m_slotTicket.reset();
            beginWait (choice);
            return;
        }
        if (! takeSlot (choice))
            return;
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
        m_slotTicket.reset();
    }
}

bool Exchange::takeSlot (InstanceChoice& choice)
{
    if (! m_context.slots.isNeeded (m_query.service))
    {
        m_slotTicket.reset();
        return true;
    }
    if (const auto granted = m_slotTicket.grant (now()))
    {
        InstanceChoice assigned = m_context.directory.choiceOf (*granted, m_query, now());
        if (assigned.reason == NoRunnerReason::kNone)
        {
            choice = std::move (assigned);
            return true;
        }
    }
    claimSlot (choice);
    InstanceChoice full;
    full.reason = NoRunnerReason::kFull;
    beginWait (full);
    return false;
}

void Exchange::claimSlot (const InstanceChoice& choice)
{
    SlotNeed need;
    need.service = m_query.service;
    need.queue = rateQueueKey();
    need.waitsSince = m_isWaiting ? m_waitBegan : now();
    need.priority = queueOrder().first;
    need.lasts = timeLeftForAttempt();
    // All copies of a suspect request are sent to one runner.
    need.instances = m_query.isolationKey.empty()
                         ? m_context.directory.rank (m_query, kMaxSlotRunners, now())
                         : std::vector<std::string>{ choice.id };
    m_slotClaimedAt = now();
    if (isClaimCurrent (need.instances.size()))
        return;
    m_slotTicket.reset();
    m_slotTicket = SlotTicket (m_context.slots, m_context.slots.addClaim (std::move (need)));
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

bool Exchange::isClaimCurrent (std::size_t runners) const
{
    const SlotNeed* const claimed = m_slotTicket.need();
    if (claimed == nullptr || claimed->instances.size() != runners)
        return false;
    return std::ranges::all_of (
        claimed->instances, [this] (const std::string& instance)
        { return m_context.directory.mayStillServe (instance, m_query, now()); });
}

bool Exchange::refuseIfUnavailable (const InstanceChoice& choice)
{
    const bool isRateLimited = choice.reason == NoRunnerReason::kRateLimited;
    const bool isFull = choice.reason == NoRunnerReason::kFull;
    if (! isRateLimited && ! isFull && choice.reason != NoRunnerReason::kBackoff)
        return false;
    base::Duration wait = choice.wait;
    if (isRateLimited)
        wait = rateLimitWait (choice);
    else if (isFull)
        wait = m_context.slots.expectedWait (rateQueueKey(), now());
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
    else if (isFull)
    {
        endWithoutRunner (ErrorKind::kNoCapacity,
                          "the slots of all runners are taken, and others wait for them", wait);
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
