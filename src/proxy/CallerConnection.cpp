#include "proxy/CallerConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <utility>

#include "http/ResetOnClose.h"

namespace fernlift::proxy
{
namespace
{

/// Bytes that are read and parsed at once. While a request is open, its connection holds no more of
/// what follows.
constexpr qint64 kMaxReadBytes = 16LL * 1024;
/// An open request is kept for another attempt, and once more on its way to the runner.
constexpr std::size_t kCopiesOfOpenRequest = 2;
/// Unsent bytes of earlier answers beside which the next request is read.
constexpr std::size_t kMaxUnsentBytes = 16UL * 1024;
constexpr unsigned kUnacknowledgedTimeoutMs = 10'000;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
/// Time in which a caller has to read more of its last answer.
constexpr base::milliseconds kCloseTimeout (2000);

std::string chunkHeader (std::size_t size)
{
    std::array<char, 24> text{};
    const int length = std::snprintf (text.data(), text.size(), "%zx\r\n", size);
    return { text.data(), static_cast<std::size_t> (length) };
}

}  // namespace

CallerConnection::CallerConnection (std::unique_ptr<QTcpSocket> socket, CallerLimits limits,
                                    const Handlers& handlers, CallerBuffers buffers)
    : m_socket (std::move (socket)),
      m_peerAddress (m_socket->peerAddress()),
      m_limits (limits),
      m_handlers (handlers),
      m_answerBuffers (buffers.answers),
      m_unsent (buffers.answers),
      m_received (buffers.requests, [this] { makeRoom(); }),
      m_parser (limits.request)
{
    m_socket->setReadBufferSize (kMaxReadBytes);
    m_socket->setSocketOption (QAbstractSocket::LowDelayOption, 1);
    ::setsockopt (static_cast<int> (m_socket->socketDescriptor()), IPPROTO_TCP, TCP_USER_TIMEOUT,
                  &kUnacknowledgedTimeoutMs, sizeof kUnacknowledgedTimeoutMs);
    m_timer.setSingleShot (true);
    connectSignals();
}

CallerConnection::~CallerConnection()
{
    m_socket->disconnect();
    m_socket->abort();
    m_socket.release()->deleteLater();
}

void CallerConnection::connectSignals()
{
    QObject::connect (m_socket.get(), &QTcpSocket::readyRead, m_socket.get(),
                      [this]
                      {
                          const auto self = shared_from_this();
                          onReadable();
                      });
    QObject::connect (m_socket.get(), &QTcpSocket::disconnected, m_socket.get(),
                      [this]
                      {
                          const auto self = shared_from_this();
                          onSocketClosed();
                      });
    QObject::connect (m_socket.get(), &QTcpSocket::bytesWritten, m_socket.get(),
                      [this]
                      {
                          const auto self = shared_from_this();
                          onBytesWritten();
                      });
    QObject::connect (&m_timer, &QTimer::timeout, m_socket.get(),
                      [this]
                      {
                          const auto self = shared_from_this();
                          onTimeout();
                      });
}

void CallerConnection::start()
{
    armTimer();
    if (m_socket->bytesAvailable() > 0)
        onReadable();
    if (m_socket->state() != QAbstractSocket::ConnectedState)
        onSocketClosed();
}

void CallerConnection::onReadable()
{
    // Further bytes stay in the socket. A scheduled read begins with what is in the buffer.
    while (mayRead() && ! m_isReadScheduled && m_socket->bytesAvailable() > 0)
    {
        const QByteArray bytes = m_socket->read (kMaxReadBytes);
        m_buffer.append (bytes.constData(), static_cast<std::size_t> (bytes.size()));
        parse();
    }
}

bool CallerConnection::mayRead() const
{
    if (m_hasOpenRequest || m_isClosing || m_isClosed)
        return false;
    return m_parser.state() != RequestParser::State::kIdle || bytesToWrite() <= kMaxUnsentBytes;
}

void CallerConnection::parse()
{
    if (! mayRead())
        return;
    const bool wasIdle = m_parser.state() == RequestParser::State::kIdle;
    std::optional<base::Error> fault;
    base::handleErrors ([&] { return m_parser.parse (m_buffer); },
                        [&] (const base::Error& error) { fault = error; });
    if (fault)
    {
        refuse (*fault);
        return;
    }
    const bool isReading = m_parser.state() == RequestParser::State::kReading;
    if (isReading && ! m_received.receive (m_parser.keptBytes() + m_buffer.capacity()))
    {
        makeRoom();
        return;
    }
    if (m_parser.takeExpectsContinue())
    {
        m_socket->write ("HTTP/1.1 100 Continue\r\n\r\n");
        m_socket->flush();
    }
    if (m_parser.state() == RequestParser::State::kDone)
    {
        dispatchRequest();
    }
    else if (wasIdle && isReading)
    {
        armTimer();
    }
}

void CallerConnection::refuse (const base::Error& error)
{
    m_closesAfterAnswer = true;
    m_hasOpenRequest = true;
    m_parser.discard();
    m_buffer = {};
    m_received.release();
    m_handlers.onInvalid (*this, error);
}

void CallerConnection::makeRoom()
{
    refuse ({ base::ErrorKind::kNoCapacity,
              "the requests that are being received fill the memory for them" });
}

void CallerConnection::dispatchRequest()
{
    m_timer.stop();
    m_received.hold (kCopiesOfOpenRequest * m_parser.keptBytes());
    ParsedRequest request = m_parser.take();
    m_hasOpenRequest = true;
    m_hasBegunAnswer = false;
    m_isHttp10 = request.isHttp10;
    m_answerHasBody = request.method != "HEAD";
    if (request.wantsClose)
        m_closesAfterAnswer = true;
    m_handlers.onRequest (*this, std::move (request));
}

void CallerConnection::armTimer()
{
    const bool isReading = m_parser.state() == RequestParser::State::kReading;
    const base::Duration limit = isReading ? m_limits.headerTimeout : m_limits.idleTimeout;
    m_timer.start (std::chrono::duration_cast<base::milliseconds> (limit));
}

void CallerConnection::onTimeout()
{
    if (m_isClosing)
    {
        if (bytesToWrite() > 0)
            m_handlers.onAnswerCut (*this);
        abort();
        return;
    }
    if (m_hasOpenRequest)
    {
        if (bytesToWrite() == 0)
            return;
        m_handlers.onAnswerCut (*this);
        m_handlers.onDisconnected (*this);
        abort();
        return;
    }
    if (m_parser.state() == RequestParser::State::kReading)
    {
        refuse (
            { base::ErrorKind::kRequestTimeout, "request not received within the header timeout" });
        return;
    }
    closeGracefully();
}

void CallerConnection::onSocketClosed()
{
    if (std::exchange (m_isClosed, true))
        return;
    m_timer.stop();
    m_unsent.set (0);
    m_received.release();
    if (m_hasOpenRequest)
        m_handlers.onDisconnected (*this);
    m_handlers.onClosed (*this);
}

void CallerConnection::beginAnswer (int status, const http::Headers& headers, AnswerFraming framing)
{
    if (m_isClosed)
        return;
    m_hasBegunAnswer = true;
    const bool hasNoBody = status == kNoContent || status == kNotModified;
    m_isChunked = ! framing.hasLength && ! m_isHttp10 && ! hasNoBody;
    m_endsByClose = ! framing.hasLength && m_isHttp10 && ! hasNoBody;
    if (m_endsByClose)
    {
        m_closesAfterAnswer = true;
        http::setResetOnClose (*m_socket, true);
    }
    std::string text = "HTTP/1.1 " + std::to_string (status) + " ";
    text.append (http::reasonPhrase (status)).append ("\r\n");
    for (const http::Header& field : headers.fields())
    {
        text.append (field.name).append (": ").append (field.value).append ("\r\n");
    }
    if (framing.hasLength && ! hasNoBody)
    {
        text.append ("Content-Length: ").append (std::to_string (framing.length)).append ("\r\n");
    }
    if (m_isChunked)
        text.append ("Transfer-Encoding: chunked\r\n");
    if (m_closesAfterAnswer)
        text.append ("Connection: close\r\n");
    text.append ("\r\n");
    m_socket->write (text.data(), static_cast<qint64> (text.size()));
}

void CallerConnection::writeBody (std::string_view data)
{
    if (m_isClosed || data.empty() || ! m_answerHasBody)
        return;
    if (m_isChunked)
    {
        std::string chunk = chunkHeader (data.size());
        chunk.append (data).append ("\r\n");
        m_socket->write (chunk.data(), static_cast<qint64> (chunk.size()));
    }
    else
    {
        m_socket->write (data.data(), static_cast<qint64> (data.size()));
    }
    m_socket->flush();
    updateUnsent();
    if (m_cutsStalledAnswer && ! m_timer.isActive())
        armStallTimer();
}

void CallerConnection::updateUnsent()
{
    const std::size_t unsent = m_isClosed ? 0 : bytesToWrite();
    m_unsent.set (unsent);
    const std::size_t maxBytes = m_answerBuffers.maxBytesPerAnswer();
    // The gap between the two limits keeps an answer from being paused and resumed at each read.
    if (unsent > maxBytes)
        m_isBehind = true;
    else if (unsent <= maxBytes / 2)
        m_isBehind = false;
}

void CallerConnection::armStallTimer()
{
    if (bytesToWrite() > 0)
        m_timer.start (kCloseTimeout);
    else
        m_timer.stop();
}

void CallerConnection::endAnswer()
{
    if (m_isClosed)
        return;
    if (m_isChunked && m_answerHasBody)
        m_socket->write ("0\r\n\r\n");
    m_socket->flush();
    m_received.release();
    m_hasOpenRequest = false;
    m_hasBegunAnswer = false;
    m_timer.stop();
    onBytesWritten();
    if (m_closesAfterAnswer)
    {
        closeGracefully();
        return;
    }
    armTimer();
}

void CallerConnection::scheduleRead()
{
    const bool isDue = ! m_buffer.empty() || m_socket->bytesAvailable() > 0;
    if (! isDue || m_isReadScheduled || ! mayRead())
        return;
    // The next request may have arrived already. It is parsed from the event loop, not within the
    // call that ended the answer.
    m_isReadScheduled = true;
    QTimer::singleShot (0, m_socket.get(),
                        [weak = weak_from_this()]
                        {
                            const auto self = weak.lock();
                            if (self)
                                self->readNext();
                        });
}

void CallerConnection::onBytesWritten()
{
    const bool isAnswerWritten = ! m_hasOpenRequest && m_socket->bytesToWrite() == 0;
    if (isAnswerWritten && std::exchange (m_endsByClose, false))
        http::setResetOnClose (*m_socket, false);
    if (m_isClosing)
        m_timer.start (kCloseTimeout);
    else if (m_hasOpenRequest && m_cutsStalledAnswer)
        armStallTimer();
    const bool wasBehind = m_isBehind;
    updateUnsent();
    if (wasBehind && ! m_isBehind && m_hasOpenRequest)
        m_handlers.onCaughtUp (*this);
    scheduleRead();
}

void CallerConnection::readNext()
{
    m_isReadScheduled = false;
    if (! m_buffer.empty())
        parse();
    onReadable();
}

void CallerConnection::sendAnswer (int status, const http::Headers& headers, std::string_view body)
{
    beginAnswer (status, headers, { true, body.size() });
    writeBody (body);
    endAnswer();
}

void CallerConnection::abort()
{
    if (std::exchange (m_isClosed, true))
        return;
    m_timer.stop();
    m_unsent.set (0);
    m_received.release();
    m_hasOpenRequest = false;
    m_socket->abort();
    m_handlers.onClosed (*this);
}

void CallerConnection::closeAfterAnswer()
{
    m_closesAfterAnswer = true;
    closeIfIdle();
}

void CallerConnection::closeForStop()
{
    m_cutsStalledAnswer = true;
    if (m_hasOpenRequest)
        armStallTimer();
    closeAfterAnswer();
}

void CallerConnection::closeIfIdle()
{
    const bool isIdle = ! m_hasOpenRequest && m_buffer.empty() && m_socket->bytesAvailable() == 0
                        && m_parser.state() == RequestParser::State::kIdle;
    if (isIdle)
        closeGracefully();
}

void CallerConnection::closeGracefully()
{
    if (m_isClosing || m_isClosed)
        return;
    // Written bytes are still sent; the connection ends once the caller has received them.
    m_socket->disconnectFromHost();
    if (m_socket->state() == QAbstractSocket::UnconnectedState)
    {
        onSocketClosed();
        return;
    }
    m_isClosing = true;
    m_timer.start (kCloseTimeout);
}

std::size_t CallerConnection::bytesToWrite() const
{
    return static_cast<std::size_t> (m_socket->bytesToWrite());
}

void CallerConnection::setLimits (const CallerLimits& limits)
{
    m_limits = limits;
    m_parser.setLimits (limits.request);
}

}  // namespace fernlift::proxy
