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
/// Wait after a fetch that the weight store did not answer.
constexpr base::Duration kFetchRetry = base::milliseconds (500);
constexpr base::Duration kFetchTimeout = base::seconds (3600);
/// Speed of transfers when no weight store is configured.
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

/// Wait that the weight store asks for, in simulated time.
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
    : clock_ (clock),
      weightStore_ (std::move (weightStore)),
      model_ (options, clock.now()),
      timer_ (clock, [this] { settle(); })
{
    settle();
}

void EngineServer::beginStop()
{
    model_.setLeaving (true);
    settle();
}

bool EngineServer::isIdle() const { return answers_.empty(); }

std::string EngineServer::ledgerJson() const { return toJson (model_.ledger()); }

void EngineServer::handle (const http::Request& request, const ResponderPointer& responder)
{
    if (request.path.starts_with ("/standin/"))
    {
        routeStandin (request, responder);
    }
    else if (isHanging_)
    {
        unanswered_.push_back (responder);
    }
    else
    {
        route (request, responder);
    }
    settle();
}

void EngineServer::route (const http::Request& request, const ResponderPointer& responder)
{
    const std::string& path = request.path;
    model_.advance (clock_.now());
    if (path == "/engine/report")
    {
        sendJson (*responder, 200, engine::toJson (model_.report()));
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
        model_.cancelById (path.substr (kStreamsPrefix.size(), length), clock_.now());
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
        http::jsonResponse (200, engine::toJson (model_.currentReport())).sendTo (*responder);
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
            const auto answer = model_.onOrder (order, clock_.now());
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
    const auto outcome = model_.submit (input, clock_.now());
    if (! outcome.accepted)
    {
        answerRefused (*responder, outcome.refusal, model_.isLeaving());
        return;
    }
    const RequestHandle handle = outcome.handle;
    answers_[handle] = { completion, input.id, responder, false, {} };
    responder->onClosed (
        [this, handle]
        {
            if (answers_.erase (handle) == 0)
                return;
            model_.cancel (handle, clock_.now());
            settle();
        });
}

void EngineServer::handleCache (const http::Request& request, const std::string& id,
                                http::Responder& responder)
{
    if (request.method == "POST")
    {
        if (! model_.importCache (id, request.body))
        {
            answerInvalid (responder, "the bytes are not an exported cache");
            return;
        }
        sendJson (responder, 200, "{}");
        return;
    }
    const std::string bytes = model_.exportCache (id);
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
    sendJson (responder, 200, cacheEventsJson (model_.cacheEventsAfter (after, clock_.now())));
}

bool EngineServer::handleFault (const FaultCommand& command, http::Responder& responder)
{
    EngineFaults faults = model_.faults();
    if (command.fault == "hang" || command.fault == "clear")
    {
        isHanging_ = command.fault == "hang" && command.isEnabled;
        if (! isHanging_)
            unanswered_.clear();
    }
    if (command.fault == "leaving")
    {
        model_.setLeaving (command.isEnabled);
    }
    else if (command.fault == "drop_cache_events")
    {
        model_.dropCacheEvents (command.count);
    }
    else if (command.fault == "exit")
    {
        apply (ExitProcess{});
    }
    else if (command.fault != "hang" && ! applyFault (command, faults))
    {
        return false;
    }
    model_.setFaults (faults);
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
    if (model_.isLeaving())
        headers.set (kLeavingHeader, "1");
    return headers;
}

void EngineServer::settle()
{
    model_.advance (clock_.now());
    auto effects = model_.takeEffects();
    while (! effects.empty())
    {
        for (const auto& effect : effects)
        {
            std::visit ([this] (const auto& value) { apply (value); }, effect);
        }
        effects = model_.takeEffects();
    }
    timer_.setNext (model_.nextEvent());
}

void EngineServer::apply (const FetchWeights& effect)
{
    if (! weightStore_)
    {
        const base::Duration transfer =
            base::milliseconds (effect.size * 1000 / kPlainMegabytesPerSecond);
        QTimer::singleShot (base::toMilliseconds (clock_.toReal (transfer)),
                            [this, fetch = effect.fetch]
                            {
                                model_.onFetched (fetch, clock_.now());
                                settle();
                            });
        return;
    }
    QJsonObject body;
    body[QLatin1String ("artifact")] = engine::jsonText (effect.artifact);
    body[QLatin1String ("size_mb")] = engine::jsonInteger (effect.size);
    http::ClientRequest request;
    request.address = *weightStore_;
    request.method = "POST";
    request.path = "/weights/fetch";
    request.headers.set ("Content-Type", "application/json");
    request.body = engine::writeJson (body);
    request.headersTimeout = kFetchTimeout;
    request.idleTimeout = kFetchTimeout;
    const FetchId fetch = effect.fetch;
    fetches_[fetch] = client_.fetch (
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
    fetches_.erase (fetch);
    model_.onFetched (fetch, clock_.now());
    settle();
}

void EngineServer::onFetchRefused (FetchId fetch, base::Duration retryAfter)
{
    fetches_.erase (fetch);
    model_.onFetchRefused (fetch, retryAfter, clock_.now());
    settle();
}

void EngineServer::apply (const CancelFetch& effect)
{
    const auto found = fetches_.find (effect.fetch);
    if (found == fetches_.end())
        return;
    found->second->cancel();
    fetches_.erase (found);
}

void EngineServer::apply (const TokenChunk& effect)
{
    const auto found = answers_.find (effect.handle);
    if (found == answers_.end())
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
    const auto found = answers_.find (effect.handle);
    if (found == answers_.end())
        return;
    const OpenAnswer answer = std::move (found->second);
    answers_.erase (found);
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
    const auto found = answers_.find (effect.handle);
    if (found == answers_.end())
        return;
    const OpenAnswer answer = std::move (found->second);
    answers_.erase (found);
    answerRefused (*answer.responder, effect.refusal, model_.isLeaving());
}

void EngineServer::apply (const AnswerBroken& effect)
{
    const auto found = answers_.find (effect.handle);
    if (found == answers_.end())
        return;
    const OpenAnswer answer = std::move (found->second);
    answers_.erase (found);
    answer.responder->abort();
}

void EngineServer::apply (const ExitProcess& /*effect*/)
{
    log::write (log::Event::kStandinExit);
    std::_Exit (kExitByFault);
}

}  // namespace fernlift::standin
