#include "standin/EngineServer.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

#include "engine/JsonFields.h"
#include "log/Log.h"

namespace fernlift::standin
{
namespace
{

constexpr int kConflict = 409;
constexpr int kInsufficientStorage = 507;
constexpr int kExitByFault = 70;
/// Retry delay when the weight store did not answer a fetch or stated no delay.
constexpr base::Duration kFetchRetry = base::milliseconds (500);
constexpr base::Duration kFetchTimeout = base::seconds (3600);
/// Transfer speed when no weight store is configured.
constexpr std::uint64_t kPlainMegabytesPerSecond = 1000;

constexpr std::string_view kStreamsPrefix = "/engine/streams/";
constexpr std::string_view kCancelSuffix = "/cancel";
constexpr std::string_view kCachePrefix = "/engine/kv/";

std::uint64_t integerHeader (const http::Headers& headers, std::string_view name,
                             std::uint64_t fallback)
{
    const std::string text = headers.value (name);
    std::uint64_t value = fallback;
    std::from_chars (text.data(), text.data() + text.size(), value);
    return value;
}

EngineRequest toEngineRequest (const http::Request& request, const CompletionRequest& completion)
{
    EngineRequest input;
    input.id = request.headers.value ("X-Request-Id");
    input.idempotencyKey = request.headers.value ("Idempotency-Key");
    input.replica = integerHeader (request.headers, "X-Fernlift-Replica", 0);
    input.priority = static_cast<int> (
        std::min<std::uint64_t> (integerHeader (request.headers, "X-Fernlift-Priority", 5), 9));
    input.resumeFrom = integerHeader (request.headers, "X-Fernlift-Resume-From", 0);
    input.target = completion.model;
    input.prompt = completion.prompt;
    input.maxTokens = completion.maxTokens;
    input.isStreaming = completion.isStreaming;
    return input;
}

int statusOf (const engine::OrderAnswer& answer)
{
    if (answer.accepted)
        return 200;
    return answer.refusal == base::ErrorKind::kInsufficientMemory ? kInsufficientStorage
                                                                  : kConflict;
}

std::string cacheEventsJson (const std::vector<CacheEvent>& events)
{
    QJsonArray array;
    for (const auto& event : events)
    {
        QJsonObject object;
        object[QLatin1String ("sequence")] = engine::jsonInteger (event.sequence);
        object[QLatin1String ("kind")] = engine::jsonText (event.isStored ? "stored" : "removed");
        object[QLatin1String ("model")] = engine::jsonText (event.model);
        object[QLatin1String ("block")] = engine::jsonInteger (event.block);
        array.append (object);
    }
    return engine::writeJson ({ { QLatin1String ("events"), array } });
}

/// Returns the retry delay stated by the weight store, in simulated time.
base::Duration retryAfterOf (const http::WholeResponse& response)
{
    std::uint64_t milliseconds = 0;
    const bool isKnown = base::handleErrors (
        [&]() -> base::Result<bool>
        {
            auto object = engine::parseJsonObject (response.body);
            if (! object)
                return object.error();
            engine::JsonFields fields (object.value());
            fields.readInteger ("retry_after_ms", &milliseconds);
            return ! fields.failed();
        },
        [] (const base::Error&) { return false; });
    return isKnown ? base::milliseconds (milliseconds) : kFetchRetry;
}

}  // namespace

EngineServer::EngineServer (const EngineOptions& options, const SimulatedClock& clock,
                            std::optional<base::SocketAddress> weightStore)
    : m_clock (clock),
      m_weightStore (std::move (weightStore)),
      m_model (options, clock.now()),
      m_timer (clock, [this] { advanceModel(); })
{
    advanceModel();
}

void EngineServer::beginStop()
{
    m_model.setLeaving (true);
    advanceModel();
}

bool EngineServer::isIdle() const { return m_answers.empty(); }

std::string EngineServer::ledgerJson() const { return toJson (m_model.ledger()); }

void EngineServer::handle (const http::Request& request, const ResponderPointer& responder)
{
    if (request.path.starts_with ("/standin/"))
    {
        routeStandin (request, responder);
    }
    else if (m_isHanging)
    {
        m_unanswered.push_back (responder);
    }
    else
    {
        route (request, responder);
    }
    advanceModel();
}

void EngineServer::route (const http::Request& request, const ResponderPointer& responder)
{
    const std::string& path = request.path;
    m_model.advance (m_clock.now());
    if (path == "/engine/report")
    {
        sendJson (*responder, 200, engine::toJson (m_model.report()));
    }
    else if (path == "/engine/orders")
    {
        handleOrder (request, *responder);
    }
    else if (path == "/v1/chat/completions" || path == "/v1/completions")
    {
        handleInference (request, responder, path == "/v1/chat/completions");
    }
    else if (path == "/engine/cache-events")
    {
        handleCacheEvents (request, *responder);
    }
    else if (path.starts_with (kCachePrefix))
    {
        handleCache (request, path.substr (kCachePrefix.size()), *responder);
    }
    else if (path.starts_with (kStreamsPrefix) && path.ends_with (kCancelSuffix))
    {
        const std::size_t length = path.size() - kStreamsPrefix.size() - kCancelSuffix.size();
        m_model.cancelById (path.substr (kStreamsPrefix.size(), length), m_clock.now());
        sendJson (*responder, 200, "{}");
    }
    else
    {
        answerNotFound (*responder, path);
    }
}

void EngineServer::routeStandin (const http::Request& request, const ResponderPointer& responder)
{
    if (request.path == "/standin/ledger")
    {
        http::jsonResponse (200, ledgerJson()).sendTo (*responder);
    }
    else if (request.path == "/standin/state")
    {
        http::jsonResponse (200, engine::toJson (m_model.currentReport())).sendTo (*responder);
    }
    else if (request.path == "/standin/faults" && request.method == "POST")
    {
        withBody (
            *responder, [&] { return parseFaultCommand (request.body); },
            [&] (const FaultCommand& command) { return handleFault (command, *responder); });
    }
    else
    {
        answerNotFound (*responder, request.path);
    }
}

void EngineServer::handleOrder (const http::Request& request, http::Responder& responder)
{
    withBody (
        responder, [&] { return engine::parseOrder (request.body); },
        [&] (const engine::Order& order)
        {
            const auto answer = m_model.onOrder (order, m_clock.now());
            log::write (log::Event::kEngineOrder,
                        { { "fence", order.fence },
                          { "replica", order.replica },
                          { "model", order.model.value },
                          { "accepted", answer.accepted ? "true" : "false" } });
            sendJson (responder, statusOf (answer), engine::toJson (answer));
            return true;
        });
}

void EngineServer::handleInference (const http::Request& request, const ResponderPointer& responder,
                                    bool isChat)
{
    withBody (
        *responder, [&] { return parseCompletion (request.body, isChat); },
        [&] (const CompletionRequest& completion)
        {
            submit (toEngineRequest (request, completion), completion, responder);
            return true;
        });
}

void EngineServer::submit (const EngineRequest& input, const CompletionRequest& completion,
                           const ResponderPointer& responder)
{
    const auto outcome = m_model.submit (input, m_clock.now());
    if (! outcome.accepted)
    {
        answerRefused (*responder, outcome.refusal, m_model.isLeaving());
        return;
    }
    const RequestHandle handle = outcome.handle;
    m_answers[handle] = { completion, input.id, responder, false, {} };
    responder->onClosed (
        [this, handle]
        {
            if (m_answers.erase (handle) == 0)
                return;
            m_model.cancel (handle, m_clock.now());
            advanceModel();
        });
}

void EngineServer::handleCache (const http::Request& request, const std::string& id,
                                http::Responder& responder)
{
    if (request.method == "POST")
    {
        if (! m_model.importCache (id, request.body))
        {
            answerInvalid (responder, "body is not an exported KV cache");
            return;
        }
        sendJson (responder, 200, "{}");
        return;
    }
    const std::string bytes = m_model.exportCache (id);
    if (bytes.empty())
    {
        answerNotFound (responder, request.path);
        return;
    }
    responder.send (200, commonHeaders ("application/octet-stream"), bytes);
}

void EngineServer::handleCacheEvents (const http::Request& request, http::Responder& responder)
{
    std::uint64_t after = 0;
    const std::string text = request.queryValue ("after");
    std::from_chars (text.data(), text.data() + text.size(), after);
    sendJson (responder, 200, cacheEventsJson (m_model.cacheEventsAfter (after, m_clock.now())));
}

bool EngineServer::handleFault (const FaultCommand& command, http::Responder& responder)
{
    EngineFaults faults = m_model.faults();
    if (command.fault == "hang" || command.fault == "clear")
    {
        m_isHanging = command.fault == "hang" && command.isEnabled;
        if (! m_isHanging)
            m_unanswered.clear();
    }
    if (command.fault == "leaving")
    {
        m_model.setLeaving (command.isEnabled);
    }
    else if (command.fault == "drop_cache_events")
    {
        m_model.dropCacheEvents (command.count);
    }
    else if (command.fault == "exit")
    {
        apply (ExitProcess{});
    }
    else if (command.fault != "hang" && ! applyFault (command, faults))
    {
        return false;
    }
    m_model.setFaults (faults);
    log::write (log::Event::kStandinFault, { { "fault", command.fault } });
    answerDone (responder);
    return true;
}

void EngineServer::sendJson (http::Responder& responder, int status, const std::string& json) const
{
    responder.send (status, commonHeaders ("application/json"), json);
}

http::Headers EngineServer::commonHeaders (const std::string& contentType) const
{
    http::Headers headers{ { "Content-Type", contentType } };
    if (m_model.isLeaving())
        headers.set (kLeavingHeader, "1");
    return headers;
}

void EngineServer::advanceModel()
{
    m_model.advance (m_clock.now());
    auto effects = m_model.takeEffects();
    while (! effects.empty())
    {
        for (const auto& effect : effects)
        {
            std::visit ([this] (const auto& value) { apply (value); }, effect);
        }
        effects = m_model.takeEffects();
    }
    m_timer.setNext (m_model.nextEvent());
}

void EngineServer::apply (const FetchWeights& effect)
{
    if (! m_weightStore)
    {
        const base::Duration transfer =
            base::milliseconds (effect.size * 1000 / kPlainMegabytesPerSecond);
        QTimer::singleShot (base::toMilliseconds (m_clock.toReal (transfer)),
                            [this, fetch = effect.fetch]
                            {
                                m_model.onFetched (fetch, m_clock.now());
                                advanceModel();
                            });
        return;
    }
    QJsonObject body;
    body[QLatin1String ("artifact")] = engine::jsonText (effect.artifact);
    body[QLatin1String ("size_mb")] = engine::jsonInteger (effect.size);
    http::ClientRequest request;
    request.address = *m_weightStore;
    request.method = "POST";
    request.path = "/weights/fetch";
    request.headers.set ("Content-Type", "application/json");
    request.body = engine::writeJson (body);
    request.headersTimeout = kFetchTimeout;
    request.idleTimeout = kFetchTimeout;
    const FetchId fetch = effect.fetch;
    m_fetches[fetch] = m_client.fetch (
        std::move (request),
        [this, fetch] (const http::WholeResponse& response) { onFetchAnswer (fetch, response); },
        [this, fetch] (const http::ClientError&) { onFetchRefused (fetch, kFetchRetry); });
}

void EngineServer::onFetchAnswer (FetchId fetch, const http::WholeResponse& response)
{
    if (response.status != 200)
    {
        onFetchRefused (fetch, retryAfterOf (response));
        return;
    }
    m_fetches.erase (fetch);
    m_model.onFetched (fetch, m_clock.now());
    advanceModel();
}

void EngineServer::onFetchRefused (FetchId fetch, base::Duration retryAfter)
{
    m_fetches.erase (fetch);
    m_model.onFetchRefused (fetch, retryAfter, m_clock.now());
    advanceModel();
}

void EngineServer::apply (const CancelFetch& effect)
{
    const auto found = m_fetches.find (effect.fetch);
    if (found == m_fetches.end())
        return;
    found->second->cancel();
    m_fetches.erase (found);
}

void EngineServer::apply (const TokenChunk& effect)
{
    const auto found = m_answers.find (effect.handle);
    if (found == m_answers.end())
        return;
    OpenAnswer& answer = found->second;
    if (! answer.request.isStreaming)
    {
        answer.parts[effect.offset] = effect.text;
        return;
    }
    if (! answer.hasBegun)
        answer.responder->begin (200, commonHeaders ("text/event-stream"));
    answer.hasBegun = true;
    answer.responder->write (streamEvent (answer.request, answer.id, effect.offset, effect.text));
}

void EngineServer::apply (const AnswerEnded& effect)
{
    const auto found = m_answers.find (effect.handle);
    if (found == m_answers.end())
        return;
    const OpenAnswer answer = std::move (found->second);
    m_answers.erase (found);
    if (answer.request.isStreaming)
    {
        if (! answer.hasBegun)
            answer.responder->begin (200, commonHeaders ("text/event-stream"));
        answer.responder->write (lastStreamEvent());
        answer.responder->end();
        return;
    }
    std::string text;
    for (const auto& [offset, part] : answer.parts)
        text += part;
    sendJson (*answer.responder, 200,
              wholeAnswer (answer.request, answer.id, text, answer.parts.size()));
}

void EngineServer::apply (const AnswerRefused& effect)
{
    const auto found = m_answers.find (effect.handle);
    if (found == m_answers.end())
        return;
    const OpenAnswer answer = std::move (found->second);
    m_answers.erase (found);
    answerRefused (*answer.responder, effect.refusal, m_model.isLeaving());
}

void EngineServer::apply (const AnswerBroken& effect)
{
    const auto found = m_answers.find (effect.handle);
    if (found == m_answers.end())
        return;
    const OpenAnswer answer = std::move (found->second);
    m_answers.erase (found);
    answer.responder->abort();
}

void EngineServer::apply (const ExitProcess& /*effect*/)
{
    log::write (log::Event::kStandinExit);
    std::_Exit (kExitByFault);
}

}  // namespace fernlift::standin
