#include "router/CallerRequest.h"

#include <QJsonArray>
#include <QJsonObject>
#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "base/Digest.h"
#include "engine/JsonFields.h"
#include "engine/PromptBlocks.h"

namespace fernlift::router
{
namespace
{

using base::ErrorKind;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr std::string_view kApplicationsPrefix = "/apps/";
constexpr std::string_view kOwnHeaderPrefix = "X-Fernlift-";
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::int64_t kMaxDeadlineMilliseconds = 7LL * 24 * 3600 * 1000;

bool isIdCharacter (char character)
{
    const bool isDigit = character >= '0' && character <= '9';
    const bool isLetter =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isDigit || isLetter
           || std::string_view ("._:-").find (character) != std::string_view::npos;
}

bool startsWithIgnoringCase (std::string_view text, std::string_view prefix)
{
    return text.size() >= prefix.size()
           && http::equalsIgnoringCase (text.substr (0, prefix.size()), prefix);
}

/// Identity of the caller for fair queueing: the Authorization field, else the peer address.
std::string callerOf (const http::Request& request)
{
    const std::string authorization = request.headers.value ("Authorization");
    if (authorization.empty())
        return request.peer.host;
    return "key:" + std::to_string (base::stableHash (authorization));
}

base::Result<void> readDeadline (const http::Request& request, RequestHead& head)
{
    const std::string text = request.headers.value ("X-Fernlift-Deadline-Ms");
    if (text.empty())
        return {};
    std::int64_t milliseconds = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, status] = std::from_chars (text.data(), end, milliseconds);
    const bool isNumber = status == std::errc() && stop == end;
    if (! isNumber || milliseconds < 0 || milliseconds > kMaxDeadlineMilliseconds)
    {
        return base::fail (ErrorKind::kInvalidRequest,
                           "X-Fernlift-Deadline-Ms: found '" + text + "'; allowed: 0 to "
                               + std::to_string (kMaxDeadlineMilliseconds));
    }
    head.deadline = base::milliseconds (milliseconds);
    return {};
}

base::Result<void> readKey (const http::Request& request, RequestHead& head)
{
    const std::string key = request.headers.value ("Idempotency-Key");
    if (request.headers.count ("Idempotency-Key") > 1 || key.size() > kMaxKeyBytes)
    {
        return base::fail (ErrorKind::kInvalidRequest, "Idempotency-Key: allowed is one of at most "
                                                           + std::to_string (kMaxKeyBytes)
                                                           + " bytes");
    }
    if (key.empty())
        return {};
    head.idempotencyKey = base::IdempotencyKey (key);
    const std::string content =
        request.method + " " + request.path + "?" + request.query + "\n" + request.body;
    head.requestDigest = base::sha256Hex (content);
    return {};
}

/// Parses the parts of the request head that do not depend on the protocol.
base::Result<RequestHead> readHead (const http::Request& request, const base::RequestId& id)
{
    RequestHead head;
    head.id = id;
    head.caller = callerOf (request);
    head.bodyBytes = request.body.size();
    head.isSafeMethod = request.method == "GET" || request.method == "HEAD";
    const std::string requestClass = request.headers.value ("X-Fernlift-Class");
    if (! requestClass.empty())
        head.requestClass = base::RequestClassName (requestClass);
    BOOST_LEAF_CHECK (readDeadline (request, head));
    BOOST_LEAF_CHECK (readKey (request, head));
    return head;
}

/// The prompt text whose blocks engines cache; empty for forms without a known block division.
std::string promptOf (const QJsonObject& object, bool isChat)
{
    if (! isChat)
        return object.value (QLatin1String ("prompt")).toString().toStdString();
    std::string prompt;
    const QJsonArray messages = object.value (QLatin1String ("messages")).toArray();
    for (const auto& entry : messages)
    {
        const QJsonObject message = entry.toObject();
        const QJsonValue content = message.value (QLatin1String ("content"));
        if (! content.isString())
            return {};
        const std::string role = message.value (QLatin1String ("role")).toString().toStdString();
        prompt += engine::chatMessageText (role, content.toString().toStdString());
    }
    return prompt;
}

base::Result<void> readCompletion (const http::Request& request, RequestHead& head)
{
    const bool isChat = request.path == kChatPath;
    auto parsed = engine::parseJsonObject (request.body);
    if (! parsed)
    {
        return base::fail (ErrorKind::kInvalidRequest, "the body is not a JSON object");
    }
    const QJsonObject& object = parsed.value();
    const QJsonValue model = object.value (QLatin1String ("model"));
    if (! model.isString() || model.toString().isEmpty())
    {
        return base::fail (ErrorKind::kInvalidRequest, "model: missing; allowed: a name");
    }
    const QJsonValue stream = object.value (QLatin1String ("stream"));
    if (! stream.isUndefined() && ! stream.isNull() && ! stream.isBool())
    {
        return base::fail (ErrorKind::kInvalidRequest, "stream: allowed: true or false");
    }
    const QLatin1String promptField (isChat ? "messages" : "prompt");
    if (! object.contains (promptField))
    {
        return base::fail (ErrorKind::kInvalidRequest,
                           promptField.toString().toStdString() + ": missing");
    }
    head.target = model.toString().toStdString();
    head.isStreaming = stream.toBool();
    head.prefixHashes = engine::promptBlockHashes (promptOf (object, isChat));
    return {};
}

http::Headers engineHeaders (const http::Request& request)
{
    http::Headers headers{ { "Content-Type", "application/json" } };
    const std::string accept = request.headers.value ("Accept");
    if (! accept.empty())
        headers.set ("Accept", accept);
    return headers;
}

/// True if the Connection header lists `name` as a hop-by-hop field.
bool isNamedByConnection (const http::Headers& headers, std::string_view name)
{
    std::string connection;
    for (const http::Header& field : headers.fields())
    {
        if (http::equalsIgnoringCase (field.name, "Connection"))
            connection += "," + field.value;
    }
    std::string_view rest = connection;
    while (! rest.empty())
    {
        const std::size_t comma = std::min (rest.find (','), rest.size());
        std::string_view token = rest.substr (0, comma);
        while (token.starts_with (' '))
            token.remove_prefix (1);
        while (token.ends_with (' '))
            token.remove_suffix (1);
        if (http::equalsIgnoringCase (token, name))
            return true;
        rest.remove_prefix (std::min (comma + 1, rest.size()));
    }
    return false;
}

http::Headers applicationHeaders (const http::Request& request)
{
    http::Headers headers;
    for (const http::Header& field : request.headers.fields())
    {
        const bool isOwn = startsWithIgnoringCase (field.name, kOwnHeaderPrefix)
                           || http::equalsIgnoringCase (field.name, "X-Request-Id");
        const bool isPassed = ! isOwn && ! isHopByHop (field.name)
                              && ! http::equalsIgnoringCase (field.name, "Host")
                              && ! isNamedByConnection (request.headers, field.name);
        if (isPassed)
            headers.add (field.name, field.value);
    }
    return headers;
}

base::Result<CallerRequest> parseCompletionRequest (const http::Request& request, RequestHead head)
{
    if (request.method != "POST")
    {
        return base::fail (ErrorKind::kMethodNotAllowed, request.path + " takes POST only");
    }
    BOOST_LEAF_CHECK (readCompletion (request, head));
    head.protocol = Protocol::kCompletions;
    CallerRequest parsed;
    parsed.head = std::move (head);
    parsed.path = request.path;
    parsed.headers = engineHeaders (request);
    return parsed;
}

base::Result<CallerRequest> parseApplicationRequest (const http::Request& request, RequestHead head)
{
    const std::string rest = request.path.substr (kApplicationsPrefix.size());
    const std::size_t nameEnd = std::min (rest.find ('/'), rest.size());
    head.target = rest.substr (0, nameEnd);
    if (head.target.empty() || ! std::ranges::all_of (head.target, isIdCharacter))
    {
        return base::fail (ErrorKind::kNotFound, "no application at " + request.path);
    }
    head.protocol = Protocol::kApplication;
    CallerRequest parsed;
    parsed.head = std::move (head);
    parsed.path = nameEnd == rest.size() ? "/" : rest.substr (nameEnd);
    if (! request.query.empty())
        parsed.path += "?" + request.query;
    parsed.headers = applicationHeaders (request);
    return parsed;
}

}  // namespace

