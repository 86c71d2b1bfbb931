#include "router/RouterProcess.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <utility>

#include "base/Overloaded.h"
#include "http/ErrorResponse.h"
#include "http/ProcessEndpoints.h"
#include "log/Log.h"

namespace fernlift::router
{
namespace
{

constexpr base::milliseconds kTickInterval (10);
/// How long connections may take to close after the last answer of a planned stop.
constexpr base::Duration kCloseLimit = base::seconds (1);
constexpr int kOk = 200;
constexpr std::string_view kModelsPath = "/v1/models";
constexpr std::string_view kExplainPrefix = "/admin/v1/explain/request/";

std::string hexadecimal (std::uint64_t number)
{
    constexpr int kBase = 16;
    return QString::number (number, kBase).toStdString();
}

void appendFamily (std::string& text, std::string_view name, std::string_view help,
                   std::uint64_t in, std::uint64_t out)
{
    text.append ("# HELP ").append (name).append (" ").append (help).append ("\n# TYPE ");
    text.append (name).append (" counter\n");
    text.append (name).append ("{direction=\"in\"} ").append (std::to_string (in)).append ("\n");
    text.append (name).append ("{direction=\"out\"} ").append (std::to_string (out)).append ("\n");
}

}  // namespace

RouterProcess::RouterProcess (RouterSettings settings, const base::Clock& clock,
                              std::uint64_t randomSeed, std::function<void (int)> onFinished)
    : settings_ (std::move (settings)),
      clock_ (clock),
      random_ (randomSeed),
      onFinished_ (std::move (onFinished)),
      requestIdPrefix_ (settings_.id + "-" + hexadecimal (random_.bits())),
      attempts_ (client_, static_cast<std::size_t> (settings_.backEndBufferBytes),
                 { [this] (AttemptId attempt, const AttemptEvent& event)
                   { feed ([&] (RouterCore& core) { core.onAttemptEvent (attempt, event); }); },
                   [this] (RequestTicket ticket, AttemptId attempt, const http::Headers& headers)
                   { callers_.noteHeaders (ticket, attempt, headers); } }),
      callers_ (
          static_cast<std::size_t> (settings_.callerBufferBytes), clock_, metrics_,
          { [this] (RequestTicket ticket)
            { feed ([&] (RouterCore& core) { core.onCallerGone (ticket); }); },
            [this] (RequestTicket ticket, bool isPaused) { setCallerPaused (ticket, isPaused); } }),
      cacheEvents_ (client_,
                    [this] (const base::RunnerId& runner, base::Incarnation incarnation,
                            const std::vector<routing::CacheEvent>& events)
                    {
                        std::uint64_t next = 0;
                        feed ([&] (RouterCore& core)
                              { next = core.onCacheEvents (runner, incarnation, events); });
                        return next;
                    }),
      controller_ (
          settings_.controllers, static_cast<std::size_t> (random_.bits()),
          { [this] { feed ([] (RouterCore& core) { core.onControllerConnected(); }); },
            [this] (const cell::ControllerToRouter& message) { onControllerMessage (message); },
            [this] { feed ([] (RouterCore& core) { core.onControllerLost(); }); } }),
      server_ (serverLimits (settings_))
{
}

RouterProcess::~RouterProcess()
{
    // What closes from here on is no input any more.
    isFinished_ = true;
}

base::Result<base::SocketAddress> RouterProcess::start()
{
    http::Handler handler =
        [this] (const http::Request& request, const std::shared_ptr<http::Responder>& responder)
    { handle (request, responder); };
    const auto isReady = [this] { return core_->isReady() && ! stopBegan_; };
    server_.setHandler (http::addProcessEndpoints (std::move (handler), isReady, metrics_));
    BOOST_LEAF_AUTO (address, server_.listen (settings_.httpAddress));
    createCore (address);
    createMetrics();
    cacheEvents_.start (settings_.cacheEventInterval);
    QObject::connect (&ticker_, &QTimer::timeout, &context_, [this] { onTick(); });
    ticker_.setTimerType (Qt::PreciseTimer);
    ticker_.start (kTickInterval);
    log::write (log::Event::kRouterListening, { { "http_address", address.toString() } });
    return address;
}

void RouterProcess::createCore (const base::SocketAddress& address)
{
    core_.emplace (coreOptions (settings_, address), random_.bits(), clock_.now(),
                   clock_.unixNow());
}

void RouterProcess::createMetrics()
{
    metrics_.addProcessMetrics();
    metrics_.addText ([this] { return core_->metricsText(); });
    metrics_.addText ([this] { return trafficMetrics(); });
    metrics_.addUpdate (
        [this]
        {
            metrics_.gauge ("fernlift_router_connections_open", "Open connections of callers.")
                .set (static_cast<double> (server_.openConnections()));
            metrics_.gauge ("fernlift_router_attempts_open", "Attempts under way at back ends.")
                .set (static_cast<double> (attempts_.countOpen()));
        });
}

std::string RouterProcess::trafficMetrics() const
{
    using wire::Channel;
    const wire::ChannelTraffic& in = controller_.traffic().of (Channel::kControllerToRouter);
    const wire::ChannelTraffic& out = controller_.traffic().of (Channel::kRouterToController);
    const http::ServerCounters callers = server_.counters();
    std::string text;
    appendFamily (text, "fernlift_router_control_messages_total",
                  "Messages exchanged with controllers.", in.messagesIn, out.messagesOut);
    appendFamily (text, "fernlift_router_control_bytes_total", "Bytes exchanged with controllers.",
                  in.bytesIn, out.bytesOut);
    appendFamily (text, "fernlift_router_caller_bytes_total", "Bytes exchanged with callers.",
                  callers.bytesIn, callers.bytesOut);
    return text;
}

void RouterProcess::handle (const http::Request& request,
                            const std::shared_ptr<http::Responder>& responder)
{
    base::RequestId id = newRequestId();
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_ASSIGN (id, requestIdOf (request, id));
            if (! isServedByBackEnds (request.path))
            {
                handleOwn (request, id, *responder);
                return {};
            }
            BOOST_LEAF_AUTO (parsed, parseCallerRequest (request, id));
            const RequestHead head = parsed.head;
            feed (
                [&] (RouterCore& core)
                {
                    const RequestTicket ticket = core.onRequest (head);
                    callers_.add (ticket, std::move (parsed), responder);
                });
            return {};
        },
        [&] (const base::Error& error)
        {
            http::errorResponse (error, base::traitsOf (error.kind).execution, id.value)
                .sendTo (*responder);
        });
}

