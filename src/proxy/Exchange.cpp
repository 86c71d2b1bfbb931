#include "proxy/Exchange.h"

#include <algorithm>
#include <utility>

#include "proxy/ForwardedMessage.h"
#include "proxy/PromptParts.h"

namespace fernlift::proxy
{
namespace
{

using base::ErrorKind;

constexpr std::uint32_t kMostUnreachable = 16;
constexpr base::Duration kRetrySoon = base::milliseconds (100);
constexpr base::Duration kRetryAfterWait = base::milliseconds (200);
constexpr base::Duration kLongestLoad = base::seconds (3);
/// Share of a request's time that it may wait for a runner, in hundredths.
constexpr int kWaitShare = 45;
constexpr int kWhole = 100;
constexpr base::Duration kLongestWaitForRoutes = base::seconds (3);
constexpr base::Duration kDefaultDeadline = base::seconds (30);
/// The runner is told a little less than what is left, so that its answer still arrives.
constexpr base::Duration kAnswerTravel = base::milliseconds (5);
/// A repeatable request is tried elsewhere when a runner is silent for this many times its target.
constexpr int kSilenceInTargets = 2;
constexpr base::Duration kShortestStreamSilence = base::milliseconds (800);
constexpr base::Duration kShortestFirstEvent = base::milliseconds (1500);
constexpr base::Duration kShortestSilence = base::milliseconds (150);

}  // namespace

Exchange::Exchange (ProxyContext& context, CallerConnection& caller, ParsedRequest request,
                    std::function<void (Exchange&)> onEnd)
    : context_ (context),
      caller_ (caller),
      request_ (std::move (request)),
      onEnd_ (std::move (onEnd)),
      routes_ (context.routes),
      arrivedAt_ (context.clock.now())
{
    timer_.setSingleShot (true);
    timer_.setTimerType (Qt::PreciseTimer);
    QObject::connect (&timer_, &QTimer::timeout, &timer_, [this] { onTimer(); });
}

Exchange::~Exchange()
{
    if (connection_)
        connection_->detach();
}

void Exchange::begin()
{
    ++context_.counters.requests;
    stated_ = statedDeadline (request_, context_.names).value_or (kDefaultDeadline);
    deadline_ = arrivedAt_ + stated_;
    if (findRoute())
        tryNext();
}

bool Exchange::findRoute()
{
    routes_ = context_.routes;
    if (! routes_)
    {
        // A router that has just started hears of the configuration in a moment.
        isWaitingForRoutes_ = true;
        deadline_ = arrivedAt_ + std::min<base::Duration> (stated_ / 2, kLongestWaitForRoutes);
        armTimer();
        return false;
    }
    isWaitingForRoutes_ = false;
    route_ = routes_->find (request_.headers.value ("Host"), request_.path());
    if (route_ == nullptr)
    {
        sendError ({ ErrorKind::kNotFound, "no route leads there" }, std::nullopt);
        return false;
    }
    deadline_ = arrivedAt_ + std::min (stated_, route_->timeout);
    query_.service = RouteTable::chooseService (*route_, context_.random.uniformReal());
    readModel();
    context_.retryBudget.onFirstAttempt();
    return true;
}

void Exchange::readModel()
{
    const config::Service* service = routes_->catalogue().findService (query_.service);
    if (service == nullptr || ! service->engine)
        return;
    const std::string name = request_.headers.value (context_.names.model);
    const std::size_t slash = name.find ('/');
    query_.model = name.substr (0, slash);
    if (slash != std::string::npos)
        query_.adapter = name.substr (slash + 1);
    const std::string parts = request_.headers.value (context_.names.promptParts);
    const std::string shared = sharedParts (parts);
    query_.affinity = name + "," + shared;
    query_.sharedTokens = tokensOf (shared);
    query_.promptTokens = tokensOf (parts);
    target_ = { query_.service, query_.model, query_.adapter };
    if (! query_.model.empty())
        context_.demands.onArrival (target_);
}

void Exchange::tryNext()
{
    if (now() >= deadline_)
    {
        onTimer();
        return;
    }
    const InstanceChoice choice = context_.directory.choose (query_, now());
    if (choice.reason == NoChoice::kNone)
    {
        endWait();
        startAttempt (choice);
    }
    else
    {
        beginWait (choice.reason);
    }
}

void Exchange::beginWait (NoChoice reason)
{
    if (isWaiting_)
        return;
    isWaiting_ = true;
    waitBegan_ = now();
    // A runner that comes later than this would answer too late; the caller had better ask again.
    const base::Duration limit = std::min<base::Duration> (stated_ * kWaitShare / kWhole,
                                                           route_->targetLatency + kLongestLoad);
    waitDeadline_ = std::min (deadline_, std::max (arrivedAt_ + limit, now()));
    log::write (log::Event::kRequestWaits,
                { { "request", request_.headers.value (context_.names.requestId) },
                  { "service", query_.service },
                  { "model", query_.model },
                  { "adapter", query_.adapter },
                  { "cause", nameOf (reason) },
                  { "table", context_.directory.version() } });
    if (! query_.model.empty())
    {
        context_.demands.onWaiting (target_);
        context_.onUrgentDemand();
    }
    armTimer();
}

void Exchange::endWait()
{
    if (! std::exchange (isWaiting_, false))
        return;
    waited_ += now() - waitBegan_;
    if (! query_.model.empty())
        context_.demands.onWaitEnd (target_);
}

void Exchange::onDirectoryChanged()
{
    if (isEnded_)
        return;
    if (isWaitingForRoutes_ && context_.routes)
    {
        if (findRoute())
            tryNext();
    }
    else if (isWaiting_)
    {
        tryNext();
    }
}

void Exchange::startAttempt (const InstanceChoice& choice)
{
    const auto address =
        base::handleErrors ([&] { return base::SocketAddress::parse (choice.address); },
                            [] (const base::Error&) { return base::SocketAddress(); });
    instance_ = choice.id;
    use_ = AnswerUse::kNone;
    collected_.clear();
    attemptDeadline_ = deadline_;
    AttemptFields fields;
    fields.instance = choice.id;
    fields.left =
        std::max<base::Duration> (deadline_ - now() - kAnswerTravel, base::milliseconds (1));
    fields.priority = route_->priority;
    if (events_)
        fields.lastEventId = events_->lastId();
    http::BackEndConnection::Call call;
    call.bytes = requestBytes (request_, context_.names, fields);
    call.answerHasBody = request_.method != "HEAD";
    call.requestIdHeader = context_.names.requestId;
    call.requestId = request_.headers.value (context_.names.requestId);
    ++context_.counters.attempts;
    context_.directory.onAttemptBegin (instance_, query_.promptTokens, now());
    isPromptRead_ = false;
    if (! query_.model.empty())
        context_.demands.onRunning (target_);
    connection_ = context_.pool.acquire (address, now());
    armTimer();
    connection_->send (std::move (call), this);
}

void Exchange::onSent()
{
    ++sent_;
    isAttemptSent_ = true;
    noteProgress();
    armTimer();
}

void Exchange::noteProgress()
{
    const std::optional<base::Duration> silence = longestSilence();
    attemptDeadline_ = silence ? std::min (deadline_, now() + *silence) : deadline_;
}

std::optional<base::Duration> Exchange::longestSilence() const
{
    const bool mayTryElsewhere = route_->isRepeatable() && sent_ < route_->maximumAttempts;
    if (! mayTryElsewhere)
        return std::nullopt;
    if (route_->kind == config::RouteKind::kRepeatable)
    {
        return std::max<base::Duration> (route_->targetLatency * kSilenceInTargets,
                                         kShortestSilence);
    }
    if (isAnswerBegun_)
    {
        return std::max<base::Duration> (route_->gapTarget * kSilenceInTargets,
                                         kShortestStreamSilence);
    }
    return std::max<base::Duration> (route_->targetLatency / 2, kShortestFirstEvent);
}

void Exchange::armTimer()
{
    const base::TimePoint due = isWaiting_ ? waitDeadline_ : std::min (deadline_, attemptDeadline_);
    const auto wait = std::max<base::Duration> (due - now(), base::Duration::zero());
    timer_.start (std::chrono::ceil<base::milliseconds> (wait));
}

void Exchange::onWaitOver()
{
    endWait();
    if (isAnswerBegun_)
    {
        cut();
    }
    else if (mayHaveRun_)
    {
        fail (ErrorKind::kUpstreamBroken, "no other runner could take the request in time");
    }
    else
    {
        refuse (ErrorKind::kDeadlineUnreachable, "no runner could take the request in time",
                kRetryAfterWait);
    }
}

void Exchange::onTimer()
{
    if (isEnded_)
        return;
    if (isWaiting_ && now() >= waitDeadline_)
    {
        onWaitOver();
        return;
    }
    if (now() < deadline_)
    {
        const bool isSilent = connection_ && isAttemptSent_ && now() >= attemptDeadline_;
        if (isSilent)
        {
            endAttempt (AttemptEnd::kFailed, false);
            afterFailure();
            return;
        }
        armTimer();
        return;
    }
    if (isWaitingForRoutes_)
    {
        refuse (ErrorKind::kLeaseExpired, "no configuration is known yet", kRetrySoon);
        return;
    }
    if (connection_)
        endAttempt (AttemptEnd::kAbandoned, false);
    if (isAnswerBegun_)
    {
        cut();
    }
    else if (mayHaveRun_)
    {
        fail (ErrorKind::kUpstreamTimeout, "the time of the request is over");
    }
    else
    {
        refuse (ErrorKind::kDeadlineUnreachable, "no runner could take the request in time",
                kRetryAfterWait);
    }
}

void Exchange::endAttempt (AttemptEnd end, bool mayReuse)
{
    std::shared_ptr<http::BackEndConnection> connection = std::move (connection_);
    connection_.reset();
    if (! connection)
        return;
    connection->detach();
    if (std::exchange (isAttemptSent_, false))
        mayHaveRun_ = true;
    notePromptRead();
    context_.directory.onAttemptEnd (instance_, end, now());
    if (! query_.model.empty())
        context_.demands.onRunEnd (target_);
    if (mayReuse)
        context_.pool.release (std::move (connection), now());
}

void Exchange::onFailed (http::BackEndFailure failure)
{
    if (failure == http::BackEndFailure::kNotConnected)
    {
        endAttempt (AttemptEnd::kUnreachable, false);
        query_.avoidedInstance = instance_;
        if (++unreachable_ < kMostUnreachable)
        {
            tryNext();
        }
        else if (isAnswerBegun_)
        {
            cut();
        }
        else if (mayHaveRun_)
        {
            fail (ErrorKind::kUpstreamBroken, "no runner could be reached again");
        }
        else
        {
            refuse (ErrorKind::kNoCapacity, "no runner can be reached", kRetrySoon);
        }
        return;
    }
    endAttempt (AttemptEnd::kFailed, false);
    afterFailure();
}

bool Exchange::mayRunAgain()
{
    if (! route_->isRepeatable() || sent_ >= route_->maximumAttempts)
        return false;
    if (now() >= deadline_)
        return false;
    return context_.retryBudget.allowsRetry();
}

void Exchange::afterRefusal()
{
    query_.avoidedInstance = instance_;
    const bool hasAttempts = sent_ < route_->maximumAttempts;
    if (hasAttempts && context_.retryBudget.tryRetry())
    {
        ++context_.counters.retries;
        logMove (log::Event::kRequestResent);
        tryNext();
    }
    else if (isAnswerBegun_)
    {
        cut();
    }
    else if (mayHaveRun_)
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
    query_.avoidedInstance = instance_;
    if (events_)
        events_->dropRest();
    const bool mayGoOn = mayRunAgain() && context_.retryBudget.tryRetry();
    if (mayGoOn)
    {
        ++(isAnswerBegun_ ? context_.counters.resumed : context_.counters.retries);
        logMove (isAnswerBegun_ ? log::Event::kRequestResumed : log::Event::kRequestResent);
        tryNext();
    }
    else if (isAnswerBegun_)
    {
        cut();
    }
    else
    {
        fail (ErrorKind::kUpstreamBroken, "the runner gave no whole answer");
    }
}

}  // namespace fernlift::proxy
