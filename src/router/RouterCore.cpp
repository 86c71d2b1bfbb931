#include "router/RouterCore.h"

#include <algorithm>
#include <utility>

#include "router/RouterCoreImplementation.h"

namespace fernlift::router
{
namespace
{

/// Wait limit of a planned stop for outcomes that are not delivered to the controller.
constexpr base::Duration kOutcomeFlushLimit = base::seconds (5);
/// Retry-After for requests that are refused without a lease.
constexpr base::Duration kLeaseRetry = base::seconds (1);

}  // namespace

RouterCore::Implementation::Implementation (RouterOptions options, std::uint64_t randomSeed,
                                            base::TimePoint now, base::UnixMilliseconds unixNow)
    : m_options (std::move (options)),
      m_random (randomSeed),
      m_now (now),
      m_unixNow (unixNow),
      m_processNonce (std::to_string (unixNow) + "-" + std::to_string (m_random.bits())),
      m_session (now),
      m_chooser (routing::ChooserOptions{ .zone = m_options.zone }),
      m_queues (admission::QueueLimits{ m_options.maximumQueuedRequests,
                                        m_options.maximumQueuedBytes,
                                        m_options.maximumQueuedPerTarget }),
      m_retryBudget (m_options.retryBudgetShare),
      m_demand (m_options.demandInterval),
      m_traces (m_options.requestTraces)
{
}

void RouterCore::Implementation::setTime (base::TimePoint now, base::UnixMilliseconds unixNow)
{
    m_now = std::max (m_now, now);
    m_table.setTime (m_now);
    m_unixNow = unixNow;
    checkLease();
}

void RouterCore::Implementation::onTick()
{
    runTimers();
    checkWaitEstimates();
    m_availability.expire (m_now);
    // A backoff may have ended.
    if (! m_availability.isEmpty())
        m_mustServe = true;
    settle();
}

void RouterCore::Implementation::onControllerConnected()
{
    m_session.onConnected (m_now);
    m_claims.onConnected();
    m_demand.onConnected();
    sendToController (cell::RouterHello{
        m_options.router, m_options.cell, m_options.zone, m_options.address,
        m_configuration.version(), m_configuration.digest(), m_table.term(), m_table.version() });
    for (const auto& [runner, incarnation] : m_table.leaving())
    {
        sendToController (cell::RunnerLeavingReport{ runner, incarnation });
    }
    settle();
}

void RouterCore::Implementation::onControllerLost() { m_session.onLost (m_now, m_random); }

void RouterCore::Implementation::onControllerMessage (const cell::ControllerToRouter& message)
{
    if (! m_session.isConnected())
        return;
    std::visit ([this] (const auto& content) { handle (content); }, message);
    settle();
}

void RouterCore::Implementation::handle (const cell::NotLeaderReply& reply)
{
    m_session.onNotLeader (reply, m_now, m_random);
}

void RouterCore::Implementation::handle (const cell::ConfigurationUpdate& update)
{
    if (! m_configuration.apply (update))
    {
        // A complete text that cannot be parsed is not requested again: it would be the same.
        const bool isGap = update.baseVersion != 0 && update.version > m_configuration.version();
        if (isGap)
        {
            m_needsWholeConfiguration = true;
            m_session.requestSoon (m_now);
        }
        return;
    }
    m_session.requestSoon (m_now);
    refuseUnservable();
    m_mustServe = true;
}

void RouterCore::Implementation::handle (const cell::LeaseGrant& grant)
{
    m_session.onGrant (grant);
    if (grant.cellTime > cellTime())
    {
        m_lastCellTime = grant.cellTime;
        m_lastCellTimeAt = m_now;
    }
    checkLease();
}

base::UnixMilliseconds RouterCore::Implementation::cellTime() const
{
    if (m_lastCellTime == 0)
        return 0;
    return m_lastCellTime + base::toMilliseconds (m_now - m_lastCellTimeAt);
}

void RouterCore::Implementation::handle (const cell::ReplicaUpdate& update)
{
    const bool isApplied = m_table.apply (update, m_now);
    if (! isApplied)
    {
        m_session.requestSoon (m_now);
        return;
    }
    refuseUnservable();
    m_mustServe = true;
}

void RouterCore::Implementation::handle (const cell::ClaimReply& reply)
{
    for (const cell::ClaimAnswer& answer : m_claims.onReply (reply, m_now))
        onClaimAnswer (answer);
}

void RouterCore::Implementation::sendToController (cell::RouterToController message)
{
    m_effects.emplace_back (SendToController{ std::move (message) });
}

void RouterCore::Implementation::pollController()
{
    auto due = m_session.poll (m_now);
    if (! due)
        return;
    if (auto* connect = std::get_if<ConnectController> (&*due))
    {
        m_effects.emplace_back (std::move (*connect));
        return;
    }
    auto& request = std::get<cell::LeaseRequest> (*due);
    request.configurationVersion = m_configuration.version();
    request.configurationDigest = m_configuration.digest();
    request.needsWholeConfiguration = std::exchange (m_needsWholeConfiguration, false);
    request.replicaTableVersion = m_table.version();
    sendToController (request);
}

DemandByTarget RouterCore::Implementation::currentDemand() const
{
    DemandByTarget demands;
    for (const auto& [ticket, request] : m_requests)
    {
        cell::Demand& demand = demands[request.head.target];
        if (request.state == RequestState::kDispatched)
        {
            demand.running += 1;
            continue;
        }
        const std::int64_t waited = base::toMilliseconds (m_now - request.arrivedAt);
        const std::int64_t left = base::toMilliseconds (request.deadline - m_now);
        const bool isFirst = demand.waiting == 0;
        demand.waiting += 1;
        demand.mostUrgent = std::min (demand.mostUrgent, request.urgency);
        demand.oldestWaitMilliseconds = std::max (demand.oldestWaitMilliseconds, waited);
        demand.nearestDeadlineMilliseconds =
            isFirst ? left : std::min (demand.nearestDeadlineMilliseconds, left);
    }
    return demands;
}

void RouterCore::Implementation::sendDemand()
{
    if (! m_demand.isDue (m_now))
        return;
    auto report = m_demand.report (currentDemand(), m_now);
    if (report)
        sendToController (std::move (*report));
}

void RouterCore::Implementation::checkLease()
{
    const bool hasLease = isReady();
    const bool wasLost = m_hadLease && ! hasLease;
    if (hasLease != m_hadLease)
        m_mustServe = true;
    m_hadLease = hasLease;
    if (! wasLost || m_options.plantedFault == PlantedFault::kIgnoreLease)
        return;
    refuseWaiting (base::ErrorKind::kLeaseExpired, "the lease on the configuration ended",
                   kLeaseRetry);
}

void RouterCore::Implementation::settle()
{
    if (m_mustServe)
        serveQueues();
    pollController();
    if (! m_session.isConnected())
        return;
    if (auto claims = m_claims.takeClaims())
        sendToController (std::move (*claims));
    if (auto outcomes = m_claims.takeOutcomes (m_now))
        sendToController (std::move (*outcomes));
    sendDemand();
}

std::uint64_t RouterCore::Implementation::onCacheEvents (
    const base::RunnerId& runner, base::Incarnation incarnation,
    const std::vector<routing::CacheEvent>& events)
{
    return m_prefixes.onEvents (runner, incarnation, events);
}

void RouterCore::Implementation::beginStop()
{
    if (! m_stoppingSince)
        m_stoppingSince = m_now;
}

bool RouterCore::Implementation::isIdle() const
{
    if (! m_requests.empty())
        return false;
    const bool hasUndelivered = m_claims.hasUnsentOutcomes() || m_claims.hasAbandoned();
    const bool waitsForDelivery =
        hasUndelivered && m_stoppingSince && m_now - *m_stoppingSince < kOutcomeFlushLimit;
    return ! waitsForDelivery;
}

bool RouterCore::Implementation::isReady() const
{
    return m_session.hasLease (m_now, m_configuration.version(), m_configuration.digest());
}

std::vector<Effect> RouterCore::Implementation::takeEffects()
{
    return std::exchange (m_effects, {});
}

RouterCounters RouterCore::Implementation::counters() const
{
    RouterCounters counters = m_counters;
    counters.open = static_cast<std::uint64_t> (
        std::count_if (m_requests.begin(), m_requests.end(),
                       [] (const auto& entry) { return ! entry.second.isDetached; }));
    return counters;
}

std::string RouterCore::Implementation::explainRequest (const base::RequestId& id) const
{
    return m_traces.toJson (id);
}

RouterCore::RouterCore (RouterOptions options, std::uint64_t randomSeed, base::TimePoint now,
                        base::UnixMilliseconds unixNow)
    : m_implementation (
        std::make_unique<Implementation> (std::move (options), randomSeed, now, unixNow))
{
}
RouterCore::~RouterCore() = default;
RouterCore::RouterCore (RouterCore&&) noexcept = default;
RouterCore& RouterCore::operator= (RouterCore&&) noexcept = default;

void RouterCore::setTime (base::TimePoint now, base::UnixMilliseconds unixNow)
{
    m_implementation->setTime (now, unixNow);
}
void RouterCore::onTick() { m_implementation->onTick(); }
void RouterCore::onControllerConnected() { m_implementation->onControllerConnected(); }
void RouterCore::onControllerLost() { m_implementation->onControllerLost(); }
void RouterCore::onControllerMessage (const cell::ControllerToRouter& message)
{
    m_implementation->onControllerMessage (message);
}
RequestTicket RouterCore::onRequest (const RequestHead& head)
{
    return m_implementation->onRequest (head);
}
void RouterCore::onCallerDisconnected (RequestTicket ticket)
{
    m_implementation->onCallerDisconnected (ticket);
}
void RouterCore::onAttemptEvent (AttemptId attempt, const AttemptEvent& event)
{
    m_implementation->onAttemptEvent (attempt, event);
}
void RouterCore::onCallerPaused (RequestTicket ticket, bool isPaused)
{
    m_implementation->onCallerPaused (ticket, isPaused);
}
std::uint64_t RouterCore::onCacheEvents (const base::RunnerId& runner,
                                         base::Incarnation incarnation,
                                         const std::vector<routing::CacheEvent>& events)
{
    return m_implementation->onCacheEvents (runner, incarnation, events);
}
void RouterCore::beginStop() { m_implementation->beginStop(); }
bool RouterCore::isIdle() const { return m_implementation->isIdle(); }
bool RouterCore::isReady() const { return m_implementation->isReady(); }
std::uint64_t RouterCore::configurationVersion() const
{
    return m_implementation->configurationVersion();
}
const std::string& RouterCore::configurationDigest() const
{
    return m_implementation->configurationDigest();
}
std::vector<Effect> RouterCore::takeEffects() { return m_implementation->takeEffects(); }
RouterCounters RouterCore::counters() const { return m_implementation->counters(); }
std::vector<std::string> RouterCore::targets() const { return m_implementation->targets(); }
std::string RouterCore::explainRequest (const base::RequestId& id) const
{
    return m_implementation->explainRequest (id);
}
std::string RouterCore::metricsText() const { return m_implementation->metricsText(); }

}  // namespace fernlift::router
