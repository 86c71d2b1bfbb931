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

constexpr std::uint32_t kMostUnreachable = 16;
constexpr base::Duration kRetrySoon = base::milliseconds (100);
constexpr base::Duration kLongestWaitForRoutes = base::seconds (3);
/// Units that no grant brings in this time are not waited for longer: a leader is elected within
/// 0.6 s. Never beyond the route's target, after which the answer would be late.
constexpr base::Duration kLongestWaitForQuota = base::seconds (1);
constexpr base::Duration kDefaultDeadline = base::seconds (30);
/// The runner is told a little less than what is left, so that its answer still arrives.
constexpr base::Duration kAnswerTravel = base::milliseconds (5);
/// A repeatable request is tried elsewhere when a runner is silent for this many times its target.
constexpr int kSilenceInTargets = 2;
constexpr base::Duration kShortestStreamSilence = base::milliseconds (800);
/// A resumable stream goes on elsewhere when no event has come by then: a prompt of 50,000 tokens
/// takes 1.3 s at the 38 tokens a millisecond that known engines read. With half of the target in
/// its place (1.5 to 3 s) nine days of three deployments had a mean worth of 0.658, with this
/// 0.666: no difference, but a dead runner is noticed sooner.
constexpr base::Duration kLongestFirstEvent = base::milliseconds (1500);
constexpr base::Duration kShortestSilence = base::milliseconds (150);

}  // namespace

Exchange::Exchange (ProxyContext& context, CallerConnection& caller, ParsedRequest request,
                    std::function<void (Exchange&)> onEnd)
    : m_context (context),
      m_caller (caller),
      m_request (std::move (request)),
      m_onEnd (std::move (onEnd)),
      m_routes (context.routes),
      m_arrivedAt (context.clock.now())
{
    m_timer.setSingleShot (true);
    m_timer.setTimerType (Qt::PreciseTimer);
    QObject::connect (&m_timer, &QTimer::timeout, &m_timer, [this] { onTimer(); });
    m_query.hasConnection = [this] (const base::SocketAddress& address)
    { return m_context.pool.hasResting (address, now()); };
    m_query.roomByRate = [this] (const std::string& instance, base::UnixMilliseconds startedAt)
    {
        return RateRoom{ m_context.rates.waitFor (instance, startedAt, now()),
                         m_context.rates.rateOf (instance, startedAt) };
    };
}

Exchange::~Exchange()
{
    if (m_connection)
        m_connection->detach();
}

void Exchange::begin()
{
    ++m_context.counters.requests;
    m_stated = statedDeadline (m_request, m_context.names).value_or (kDefaultDeadline);
    m_deadline = m_arrivedAt + m_stated;
    if (findRoute())
        goOn();
}

void Exchange::goOn()
{
    // Before it takes units of a quota or counts as demand for a model.
    if (const quarantine::Standing known = standing(); known.isInQuarantine())
    {
        refuseQuarantined (known);
        return;
    }
    if (! admit())
        return;
    if (! m_query.model.empty())
        m_context.demands.onArrival (m_target, m_query.promptTokens);
    tryNext();
}