void RouterProcess::handleOwn (const http::Request& request, const base::RequestId& id,
                               http::Responder& responder)
{
    const bool isKnown = request.path == kModelsPath || request.path.starts_with (kExplainPrefix);
    const bool isRead = request.method == "GET" || request.method == "HEAD";
    base::Error error{ base::ErrorKind::kNotFound, "nothing at " + request.path };
    if (isKnown && ! isRead)
    {
        error = { base::ErrorKind::kMethodNotAllowed, request.path + " takes GET only" };
    }
    else if (request.path == kModelsPath)
    {
        http::jsonResponse (kOk, modelsJson()).sendTo (responder);
        return;
    }
    else if (isKnown)
    {
        const std::string asked = request.path.substr (kExplainPrefix.size());
        const std::string trace = core_->explainRequest (base::RequestId (asked));
        if (! trace.empty())
        {
            http::jsonResponse (kOk, trace).sendTo (responder);
            return;
        }
        error.message = "request '" + asked + "' is not remembered";
    }
    http::errorResponse (error, base::traitsOf (error.kind).execution, id.value).sendTo (responder);
}

base::RequestId RouterProcess::newRequestId()
{
    return base::RequestId (requestIdPrefix_ + "-" + std::to_string (++lastRequestId_));
}

std::string RouterProcess::modelsJson() const
{
    QJsonArray models;
    for (const std::string& target : core_->targets())
    {
        models.append (QJsonObject{ { QLatin1String ("id"), QString::fromStdString (target) },
                                    { QLatin1String ("object"), QLatin1String ("model") },
                                    { QLatin1String ("owned_by"), QLatin1String ("fernlift") } });
    }
    const QJsonObject list{ { QLatin1String ("object"), QLatin1String ("list") },
                            { QLatin1String ("data"), models } };
    return QJsonDocument (list).toJson (QJsonDocument::Compact).toStdString();
}

