#include "router/RouterCore.h"

#include <algorithm>
#include <utility>

#include "router/RouterCoreImplementation.h"

namespace fernlift::router
{
namespace
{

/// After a planned stop, outcomes that cannot be delivered keep the process no longer than this.
constexpr base::Duration kOutcomeFlushLimit = base::seconds (5);
/// When a caller refused for lack of a lease should come back to this router.
constexpr base::Duration kLeaseRetry = base::seconds (1);

}  // namespace

RouterCore::Implementation::Implementation (RouterOptions options, std::uint64_t randomSeed,
                                            base::TimePoint now, base::UnixMilliseconds unixNow)
    : options_ (std::move (options)),
      random_ (randomSeed),
      now_ (now),
      unixNow_ (unixNow),
      processNonce_ (std::to_string (unixNow) + "-" + std::to_string (random_.bits())),
      session_ (now),
      chooser_ (routing::ChooserOptions{ .zone = options_.zone }),
      queues_ (admission::QueueLimits{ options_.maximumQueuedRequests, options_.maximumQueuedBytes,
                                       options_.maximumQueuedPerTarget }),
      retryBudget_ (options_.retryBudgetShare),
      demand_ (options_.demandInterval),
      traces_ (options_.requestTraces)
{
}

void RouterCore::Implementation::setTime (base::TimePoint now, base::UnixMilliseconds unixNow)
{
    now_ = std::max (now_, now);
    table_.setTime (now_);
    unixNow_ = unixNow;
    checkLease();
}

void RouterCore::Implementation::onTick()
{
    runTimers();
    checkPace();
    settle();
}

void RouterCore::Implementation::onControllerConnected()
{
    session_.onConnected (now_);
    claims_.onConnected();
    demand_.onConnected();
    sendToController (cell::RouterHello{
        options_.router, options_.cell, options_.zone, options_.address, configuration_.version(),
        configuration_.digest(), table_.term(), table_.version() });
    for (const auto& [runner, incarnation] : table_.leaving())
    {
        sendToController (cell::RunnerLeavingSeen{ runner, incarnation });
    }
    settle();
}

void RouterCore::Implementation::onControllerLost() { session_.onLost (now_, random_); }

void RouterCore::Implementation::onControllerMessage (const cell::ControllerToRouter& message)
{
    if (! session_.isConnected())
        return;
    std::visit ([this] (const auto& content) { handle (content); }, message);
    settle();
}

void RouterCore::Implementation::handle (const cell::NotLeaderReply& reply)
{
    session_.onNotLeader (reply, now_, random_);
}

void RouterCore::Implementation::handle (const cell::ConfigurationUpdate& update)
{
    if (! configuration_.apply (update))
        return;
    session_.requestSoon (now_);
    refuseUnservable();
    mustServe_ = true;
}

void RouterCore::Implementation::handle (const cell::LeaseGrant& grant)
{
    session_.onGrant (grant);
    if (grant.cellTime > cellTime())
    {
        cellTimeKnown_ = grant.cellTime;
        cellTimeKnownAt_ = now_;
    }
    checkLease();
}

base::UnixMilliseconds RouterCore::Implementation::cellTime() const
{
    if (cellTimeKnown_ == 0)
        return 0;
    return cellTimeKnown_ + base::toMilliseconds (now_ - cellTimeKnownAt_);
}

void RouterCore::Implementation::handle (const cell::ReplicaUpdate& update)
{
    const bool isApplied = table_.apply (update, now_);
    if (! isApplied)
    {
        session_.requestSoon (now_);
        return;
    }
    refuseUnservable();
    mustServe_ = true;
}

void RouterCore::Implementation::handle (const cell::ClaimReply& reply)
{
    for (const cell::ClaimAnswer& answer : claims_.onReply (reply, now_))
        onClaimAnswer (answer);
}

void RouterCore::Implementation::sendToController (cell::RouterToController message)
{
    effects_.emplace_back (SendToController{ std::move (message) });
}

void RouterCore::Implementation::pollController()
{
    auto due = session_.poll (now_);
    if (! due)
        return;
    if (auto* connect = std::get_if<ConnectController> (&*due))
    {
        effects_.emplace_back (std::move (*connect));
        return;
    }
    auto& request = std::get<cell::LeaseRequest> (*due);
    request.configurationVersion = configuration_.version();
    request.configurationDigest = configuration_.digest();
    request.replicaTableVersion = table_.version();
    sendToController (request);
}

DemandByTarget RouterCore::Implementation::currentDemand() const
{
    DemandByTarget demands;
    for (const auto& [ticket, request] : requests_)
    {
        cell::Demand& demand = demands[request.head.target];
        if (request.state == RequestState::kDispatched)
        {
            demand.running += 1;
            continue;
        }
        const std::int64_t waited = base::toMilliseconds (now_ - request.arrivedAt);
        const std::int64_t left = base::toMilliseconds (request.deadline - now_);
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
    if (! demand_.isDue (now_))
        return;
    auto report = demand_.report (currentDemand(), now_);
    if (report)
        sendToController (std::move (*report));
}

void RouterCore::Implementation::checkLease()
{
    const bool hasLease = isReady();
    const bool wasLost = hadLease_ && ! hasLease;
    if (hasLease != hadLease_)
        mustServe_ = true;
    hadLease_ = hasLease;
    if (! wasLost || options_.plantedFault == PlantedFault::kIgnoreLease)
        return;
    refuseWaiting (base::ErrorKind::kLeaseExpired, "the lease on the configuration ended",
                   kLeaseRetry);
}

void RouterCore::Implementation::settle()
{
    if (mustServe_)
        serveQueues();
    pollController();
    if (! session_.isConnected())
        return;
    if (auto claims = claims_.takeClaims())
        sendToController (std::move (*claims));
    if (auto outcomes = claims_.takeOutcomes (now_))
        sendToController (std::move (*outcomes));
    sendDemand();
}

std::uint64_t RouterCore::Implementation::onCacheEvents (
    const base::RunnerId& runner, base::Incarnation incarnation,
    const std::vector<routing::CacheEvent>& events)
{
    return prefixes_.onEvents (runner, incarnation, events);
}

void RouterCore::Implementation::beginStop()
{
    if (! stoppingSince_)
        stoppingSince_ = now_;
}

bool RouterCore::Implementation::isIdle() const
{
    if (! requests_.empty())
        return false;
    const bool hasUndelivered = claims_.hasUnsentOutcomes() || claims_.hasAbandoned();
    const bool waitsForDelivery =
        hasUndelivered && stoppingSince_ && now_ - *stoppingSince_ < kOutcomeFlushLimit;
    return ! waitsForDelivery;
}

bool RouterCore::Implementation::isReady() const
{
    return session_.hasLease (now_, configuration_.version(), configuration_.digest());
}

std::vector<Effect> RouterCore::Implementation::takeEffects()
{
    return std::exchange (effects_, {});
}

RouterCounters RouterCore::Implementation::counters() const
{
    RouterCounters counters = counters_;
    counters.open = static_cast<std::uint64_t> (
        std::count_if (requests_.begin(), requests_.end(),
                       [] (const auto& entry) { return ! entry.second.isDetached; }));
    return counters;
}

std::string RouterCore::Implementation::explainRequest (const base::RequestId& id) const
{
    return traces_.toJson (id);
}

RouterCore::RouterCore (RouterOptions options, std::uint64_t randomSeed, base::TimePoint now,
                        base::UnixMilliseconds unixNow)
    : implementation_ (
        std::make_unique<Implementation> (std::move (options), randomSeed, now, unixNow))
{
}
RouterCore::~RouterCore() = default;
RouterCore::RouterCore (RouterCore&&) noexcept = default;
RouterCore& RouterCore::operator= (RouterCore&&) noexcept = default;

void RouterCore::setTime (base::TimePoint now, base::UnixMilliseconds unixNow)
{
    implementation_->setTime (now, unixNow);
}
void RouterCore::onTick() { implementation_->onTick(); }
void RouterCore::onControllerConnected() { implementation_->onControllerConnected(); }
void RouterCore::onControllerLost() { implementation_->onControllerLost(); }
void RouterCore::onControllerMessage (const cell::ControllerToRouter& message)
{
    implementation_->onControllerMessage (message);
}
RequestTicket RouterCore::onRequest (const RequestHead& head)
{
    return implementation_->onRequest (head);
}
void RouterCore::onCallerGone (RequestTicket ticket) { implementation_->onCallerGone (ticket); }
void RouterCore::onAttemptEvent (AttemptId attempt, const AttemptEvent& event)
{
    implementation_->onAttemptEvent (attempt, event);
}
void RouterCore::onCallerPaused (RequestTicket ticket, bool isPaused)
{
    implementation_->onCallerPaused (ticket, isPaused);
}
std::uint64_t RouterCore::onCacheEvents (const base::RunnerId& runner,
                                         base::Incarnation incarnation,
                                         const std::vector<routing::CacheEvent>& events)
{
    return implementation_->onCacheEvents (runner, incarnation, events);
}
void RouterCore::beginStop() { implementation_->beginStop(); }
bool RouterCore::isIdle() const { return implementation_->isIdle(); }
bool RouterCore::isReady() const { return implementation_->isReady(); }
std::uint64_t RouterCore::configurationVersion() const
{
    return implementation_->configurationVersion();
}
const std::string& RouterCore::configurationDigest() const
{
    return implementation_->configurationDigest();
}
std::vector<Effect> RouterCore::takeEffects() { return implementation_->takeEffects(); }
RouterCounters RouterCore::counters() const { return implementation_->counters(); }
std::vector<std::string> RouterCore::targets() const { return implementation_->targets(); }
std::string RouterCore::explainRequest (const base::RequestId& id) const
{
    return implementation_->explainRequest (id);
}
std::string RouterCore::metricsText() const { return implementation_->metricsText(); }

}  // namespace fernlift::router
