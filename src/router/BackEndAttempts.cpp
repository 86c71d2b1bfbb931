#include "router/BackEndAttempts.h"

#include <utility>

#include "http/EventSplitter.h"
#include "router/BackEndRequest.h"

namespace fernlift::router
{
namespace
{

bool isFinal (const AttemptEvent& event)
{
    return ! std::holds_alternative<AttemptHeaders> (event)
           && ! std::holds_alternative<AttemptData> (event);
}

base::SocketAddress parseOrEmpty (const std::string& address)
{
    return base::handleErrors ([&] { return base::SocketAddress::parse (address); },
                               [] (const base::Error&) { return base::SocketAddress(); });
}

}  // namespace

BackEndAttempts::BackEndAttempts (http::Client& client, std::size_t bufferBytes, Handlers handlers)
    : m_client (client), m_bufferBytes (bufferBytes), m_handlers (std::move (handlers))
{
}

void BackEndAttempts::start (const StartAttempt& attempt, const CallerRequest& request)
{
    const AttemptId id = attempt.attempt;
    const base::SocketAddress address = parseOrEmpty (attempt.replica.address);
    OpenAttempt& open = m_attempts[id];
    open.ticket = attempt.ticket;
    open.isTokenStream =
        request.head.protocol == Protocol::kCompletions && request.head.isStreaming;
    if (address.host.empty())
    {
        report (id, AttemptNotSent{});
        return;
    }
    http::ClientRequest sent = backEndRequest (attempt, request, address);
    sent.readBufferBytes = m_bufferBytes;
    http::ClientCallbacks callbacks;
    callbacks.onHeaders = [this, id] (const http::ClientResponse& head) { onHeaders (id, head); };
    callbacks.onData = [this, id] (std::string_view data) { onData (id, data); };
    callbacks.onEnd = [this, id] { onEnd (id); };
    callbacks.onError = [this, id] (const http::ClientError& error) { onError (id, error); };
    open.exchange = m_client.send (std::move (sent), std::move (callbacks));
}

void BackEndAttempts::cancel (AttemptId attempt)
{
    const auto found = m_attempts.find (attempt);
    if (found == m_attempts.end())
        return;
    const std::shared_ptr<http::Exchange> exchange = std::move (found->second.exchange);
    m_attempts.erase (found);
    if (exchange)
        exchange->cancel();
}

void BackEndAttempts::setPaused (RequestTicket ticket, bool isPaused)
{
    for (auto& [id, attempt] : m_attempts)
    {
        if (attempt.ticket == ticket && attempt.exchange)
            attempt.exchange->setPaused (isPaused);
    }
}

void BackEndAttempts::onHeaders (AttemptId id, const http::ClientResponse& response)
{
    const auto found = m_attempts.find (id);
    if (found == m_attempts.end())
        return;
    OpenAttempt& attempt = found->second;
    const AttemptEvent event = headEventOf (response);
    if (std::holds_alternative<AttemptHeaders> (event))
    {
        const bool hasEvents = http::isEventStream (response.headers);
        if (attempt.isTokenStream && hasEvents)
        {
            attempt.reader = std::make_unique<TokenStreamReader>();
        }
        else
        {
            attempt.reader = std::make_unique<PlainBodyReader> (hasEvents);
        }
        m_handlers.onHeaders (attempt.ticket, id, response.headers);
    }
    report (id, event);
}

void BackEndAttempts::onData (AttemptId id, std::string_view data)
{
    const auto found = m_attempts.find (id);
    if (found == m_attempts.end())
        return;
    for (const AttemptEvent& event : found->second.reader->read (data))
        report (id, event);
}

void BackEndAttempts::onEnd (AttemptId id)
{
    const auto found = m_attempts.find (id);
    if (found != m_attempts.end())
        report (id, found->second.reader->readEnd());
}

void BackEndAttempts::onError (AttemptId id, const http::ClientError& error)
{
    const bool isSent = error.kind != http::ClientErrorKind::kNotSent;
    report (id, isSent ? AttemptEvent (AttemptBroken{}) : AttemptEvent (AttemptNotSent{}));
}

void BackEndAttempts::report (AttemptId id, const AttemptEvent& event)
{
    const auto found = m_attempts.find (id);
    if (found == m_attempts.end())
        return;
    if (isFinal (event))
        m_attempts.erase (found);
    m_handlers.onEvent (id, event);
}

}  // namespace fernlift::router