void RouterProcess::setCallerPaused (RequestTicket ticket, bool isPaused)
{
    attempts_.setPaused (ticket, isPaused);
    feed ([&] (RouterCore& core) { core.onCallerPaused (ticket, isPaused); });
}

void RouterProcess::feed (const std::function<void (RouterCore&)>& input)
{
    if (isFinished_)
        return;
    core_->setTime (clock_.now(), clock_.unixNow());
    input (*core_);
    if (isDraining_)
        return;
    isDraining_ = true;
    for (auto effects = core_->takeEffects(); ! effects.empty(); effects = core_->takeEffects())
    {
        for (const Effect& effect : effects)
            carryOut (effect);
    }
    isDraining_ = false;
}

void RouterProcess::carryOut (const Effect& effect)
{
    std::visit (
        base::Overloaded{
            [this] (const SendToController& send) { controller_.send (send.message); },
            [this] (const ConnectController& connect) { controller_.connect (connect.address); },
            [this] (const StartAttempt& start) { startAttempt (start); },
            [this] (const CancelAttempt& cancel) { attempts_.cancel (cancel.attempt); },
            [this] (const AnswerHeaders& headers) { callers_.begin (headers); },
            [this] (const AnswerData& data) { callers_.write (data); },
            [this] (const AnswerEnd& end) { callers_.end (end); },
            [this] (const AnswerError& error) { callers_.fail (error); },
        },
        effect);
}

void RouterProcess::startAttempt (const StartAttempt& effect)
{
    const CallerRequest* const request = callers_.requestOf (effect.ticket);
    if (request != nullptr)
    {
        attempts_.start (effect, *request);
        return;
    }
    // The caller left after the core had decided; nothing was sent.
    feed ([&] (RouterCore& core) { core.onAttemptEvent (effect.attempt, AttemptNotSent{}); });
}

void RouterProcess::onControllerMessage (const cell::ControllerToRouter& message)
{
    if (const auto* update = std::get_if<cell::ReplicaUpdate> (&message))
    {
        cacheEvents_.onReplicas (*update);
    }
    feed ([&] (RouterCore& core) { core.onControllerMessage (message); });
}

void RouterProcess::onTick()
{
    feed ([] (RouterCore& core) { core.onTick(); });
    noteReadiness();
    checkStop();
}

void RouterProcess::noteReadiness()
{
    const bool isReady = core_->isReady();
    if (isReady == wasReady_)
        return;
    wasReady_ = isReady;
    log::write (isReady ? log::Event::kRouterReady : log::Event::kRouterLostLease);
}

void RouterProcess::beginStop()
{
    if (stopBegan_)
    {
        finish (0);
        return;
    }
    log::write (log::Event::kProcessStopping);
    stopBegan_ = clock_.now();
    feed ([] (RouterCore& core) { core.beginStop(); });
}

void RouterProcess::checkStop()
{
    if (! stopBegan_ || isFinished_)
        return;
    const base::TimePoint now = clock_.now();
    if (now >= *stopBegan_ + settings_.stopTimeout)
    {
        log::write (log::Event::kRouterStopTimedOut,
                    { { "open_requests", server_.openResponses() } });
        finish (0);
        return;
    }
    const bool isIdle = core_->isIdle() && callers_.countOpen() == 0;
    if (! listeningEnded_ && isIdle && now >= *stopBegan_ + settings_.stopGrace)
    {
        listeningEnded_ = now;
        server_.stopListening();
    }
    if (! listeningEnded_ || ! isIdle || server_.openResponses() > 0)
        return;
    if (server_.openConnections() == 0 || now >= *listeningEnded_ + kCloseLimit)
        finish (0);
}

void RouterProcess::finish (int exitCode)
{
    if (std::exchange (isFinished_, true))
        return;
    ticker_.stop();
    controller_.close();
    onFinished_ (exitCode);
}

}  // namespace fernlift::router
