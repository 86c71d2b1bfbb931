#include "router/BackEndRequest.h"

#include <optional>
#include <string>
#include <variant>

#include "http/EventSplitter.h"
#include "http/RetryAfter.h"

namespace fernlift::router
{
namespace
{

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kOwnHeaderPrefix = "X-Fernlift-";
/// RouterCore applies the timeouts of attempts; the client's own limits only guard against a bug in
/// that.
constexpr base::Duration kUnlimited = std::chrono::hours (7 * 24);

std::optional<base::Duration> retryAfterOf (const http::Headers& headers)
{
    const http::RetryAfter stated = http::readRetryAfter (headers);
    const auto* const retryAfter = std::get_if<http::RetryAfterDelay> (&stated);
    return retryAfter == nullptr ? std::nullopt : std::optional (retryAfter->delay);
}

bool isLeaving (const http::Headers& headers)
{
    return headers.value ("X-Fernlift-Leaving") == "1";
}

void addEngineHeaders (const StartAttempt& attempt, http::Headers& headers)
{
    headers.set ("X-Fernlift-Replica", std::to_string (attempt.replica.replica));
    headers.set ("X-Fernlift-Priority", std::to_string (attempt.urgency));
    if (attempt.resumeFrom > 0)
    {
        headers.set ("X-Fernlift-Resume-From", std::to_string (attempt.resumeFrom));
    }
}

}  // namespace

http::ClientRequest backEndRequest (const StartAttempt& attempt, const CallerRequest& request,
                                    const base::SocketAddress& address)
{
    http::ClientRequest sent;
    sent.address = address;
    sent.method = request.method;
    sent.path = request.path;
    sent.requestId = request.head.id.value;
    sent.headers = request.headers;
    sent.headers.set ("X-Request-Id", request.head.id.value);
    const bool hasKey = ! request.head.idempotencyKey.empty();
    if (hasKey)
        sent.headers.set ("Idempotency-Key", request.head.idempotencyKey.value);
    if (request.head.protocol == Protocol::kCompletions)
        addEngineHeaders (attempt, sent.headers);
    sent.body = request.body;
    sent.connectTimeout = attempt.connectTimeout;
    sent.headersTimeout = kUnlimited;
    sent.idleTimeout = kUnlimited;
    sent.needsFreshConnection = hasKey;
    return sent;
}

AttemptEvent headEventOf (const http::ClientResponse& response)
{
    const bool isRefusal =
        (response.status == kTooManyRequests || response.status == kServiceUnavailable)
        && response.headers.value ("X-Fernlift-Execution") == "not_run";
    if (! isRefusal)
        return AttemptHeaders{ response.status, isLeaving (response.headers) };
    return AttemptRefused{ response.status, isLeaving (response.headers),
                           retryAfterOf (response.headers) };
}

http::Headers answerHeaders (const http::Headers& backEndHeaders, const base::RequestId& id)
{
    http::Headers passed;
    for (const http::Header& field : backEndHeaders.fields())
    {
        const std::string_view name = field.name;
        const bool isOwn =
            http::equalsIgnoringCase (name.substr (0, kOwnHeaderPrefix.size()), kOwnHeaderPrefix)
            || http::equalsIgnoringCase (name, "X-Request-Id");
        const bool isLength = http::equalsIgnoringCase (name, "Content-Length");
        if (! isOwn && (isLength || ! isHopByHop (name)))
            passed.add (field.name, field.value);
    }
    if (http::isEventStream (backEndHeaders))
        passed.remove ("Content-Length");
    passed.set ("X-Request-Id", id.value);
    return passed;
}

}  // namespace fernlift::router
