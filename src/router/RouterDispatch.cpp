// Attempts and answers: from the moment a request has room at a replica to its final answer.

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
    table_.addInFlight (replica, request.urgency);
    cell::Claim claim;
    claim.key = request.head.idempotencyKey;
    claim.requestDigest = request.head.requestDigest;
    claim.router = options_.router;
    // Callers may choose request identifiers; a claim needs one that nobody else can use.
    claim.request = base::RequestId (request.head.id.value + "/" + options_.router.value + "/"
                                     + processNonce_ + "/" + std::to_string (request.ticket));
    const base::Duration kept = request.deadline - now_ + options_.claimWindow;
    const base::UnixMilliseconds time = cellTime() != 0 ? cellTime() : unixNow_;
    claim.expiresAt = time + base::toMilliseconds (kept);
    request.claim = claim;
    claimOwners_[claim.request] = request.ticket;
    claims_.add (claim);
    counters_.claims += 1;
    trace (request, "claim asked for");
    setTimer (request);
}

void RouterCore::Implementation::onClaimAnswer (const cell::ClaimAnswer& answer)
{
    const auto owner = claimOwners_.find (answer.request);
    if (owner == claimOwners_.end())
        return;
    RouterRequest& request = requests_.at (owner->second);
    switch (answer.verdict)
    {
        case cell::ClaimVerdict::kGranted:
            onClaimGranted (request);
            return;
        case cell::ClaimVerdict::kInProgress:
            fail (request, { ErrorKind::kOutcomeUnknown, "a request with this key is in progress" },
                  base::Execution::kUnknown, admission::retryAfter (kFailureEstimate, random_));
            return;
        case cell::ClaimVerdict::kAlreadyRan:
            fail (request,
                  { ErrorKind::kAlreadyRun, "a request with this key was answered with status "
                                                + std::to_string (answer.httpStatus) },
                  base::Execution::kRan, std::nullopt);
            return;
        case cell::ClaimVerdict::kOutcomeUnknown:
            fail (request,
                  { ErrorKind::kOutcomeUnknown, "the outcome of this key's request was lost" },
                  base::Execution::kUnknown, std::nullopt);
            return;
        case cell::ClaimVerdict::kConflict:
            fail (request,
                  { ErrorKind::kIdempotencyKeyConflict, "the key was used for another request" },
                  base::Execution::kNotRun, std::nullopt);
            return;
        case cell::ClaimVerdict::kWindowPassed:
            fail (request, { ErrorKind::kIdempotencyWindowPassed, "the key's window has passed" },
                  base::Execution::kNotRun, std::nullopt);
            return;
        case cell::ClaimVerdict::kTableFull:
            fail (request,
                  { ErrorKind::kNoCapacity, "no further idempotency keys can be held now" },
                  base::Execution::kNotRun, admission::retryAfter (kFailureEstimate, random_));
            return;
    }
}

void RouterCore::Implementation::onClaimGranted (RouterRequest& request)
{
    request.isClaimed = true;
    const cell::RoutableReplica replica = *std::exchange (request.reserved, std::nullopt);
    table_.removeInFlight (replica, request.urgency);
    mustServe_ = true;
    trace (request, "claim granted");
    const bool hasLease = isReady() || options_.plantedFault == PlantedFault::kIgnoreLease;
    if (! hasLease)
    {
        failNotRun (request, { ErrorKind::kLeaseExpired, "the lease ended", kFailureEstimate });
    }
    else if (table_.isUsable (replica))
    {
        startAttempt (request, replica);
    }
    else
    {
        enqueueAgain (request);
    }
}

base::TimePoint RouterCore::Implementation::firstByteBy (const RouterRequest& request) const
{
    if (request.hasReachedCaller)
        return now_ + options_.betweenTokensTimeout;
    // With time for another attempt elsewhere, a silent back end gets half of what is left.
    const bool mayRetry = request.isRepeatable && request.attemptsMade < options_.maximumAttempts
                          && table_.usableReplicas (request.head.target).size() > 1;
    const base::Duration left = request.deadline - now_;
    return mayRetry ? now_ + left / 2 : request.deadline;
}

