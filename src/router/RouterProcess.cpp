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
/// Wait limit for connections to close after the last answer of a planned stop.
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
    : m_settings (std::move (settings)),
      m_clock (clock),
      m_random (randomSeed),
      m_onFinished (std::move (onFinished)),
      m_requestIdPrefix (m_settings.id + "-" + hexadecimal (m_random.bits())),
      m_attempts (m_client, static_cast<std::size_t> (m_settings.backEndBufferBytes),
                  { [this] (AttemptId attempt, const AttemptEvent& event)
                    { feed ([&] (RouterCore& core) { core.onAttemptEvent (attempt, event); }); },
                    [this] (RequestTicket ticket, AttemptId attempt, const http::Headers& headers)
                    { m_callers.recordHeaders (ticket, attempt, headers); } }),
      m_callers (
          static_cast<std::size_t> (m_settings.callerBufferBytes), m_clock, m_metrics,
          { [this] (RequestTicket ticket)
            { feed ([&] (RouterCore& core) { core.onCallerDisconnected (ticket); }); },
            [this] (RequestTicket ticket, bool isPaused) { setCallerPaused (ticket, isPaused); } }),
      m_cacheEvents (m_client,
                     [this] (const base::RunnerId& runner, base::Incarnation incarnation,
                             const std::vector<routing::CacheEvent>& events)
                     {
                         std::uint64_t next = 0;
                         feed ([&] (RouterCore& core)
                               { next = core.onCacheEvents (runner, incarnation, events); });
                         return next;
                     }),
      m_controller (
          m_settings.controllers, static_cast<std::size_t> (m_random.bits()),
          { [this] { feed ([] (RouterCore& core) { core.onControllerConnected(); }); },
            [this] (const cell::ControllerToRouter& message) { onControllerMessage (message); },
            [this] { feed ([] (RouterCore& core) { core.onControllerLost(); }); } }),
      m_server (serverLimits (m_settings))
{
}

RouterProcess::~RouterProcess()
{
    // Connections that the member destructors close must not feed the core.
    m_isFinished = true;
}

base::Result<base::SocketAddress> RouterProcess::start()
{
    http::Handler handler =
        [this] (const http::Request& request, const std::shared_ptr<http::Responder>& responder)
    { handle (request, responder); };
    const auto isReady = [this] { return m_core->isReady() && ! m_stopBegan; };
    m_server.setHandler (http::addProcessEndpoints (std::move (handler), isReady, m_metrics));
    BOOST_LEAF_AUTO (address, m_server.listen (m_settings.httpAddress));
    createCore (address);
    createMetrics();
    m_cacheEvents.start (m_settings.cacheEventInterval);
    QObject::connect (&m_ticker, &QTimer::timeout, &m_context, [this] { onTick(); });
    m_ticker.setTimerType (Qt::PreciseTimer);
    m_ticker.start (kTickInterval);
    log::write (log::Event::kRouterListening, { { "http_address", address.toString() } });
    return address;
}

void RouterProcess::createCore (const base::SocketAddress& address)
{
    m_core.emplace (coreOptions (m_settings, address), m_random.bits(), m_clock.now(),
                    m_clock.unixNow());
}

void RouterProcess::createMetrics()
{
    m_metrics.addProcessMetrics();
    m_metrics.addText ([this] { return m_core->metricsText(); });
    m_metrics.addText ([this] { return trafficMetrics(); });
    m_metrics.addUpdate (
        [this]
        {
            m_metrics.gauge ("fernlift_router_connections_open", "Open connections of callers.")
                .set (static_cast<double> (m_server.openConnections()));
            m_metrics.gauge ("fernlift_router_attempts_open", "Attempts under way at back ends.")
                .set (static_cast<double> (m_attempts.countOpen()));
        });
}

std::string RouterProcess::trafficMetrics() const
{
    using wire::Channel;
    const wire::ChannelTraffic& in = m_controller.traffic().of (Channel::kControllerToRouter);
    const wire::ChannelTraffic& out = m_controller.traffic().of (Channel::kRouterToController);
    const http::ServerCounters callers = m_server.counters();
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
                handleRouterPath (request, id, *responder);
                return {};
            }
            BOOST_LEAF_AUTO (parsed, parseCallerRequest (request, id));
            const RequestHead head = parsed.head;
            feed (
                [&] (RouterCore& core)
                {
                    const RequestTicket ticket = core.onRequest (head);
                    m_callers.add (ticket, std::move (parsed), responder);
                });
            return {};
        },
        [&] (const base::Error& error)
        {
            http::errorResponse (error, base::traitsOf (error.kind).execution, id.value)
                .sendTo (*responder);
        });
}

