#include "lab/HttpCall.h"

#include "lab/EventWait.h"

namespace fernlift::lab
{
namespace
{

/// Margin added to the timeouts of the client, so that the call's own timeout always comes first.
constexpr base::Duration kWaitMargin = base::seconds (5);

http::ClientRequest clientRequest (const HttpRequest& request)
{
    http::ClientRequest sent;
    sent.address = request.address;
    sent.method = request.method;
    sent.path = request.path;
    sent.headers = request.headers;
    sent.body = request.body;
    // The call has one timeout for all phases; the client's timeouts of each phase must come later.
    sent.connectTimeout = request.timeout + kWaitMargin;
    sent.headersTimeout = request.timeout + kWaitMargin;
    sent.idleTimeout = request.timeout + kWaitMargin;
    sent.needsFreshConnection = true;
    return sent;
}

CallEnd endOf (http::ClientErrorKind kind)
{
    switch (kind)
    {
        case http::ClientErrorKind::kNotSent:
            return CallEnd::kNotConnected;
        case http::ClientErrorKind::kBroken:
            return CallEnd::kBroken;
        case http::ClientErrorKind::kTimeout:
            return CallEnd::kTimeout;
    }
    return CallEnd::kBroken;
}

base::Duration elapsedTime (const QElapsedTimer& timer)
{
    return std::chrono::duration_cast<base::Duration> (
        std::chrono::nanoseconds (timer.nsecsElapsed()));
}

}  // namespace

std::string_view toString (CallEnd end)
{
    switch (end)
    {
        case CallEnd::kComplete:
            return "whole";
        case CallEnd::kNotConnected:
            return "not_connected";
        case CallEnd::kBroken:
            return "broken";
        case CallEnd::kTimeout:
            return "timeout";
    }
    return "";
}

HttpCall::HttpCall (http::Client& client, const HttpRequest& request, OnEnd onEnd)
    : m_onEnd (std::move (onEnd))
{
    m_elapsed.start();
    m_timeout.setSingleShot (true);
    QObject::connect (&m_timeout, &QTimer::timeout, [this] { end (CallEnd::kTimeout); });
    http::ClientCallbacks callbacks;
    callbacks.onHeaders = [this] (const http::ClientResponse& response) { onHeaders (response); };
    callbacks.onData = [this] (std::string_view data) { onData (data); };
    callbacks.onEnd = [this] { end (CallEnd::kComplete); };
    callbacks.onError = [this] (const http::ClientError& error) { end (endOf (error.kind)); };
    m_timeout.start (static_cast<int> (base::toMilliseconds (request.timeout)));
    m_exchange = client.send (clientRequest (request), std::move (callbacks));
}

HttpCall::~HttpCall()
{
    if (! m_hasEnded)
    {
        m_exchange->cancel();
    }
}

void HttpCall::onHeaders (const http::ClientResponse& response)
{
    m_outcome.status = response.status;
    m_outcome.headers = response.headers;
}

void HttpCall::onData (std::string_view data)
{
    if (m_outcome.body.empty())
    {
        m_outcome.toFirstBodyByte = elapsedTime (m_elapsed);
    }
    m_outcome.body += data;
}

void HttpCall::end (CallEnd how)
{
    if (m_hasEnded)
    {
        return;
    }
    m_hasEnded = true;
    m_timeout.stop();
    m_exchange->cancel();
    m_outcome.end = how;
    m_outcome.toEnd = elapsedTime (m_elapsed);
    m_onEnd (m_outcome);
}

HttpOutcome callAndWait (const HttpRequest& request)
{
    HttpOutcome outcome;
    bool hasEnded = false;
    http::Client client;
    const HttpCall call (client, request,
                         [&] (const HttpOutcome& result)
                         {
                             outcome = result;
                             hasEnded = true;
                         });
    waitUntil ([&] { return hasEnded; }, request.timeout + kWaitMargin);
    return outcome;
}

}  // namespace fernlift::lab