bool Exchange::admit()
{
    if (m_tenant == nullptr || ! m_tenant->quota.isLimited())
        return true;
    if (! m_isWaitingForQuota)
    {
        m_quota.claim.account = m_tenant->name;
        m_quota.claim.units = unitsOf (m_request, m_context.names, m_tenant->quota);
        const base::Duration longest =
            std::min<base::Duration> (kLongestWaitForQuota, m_route->targetLatency);
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
                kRetrySoon);
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
    m_deadline = m_arrivedAt + std::min (m_stated, m_route->timeout);
    m_query.service = RouteTable::chooseService (*m_route, m_context.random.uniformReal());
    m_query.gapTarget = m_route->gapTarget;
    readModel();
    m_context.retryBudget.onFirstAttempt();
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

/// A router that has just started, or that has lost the leader, hears of the configuration in a
/// moment.
void Exchange::waitForRoutes()
{
    m_isWaitingForRoutes = true;
    m_deadline = m_arrivedAt + std::min<base::Duration> (m_stated / 2, kLongestWaitForRoutes);
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

void Exchange::tryNext()
{
    if (now() >= m_deadline)
    {
        onTimer();
        return;
    }
    const quarantine::Standing known = standing();
    if (isHeldBack (known))
        return;
    m_query.trial = known.isSuspect() ? identity().digest : std::string();
    m_query.endedInstances = known.instances;
    if (! m_wanted || ! takePermit())
        chooseRunner();
}

void Exchange::beginWait (const InstanceChoice& choice)
{
    if (m_isWaiting)
    {
        refuseBeyondRates (choice);
        return;
    }
    m_isWaiting = true;
    m_waitBegan = now();
    // A runner that comes later than this would answer too late; the caller had better ask again.
    const base::Duration limit = longestWaitForRunner (*m_route, m_stated);
    m_waitDeadline = std::min (m_deadline, std::max (m_arrivedAt + limit, now()));
    log::write (log::Event::kRequestWaits,
                { { "request", m_request.headers.value (m_context.names.requestId) },
                  { "service", m_query.service },
                  { "model", m_query.model },
                  { "adapter", m_query.adapter },
                  { "cause", nameOf (choice.reason) },
                  { "table", m_context.directory.version() } });
    if (! m_query.model.empty())
    {
        m_context.demands.onWaiting (m_target);
        m_context.onUrgentDemand();
    }
    if (! refuseBeyondRates (choice))
        armTimer();
}

void Exchange::endWait()
{
    if (! std::exchange (m_isWaiting, false))
        return;
    if (std::exchange (m_isWaitingForRate, false))
        --m_context.rates.waitingFor (rateQueue());
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
            goOn();
    }
    else if (m_isWaitingForQuota)
    {
        goOn();
    }
    else if (m_isWaiting || m_verdictDeadline || m_wanted)
    {
        tryNext();
    }
}

void Exchange::startAttempt (const InstanceChoice& choice)
{
    m_address = base::handleErrors ([&] { return base::SocketAddress::parse (choice.address); },
                                    [] (const base::Error&) { return base::SocketAddress(); });
    m_instance = choice.id;
    m_instanceStart = m_context.directory.startOf (m_instance);
    m_tokensToRead = choice.tokensToRead;
    m_use = AnswerUse::kNone;
    m_collected.clear();
    m_attemptDeadline = m_deadline;
    AttemptFields fields;
    fields.instance = choice.id;
    fields.left =
        std::max<base::Duration> (m_deadline - now() - kAnswerTravel, base::milliseconds (1));
    fields.priority = m_route->priority;
    fields.dropsCredentials = m_routes->catalogue().requiresKeys;
    if (m_tenant != nullptr)
    {
        fields.tenant = m_tenant->name;
        fields.priority = m_tenant->priority.value_or (m_route->priority);
    }
    if (m_events)
        fields.lastEventId = m_events->lastId();
    http::BackEndConnection::Call call;
    call.bytes = requestBytes (m_request, m_context.names, fields);
    call.answerHasBody = m_request.method != "HEAD";
    call.requestIdHeader = m_context.names.requestId;
    call.requestId = m_request.headers.value (m_context.names.requestId);
    ++m_context.counters.attempts;
    m_context.directory.onAttemptBegin (m_instance, m_tokensToRead, now());
    m_context.loadReporter.onAttemptBegin (m_instance, m_tokensToRead);
    m_isPromptRead = false;
    if (! m_query.model.empty())
        m_context.demands.onRunning (m_target);
    m_connection = m_context.pool.acquire (m_address, now());
    armTimer();
    m_connection->send (std::move (call), this);
}

bool Exchange::isAtPresentIncarnation() const
{
    return m_context.directory.startOf (m_instance) == m_instanceStart;
}

void Exchange::onSent()
{
    ++m_sent;
    m_isAttemptSent = true;
    m_attemptSentAt = now();
    noteProgress();
    armTimer();
}

void Exchange::noteProgress()
{
    const std::optional<base::Duration> silence = longestSilence();
    m_attemptDeadline = silence ? std::min (m_deadline, now() + *silence) : m_deadline;
}

std::optional<base::Duration> Exchange::longestSilence() const
{
    const bool mayTryElsewhere = m_route->isRepeatable() && m_sent < m_route->maximumAttempts;
    if (! mayTryElsewhere)
        return std::nullopt;
    if (m_route->kind == config::RouteKind::kRepeatable)
    {
        return std::max<base::Duration> (m_route->targetLatency * kSilenceInTargets,
                                         kShortestSilence);
    }
    if (m_isAnswerBegun)
    {
        return std::max<base::Duration> (m_route->gapTarget * kSilenceInTargets,
                                         kShortestStreamSilence);
    }
    return kLongestFirstEvent;
}

void Exchange::armTimer()
{
    base::TimePoint due = std::min (m_deadline, m_attemptDeadline);
    if (m_wanted)
        due = m_deadline;
    if (m_isWaiting)
        due = m_waitDeadline;
    if (m_isWaitingForQuota)
        due = m_quota.waitsUntil;
    if (m_verdictDeadline)
        due = std::min (m_deadline, *m_verdictDeadline);
    const auto wait = std::max<base::Duration> (due - now(), base::Duration::zero());
    m_timer.start (std::chrono::ceil<base::milliseconds> (wait));
}

void Exchange::onWaitOver()
{
    endWait();
    endUnserved (ErrorKind::kDeadlineUnreachable, "no runner could take the request in time",
                 retryAfterWait (! m_query.model.empty()));
}

void Exchange::onTimer()
{
    if (m_isEnded)
        return;
    if (m_isWaitingForQuota)
    {
        goOn();
        return;
    }
    if (m_isWaiting && now() >= m_waitDeadline)
    {
        onWaitOver();
        return;
    }
    if (m_verdictDeadline && now() < m_deadline)
    {
        tryNext();
        return;
    }
    if (now() < m_deadline)
    {
        const bool isSilent = m_connection && m_isAttemptSent && now() >= m_attemptDeadline;
        if (isSilent && mayRunAgain())
        {
            // Connections that rest may have gone silent together with this one, while the runner
            // takes new ones.
            m_context.pool.forget (m_address);
            noteBrokenOff();
            endAttempt (AttemptEnd::kFailed, false);
            afterFailure();
            return;
        }
        // Without another attempt the answer of this runner, late as it is, is the only one.
        if (isSilent)
            noteProgress();
        armTimer();
        return;
    }
    if (m_isWaitingForRoutes)
    {
        refuse (ErrorKind::kLeaseExpired,
                m_context.routes ? "the configuration could not be confirmed in time"
                                 : "no configuration is known yet",
                kRetrySoon);
        return;
    }
    if (m_connection)
        endAttempt (AttemptEnd::kAbandoned, false);
    if (m_isAnswerBegun)
    {
        cut();
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

void Exchange::endAttempt (AttemptEnd end, bool mayReuse)
{
    std::shared_ptr<http::BackEndConnection> connection = std::move (m_connection);
    m_connection.reset();
    if (! connection)
        return;
    connection->detach();
    if (std::exchange (m_isAttemptSent, false))
        m_mayHaveRun = true;
    notePromptRead();
    if (isAtPresentIncarnation())
        m_context.directory.onAttemptEnd (m_instance, end, now());
    m_context.loadReporter.onAttemptEnd (m_instance);
    if (! m_query.model.empty())
        m_context.demands.onRunEnd (m_target);
    if (mayReuse)
        m_context.pool.release (std::move (connection), now());
}

void Exchange::onFailed (http::BackEndFailure failure)
{
    if (failure == http::BackEndFailure::kNotConnected)
    {
        endAttempt (AttemptEnd::kUnreachable, false);
        m_query.avoidedInstance = m_instance;
        if (! m_query.trial.empty())
            noteTrialUnreachable();
        if (++m_unreachable < kMostUnreachable)
        {
            tryNext();
        }
        else if (m_isAnswerBegun)
        {
            cut();
        }
        else if (m_mayHaveRun)
        {
            fail (ErrorKind::kUpstreamBroken, "no runner could be reached again");
        }
        else
        {
            refuse (ErrorKind::kNoCapacity, "no runner can be reached", kRetrySoon);
        }
        return;
    }
    noteBrokenOff();
    endAttempt (AttemptEnd::kFailed, false);
    afterFailure();
}

bool Exchange::mayRunAgain()
{
    if (! m_route->isRepeatable() || m_sent >= m_route->maximumAttempts)
        return false;
    if (now() >= m_deadline)
        return false;
    return m_context.retryBudget.allowsRetry();
}

void Exchange::afterRefusal()
{
    m_query.avoidedInstance = m_instance;
    const bool hasAttempts = m_sent < m_route->maximumAttempts;
    if (hasAttempts && m_context.retryBudget.tryRetry())
    {
        ++m_context.counters.retries;
        logMove (log::Event::kRequestResent);
        tryNext();
    }
    else if (m_isAnswerBegun)
    {
        cut();
    }
    else if (m_mayHaveRun)
    {
        fail (ErrorKind::kUpstreamBroken, "an earlier attempt failed and the last one was refused");
    }
    else
    {
        refuse (ErrorKind::kUpstreamRefused, "the runner has no room for the request", kRetrySoon);
    }
}

void Exchange::afterFailure()
{
    m_query.avoidedInstance = m_instance;
    if (m_events)
        m_events->dropRest();
    const bool mayGoOn = mayRunAgain() && m_context.retryBudget.tryRetry();
    if (mayGoOn)
    {
        ++(m_isAnswerBegun ? m_context.counters.resumed : m_context.counters.retries);
        logMove (m_isAnswerBegun ? log::Event::kRequestResumed : log::Event::kRequestResent);
        tryNext();
    }
    else if (m_isAnswerBegun)
    {
        cut();
    }
    else
    {
        fail (ErrorKind::kUpstreamBroken, "the runner gave no whole answer");
    }
}

}  // namespace fernlift::proxy