void RouterProcess::handleRouterPath (const http::Request& request, const base::RequestId& id,
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
        const std::string requestedId = request.path.substr (kExplainPrefix.size());
        const std::string trace = m_core->explainRequest (base::RequestId (requestedId));
        if (! trace.empty())
        {
            http::jsonResponse (kOk, trace).sendTo (responder);
            return;
        }
        error.message = "no trace of request '" + requestedId + "'";
    }
    http::errorResponse (error, base::traitsOf (error.kind).execution, id.value).sendTo (responder);
}

base::RequestId RouterProcess::newRequestId()
{
    return base::RequestId (m_requestIdPrefix + "-" + std::to_string (++m_lastRequestId));
}

std::string RouterProcess::modelsJson() const
{
    QJsonArray models;
    for (const std::string& target : m_core->targets())
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
    m_attempts.setPaused (ticket, isPaused);
    feed ([&] (RouterCore& core) { core.onCallerPaused (ticket, isPaused); });
}

void RouterProcess::feed (const std::function<void (RouterCore&)>& input)
{
    if (m_isFinished)
        return;
    m_core->setTime (m_clock.now(), m_clock.unixNow());
    input (*m_core);
    if (m_isDraining)
        return;
    m_isDraining = true;
    for (auto effects = m_core->takeEffects(); ! effects.empty(); effects = m_core->takeEffects())
    {
        for (const Effect& effect : effects)
            carryOut (effect);
    }
    m_isDraining = false;
}

void RouterProcess::carryOut (const Effect& effect)
{
    std::visit (
        base::Overloaded{
            [this] (const SendToController& send) { m_controller.send (send.message); },
            [this] (const ConnectController& connect) { m_controller.connect (connect.address); },
            [this] (const StartAttempt& start) { startAttempt (start); },
            [this] (const CancelAttempt& cancel) { m_attempts.cancel (cancel.attempt); },
            [this] (const AnswerHeaders& headers) { m_callers.begin (headers); },
            [this] (const AnswerData& data) { m_callers.write (data); },
            [this] (const AnswerEnd& end) { m_callers.end (end); },
            [this] (const AnswerError& error) { m_callers.fail (error); },
        },
        effect);
}

void RouterProcess::startAttempt (const StartAttempt& effect)
{
    const CallerRequest* const request = m_callers.requestOf (effect.ticket);
    if (request != nullptr)
    {
        m_attempts.start (effect, *request);
        return;
    }
    // The caller disconnected after the core had started the attempt; nothing was sent.
    feed ([&] (RouterCore& core) { core.onAttemptEvent (effect.attempt, AttemptNotSent{}); });
}

void RouterProcess::onControllerMessage (const cell::ControllerToRouter& message)
{
    if (const auto* update = std::get_if<cell::ReplicaUpdate> (&message))
    {
        m_cacheEvents.onReplicas (*update);
    }
    feed ([&] (RouterCore& core) { core.onControllerMessage (message); });
}

void RouterProcess::onTick()
{
    feed ([] (RouterCore& core) { core.onTick(); });
    updateReadiness();
    checkStop();
}

void RouterProcess::updateReadiness()
{
    const bool isReady = m_core->isReady();
    if (isReady == m_wasReady)
        return;
    m_wasReady = isReady;
    log::write (isReady ? log::Event::kRouterReady : log::Event::kRouterLostLease);
}

void RouterProcess::beginStop()
{
    if (m_stopBegan)
        return;
    log::write (log::Event::kProcessStopping);
    m_stopBegan = m_clock.now();
    feed ([] (RouterCore& core) { core.beginStop(); });
}

void RouterProcess::checkStop()
{
    if (! m_stopBegan || m_isFinished)
        return;
    const base::TimePoint now = m_clock.now();
    if (now >= *m_stopBegan + m_settings.stopTimeout)
    {
        log::write (log::Event::kRouterStopTimedOut,
                    { { "open_requests", m_server.openResponses() } });
        finish (0);
        return;
    }
    const bool isIdle = m_core->isIdle() && m_callers.countOpen() == 0;
    if (! m_listeningEnded && isIdle && now >= *m_stopBegan + m_settings.stopGrace)
    {
        m_listeningEnded = now;
        m_server.stopListening();
    }
    if (! m_listeningEnded || ! isIdle || m_server.openResponses() > 0)
        return;
    if (m_server.openConnections() == 0 || now >= *m_listeningEnded + kCloseLimit)
        finish (0);
}

void RouterProcess::finish (int exitCode)
{
    if (std::exchange (m_isFinished, true))
        return;
    m_ticker.stop();
    m_controller.close();
    m_onFinished (exitCode);
}

}  // namespace fernlift::router