void RouterCore::Implementation::startAttempt (RouterRequest& request,
                                               const cell::RoutableReplica& replica)
{
    const bool isFirst = ! request.wasDispatched;
    request.state = RequestState::kDispatched;
    request.wasDispatched = true;
    request.resumeBy.reset();
    request.attemptsMade += 1;
    const AttemptId id = ++lastAttempt_;
    request.attempts.emplace_back (id, replica, firstByteBy (request),
                                   options_.betweenTokensTimeout);
    attemptOwners_[id] = request.ticket;
    table_.addInFlight (replica, request.urgency);
    prefixes_.onSent (replica.runner, replica.target, request.head.prefixHashes);
    counters_.attempts += 1;
    if (isFirst)
        retryBudget_.onFirstAttempt();
    const bool mayHedge = options_.hedgeAfter && isFirst && request.isRepeatable
                          && ! request.head.isStreaming
                          && request.urgency <= options_.hedgeMaximumUrgency;
    if (mayHedge)
        request.hedgeAt = now_ + *options_.hedgeAfter;
    const std::uint64_t resumeFrom = request.hasReachedCaller ? request.assembler.nextOffset() : 0;
    effects_.emplace_back (StartAttempt{ request.ticket, id, replica, request.urgency, resumeFrom,
                                         options_.connectTimeout });
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
    if (! retryBudget_.tryRetry())
        return;
    counters_.retries += 1;
    startAttempt (request, *replica);
}

void RouterCore::Implementation::onAttemptEvent (AttemptId attempt, const AttemptEvent& event)
{
    const auto owner = attemptOwners_.find (attempt);
    if (owner == attemptOwners_.end())
        return;  // Of an attempt that was given up.
    RouterRequest& request = requests_.at (owner->second);
    std::visit ([&] (const auto& content) { handle (request, attempt, content); }, event);
    settle();
}

void RouterCore::Implementation::onCallerPaused (RequestTicket ticket, bool isPaused)
{
    const auto entry = requests_.find (ticket);
    if (entry == requests_.end())
        return;
    RouterRequest& request = entry->second;
    for (dispatch::Attempt& attempt : request.attempts)
        attempt.setPaused (isPaused, now_);
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
        noteLeaving (findAttempt (request, id)->replica());
    onAttemptFailed (request, id, AttemptFailure::kRefused, event.retryAfter);
}

void RouterCore::Implementation::handle (RouterRequest& request, AttemptId id,
                                         const AttemptHeaders& event)
{
    dispatch::Attempt& attempt = *findAttempt (request, id);
    if (event.runnerIsLeaving)
        noteLeaving (attempt.replica());
    attempt.onHeaders (event.httpStatus, now_);
    // An error page is no continuation of a stream.
    const bool cannotContinue = request.hasReachedCaller && event.httpStatus != kOk;
    const bool isWorthRetry = request.isRepeatable && isRetryableStatus (event.httpStatus)
                              && request.attemptsMade < options_.maximumAttempts
                              && retryBudget_.allowsRetry();
    if (cannotContinue || isWorthRetry)
    {
        effects_.emplace_back (CancelAttempt{ id });
        onAttemptFailed (request, id, AttemptFailure::kServerFailed);
        return;
    }
    setTimer (request);
}

