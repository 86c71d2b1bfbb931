// Attempts and answers: from the time a request gets a slot at a replica to its final answer.

#include <algorithm>
#include <utility>

#include "admission/RetryAfter.h"
#include "router/RouterCoreImplementation.h"

namespace fernlift::router
{
namespace
{

using base::ErrorKind;
using dispatch::AttemptFailure;

constexpr base::Duration kFirstBackoff = base::milliseconds (50);
constexpr base::Duration kFailureEstimate = base::seconds (1);
constexpr int kFirstServerError = 502;
constexpr int kLastServerError = 504;
constexpr int kOk = 200;

bool isRetryableStatus (int httpStatus)
{
    return httpStatus >= kFirstServerError && httpStatus <= kLastServerError;
}

dispatch::Attempt* findAttempt (RouterRequest& request, AttemptId id)
{
    for (dispatch::Attempt& attempt : request.attempts)
    {
        if (attempt.id() == id)
            return &attempt;
    }
    return nullptr;
}

}  // namespace

void RouterCore::Implementation::beginService (RouterRequest& request,
                                               const cell::RoutableReplica& replica)
{
    if (request.isRepeatable || request.isClaimed)
    {
        startAttempt (request, replica);
    }
    else
    {
        requestClaim (request, replica);
    }
}

void RouterCore::Implementation::requestClaim (RouterRequest& request,
                                               const cell::RoutableReplica& replica)
{
    request.state = RequestState::kClaiming;
    request.reserved = replica;
    m_table.addInFlight (replica, request.urgency);
    cell::Claim claim;
    claim.key = request.head.idempotencyKey;
    claim.requestDigest = request.head.requestDigest;
    claim.router = m_options.router;
    // Callers may choose request identifiers, but the identifier of a claim must be unique.
    claim.request = base::RequestId (request.head.id.value + "/" + m_options.router.value + "/"
                                     + m_processNonce + "/" + std::to_string (request.ticket));
    const base::Duration kept = request.deadline - m_now + m_options.claimWindow;
    const base::UnixMilliseconds time = cellTime() != 0 ? cellTime() : m_unixNow;
    claim.expiresAt = time + base::toMilliseconds (kept);
    request.claim = claim;
    m_claimOwners[claim.request] = request.ticket;
    m_claims.add (claim);
    m_counters.claims += 1;
    trace (request, "claim requested");
    setTimer (request);
}

void RouterCore::Implementation::onClaimAnswer (const cell::ClaimAnswer& answer)
{
    const auto owner = m_claimOwners.find (answer.request);
    if (owner == m_claimOwners.end())
        return;
    RouterRequest& request = m_requests.at (owner->second);
    switch (answer.verdict)
    {
        case cell::ClaimVerdict::kGranted:
            onClaimGranted (request);
            return;
        case cell::ClaimVerdict::kInProgress:
            fail (request,
                  { ErrorKind::kOutcomeUnknown,
                    "a request with this idempotency key is in progress" },
                  base::Execution::kUnknown, admission::retryAfter (kFailureEstimate, m_random));
            return;
        case cell::ClaimVerdict::kAlreadyRan:
            fail (request,
                  { ErrorKind::kAlreadyRun, "a request with this key was answered with status "
                                                + std::to_string (answer.httpStatus) },
                  base::Execution::kRan, std::nullopt);
            return;
        case cell::ClaimVerdict::kOutcomeUnknown:
            fail (request,
                  { ErrorKind::kOutcomeUnknown,
                    "the outcome of the request with this idempotency key is unknown" },
                  base::Execution::kUnknown, std::nullopt);
            return;
        case cell::ClaimVerdict::kConflict:
            fail (request,
                  { ErrorKind::kIdempotencyKeyConflict, "the key was used for another request" },
                  base::Execution::kNotRun, std::nullopt);
            return;
        case cell::ClaimVerdict::kWindowPassed:
            fail (request,
                  { ErrorKind::kIdempotencyWindowPassed,
                    "the retention period of the idempotency key has passed" },
                  base::Execution::kNotRun, std::nullopt);
            return;
        case cell::ClaimVerdict::kTableFull:
            fail (request,
                  { ErrorKind::kNoCapacity, "no further idempotency keys can be held now" },
                  base::Execution::kNotRun, admission::retryAfter (kFailureEstimate, m_random));
            return;
    }
}

void RouterCore::Implementation::onClaimGranted (RouterRequest& request)
{
    request.isClaimed = true;
    const cell::RoutableReplica replica = *std::exchange (request.reserved, std::nullopt);
    m_table.removeInFlight (replica, request.urgency);
    m_mustServe = true;
    trace (request, "claim granted");
    const bool hasLease = isReady() || m_options.plantedFault == PlantedFault::kIgnoreLease;
    if (! hasLease)
    {
        failNotRun (request,
                    { ErrorKind::kLeaseExpired,
                      "the lease on the configuration ended before dispatch", kFailureEstimate });
    }
    else if (m_table.isUsable (replica) && backoffOf (replica) == base::Duration::zero())
    {
        startAttempt (request, replica);
    }
    else
    {
        requeue (request);
    }
}

base::TimePoint RouterCore::Implementation::firstByteBy (const RouterRequest& request) const
{
    if (request.hasReachedCaller)
        return m_now + m_options.betweenTokensTimeout;
    // If another attempt is possible, a back end that does not answer gets half of the time left.
    const bool mayRetry = request.isRepeatable && request.attemptsMade < m_options.maximumAttempts
                          && m_table.usableReplicas (request.head.target).size() > 1;
    const base::Duration left = request.deadline - m_now;
    return mayRetry ? m_now + left / 2 : request.deadline;
}

void RouterCore::Implementation::startAttempt (RouterRequest& request,
                                               const cell::RoutableReplica& replica)
{
    const bool isFirst = ! request.wasDispatched;
    request.state = RequestState::kDispatched;
    request.wasDispatched = true;
    request.resumeBy.reset();
    request.attemptsMade += 1;
    const AttemptId id = ++m_lastAttempt;
    request.attempts.emplace_back (id, replica, m_now, firstByteBy (request),
                                   m_options.betweenTokensTimeout);
    m_attemptOwners[id] = request.ticket;
    if (! m_availability.isEmpty())
        m_availability.onAttemptBegin (incarnationOf (replica), m_now);
    m_table.addInFlight (replica, request.urgency);
    m_prefixes.onSent (replica.runner, replica.target, request.head.prefixHashes);
    m_counters.attempts += 1;
    if (isFirst)
        m_retryBudget.onFirstAttempt();
    const bool mayHedge = m_options.hedgeAfter && isFirst && request.isRepeatable
                          && ! request.head.isStreaming
                          && request.urgency <= m_options.hedgeMaximumUrgency;
    if (mayHedge)
        request.hedgeAt = m_now + *m_options.hedgeAfter;
    const std::uint64_t resumeFrom = request.hasReachedCaller ? request.assembler.nextOffset() : 0;
    m_effects.emplace_back (StartAttempt{ request.ticket, id, replica, request.urgency, resumeFrom,
                                          m_options.connectTimeout });
    trace (request, "attempt " + std::to_string (id) + " at " + replica.runner.value);
    setTimer (request);
}

void RouterCore::Implementation::startHedge (RouterRequest& request)
{
    request.hedgeAt.reset();
    if (request.attempts.size() != 1 || request.attempts.front().hasHeaders())
        return;
    request.avoid.insert (request.attempts.front().replica().runner);
    const auto replica = chooseReplica (request);
    if (! replica || request.avoid.contains (replica->runner))
        return;
    if (! m_retryBudget.tryRetry())
        return;
    m_counters.retries += 1;
    startAttempt (request, *replica);
}

void RouterCore::Implementation::onAttemptEvent (AttemptId attempt, const AttemptEvent& event)
{
    const auto owner = m_attemptOwners.find (attempt);
    if (owner == m_attemptOwners.end())
        return;  // The attempt was abandoned.
    RouterRequest& request = m_requests.at (owner->second);
    std::visit ([&] (const auto& content) { handle (request, attempt, content); }, event);
    settle();
}

void RouterCore::Implementation::onCallerPaused (RequestTicket ticket, bool isPaused)
{
    const auto entry = m_requests.find (ticket);
    if (entry == m_requests.end())
        return;
    RouterRequest& request = entry->second;
    for (dispatch::Attempt& attempt : request.attempts)
        attempt.setPaused (isPaused, m_now);
    setTimer (request);
}

void RouterCore::Implementation::handle (RouterRequest& request, AttemptId id,
                                         const AttemptNotSent& /*event*/)
{
    onAttemptFailed (request, id, AttemptFailure::kNotSent);
}

void RouterCore::Implementation::handle (RouterRequest& request, AttemptId id,
                                         const AttemptRefused& event)
{
    if (event.runnerIsLeaving)
        reportLeavingRunner (findAttempt (request, id)->replica());
    if (event.retryAfter)
    {
        m_availability.onBackoff (incarnationOf (findAttempt (request, id)->replica()),
                                  *event.retryAfter, m_now);
    }
    onAttemptFailed (request, id, AttemptFailure::kRefused, event.retryAfter);
}

void RouterCore::Implementation::handle (RouterRequest& request, AttemptId id,
                                         const AttemptHeaders& event)
{
    dispatch::Attempt& attempt = *findAttempt (request, id);
    if (event.runnerIsLeaving)
        reportLeavingRunner (attempt.replica());
    attempt.onHeaders (event.httpStatus, m_now);
    if (! m_availability.isEmpty() && ! isRetryableStatus (event.httpStatus))
        m_availability.onSuccess (incarnationOf (attempt.replica()), attempt.startedAt(), m_now);
    // An error response cannot continue a stream.
    const bool cannotContinue = request.hasReachedCaller && event.httpStatus != kOk;
    const bool isWorthRetry = request.isRepeatable && isRetryableStatus (event.httpStatus)
                              && request.attemptsMade < m_options.maximumAttempts
                              && m_retryBudget.allowsRetry();
    if (cannotContinue || isWorthRetry)
    {
        m_effects.emplace_back (CancelAttempt{ id });
        onAttemptFailed (request, id, AttemptFailure::kServerFailed);
        return;
    }
    setTimer (request);
}

/// Selects the attempt whose answer is forwarded and cancels the other open attempts. Returns false
/// if another open attempt was selected before.
bool RouterCore::Implementation::selectAttempt (RouterRequest& request, AttemptId id)
{
    if (request.answeringAttempt == id)
        return true;
    if (findAttempt (request, request.answeringAttempt) != nullptr)
        return false;
    request.answeringAttempt = id;
    if (! request.hasReachedCaller && m_options.plantedFault != PlantedFault::kMixAttempts)
    {
        request.assembler.restart();
        request.buffered.clear();
    }
    std::vector<AttemptId> others;
    for (const dispatch::Attempt& attempt : request.attempts)
    {
        if (attempt.id() != id)
            others.push_back (attempt.id());
    }
    for (const AttemptId other : others)
        dropAttempt (request, other, true);
    return true;
}

void RouterCore::Implementation::handle (RouterRequest& request, AttemptId id,
                                         const AttemptData& event)
{
    if (! selectAttempt (request, id))
        return;
    dispatch::Attempt& attempt = *findAttempt (request, id);
    attempt.onPart (m_now);
    setTimer (request);
    const auto verdict = request.assembler.accept (event.offset, event.count);
    const bool passesDuplicates = m_options.plantedFault == PlantedFault::kPassDuplicateChunks;
    if (verdict == dispatch::PartVerdict::kDuplicate && ! passesDuplicates)
        return;
    if (verdict == dispatch::PartVerdict::kGap)
    {
        m_effects.emplace_back (CancelAttempt{ id });
        onAttemptFailed (request, id, AttemptFailure::kBroken);
        return;
    }
    request.answerStatus = attempt.hasHeaders() ? attempt.httpStatus() : kOk;
    forwardData (request, event);
    const bool isProgress = event.count > 0 && request.hasReachedCaller;
    if (isProgress)
        request.attemptsMade = 1;
}

void RouterCore::Implementation::forwardData (RouterRequest& request, const AttemptData& part)
{
    if (request.isDetached)
        return;
    const bool isOkStream = request.head.isStreaming && request.answerStatus == kOk;
    if (request.hasReachedCaller)
    {
        m_effects.emplace_back (AnswerData{ request.ticket, part.data });
        return;
    }
    request.buffered += part.data;
    const bool isTooLarge = request.buffered.size() > m_options.maximumBufferedAnswer;
    if (isOkStream || isTooLarge)
        beginAnswer (request);
}

/// Sends the headers and the buffered part of the answer.
void RouterCore::Implementation::beginAnswer (RouterRequest& request)
{
    request.hasReachedCaller = true;
    m_effects.emplace_back (
        AnswerHeaders{ request.ticket, request.answerStatus, request.answeringAttempt });
    std::string kept = std::exchange (request.buffered, {});
    if (! kept.empty())
        m_effects.emplace_back (AnswerData{ request.ticket, std::move (kept) });
}

void RouterCore::Implementation::handle (RouterRequest& request, AttemptId id,
                                         const AttemptEnded& /*event*/)
{
    if (! selectAttempt (request, id))
        return;
    const dispatch::Attempt attempt = *findAttempt (request, id);
    m_outliers.onSuccess (attempt.replica().runner, m_now);
    request.answerStatus = attempt.hasHeaders() ? attempt.httpStatus() : kOk;
    dropAttempt (request, id, false);
    // Statuses 502 to 504 often come from an intermediary that does not know the outcome.
    const bool isKnown = ! isRetryableStatus (request.answerStatus);
    recordOutcome (request, isKnown ? cell::ClaimOutcome::kRan : cell::ClaimOutcome::kUnknown,
                   request.answerStatus);
    if (! request.isDetached)
    {
        if (! request.hasReachedCaller)
            beginAnswer (request);
        m_effects.emplace_back (AnswerEnd{ request.ticket });
        m_counters.answered += 1;
        trace (request, "answered with status " + std::to_string (request.answerStatus));
    }
    forget (request);
}

void RouterCore::Implementation::handle (RouterRequest& request, AttemptId id,
                                         const AttemptBroken& /*event*/)
{
    onAttemptFailed (request, id, AttemptFailure::kBroken);
}

void RouterCore::Implementation::reportLeavingRunner (const cell::RoutableReplica& replica)
{
    if (m_options.plantedFault == PlantedFault::kDispatchToLeaving)
        return;
    if (! m_table.markLeaving (replica.runner, replica.incarnation))
        return;
    refuseUnservable();
    // Without a connection, onControllerConnected() reports it later.
    if (! m_session.isConnected())
        return;
    sendToController (cell::RunnerLeavingReport{ replica.runner, replica.incarnation });
}

void RouterCore::Implementation::dropAttempt (RouterRequest& request, AttemptId id, bool cancel)
{
    const dispatch::Attempt* attempt = findAttempt (request, id);
    if (attempt == nullptr)
        return;
    m_table.removeInFlight (attempt->replica(), request.urgency);
    m_attemptOwners.erase (id);
    std::erase_if (request.attempts, [id] (const auto& candidate) { return candidate.id() == id; });
    if (cancel)
        m_effects.emplace_back (CancelAttempt{ id });
    m_mustServe = true;
}

void RouterCore::Implementation::onAttemptFailed (RouterRequest& request, AttemptId id,
                                                  AttemptFailure failure,
                                                  std::optional<base::Duration> retryAfter)
{
    const base::RunnerId runner = findAttempt (request, id)->replica().runner;
    trace (request, "attempt " + std::to_string (id) + " failed");
    dropAttempt (request, id, false);
    if (failure != AttemptFailure::kRefused)
        m_outliers.onFailure (runner, m_now);
    if (! dispatch::provesNotRun (failure))
        request.mayHaveRun = true;
    request.avoid.insert (runner);
    if (! request.attempts.empty())
    {
        setTimer (request);
        return;  // The other attempt of a hedged request is still open.
    }
    if (request.isDetached)
    {
        recordOutcome (
            request,
            request.mayHaveRun ? cell::ClaimOutcome::kUnknown : cell::ClaimOutcome::kNotRun, 0);
        forget (request);
        return;
    }
    dispatch::RetryContext context;
    context.failure = failure;
    context.isRepeatable =
        request.isRepeatable || m_options.plantedFault == PlantedFault::kRetrySentUnrepeatable;
    context.hasReachedCaller = request.hasReachedCaller;
    context.canResume = request.isTokenStream() && request.answerStatus == kOk;
    context.attemptsMade = request.attemptsMade;
    context.maximumAttempts = m_options.maximumAttempts;
    const bool isTooLate = ! request.hasReachedCaller && m_now >= request.deadline;
    const auto decision = dispatch::decideRetry (context);
    if (decision == dispatch::RetryDecision::kFail || isTooLate)
    {
        failAfterAttempt (request, failure, retryAfter);
    }
    else if (decision == dispatch::RetryDecision::kResume)
    {
        m_retryBudget.chargeRetry();
        m_counters.resumes += 1;
        retry (request, failure);
    }
    else if (m_retryBudget.tryRetry())
    {
        m_counters.retries += 1;
        retry (request, failure);
    }
    else
    {
        failNotRun (request, { ErrorKind::kRetryBudgetSpent, "the retry budget is spent",
                               kFailureEstimate });
    }
}

void RouterCore::Implementation::retry (RouterRequest& request, AttemptFailure /*failure*/)
{
    if (request.hasReachedCaller)
        request.resumeBy = m_now + m_options.betweenTokensTimeout;
    const auto usable = m_table.usableReplicas (request.head.target);
    const bool hasOther = std::any_of (usable.begin(), usable.end(),
                                       [&] (const auto* state)
                                       { return ! request.avoid.contains (state->info.runner); });
    if (hasOther)
    {
        requeue (request);
        return;
    }
    // All replicas were tried. After a backoff the next attempt may use any of them.
    base::Duration backoff = kFirstBackoff;
    for (std::uint32_t made = 1; made < request.attemptsMade; ++made)
        backoff *= 2;
    request.state = RequestState::kBackingOff;
    request.nextAttemptAt =
        m_now + backoff + base::Duration (m_random.uniformInteger (0, backoff.count()));
    setTimer (request);
}

void RouterCore::Implementation::failAfterAttempt (RouterRequest& request, AttemptFailure failure,
                                                   std::optional<base::Duration> retryAfter)
{
    const ErrorKind kind = dispatch::errorKindOf (failure, request.isRepeatable);
    const bool mayRetryLater = request.isRepeatable || dispatch::provesNotRun (failure);
    std::optional<base::Duration> advisedDelay;
    if (mayRetryLater)
    {
        advisedDelay = admission::retryAfter (retryAfter.value_or (kFailureEstimate), m_random);
    }
    const auto execution =
        request.mayHaveRun ? base::Execution::kUnknown : base::Execution::kNotRun;
    fail (request, { kind, "the back end failed" }, execution, advisedDelay);
}

}  // namespace fernlift::router
