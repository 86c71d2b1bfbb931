// Ends of an exchange without an answer of a runner, and the log lines about it.

#include <array>
#include <cstdio>
#include <utility>

#include "http/ErrorResponse.h"
#include "proxy/Exchange.h"

namespace fernlift::proxy
{
namespace
{

using base::ErrorKind;

/// Retry-After time of a stopping router; the caller then reaches another router.
constexpr base::Duration kRetryElsewhere = base::milliseconds (50);
constexpr std::size_t kMaxLoggedIdBytes = 64;
constexpr const char* kStoppingCause = "this router is stopping";

/// Outcome that another router is told about a request that ends with an error.
PeerOutcome outcomeOf (ErrorKind kind)
{
    switch (kind)
    {
        case ErrorKind::kNotFound:
        case ErrorKind::kKeyUnknown:
        case ErrorKind::kLeaseExpired:
        case ErrorKind::kStopping:
            return PeerOutcome::kUnavailable;
        case ErrorKind::kUpstreamRefused:
        case ErrorKind::kNoCapacity:
        case ErrorKind::kDeadlineUnreachable:
            return PeerOutcome::kRefused;
        case ErrorKind::kUpstreamUnreachable:
            return PeerOutcome::kUnreachable;
        default:
            return PeerOutcome::kFailed;
    }
}

/// How the end of an answer is marked; empty without an answer.
std::string framingName (const http::AnswerHead& head)
{
    if (head.status == 0)
        return {};
    if (head.hasLength)
        return "length";
    return head.endsByClose ? "close" : "chunked";
}

std::string retryAfterText (base::Duration duration)
{
    std::array<char, 32> text{};
    const double seconds = std::chrono::duration<double> (duration).count();
    const int length = std::snprintf (text.data(), text.size(), "%.3f", seconds);
    return { text.data(), static_cast<std::size_t> (length) };
}

}  // namespace

void Exchange::logEnd (log::Event event, const std::string& cause) const
{
    const auto sinceArrival = [this] (base::TimePoint time)
    { return time == base::TimePoint{} ? -1 : base::toMilliseconds (time - m_arrivedAt); };
    log::write (
        event,
        { { "request", m_request.headers.value (m_context.names.requestId) },
          { "route", m_route == nullptr ? std::string() : m_route->name },
          { "configuration", m_routes ? m_routes->version() : 0 },
          { "tenant", tenantName() },
          { "quota_units", m_quota.claim.units },
          { "quota_rate", m_tenant == nullptr ? 0.0 : m_tenant->quota.ratePerSecond },
          { "quota_wait_ms", base::toMilliseconds (m_quota.waited) },
          { "service", m_query.service },
          { "model", m_query.model },
          { "adapter", m_query.adapter },
          { "runner", m_attempt.instance },
          { "runner_software", m_attempt.softwareVersion },
          { "resumes", resumedRequest().substr (0, kMaxLoggedIdBytes) },
          { "pinned_by", toString (m_pinSource) },
          { "table", m_context.directory.version() },
          { "table_age_ms", m_context.directory.ageMilliseconds (now()) },
          { "attempts", m_sentAttempts },
          { "retry_denied", m_isRetryDenied ? 1 : 0 },
          { "unreachable", m_unreachableAttempts },
          { "forwarded_to", m_attempt.peer ? m_attempt.peer->router : std::string() },
          { "forwarded_by", m_servedPeer ? m_servedPeer->router : std::string() },
          { "declined_by_routers", m_peerSearch.declined() },
          { "waited_ms", base::toMilliseconds (m_waited) },
          { "permit_wait_ms", base::toMilliseconds (m_permitWaited) },
          { "target_ms", m_route == nullptr ? -1 : base::toMilliseconds (m_route->targetLatency) },
          { "gap_target_ms", m_route == nullptr ? -1 : base::toMilliseconds (m_route->gapTarget) },
          { "framing", framingName (m_attempt.head) },
          { "head_ms", sinceArrival (m_answeredAt) },
          { "longest_pause_ms", base::toMilliseconds (m_longestPause) },
          { "total_ms", sinceArrival (now()) },
          { "caller", m_hasBrokenAnswer ? callerName() : std::string() },
          { "identity", loggedIdentity() },
          { "prompt_parts", loggedPromptParts() },
          { "cause", cause } });
}

void Exchange::logResend (log::Event event) const
{
    log::write (event,
                { { "request", m_request.headers.value (m_context.names.requestId) },
                  { "from_runner", m_attempt.instance },
                  { "status", m_attempt.head.status },
                  { "attempts", m_sentAttempts },
                  { "identity", loggedIdentity() },
                  { "prompt_parts", loggedPromptParts() },
                  { "last_event", m_events ? m_events->lastId().value_or ("") : std::string() } });
}

void Exchange::logOpenAtStop() const
{
    const auto sinceLast = [this] (base::TimePoint time)
    { return time == base::TimePoint{} ? -1 : base::toMilliseconds (now() - time); };
    log::write (log::Event::kRequestOpenAtStop,
                { { "request", m_request.headers.value (m_context.names.requestId) },
                  { "route", m_route == nullptr ? std::string() : m_route->name },
                  { "runner", m_attempt.instance },
                  { "forwarded_to", m_attempt.peer ? m_attempt.peer->router : std::string() },
                  { "attempts", m_sentAttempts },
                  { "waits", isWaiting() ? 1 : 0 },
                  { "answer_begun", m_isAnswerBegun ? 1 : 0 },
                  { "last_event", m_events ? m_events->lastId().value_or ("") : std::string() },
                  { "since_event_ms", sinceLast (m_lastEventAt) },
                  { "unsent_bytes", m_caller.bytesToWrite() },
                  { "total_ms", sinceLast (m_arrivedAt) } });
}

void Exchange::logIncompleteStream (const http::EventSplitter& events) const
{
    log::write (log::Event::kStreamIncomplete,
                { { "request", m_request.headers.value (m_context.names.requestId) },
                  { "runner", m_attempt.instance },
                  { "framing", framingName (m_attempt.head) },
                  { "incomplete_bytes", events.incompleteBytes().size() },
                  { "last_event", events.lastId().value_or ("") } });
}

void Exchange::refuse (ErrorKind kind, const std::string& message, base::Duration retryAfter)
{
    ++m_context.counters.refused;
    logEnd (log::Event::kRequestRefused, message);
    sendError ({ kind, message }, retryAfter);
}

void Exchange::fail (ErrorKind kind, const std::string& message)
{
    ++m_context.counters.failed;
    logEnd (log::Event::kRequestFailed, message);
    sendError ({ kind, message }, std::nullopt);
}

void Exchange::endWithoutRunner (ErrorKind kind, const std::string& message,
                                 base::Duration retryAfter, const char* failure)
{
    if (m_isAnswerBegun)
        endBegunAnswer();
    else if (m_mayHaveRun)
        fail (ErrorKind::kUpstreamBroken, failure);
    else
        refuse (kind, message, retryAfter);
}

void Exchange::sendError (const base::Error& error, std::optional<base::Duration> retryAfter)
{
    http::Response response = http::errorResponse (error);
    if (retryAfter)
        response.headers.set ("Retry-After", retryAfterText (*retryAfter));
    const std::string id = m_request.headers.value (m_context.names.requestId);
    if (! id.empty())
        response.headers.set (m_context.names.requestId, id);
    if (m_servedPeer)
        addPeerAnswer (response.headers, peerAnswer (outcomeOf (error.kind)));
    m_caller.sendAnswer (response.status, response.headers, response.body);
    end();
}

void Exchange::endBegunAnswer()
{
    if (m_silentAttempt)
        returnToSilentAttempt (log::Event::kStreamWaitsForSilentRunner);
    else
        abortAnswer();
}

void Exchange::abortAnswer()
{
    ++m_context.counters.failed;
    logEnd (log::Event::kRequestFailed, "the stream broke off and cannot go on");
    m_caller.abort();
    end();
}

void Exchange::onRouterStopping()
{
    if (m_isEnded || ! isWaiting())
        return;
    endWithoutRunner (ErrorKind::kStopping, kStoppingCause, kRetryElsewhere, kStoppingCause);
}

bool Exchange::refuseIfStopsBefore()
{
    const bool isUnsent = ! m_mayHaveRun && ! m_isAnswerBegun;
    if (! m_context.stopsAt || ! isUnsent || m_deadline <= *m_context.stopsAt)
        return false;
    const base::Duration expected = m_context.routeTimes.expected (m_route->name);
    if (now() + expected <= *m_context.stopsAt)
        return false;
    endWait();
    refuse (ErrorKind::kStopping, kStoppingCause, kRetryElsewhere);
    return true;
}

void Exchange::onCallerDisconnected()
{
    if (m_isEnded)
        return;
    ++m_context.counters.disconnected;
    logEnd (log::Event::kCallerLeft, "the caller left");
    if (m_attempt.connection)
        endAttempt (AttemptEnd::kAbandoned, false);
    end();
}

void Exchange::end()
{
    if (std::exchange (m_isEnded, true))
        return;
    m_timer.stop();
    returnUnsentRetry();
    endSilentAttempt (AttemptEnd::kAbandoned);
    m_context.quotas.giveUp (m_quota);
    m_permitChoice.reset();
    m_context.rates.giveUp (m_permit);
    m_slotTicket.reset();
    endWait();
    m_onEnd (*this);
}

}  // namespace fernlift::proxy