/// Makes an attempt the one whose answer is passed on; others under way are cancelled. False when
/// another one was before.
bool RouterCore::Implementation::takeLead (RouterRequest& request, AttemptId id)
{
    if (request.answeringAttempt == id)
        return true;
    if (findAttempt (request, request.answeringAttempt) != nullptr)
        return false;
    request.answeringAttempt = id;
    if (! request.hasReachedCaller && options_.plantedFault != PlantedFault::kMixAttempts)
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
    if (! takeLead (request, id))
        return;
    dispatch::Attempt& attempt = *findAttempt (request, id);
    attempt.onPart (now_);
    setTimer (request);
    const auto verdict = request.assembler.accept (event.offset, event.count);
    const bool passesDuplicates = options_.plantedFault == PlantedFault::kPassDuplicateChunks;
    if (verdict == dispatch::PartVerdict::kDuplicate && ! passesDuplicates)
        return;
    if (verdict == dispatch::PartVerdict::kGap)
    {
        effects_.emplace_back (CancelAttempt{ id });
        onAttemptFailed (request, id, AttemptFailure::kBroken);
        return;
    }
    request.answerStatus = attempt.hasHeaders() ? attempt.httpStatus() : kOk;
    passPart (request, event);
    const bool isProgress = event.count > 0 && request.hasReachedCaller;
    if (isProgress)
        request.attemptsMade = 1;
}

void RouterCore::Implementation::passPart (RouterRequest& request, const AttemptData& part)
{
    if (request.isDetached)
        return;
    const bool isOkStream = request.head.isStreaming && request.answerStatus == kOk;
    if (request.hasReachedCaller)
    {
        effects_.emplace_back (AnswerData{ request.ticket, part.data });
        return;
    }
    request.buffered += part.data;
    const bool isTooLarge = request.buffered.size() > options_.maximumBufferedAnswer;
    if (isOkStream || isTooLarge)
        beginAnswer (request);
}

/// Sends the headers and what was kept back.
void RouterCore::Implementation::beginAnswer (RouterRequest& request)
{
    request.hasReachedCaller = true;
    effects_.emplace_back (
        AnswerHeaders{ request.ticket, request.answerStatus, request.answeringAttempt });
    std::string kept = std::exchange (request.buffered, {});
    if (! kept.empty())
        effects_.emplace_back (AnswerData{ request.ticket, std::move (kept) });
}

void RouterCore::Implementation::handle (RouterRequest& request, AttemptId id,
                                         const AttemptEnded& /*event*/)
{
    if (! takeLead (request, id))
        return;
    const dispatch::Attempt attempt = *findAttempt (request, id);
    outliers_.onSuccess (attempt.replica().runner, now_);
    request.answerStatus = attempt.hasHeaders() ? attempt.httpStatus() : kOk;
    dropAttempt (request, id, false);
    // Such an answer often comes from something in between, which does not know what became of it.
    const bool isKnown = ! isRetryableStatus (request.answerStatus);
    recordOutcome (request, isKnown ? cell::ClaimOutcome::kRan : cell::ClaimOutcome::kUnknown,
                   request.answerStatus);
    if (! request.isDetached)
    {
        if (! request.hasReachedCaller)
            beginAnswer (request);
        effects_.emplace_back (AnswerEnd{ request.ticket });
        counters_.answered += 1;
        trace (request, "answered with status " + std::to_string (request.answerStatus));
    }
    forget (request);
}

void RouterCore::Implementation::handle (RouterRequest& request, AttemptId id,
                                         const AttemptBroken& /*event*/)
{
    onAttemptFailed (request, id, AttemptFailure::kBroken);
}

void RouterCore::Implementation::noteLeaving (const cell::RoutableReplica& replica)
{
    if (options_.plantedFault == PlantedFault::kDispatchToLeaving)
        return;
    if (! table_.markLeaving (replica.runner, replica.incarnation))
        return;
    refuseUnservable();
    // Without a connection it is told when there is one again.
    if (! session_.isConnected())
        return;
    sendToController (cell::RunnerLeavingSeen{ replica.runner, replica.incarnation });
}

void RouterCore::Implementation::dropAttempt (RouterRequest& request, AttemptId id, bool cancel)
{
    const dispatch::Attempt* attempt = findAttempt (request, id);
    if (attempt == nullptr)
        return;
    table_.removeInFlight (attempt->replica(), request.urgency);
    attemptOwners_.erase (id);
    std::erase_if (request.attempts, [id] (const auto& candidate) { return candidate.id() == id; });
    if (cancel)
        effects_.emplace_back (CancelAttempt{ id });
    mustServe_ = true;
}

