// Model of RouterCore: handling of its effects, and the invariants.

#include "router/RouterModelTestSupport.h"

namespace fernlift::router::testing
{

void RouterModel::take (const StartAttempt& start)
{
    const auto known = m_requests.find (start.ticket);
    if (known == m_requests.end())
        m_requests[start.ticket] = *m_arriving;
    Request& request = m_requests.at (start.ticket);
    checkStart (request, start);
    request.attempts.push_back (start.attempt);
    m_attempts[start.attempt] = BackEndAttempt{ start };
}

void RouterModel::checkStart (const Request& request, const StartAttempt& start) const
{
    const cell::RoutableReplica& replica = start.replica;
    require (request.isOpen(), "no attempt for a request that was answered");
    require (! m_leaving.contains ({ replica.runner, replica.incarnation }),
             "a leaving runner gets no new requests");
    require (! request.attempts.empty() || ! m_controller.hasNoLease (m_now),
             "no request is dispatched first without a lease");
    if (! request.isRepeatable)
    {
        require (isProvenNotRun (request), "a request that may not be repeated is sent once");
        require (m_controller.isGranted (request.head.idempotencyKey, request.head.id.value),
                 "a non-repeatable request is sent only under a granted claim");
    }
    // A non-repeatable request holds its slot from the time it requests its claim.
    if (! request.isRepeatable || ! request.attempts.empty())
        return;
    for (const auto& [ticket, other] : m_requests)
    {
        const bool waits = other.isOpen() && other.isRepeatable && other.attempts.empty()
                           && other.head.target == request.head.target && ticket != start.ticket;
        require (! waits || other.urgency >= request.urgency,
                 "an urgent request goes before others of its model");
    }
}

void RouterModel::take (const AnswerHeaders& headers)
{
    Request& request = m_requests.at (headers.ticket);
    require (request.isOpen() && ! request.hasHeaders, "each answer begins once");
    request.hasHeaders = true;
}

void RouterModel::take (const AnswerData& data)
{
    Request& request = m_requests.at (data.ticket);
    require (request.isOpen() && request.hasHeaders, "parts are sent only within an answer");
    request.text += data.data;
    checkText (request, false);
}

void RouterModel::checkText (const Request& request, bool isWhole) const
{
    const bool matches = std::any_of (request.attempts.begin(), request.attempts.end(),
                                      [&] (AttemptId id)
                                      {
                                          std::string whole;
                                          for (int number = 0; number < kTokens; ++number)
                                              whole += token (request, id, number);
                                          return isWhole ? request.text == whole
                                                         : whole.rfind (request.text, 0) == 0;
                                      });
    require (matches, "a caller gets the answer of one attempt, each part once");
}

void RouterModel::take (const AnswerEnd& end)
{
    Request& request = m_requests.at (end.ticket);
    require (request.isOpen(), "one final answer to each request");
    request.ends += 1;
    checkText (request, true);
}

void RouterModel::take (const AnswerError& error)
{
    const auto known = m_requests.find (error.ticket);
    if (known == m_requests.end())
        m_requests[error.ticket] = *m_arriving;
    Request& request = m_requests.at (error.ticket);
    require (request.isOpen(), "one final answer to each request");
    request.ends += 1;
    if (error.execution == base::Execution::kNotRun)
    {
        require (isProvenNotRun (request),
                 "\"not run\" is reported only if no back end can have run the request");
        const bool isRetryable = base::traitsOf (error.error.kind).retryable;
        require (! isRetryable || (error.retryAfter && *error.retryAfter > base::Duration::zero()),
                 "a retryable refusal has a retry time");
    }
}

void RouterModel::checkAll() const
{
    const RouterCounters counters = m_core.counters();
    require (
        counters.admitted
            == counters.answered + counters.refused + counters.callersDisconnected + counters.open,
        "every request is counted once");
    std::uint64_t open = 0;
    for (const auto& [ticket, request] : m_requests)
    {
        if (! request.isOpen())
            continue;
        open += 1;
        checkServable (request);
        const bool hasBegun =
            request.hasHeaders
            || std::any_of (request.attempts.begin(), request.attempts.end(),
                            [this] (AttemptId id)
                            { return m_attempts.at (id).isLive && m_attempts.at (id).hasHeaders; });
        require (hasBegun || m_now < request.deadline + base::milliseconds (20),
                 "a request is answered by its deadline");
    }
    require (open == counters.open, "the router counts the open requests");
}

void RouterModel::checkServable (const Request& request) const
{
    const auto estimate = m_estimates.find (request.head.target);
    const bool waits = request.isRepeatable && request.attempts.empty();
    if (! waits || ! m_hasTable || estimate == m_estimates.end())
        return;
    if (m_controller.hasRow (request.head.target, m_leaving))
        return;
    const bool isMet = estimate->second.canBeServed && estimate->second.readyAt <= request.deadline;
    require (isMet, "an unservable request is refused at once");
}

}  // namespace fernlift::router::testing
