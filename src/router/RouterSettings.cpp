#include "router/RouterSettings.h"

namespace fernlift::router
{
namespace
{

using base::milliseconds;
using base::seconds;

constexpr base::Duration kShortest = milliseconds (1);
constexpr base::Duration kLongest = std::chrono::hours (24);
constexpr std::int64_t kMaxRequests = 10'000'000;
constexpr std::int64_t kMaxBytes = 1LL << 40;
constexpr std::int64_t kMaxAttempts = 100;
constexpr std::int64_t kLeastUrgent = 9;
constexpr std::int64_t kMinHeaderBytes = 256;
constexpr std::int64_t kMaxHeaderBytes = 16LL * 1024 * 1024;
constexpr std::int64_t kMaxConnections = 1'000'000;

void declareIdentity (config::SettingsSchema& schema, RouterSettings& settings)
{
    schema.addString ("id", &settings.id, "name of this router; unique in the cell").required();
    schema.addString ("cell", &settings.cell, "name of the cell").required();
    schema.addString ("zone", &settings.zone, "zone of this machine").required();
    schema.addAddress ("http_address", &settings.httpAddress,
                       "listens for callers, health checks and metrics");
    schema.required();
    schema.addAddressList ("controllers", &settings.controllers,
                           "peer address of each controller of the cell");
    schema.required();
}

void declareQueues (config::SettingsSchema& schema, RouterSettings& settings)
{
    schema.addInteger ("max_queued_requests", &settings.queuedRequests, 1, kMaxRequests,
                       "requests that may wait; more are refused or displace less urgent ones");
    schema.addInteger ("max_queued_requests_per_target", &settings.queuedRequestsPerTarget, 1,
                       kMaxRequests,
                       "requests that may wait for one model, adapter or application");
    schema.addInteger ("max_queued_bytes", &settings.queuedBytes, 1, kMaxBytes,
                       "bodies of waiting requests together");
}

void declareAttempts (config::SettingsSchema& schema, RouterSettings& settings)
{
    RouterOptions& core = settings.core;
    schema.addInteger ("max_attempts", &settings.maximumAttempts, 1, kMaxAttempts,
                       "attempts at back ends for one request without progress");
    schema.addReal ("retry_budget_share", &core.retryBudgetShare, 0, 1,
                    "retries allowed as a share of first attempts");
    schema.addDuration ("connect_timeout_ms", &core.connectTimeout, kShortest, seconds (60),
                        "longest time to open a connection to a back end");
    schema.addDuration ("between_tokens_timeout_ms", &core.betweenTokensTimeout, kShortest,
                        kLongest, "longest silence of a back end within an answer");
    schema.addDuration (
        "hedge_after_ms", &settings.hedgeAfter, {}, kLongest,
        "silence after which an urgent repeatable request without streaming is sent "
        "to a second back end; 0: never");
    schema.addInteger ("hedge_max_urgency", &settings.hedgeMaximumUrgency, 0, kLeastUrgent,
                       "largest urgency that is sent to a second back end");
    schema.addInteger ("max_buffered_answer_bytes", &settings.bufferedAnswerBytes, 0, kMaxBytes,
                       "answers without streaming are kept back up to this size, so that a broken "
                       "attempt can be repeated");
    schema.addInteger ("back_end_buffer_bytes", &settings.backEndBufferBytes, 1, kMaxBytes,
                       "most bytes of one back end's answer that are read at a time; "
                       "above 65536 has no effect");
    schema.addDuration ("cache_event_interval_ms", &settings.cacheEventInterval, {}, kLongest,
                        "interval of the calls for each engine's cache events; 0: never");
}

void declareControl (config::SettingsSchema& schema, RouterSettings& settings)
{
    RouterOptions& core = settings.core;
    schema.addDuration ("demand_interval_ms", &core.demandInterval, kShortest, seconds (60),
                        "interval of the demand reports to the controller");
    schema.addDuration ("claim_window_ms", &core.claimWindow, seconds (1), kLongest,
                        "how long idempotency keys are kept after the request's deadline");
    schema.addDuration (
        "outcome_wait_ms", &core.outcomeWait, kShortest, kLongest,
        "how long the outcome of a request that may not be repeated is awaited after "
        "its caller was answered or left");
    schema.addInteger ("max_request_traces", &settings.requestTraces, 1, kMaxRequests,
                       "requests remembered for /admin/v1/explain/request");
    schema.addDuration ("stop_grace_ms", &settings.stopGrace, {}, kLongest,
                        "least time in which a planned stop still answers new requests with "
                        "'stopping'");
    schema.addDuration ("stop_timeout_ms", &settings.stopTimeout, kShortest, kLongest,
                        "longest planned stop; requests still open then are cut off");
}

void declareCallers (config::SettingsSchema& schema, RouterSettings& settings)
{
    http::ServerLimits& server = settings.server;
    schema.addInteger ("max_header_bytes", &settings.headerBytes, kMinHeaderBytes, kMaxHeaderBytes,
                       "request line and header fields of one request");
    schema.addInteger ("max_body_bytes", &settings.bodyBytes, 0, kMaxBytes, "body of one request");
    schema.addInteger ("max_connections", &settings.connections, 1, kMaxConnections,
                       "open connections of callers; more are answered 503");
    schema.addDuration ("idle_timeout_ms", &server.idleTimeout, kShortest, kLongest,
                        "longest time between two requests of one connection");
    schema.addDuration ("header_timeout_ms", &server.headerTimeout, kShortest, kLongest,
                        "longest time from a request's first byte to the end of its headers");
    schema.addDuration ("request_timeout_ms", &server.requestTimeout, kShortest, kLongest,
                        "longest time from the end of a request's headers to the end of its body");
    schema.addDuration ("write_timeout_ms", &server.writeTimeout, kShortest, kLongest,
                        "a caller that takes nothing of its answer for this long is cut off");
    schema.addInteger ("caller_buffer_bytes", &settings.callerBufferBytes, 1, kMaxBytes,
                       "unsent bytes of one answer that pause the back end");
}

std::vector<std::string> checkTogether (const RouterSettings& settings)
{
    std::vector<std::string> problems;
    if (settings.queuedRequestsPerTarget > settings.queuedRequests)
    {
        problems.emplace_back ("max_queued_requests_per_target is above max_queued_requests");
    }
    if (settings.bodyBytes > settings.queuedBytes)
    {
        problems.emplace_back ("max_body_bytes is above max_queued_bytes");
    }
    if (settings.stopGrace > settings.stopTimeout)
    {
        problems.emplace_back ("stop_grace_ms is above stop_timeout_ms");
    }
    return problems;
}

}  // namespace

void declareSettings (config::SettingsSchema& schema, RouterSettings& settings)
{
    declareIdentity (schema, settings);
    declareQueues (schema, settings);
    declareAttempts (schema, settings);
    declareControl (schema, settings);
    declareCallers (schema, settings);
    config::addLoggingSettings (schema, &settings.logging);
    schema.addCheck ([&settings] { return checkTogether (settings); });
}

RouterOptions coreOptions (const RouterSettings& settings, const base::SocketAddress& httpAddress)
{
    RouterOptions options = settings.core;
    options.router = base::RouterId (settings.id);
    options.cell = base::CellId (settings.cell);
    options.zone = base::ZoneName (settings.zone);
    options.address = httpAddress.toString();
    options.maximumQueuedRequests = static_cast<std::size_t> (settings.queuedRequests);
    options.maximumQueuedPerTarget = static_cast<std::size_t> (settings.queuedRequestsPerTarget);
    options.maximumQueuedBytes = static_cast<std::size_t> (settings.queuedBytes);
    options.maximumAttempts = static_cast<std::uint32_t> (settings.maximumAttempts);
    options.requestTraces = static_cast<std::size_t> (settings.requestTraces);
    options.maximumBufferedAnswer = static_cast<std::size_t> (settings.bufferedAnswerBytes);
    if (settings.hedgeAfter > base::Duration::zero())
        options.hedgeAfter = settings.hedgeAfter;
    options.hedgeMaximumUrgency = static_cast<int> (settings.hedgeMaximumUrgency);
    return options;
}

http::ServerLimits serverLimits (const RouterSettings& settings)
{
    http::ServerLimits limits = settings.server;
    limits.headerBytes = static_cast<std::size_t> (settings.headerBytes);
    limits.bodyBytes = static_cast<std::size_t> (settings.bodyBytes);
    limits.connections = static_cast<std::size_t> (settings.connections);
    return limits;
}

}  // namespace fernlift::router
