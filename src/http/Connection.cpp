#include "http/Connection.h"

#include <sys/socket.h>

#include <QHostAddress>
#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "http/ConnectionResponder.h"
#include "http/ErrorResponse.h"
#include "http/ResetOnClose.h"

namespace fernlift::http
{
namespace
{

/// Maximum received bytes buffered per connection, apart from the request being read; TCP flow
/// control holds back the rest.
constexpr qint64 kReadBufferBytes = 16LL * 1024;
/// Low-water mark: onDrained callbacks run when at most this many bytes are unsent.
constexpr qint64 kLowWaterBytes = 16LL * 1024;
/// After the last answer, input is read and discarded up to this time and kLingerBytes: closing a
/// socket with unread input sends a reset, which can destroy the answer before it is read.
constexpr base::Duration kLingerTime = base::seconds (2);
/// Time during a planned stop in which a new connection may still send its first request.
constexpr base::Duration kFirstRequestGrace = base::milliseconds (250);
constexpr std::size_t kLingerBytes = 4UL * 1024 * 1024;
constexpr int kHexadecimal = 16;
/// Qt's parser and the handler have a copy each.
constexpr std::size_t kCopiesOfOpenRequest = 2;

bool isFramingField (std::string_view name)
{
    return equalsIgnoringCase (name, "Connection") || equalsIgnoringCase (name, "Transfer-Encoding")
           || equalsIgnoringCase (name, "Keep-Alive");
}

bool isSafeValue (std::string_view value)
{
    return value.find_first_of (std::string_view ("\r\n\0", 3)) == std::string_view::npos;
}

std::string chunkHeader (std::size_t size)
{
    char digits[2 * sizeof (size)];
    const auto [end, status] =
        std::to_chars (std::begin (digits), std::end (digits), size, kHexadecimal);
    return std::string (std::begin (digits), end) + "\r\n";
}

}  // namespace

Connection::Connection (const ServerLimits& limits, Handler& handler, ServerCounters& counters,
                        std::shared_ptr<RequestBudget> requests)
    : m_limits (limits),
      m_handler (handler),
      m_counters (counters),
      m_feed (this),
      m_reader (ReaderLimits{ limits.headerBytes, limits.bodyBytes }),
      m_requests (std::move (requests)),
      m_received (*m_requests, [this] { makeRoom(); })
{
    m_timer.setSingleShot (true);
    connect (&m_timer, &QTimer::timeout, this, [this] { onTimeout(); });
    connect (&m_socket, &QTcpSocket::readyRead, this, [this] { onReadyRead(); });
    connect (&m_socket, &QTcpSocket::bytesWritten, this, [this] (qint64 n) { onBytesWritten (n); });
    connect (&m_socket, &QTcpSocket::disconnected, this, [this] { onDisconnected(); });
}

Connection::~Connection()
{
    m_socket.disconnect (this);
    if (const auto responder = m_responder.lock())
        responder->notifyClosed();
}

bool Connection::open (qintptr descriptor)
{
    if (! m_socket.setSocketDescriptor (descriptor))
        return false;
    m_socket.setReadBufferSize (kReadBufferBytes);
    m_socket.setSocketOption (QAbstractSocket::LowDelayOption, 1);
    m_feed.setPeer (m_socket.peerAddress(), m_socket.peerPort());
    startTimer (m_limits.idleTimeout);
    return true;
}

void Connection::startTimer (base::Duration duration)
{
    m_timer.start (std::chrono::ceil<std::chrono::milliseconds> (duration));
}

void Connection::onReadyRead()
{
    if (m_phase == Phase::kLingering)
    {
        discardInput();
    }
    else
    {
        processInput();
    }
}

void Connection::processInput()
{
    if (m_isProcessing)
        return;
    m_isProcessing = true;
    while (m_phase == Phase::kIdle || m_phase == Phase::kReading)
    {
        if (m_unread.empty())
        {
            const QByteArray bytes = m_socket.read (kReadBufferBytes);
            if (bytes.isEmpty())
                break;
            m_counters.bytesIn += static_cast<std::uint64_t> (bytes.size());
            m_unread = bytes.toStdString();
        }
        feedReader();
    }
    m_isProcessing = false;
}

void Connection::feedReader()
{
    m_unread.erase (0, m_reader.feed (m_unread));
    const RequestReader::State state = m_reader.state();
    if (state == RequestReader::State::kFailed)
    {
        reject (m_reader.error());
        return;
    }
    if (m_phase == Phase::kIdle && state != RequestReader::State::kIdle)
    {
        m_phase = Phase::kReading;
        startTimer (m_limits.headerTimeout);
    }
    if (state != RequestReader::State::kIdle && ! countReceived())
        return;
    if (state == RequestReader::State::kBody && ! m_headersDone)
    {
        m_headersDone = true;
        startTimer (m_limits.requestTimeout);
        sendContinue();
    }
    if (state == RequestReader::State::kComplete)
        dispatch();
}

bool Connection::countReceived()
{
    if (m_received.receive (m_reader.keptBytes() + m_unread.capacity()))
        return true;
    makeRoom();
    return false;
}

void Connection::makeRoom()
{
    reject ({ base::ErrorKind::kNoCapacity,
              "the requests that are being received fill the memory for them" });
}

void Connection::sendContinue()
{
    if (m_reader.expectsContinue())
        writeRaw ("HTTP/1.1 100 Continue\r\n\r\n");
}

void Connection::dispatch()
{
    m_timer.stop();
    m_phase = Phase::kAnswering;
    m_hasServed = true;
    m_isAnswering = true;
    m_closesAfterAnswer = m_closesAfterAnswer || m_reader.wantsClose() || m_reader.isVersion10();
    m_wasParsed = false;
    m_received.hold (kCopiesOfOpenRequest * m_reader.keptBytes());
    m_feed.deliver (m_reader.takeCanonicalBytes());
    if (! m_wasParsed && m_phase == Phase::kAnswering)
    {
        reject ({ base::ErrorKind::kInvalidRequest, "the request could not be parsed" });
    }
}

void Connection::onParsed (const std::string& body)
{
    m_wasParsed = true;
    ++m_counters.requests;
    const auto responder = std::make_shared<ConnectionResponder> (this);
    m_responder = responder;
    Request request;
    request.method = m_reader.method();
    const std::string& target = m_reader.target();
    const std::size_t question = std::min (target.find ('?'), target.size());
    request.path = target.substr (0, question);
    if (question < target.size())
        request.query = target.substr (question + 1);
    request.headers = m_reader.headers();
    request.body = body;
    request.peer = { m_socket.peerAddress().toString().toStdString(), m_socket.peerPort() };
    if (m_handler)
        m_handler (request, responder);
}

bool Connection::bodyIsAllowed (int status) const
{
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return m_reader.method() != "HEAD" && status != kNoContent && status != kNotModified;
}

void Connection::beginAnswer (int status, const Headers& headers, bool hasKnownLength)
{
    if (! m_isAnswering)
        return;
    m_hasKnownLength = hasKnownLength;
    m_omitsBody = ! bodyIsAllowed (status);
    m_isChunked = ! hasKnownLength && ! m_omitsBody && ! m_reader.isVersion10();
    m_endsByClose = ! hasKnownLength && ! m_omitsBody && ! m_isChunked;
    if (m_endsByClose)
        setResetOnClose (m_socket, true);
    const std::string length = headers.value ("Content-Length");
    m_remainingLength = 0;
    std::from_chars (length.data(), length.data() + length.size(), m_remainingLength);
    std::string head =
        "HTTP/1.1 " + std::to_string (status) + ' ' + std::string (reasonPhrase (status)) + "\r\n";
    for (const Header& field : headers.fields())
    {
        const bool isPassed = ! isFramingField (field.name) && isSafeValue (field.value);
        if (isPassed)
            head += field.name + ": " + field.value + "\r\n";
    }
    if (m_isChunked)
        head += "Transfer-Encoding: chunked\r\n";
    if (m_closesAfterAnswer)
        head += "Connection: close\r\n";
    writeRaw (head + "\r\n");
}

void Connection::writeAnswer (std::string_view data)
{
    if (! m_isAnswering || m_omitsBody || data.empty())
        return;
    if (m_isChunked)
    {
        std::string chunk = chunkHeader (data.size());
        chunk += data;
        chunk += "\r\n";
        writeRaw (chunk);
        return;
    }
    if (m_hasKnownLength)
    {
        data = data.substr (0, m_remainingLength);
        m_remainingLength -= data.size();
    }
    writeRaw (data);
}

void Connection::endAnswer()
{
    if (! m_isAnswering)
        return;
    const bool isTooShort = m_hasKnownLength && ! m_omitsBody && m_remainingLength > 0;
    if (isTooShort)
    {
        abortAnswer();
        return;
    }
    if (m_isChunked)
        writeRaw ("0\r\n\r\n");
    m_isAnswering = false;
    m_received.release();
    if (m_closesAfterAnswer)
    {
        beginLingering();
        return;
    }
    m_reader.reset();
    m_headersDone = false;
    m_phase = Phase::kIdle;
    startTimer (m_limits.idleTimeout);
    processInput();
}

void Connection::abortAnswer()
{
    m_isAnswering = false;
    m_socket.abort();
}

void Connection::reject (const base::Error& error)
{
    ++m_counters.rejected;
    m_closesAfterAnswer = true;
    m_isAnswering = true;
    const Response response = errorResponse (error);
    Headers headers = response.headers;
    headers.set ("Content-Length", std::to_string (response.body.size()));
    beginAnswer (response.status, headers, true);
    writeAnswer (response.body);
    endAnswer();
}

void Connection::closeWhenIdle()
{
    m_closesAfterAnswer = true;
    if (m_phase != Phase::kIdle)
        return;
    if (m_hasServed)
    {
        beginLingering();
    }
    else
    {
        startTimer (std::min (kFirstRequestGrace, m_limits.idleTimeout));
    }
}

void Connection::beginLingering()
{
    m_phase = Phase::kLingering;
    m_unread = {};
    m_reader.reset();
    startTimer (m_limits.writeTimeout);
    onBytesWritten (0);
    if (m_phase == Phase::kLingering)
        discardInput();
}

void Connection::discardInput()
{
    m_discarded += static_cast<std::size_t> (m_socket.readAll().size());
    if (m_discarded > kLingerBytes)
        m_socket.abort();
}

void Connection::writeRaw (std::string_view bytes)
{
    if (m_phase == Phase::kClosed)
        return;
    const bool wasEmpty = m_socket.bytesToWrite() == 0;
    m_counters.bytesOut += bytes.size();
    m_socket.write (bytes.data(), static_cast<qint64> (bytes.size()));
    if (wasEmpty && m_phase == Phase::kAnswering)
        startTimer (m_limits.writeTimeout);
}

void Connection::onBytesWritten (qint64 bytes)
{
    const qint64 left = m_socket.bytesToWrite();
    if (m_phase == Phase::kLingering)
    {
        if (left > 0)
        {
            if (bytes > 0)
                startTimer (m_limits.writeTimeout);
            return;
        }
        if (std::exchange (m_endsByClose, false))
            setResetOnClose (m_socket, false);
        ::shutdown (static_cast<int> (m_socket.socketDescriptor()), SHUT_WR);
        startTimer (kLingerTime);
        return;
    }
    if (m_phase != Phase::kAnswering)
        return;
    if (left == 0)
    {
        m_timer.stop();
    }
    else if (bytes > 0)
    {
        startTimer (m_limits.writeTimeout);
    }
    if (left > kLowWaterBytes)
        return;
    if (const auto responder = m_responder.lock())
        responder->notifyDrained();
}

void Connection::onTimeout()
{
    if (m_phase == Phase::kReading)
    {
        reject ({ base::ErrorKind::kRequestTimeout, "the request was sent too slowly" });
    }
    else if (m_phase == Phase::kIdle)
    {
        beginLingering();
    }
    else
    {
        m_socket.abort();
    }
}

void Connection::onDisconnected()
{
    if (m_phase == Phase::kClosed)
        return;
    m_phase = Phase::kClosed;
    m_isAnswering = false;
    m_received.release();
    m_timer.stop();
    if (const auto responder = m_responder.lock())
        responder->notifyClosed();
    if (m_finished)
        m_finished();
}

}  // namespace fernlift::http
