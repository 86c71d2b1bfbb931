#include "http/ClientExchange.h"

#include <chrono>
#include <utility>

namespace fernlift::http
{
namespace
{

bool isFramingField (std::string_view name)
{
    return equalsIgnoringCase (name, "Content-Length") || equalsIgnoringCase (name, "Connection")
           || equalsIgnoringCase (name, "Transfer-Encoding") || equalsIgnoringCase (name, "Host");
}

/// Whether a request with this method has no content unless it has a body.
bool isUsuallyWithoutBody (std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

void addField (std::string& bytes, std::string_view name, std::string_view value)
{
    bytes.append (name).append (": ").append (value).append ("\r\n");
}

std::string serialize (const ClientRequest& request)
{
    std::string bytes = request.method + " " + request.path + " HTTP/1.1\r\n";
    addField (bytes, "Host", request.address.toString());
    for (const Header& field : request.headers.fields())
    {
        if (! isFramingField (field.name))
            addField (bytes, field.name, field.value);
    }
    if (! request.headers.contains ("User-Agent"))
        addField (bytes, "User-Agent", "fernlift");
    if (! request.headers.contains ("Accept-Encoding"))
        addField (bytes, "Accept-Encoding", "identity");
    if (request.needsFreshConnection)
        addField (bytes, "Connection", "close");
    if (! request.body.empty() || ! isUsuallyWithoutBody (request.method))
        addField (bytes, "Content-Length", std::to_string (request.body.size()));
    return bytes.append ("\r\n").append (request.body);
}

std::string_view messageOf (BackEndFailure failure)
{
    switch (failure)
    {
        case BackEndFailure::kNotConnected:
            return "the connection could not be established";
        case BackEndFailure::kClosed:
            return "the connection ended before the answer was complete";
        case BackEndFailure::kInvalidAnswer:
            return "the answer is not valid HTTP";
    }
    return "";
}

}  // namespace

ClientExchange::ClientExchange (ClientRequest request, ClientCallbacks callbacks,
                                DoneCallback onDone)
    : m_request (std::move (request)),
      m_callbacks (std::move (callbacks)),
      m_onDone (std::move (onDone))
{
    m_timer.setSingleShot (true);
    connect (&m_timer, &QTimer::timeout, this, [this] { onTimeout(); });
}

ClientExchange::~ClientExchange() { cancel(); }

void ClientExchange::start (std::shared_ptr<BackEndConnection> connection)
{
    m_connection = std::move (connection);
    m_connection->setMaxReadBytes (m_request.readBufferBytes);
    startTimer (m_request.connectTimeout);
    BackEndConnection::Call call;
    call.bytes = serialize (m_request);
    call.answerHasBody = m_request.method != "HEAD";
    call.requestId = m_request.requestId;
    m_request.body.clear();
    m_connection->send (std::move (call), this);
}

void ClientExchange::onSent() { m_isSent = true; }

void ClientExchange::onFlushed()
{
    m_isFlushed = true;
    if (! m_hasHeaders)
        startTimer (m_request.headersTimeout);
}

void ClientExchange::onHead (AnswerHead head)
{
    m_hasHeaders = true;
    startTimer (m_request.idleTimeout);
    if (m_callbacks.onHeaders)
        m_callbacks.onHeaders (ClientResponse{ head.status, std::move (head.headers) });
}

void ClientExchange::onBody (std::string_view data)
{
    if (m_isPaused || ! m_undelivered.empty())
    {
        m_undelivered.append (data);
        return;
    }
    deliver (data);
}

void ClientExchange::deliver (std::string_view data)
{
    startTimer (m_request.idleTimeout);
    if (m_callbacks.onData)
        m_callbacks.onData (data);
}

void ClientExchange::setPaused (bool isPaused)
{
    if (m_isDone || m_isPaused == isPaused)
        return;
    m_isPaused = isPaused;
    m_connection->setPaused (isPaused);
    if (isPaused)
    {
        m_timer.stop();
        return;
    }
    if (m_hasHeaders)
    {
        startTimer (m_request.idleTimeout);
    }
    else
    {
        startTimer (m_isFlushed ? m_request.headersTimeout : m_request.connectTimeout);
    }
    // Deferred to the event loop, so that no callback runs from within setPaused().
    QTimer::singleShot (0, this, [this] { resume(); });
}

void ClientExchange::resume()
{
    if (m_isDone || m_isPaused)
        return;
    const std::string undelivered = std::exchange (m_undelivered, {});
    if (! undelivered.empty())
        deliver (undelivered);
    if (m_isAnswerComplete)
        complete();
}

void ClientExchange::onDone()
{
    m_isAnswerComplete = true;
    complete();
}

void ClientExchange::complete()
{
    if (m_isDone || ! m_undelivered.empty())
        return;
    const auto callback = std::move (m_callbacks.onEnd);
    finish (true);
    if (callback)
        callback();
}

void ClientExchange::onFailed (BackEndFailure failure)
{
    const bool isUnsent = failure == BackEndFailure::kNotConnected;
    failWith (ClientError{ isUnsent ? ClientErrorKind::kNotSent : ClientErrorKind::kBroken,
                           std::string (messageOf (failure)) });
}

void ClientExchange::onTimeout()
{
    if (! m_isSent)
    {
        failWith (ClientError{ ClientErrorKind::kNotSent,
                               "the connection was not established within the timeout" });
        return;
    }
    failWith (ClientError{ ClientErrorKind::kTimeout, m_hasHeaders
                                                          ? "answer stalled: idle timeout exceeded"
                                                          : "no answer within the timeout" });
}

void ClientExchange::failWith (const ClientError& error)
{
    if (m_isDone)
        return;
    const auto callback = std::move (m_callbacks.onError);
    finish (false);
    if (callback)
        callback (error);
}

void ClientExchange::cancel()
{
    if (! m_isDone)
        finish (false);
}

void ClientExchange::finish (bool isComplete)
{
    m_isDone = true;
    m_timer.stop();
    std::shared_ptr<BackEndConnection> connection = std::move (m_connection);
    if (connection)
        connection->detach();
    const auto onDone = std::exchange (m_onDone, nullptr);
    if (onDone)
        onDone (isComplete ? std::move (connection) : nullptr);
}

void ClientExchange::startTimer (base::Duration duration)
{
    if (m_isPaused || m_isDone)
        return;
    m_timer.start (std::chrono::ceil<std::chrono::milliseconds> (duration));
}

}  // namespace fernlift::http
