#include "proxy/Exchange.h"

#include <algorithm>
#include <utility>

#include "proxy/ForwardedMessage.h"
#include "proxy/PromptParts.h"
#include "proxy/WaitLimit.h"

namespace fernlift::proxy
{
namespace
{

using base::ErrorKind;

constexpr std::uint32_t kMaxUnreachable = 16;
constexpr base::Duration kRetryDelay = base::milliseconds (100);
constexpr base::Duration kMaxWaitForRoutes = base::seconds (3);
/// Limit on the wait for a quota grant; a leader is elected within 0.6 s. The wait also ends at the
/// target latency of the route, after which the answer would be late.
constexpr base::Duration kMaxWaitForQuota = base::seconds (1);
constexpr base::Duration kDefaultDeadline = base::seconds (30);
/// Time after which the runners of a request that waits for a slot are chosen anew.
constexpr base::Duration kSlotClaimLifetime = base::milliseconds (250);
/// Subtracted from the deadline that is sent to the runner, so that its answer still arrives in
/// time.
constexpr base::Duration kAnswerTransit = base::milliseconds (5);

}  // namespace

Exchange::Exchange (ProxyContext& context, CallerConnection& caller, ParsedRequest request,
                    std::optional<PeerRequest> servedPeer, std::function<void (Exchange&)> onEnd)
    : m_context (context),
      m_caller (caller),
      m_request (std::move (request)),
      m_onEnd (std::move (onEnd)),
      m_routes (context.routes),
      m_arrivedAt (context.clock.now()),
      m_servedPeer (std::move (servedPeer)),
      m_keptBytes (context.answerBuffers)
{
    m_timer.setSingleShot (true);
    m_timer.setTimerType (Qt::PreciseTimer);
    QObject::connect (&m_timer, &QTimer::timeout, &m_timer, [this] { onTimer(); });
    m_query.hasConnection = [this] (const base::SocketAddress& address)
    { return m_context.pool.hasIdle (address, now()); };
    m_query.rateCapacity = [this] (const std::string& instance, base::UnixMilliseconds startedAt)
    {
        return RateCapacity{ m_context.rates.waitFor (instance, startedAt, now()),
                             m_context.rates.rateOf (instance, startedAt) };
    };
}

Exchange::~Exchange()
{
    if (m_attempt.connection)
        m_attempt.connection->detach();
    if (m_silentAttempt)
        m_silentAttempt->connection->detach();
}

void Exchange::begin()
{
    ++(m_servedPeer ? m_context.counters.servedForPeers : m_context.counters.requests);
    m_callerTimeout = statedDeadline (m_request, m_context.names).value_or (kDefaultDeadline);
    m_deadline = m_arrivedAt + m_callerTimeout;
    if (m_servedPeer && ! canServePeer())
        return;
    if (findRoute())
        admitAndDispatch();
}

void Exchange::admitAndDispatch()
{
    // A quarantined request must neither consume quota units nor count as demand for a model.
    if (const quarantine::SuspectStatus known = suspectStatus(); known.isInQuarantine())
    {
        refuseQuarantinedRequest (known);
        return;
    }
    if (hasEndedByPromptPart (promptPartStatus()))
        return;
    if (! m_query.softwareVersion && ! pinResumedStream())
        return;
    if (! admit())
        return;
    // The router that received the request from its caller has counted the arrival.
    if (! m_query.model.empty() && ! m_servedPeer)
        m_context.demands.onArrival (m_target, m_query.promptTokens);
    dispatchNext();
}

bool Exchange::admit()
{
    const bool isCounted = m_tenant != nullptr && m_tenant->quota.isLimited() && ! m_servedPeer;
    if (! isCounted)
        return true;
    if (! m_isWaitingForQuota)
    {
        m_quota.claim.account = m_tenant->name;
        m_quota.claim.units = unitsOf (m_request, m_context.names, m_tenant->quota);
        const base::Duration longest =
            std::min<base::Duration> (kMaxWaitForQuota, m_route->targetLatency);
        m_quota.waitsUntil = std::min (now() + longest, m_deadline);
    }
    const Admission admission =
        m_context.quotas.admit (m_quota, *m_tenant, now(), m_context.random);
    m_isWaitingForQuota = admission == Admission::kWaiting;
    if (m_isWaitingForQuota)
        armTimer();
    if (admission == Admission::kRefused)
    {
        ++m_context.counters.overQuota;
        refuse (ErrorKind::kQuotaExceeded, "the tenant is over its quota",
                m_context.quotas.retryAfter (*m_tenant));
    }
    return admission == Admission::kAdmitted;
}

bool Exchange::findRoute()
{
    const Freshness freshness = m_context.routes ? m_context.freshness() : Freshness::kUnconfirmed;
    if (freshness == Freshness::kExpired)
    {
        m_isWaitingForRoutes = false;
        refuse (ErrorKind::kLeaseExpired, "the configuration could not be confirmed for too long",
                kRetryDelay);
        return false;
    }
    const bool isConfirmed = freshness == Freshness::kConfirmed;
    m_tenant = nullptr;
    m_routes = isConfirmed ? m_context.routes : nullptr;
    m_route =
        m_routes ? m_routes->find (m_request.headers.value ("Host"), m_request.path()) : nullptr;
    if (m_route == nullptr && ! areRoutesCurrent())
    {
        waitForRoutes();
        return false;
    }
    m_isWaitingForRoutes = false;
    if (m_route == nullptr)
    {
        logEnd (log::Event::kRequestRefused, "no route leads there");
        sendError ({ ErrorKind::kNotFound, "no route leads there" }, std::nullopt);
        return false;
    }
    if (! authenticate())
        return false;
    m_deadline = m_arrivedAt + std::min (m_callerTimeout, m_route->timeout);
    m_query.service = RouteTable::chooseService (*m_route, m_context.random.uniformReal());
    m_sharedParts.reset();
    m_query.gapTarget = m_route->gapTarget;
    readModel();
    if (! m_servedPeer)
        retryBudget().onFirstAttempt();
    return true;
}

bool Exchange::areRoutesCurrent() const { return m_routes && m_context.areRoutesConfirmed; }

bool Exchange::authenticate()
{
    if (! m_routes->catalogue().requiresKeys)
        return true;
    m_tenant = m_routes->tenantOf (m_request.headers);
    if (m_tenant != nullptr || m_route->isPublic)
        return true;
    if (! areRoutesCurrent())
    {
        waitForRoutes();
        return false;
    }
    logEnd (log::Event::kRequestRefused, "no tenant holds the key");
    sendError ({ ErrorKind::kKeyUnknown, "no tenant holds the key" }, std::nullopt);
    return false;
}

/// A router that has just started, or that has lost the leader, usually receives the configuration
/// within a short time.
void Exchange::waitForRoutes()
{
    if (m_servedPeer)
    {
        declinePeer (PeerOutcome::kUnavailable, "the configuration is not confirmed here");
        return;
    }
    m_isWaitingForRoutes = true;
    m_deadline = m_arrivedAt + std::min<base::Duration> (m_callerTimeout / 2, kMaxWaitForRoutes);
    armTimer();
}

void Exchange::readModel()
{
    const config::Service* service = m_routes->catalogue().findService (m_query.service);
    if (service == nullptr || ! service->engine)
        return;
    const std::string name = m_request.headers.value (m_context.names.model);
    const std::size_t slash = name.find ('/');
    m_query.model = name.substr (0, slash);
    if (slash != std::string::npos)
        m_query.adapter = name.substr (slash + 1);
    const std::string parts = m_request.headers.value (m_context.names.promptParts);
    const std::string shared = sharedParts (parts);
    m_query.affinity = name + "," + shared;
    m_query.sharedTokens = tokensOf (shared);
    m_query.promptTokens = tokensOf (parts);
    m_target = { m_query.service, m_query.model, m_query.adapter };
}

void Exchange::dispatchNext()
{
    if (now() >= m_deadline)
    {
        onTimer();
        return;
    }
    if (refuseIfStopsBefore())
        return;
    const quarantine::SuspectStatus known = suspectStatus();
    if (isBlockedAsSuspect (known) || isBlockedByPromptPart())
    {
        postponeRetry();
        return;
    }
    m_query.isolationKey = known.isSuspect() ? identity().digest : std::string();
    m_query.crashedInstances = known.instances;
    // The runners of a claim are chosen anew only from time to time.
    const bool waitsForSlot = m_isWaiting && m_slotTicket.need() != nullptr
                              && now() - m_slotClaimedAt < kSlotClaimLifetime;
    if (waitsForSlot && m_context.slots.isNeeded (m_query.service))
    {
        armTimer();
        return;
    }
    if (! m_permitChoice || ! takePermit())
        chooseRunner();
}

void Exchange::beginWait (const InstanceChoice& choice)
{
    if (isSoftwareVersionGone())
    {
        endWait();
        endWithoutRunner (ErrorKind::kNoCapacity,
                          "no runner has the software version of the stream", kRetryDelay);
        return;
    }
    if (m_isWaiting)
    {
        // The estimate of the wait for a slot includes requests behind this one.
        if (choice.reason != NoRunnerReason::kFull)
            refuseIfUnavailable (choice);
        return;
    }
    m_isWaiting = true;
    postponeRetry();
    m_waitBegan = now();
    // A runner found after this limit would answer too late; the caller should retry instead.
    const base::Duration limit = maxWaitForRunner (*m_route, m_callerTimeout);
    m_waitDeadline = std::min (m_deadline, std::max (m_arrivedAt + limit, now()));
    log::write (log::Event::kRequestWaits,
                { { "request", m_request.headers.value (m_context.names.requestId) },
                  { "service", m_query.service },
                  { "model", m_query.model },
                  { "adapter", m_query.adapter },
                  { "cause", toString (choice.reason) },
                  { "table", m_context.directory.version() } });
    if (! m_query.model.empty())
    {
        m_context.demands.onWaiting (m_target);
        m_context.onUrgentDemand();
    }
    if (! refuseIfUnavailable (choice))
        armTimer();
}

void Exchange::endWait()
{
    if (! std::exchange (m_isWaiting, false))
        return;
    if (std::exchange (m_isWaitingForRate, false))
        --m_context.rates.waitingFor (rateQueueKey());
    m_waited += now() - m_waitBegan;
    if (! m_query.model.empty())
        m_context.demands.onWaitEnd (m_target);
}

void Exchange::onDirectoryChanged()
{
    if (m_isEnded)
        return;
    if (m_isWaitingForRoutes && m_context.routes)
    {
        if (findRoute())
            admitAndDispatch();
    }
    else if (m_isWaitingForQuota || m_streamVersionDeadline)
    {
        admitAndDispatch();
    }
    else if (m_isWaiting || m_suspectHoldDeadline || m_permitChoice)
    {
        dispatchNext();
    }
    else if (m_events)
    {
        // Another software version may have come up.
        announceStream();
    }
}

void Exchange::onRunnerUnavailable()
{
    const bool isUnsent = m_attempt.connection && ! m_attempt.isSent && ! m_attempt.peer;
    if (m_isEnded || ! isUnsent)
        return;
    const bool isIsolated = m_context.reachability.path (now()) == RunnerPath::kIsolated;
    if (! isIsolated && ! m_context.directory.isUnavailable (m_attempt.instance, now()))
        return;
    endAttempt (AttemptEnd::kAbandoned, false);
    dispatchNext();
}

void Exchange::startAttempt (const InstanceChoice& choice)
{
    m_attempt.address =
        base::handleErrors ([&] { return base::SocketAddress::parse (choice.address); },
                            [] (const base::Error&) { return base::SocketAddress(); });
    m_attempt.peer.reset();
    m_attempt.instance = choice.id;
    m_attempt.instanceStart = m_context.directory.startOf (m_attempt.instance);
    m_attempt.softwareVersion = m_context.directory.softwareVersionOf (m_attempt.instance);
    m_attempt.prefillTokens = choice.prefillTokens;
    AttemptFields fields;
    fields.instance = choice.id;
    fields.timeLeft = timeLeftForAttempt();
    fields.priority = m_route->priority;
    fields.dropsCredentials = m_routes->catalogue().requiresKeys;
    if (m_tenant != nullptr)
    {
        fields.tenant = m_tenant->name;
        fields.priority = m_tenant->priority.value_or (m_route->priority);
    }
    if (m_events)
        fields.lastEventId = m_events->lastId();
    ++m_context.counters.attempts;
    m_context.reachability.onAttemptBegin (now());
    m_context.directory.onAttemptBegin (m_attempt.instance, m_attempt.prefillTokens, now());
    m_context.loadReporter.onAttemptBegin (m_attempt.instance, m_attempt.prefillTokens);
    m_context.slots.onAttemptBegin (m_attempt.incarnation(), m_query.service, m_deadline,
                                    m_slotTicket.release());
    m_attempt.isPrefillDone = false;
    if (! m_query.model.empty())
        m_context.demands.onRunning (m_target);
    sendAttempt (requestBytes (m_request, m_context.names, fields));
}

base::Duration Exchange::timeLeftForAttempt() const
{
    return std::max<base::Duration> (m_deadline - now() - kAnswerTransit, base::milliseconds (1));
}

void Exchange::sendAttempt (std::string bytes)
{
    m_attempt.use = AnswerUse::kNone;
    m_attempt.bufferedBody.clear();
    m_attempt.unsplitEvents.reset();
    updateKeptBytes();
    m_attempt.isPaused = false;
    m_attempt.resumedAt = {};
    m_attempt.silenceDeadline = m_deadline;
    http::BackEndConnection::Call call;
    call.bytes = std::move (bytes);
    call.answerHasBody = m_request.method != "HEAD";
    call.requestIdHeader = m_context.names.requestId;
    call.requestId = m_request.headers.value (m_context.names.requestId);
    m_attempt.connection = m_context.pool.acquire (m_attempt.address, now(), call.requestId);
    m_attempt.connection->setMaxReadBytes (m_context.answerBuffers.maxBytesPerAnswer());
    armTimer();
    m_attempt.connection->send (std::move (call), this);
}

std::uint32_t Exchange::maxAttempts() const
{
    // The router that received the request from its caller decides about further attempts.
    return m_servedPeer ? 1 : m_route->maximumAttempts;
}

bool Exchange::isCurrentIncarnation (const Attempt& attempt) const
{
    return m_context.directory.startOf (attempt.instance) == attempt.instanceStart;
}

void Exchange::onSent()
{
    ++m_sentAttempts;
    m_attempt.isSent = true;
    m_holdsRetry = false;
    m_attempt.sentAt = now();
    extendSilenceDeadline();
    armTimer();
}

void Exchange::armTimer()
{
    base::TimePoint due = m_deadline;
    if (! m_attempt.isPaused)
        due = std::min (due, m_attempt.silenceDeadline);
    if (const auto until = overlapEnd())
        due = std::min (due, *until);
    if (m_permitChoice)
        due = m_deadline;
    if (m_isWaiting)
        due = m_waitDeadline;
    if (m_isWaitingForQuota)
        due = m_quota.waitsUntil;
    if (m_suspectHoldDeadline)
        due = std::min (m_deadline, *m_suspectHoldDeadline);
    if (m_streamVersionDeadline)
        due = *m_streamVersionDeadline;
    const auto wait = std::max<base::Duration> (due - now(), base::Duration::zero());
    m_timer.start (std::chrono::ceil<base::milliseconds> (wait));
}

void Exchange::onWaitTimeout()
{
    endWait();
    endWithoutRunner (ErrorKind::kDeadlineUnreachable, "no runner could take the request in time",
                      retryAfterWait (! m_query.model.empty()));
}

void Exchange::onTimer()
{
    if (m_isEnded)
        return;
    if (m_isWaitingForQuota)
    {
        admitAndDispatch();
        return;
    }
    if (m_streamVersionDeadline)
    {
        admitAndDispatch();
        return;
    }
    if (m_isWaiting && now() >= m_waitDeadline)
    {
        onWaitTimeout();
        return;
    }
    if (m_suspectHoldDeadline && now() < m_deadline)
    {
        dispatchNext();
        return;
    }
    if (now() < m_deadline)
    {
        const std::optional<base::TimePoint> until = overlapEnd();
        if (until && now() >= *until)
            endSilentAttempt (AttemptEnd::kFailed);
        const bool isSilent = m_attempt.connection && m_attempt.isSent && ! m_attempt.isPaused
                              && now() >= m_attempt.silenceDeadline;
        if (isSilent && mayRunAgain())
        {
            onSilence();
            return;
        }
        // Without another attempt the late answer of this runner is the only one to expect.
        if (isSilent)
            extendSilenceDeadline();
        armTimer();
        return;
    }
    if (m_isWaitingForRoutes)
    {
        refuse (ErrorKind::kLeaseExpired,
                m_context.routes ? "the configuration could not be confirmed in time"
                                 : "no configuration is known yet",
                kRetryDelay);
        return;
    }
    if (m_attempt.connection)
        endAttempt (AttemptEnd::kAbandoned, false);
    if (m_isAnswerBegun)
    {
        abortAnswer();
    }
    else if (m_mayHaveRun)
    {
        fail (ErrorKind::kUpstreamTimeout, "the time of the request is over");
    }
    else
    {
        refuse (ErrorKind::kDeadlineUnreachable, "no runner could take the request in time",
                retryAfterWait (! m_query.model.empty()));
    }
}

void Exchange::endAttempt (Attempt& attempt, AttemptEnd end, bool mayReuse)
{
    std::shared_ptr<http::BackEndConnection> connection = std::move (attempt.connection);
    attempt.connection.reset();
    if (! connection)
        return;
    if (end == AttemptEnd::kAbandoned)
        recordMissingAnswer (attempt);
    resumeAnswer (attempt);
    connection->detach();
    if (std::exchange (attempt.isSent, false))
        m_mayHaveRun = true;
    if (attempt.peer)
        m_context.peers.onEnd (attempt.peer->router);
    else
        recordAttemptEnd (attempt, end);
    if (mayReuse)
        m_context.pool.release (std::move (connection), now());
}

void Exchange::recordAttemptEnd (Attempt& attempt, AttemptEnd end)
{
    m_context.reachability.onAttemptEnd();
    recordPrefillEnd (attempt);
    if (isCurrentIncarnation (attempt))
        m_context.directory.onAttemptEnd (attempt.instance, end, now());
    m_context.loadReporter.onAttemptEnd (attempt.instance);
    m_context.slots.onAttemptEnd (attempt.incarnation());
    if (! m_query.model.empty())
        m_context.demands.onRunEnd (m_target);
}

void Exchange::onFailed (http::BackEndFailure failure)
{
    if (m_attempt.peer)
    {
        onPeerFailed (failure);
        return;
    }
    recordFailure (failure);
    if (failure == http::BackEndFailure::kNotConnected)
    {
        endAttempt (AttemptEnd::kUnreachable, false);
        m_query.avoidedInstance = m_attempt.instance;
        if (! m_query.isolationKey.empty())
            recordIsolationRunnerUnreachable();
        if (++m_unreachableAttempts < kMaxUnreachable)
            dispatchNext();
        else
            endWithoutRunner (ErrorKind::kNoCapacity, "no runner can be reached", kRetryDelay,
                              "no runner could be reached again");
        return;
    }
    failAttempt();
}

void Exchange::onAttemptBroken()
{
    if (m_attempt.peer)
        onPeerFailed (http::BackEndFailure::kClosed);
    else
        failAttempt();
}

void Exchange::failAttempt()
{
    recordBrokenAnswer();
    endAttempt (AttemptEnd::kFailed, false);
    afterFailure();
}

void Exchange::recordFailure (http::BackEndFailure failure)
{
    const bool isWithoutAnswer =
        failure == http::BackEndFailure::kClosed && m_attempt.use == AnswerUse::kNone;
    const bool isNewConnection = m_attempt.connection && ! m_attempt.connection->wasUsedBefore();
    const bool isUnusable =
        failure == http::BackEndFailure::kNotConnected || (isWithoutAnswer && isNewConnection);
    if (isUnusable && m_context.reachability.onConnectFailed (m_attempt.instance, now()))
        m_context.onIsolated();
}

bool Exchange::mayRepeat() const
{
    const bool isResumable = ! m_isAnswerBegun || m_events;
    if (! isResumable)
        return false;
    if (! m_route->isRepeatable() || m_sentAttempts >= maxAttempts())
        return false;
    return now() < m_deadline;
}

bool Exchange::mayRunAgain() { return mayRepeat() && retryBudget().allowsRetry(); }

bool Exchange::tryRetry()
{
    m_holdsRetry = retryBudget().tryRetry();
    m_isRetryDenied = ! m_holdsRetry;
    return m_holdsRetry;
}

void Exchange::returnUnsentRetry()
{
    if (std::exchange (m_holdsRetry, false))
        retryBudget().returnRetry();
}

void Exchange::postponeRetry()
{
    if (! m_holdsRetry)
        return;
    returnUnsentRetry();
    m_isRetryPostponed = true;
}

bool Exchange::takePostponedRetry()
{
    if (! std::exchange (m_isRetryPostponed, false) || tryRetry())
        return true;
    endWait();
    endWithoutRunner (ErrorKind::kNoCapacity,
                      "the retries of the service were spent while the request waited",
                      kRetryDelay);
    return false;
}

void Exchange::afterRefusal()
{
    m_query.avoidedInstance = m_attempt.instance;
    // Another router may have found no runner to send the request to.
    const bool wasSent = ! m_attempt.peer || m_attempt.peerAnswer.attempts > 0;
    const bool hasAttempts = wasSent && m_sentAttempts < maxAttempts();
    if (hasAttempts && tryRetry())
    {
        ++m_context.counters.retries;
        logResend (log::Event::kRequestResent);
        dispatchNext();
    }
    else if (m_isAnswerBegun)
    {
        endBegunAnswer();
    }
    else if (m_mayHaveRun)
    {
        fail (ErrorKind::kUpstreamBroken, "an earlier attempt failed and the last one was refused");
    }
    else
    {
        refuse (ErrorKind::kUpstreamRefused, "the runner has no room for the request",
                retryAfterRefusal());
    }
}

base::Duration Exchange::retryAfterRefusal()
{
    if (m_attempt.peer)
        return m_attempt.peerRetryAfter.value_or (kRetryDelay);
    const InstanceChoice next = m_context.directory.choose (m_query, now());
    return next.reason == NoRunnerReason::kBackoff ? retryAfterBackoff (next.wait) : kRetryDelay;
}

void Exchange::afterFailure()
{
    m_query.avoidedInstance = m_attempt.instance;
    if (! m_silentAttempt)
    {
        if (m_events)
            m_events->discardIncomplete();
        pinSoftwareVersion();
    }
    const bool mayGoOn = mayRepeat() && tryRetry();
    if (mayGoOn)
    {
        ++(m_isAnswerBegun ? m_context.counters.resumed : m_context.counters.retries);
        logResend (m_isAnswerBegun ? log::Event::kRequestResumed : log::Event::kRequestResent);
        dispatchNext();
    }
    else if (m_isAnswerBegun)
    {
        endBegunAnswer();
    }
    else
    {
        fail (ErrorKind::kUpstreamBroken, "the runner gave no whole answer");
    }
}

}  // namespace fernlift::proxy