bool isServedByBackEnds (std::string_view path)
{
    return path == kChatPath || path == kCompletionsPath || path.starts_with (kApplicationsPrefix);
}

base::Result<base::RequestId> requestIdOf (const http::Request& request,
                                           const base::RequestId& fallback)
{
    const std::string id = request.headers.value ("X-Request-Id");
    if (id.empty())
        return fallback;
    if (id.size() > kMaxIdBytes || ! std::ranges::all_of (id, isIdCharacter))
    {
        return base::fail (ErrorKind::kInvalidRequest,
                           "X-Request-Id: allowed are letters, digits and \"._:-\", at most "
                               + std::to_string (kMaxIdBytes) + " bytes");
    }
    return base::RequestId (id);
}

base::Result<CallerRequest> parseCallerRequest (const http::Request& request,
                                                const base::RequestId& id)
{
    if (request.path.find ('#') != std::string::npos
        || request.query.find ('#') != std::string::npos)
    {
        return base::fail (ErrorKind::kInvalidRequest, "the request target has a fragment");
    }
    BOOST_LEAF_AUTO (head, readHead (request, id));
    const bool isApplication = request.path.starts_with (kApplicationsPrefix);
    BOOST_LEAF_AUTO (parsed, isApplication ? parseApplicationRequest (request, std::move (head))
                                           : parseCompletionRequest (request, std::move (head)));
    parsed.method = request.method;
    parsed.body = request.body;
    return parsed;
}

bool isHopByHop (std::string_view headerName)
{
    constexpr std::array<std::string_view, 11> kNames{ "Connection",
                                                       "Keep-Alive",
                                                       "Proxy-Authenticate",
                                                       "Proxy-Authorization",
                                                       "Proxy-Connection",
                                                       "TE",
                                                       "Trailer",
                                                       "Transfer-Encoding",
                                                       "Upgrade",
                                                       "Expect",
                                                       "Content-Length" };
    return std::ranges::any_of (kNames, [&] (std::string_view name)
                                { return http::equalsIgnoringCase (name, headerName); });
}

}  // namespace fernlift::router