void RouterCore::Implementation::onAttemptFailed (RouterRequest& request, AttemptId id,
                                                  AttemptFailure failure,
                                                  std::optional<base::Duration> retryAfter)
{
    const base::RunnerId runner = findAttempt (request, id)->replica().runner;
    trace (request, "attempt " + std::to_string (id) + " failed");
    dropAttempt (request, id, false);
    if (failure != AttemptFailure::kRefused)
        outliers_.onFailure (runner, now_);
    if (! dispatch::provesNotRun (failure))
        request.mayHaveRun = true;
    request.avoid.insert (runner);
    if (! request.attempts.empty())
    {
        setTimer (request);
        return;  // A hedged request whose other attempt goes on.
    }
    if (request.isDetached)
    {
        recordOutcome (
            request,
            request.mayHaveRun ? cell::ClaimOutcome::kUnknown : cell::ClaimOutcome::kNotRun, 0);
        forget (request);
        return;
    }
    dispatch::RetryQuestion question;
    question.failure = failure;
    question.isRepeatable =
        request.isRepeatable || options_.plantedFault == PlantedFault::kRetrySentUnrepeatable;
    question.hasReachedCaller = request.hasReachedCaller;
    question.canResume = request.isTokenStream() && request.answerStatus == kOk;
    question.attemptsMade = request.attemptsMade;
    question.maximumAttempts = options_.maximumAttempts;
    const bool isTooLate = ! request.hasReachedCaller && now_ >= request.deadline;
    const auto decision = dispatch::decideRetry (question);
    if (decision == dispatch::RetryDecision::kFail || isTooLate)
    {
        failAfterAttempt (request, failure, retryAfter);
    }
    else if (decision == dispatch::RetryDecision::kResume)
    {
        retryBudget_.chargeRetry();
        counters_.resumes += 1;
        retry (request, failure);
    }
    else if (retryBudget_.tryRetry())
    {
        counters_.retries += 1;
        retry (request, failure);
    }
    else
    {
        failNotRun (request,
                    { ErrorKind::kRetryBudgetSpent, "too many retries", kFailureEstimate });
    }
}

void RouterCore::Implementation::retry (RouterRequest& request, AttemptFailure /*failure*/)
{
    if (request.hasReachedCaller)
        request.resumeBy = now_ + options_.betweenTokensTimeout;
    const auto usable = table_.usableReplicas (request.head.target);
    const bool hasOther = std::any_of (usable.begin(), usable.end(),
                                       [&] (const auto* state)
                                       { return ! request.avoid.contains (state->info.runner); });
    if (hasOther)
    {
        enqueueAgain (request);
        return;
    }
    // Everywhere was tried: come back after a while, and then anywhere.
    base::Duration backoff = kFirstBackoff;
    for (std::uint32_t made = 1; made < request.attemptsMade; ++made)
        backoff *= 2;
    request.state = RequestState::kBackingOff;
    request.nextAttemptAt =
        now_ + backoff + base::Duration (random_.uniformInteger (0, backoff.count()));
    setTimer (request);
}

void RouterCore::Implementation::failAfterAttempt (RouterRequest& request, AttemptFailure failure,
                                                   std::optional<base::Duration> retryAfter)
{
    const ErrorKind kind = dispatch::errorKindOf (failure, request.isRepeatable);
    const bool mayComeBack = request.isRepeatable || dispatch::provesNotRun (failure);
    std::optional<base::Duration> comeBack;
    if (mayComeBack)
    {
        comeBack = admission::retryAfter (retryAfter.value_or (kFailureEstimate), random_);
    }
    const auto execution =
        request.mayHaveRun ? base::Execution::kUnknown : base::Execution::kNotRun;
    fail (request, { kind, "the back end failed" }, execution, comeBack);
}

}  // namespace fernlift::router
