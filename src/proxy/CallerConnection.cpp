#include "proxy/CallerConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <utility>

namespace fernlift::proxy
{
namespace
{

constexpr qint64 kReadBufferBytes = 256LL * 1024;
constexpr unsigned kUnacknowledgedTimeoutMs = 10'000;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
/// A caller may take this long to read the end of the last answer.
constexpr base::milliseconds kCloseTimeout (2000);

std::string chunkHeader (std::size_t size)
{
    std::array<char, 24> text{};
    const int length = std::snprintf (text.data(), text.size(), "%zx\r\n", size);
    return { text.data(), static_cast<std::size_t> (length) };
}

}  // namespace

CallerConnection::CallerConnection (std::unique_ptr<QTcpSocket> socket, CallerLimits limits,
                                    const Handlers& handlers)
    : socket_ (std::move (socket)), limits_ (limits), handlers_ (handlers), parser_ (limits.request)
{
    socket_->setReadBufferSize (kReadBufferBytes);
    socket_->setSocketOption (QAbstractSocket::LowDelayOption, 1);
    ::setsockopt (static_cast<int> (socket_->socketDescriptor()), IPPROTO_TCP, TCP_USER_TIMEOUT,
                  &kUnacknowledgedTimeoutMs, sizeof kUnacknowledgedTimeoutMs);
    timer_.setSingleShot (true);
    connectSignals();
}

CallerConnection::~CallerConnection()
{
    socket_->disconnect();
    socket_->abort();
    socket_.release()->deleteLater();
}

void CallerConnection::connectSignals()
{
    QObject::connect (socket_.get(), &QTcpSocket::readyRead, socket_.get(),
                      [this]
                      {
                          const auto self = shared_from_this();
                          onReadable();
                      });
    QObject::connect (socket_.get(), &QTcpSocket::disconnected, socket_.get(),
                      [this]
                      {
                          const auto self = shared_from_this();
                          onGone();
                      });
    QObject::connect (&timer_, &QTimer::timeout, socket_.get(),
                      [this]
                      {
                          const auto self = shared_from_this();
                          onTimeout();
                      });
}

void CallerConnection::start()
{
    armTimer();
    if (socket_->bytesAvailable() > 0)
        onReadable();
    if (socket_->state() != QAbstractSocket::ConnectedState)
        onGone();
}

void CallerConnection::onReadable()
{
    if (hasOpenRequest_ || isClosed_)
        return;  // The rest waits in the socket.
    const QByteArray bytes = socket_->readAll();
    buffer_.append (bytes.constData(), static_cast<std::size_t> (bytes.size()));
    parse();
}

void CallerConnection::parse()
{
    if (isClosed_ || hasOpenRequest_)
        return;
    const bool wasIdle = parser_.state() == RequestParser::State::kIdle;
    std::optional<base::Error> fault;
    base::handleErrors ([&] { return parser_.parse (buffer_); },
                        [&] (const base::Error& error) { fault = error; });
    if (fault)
    {
        closesAfterAnswer_ = true;
        hasOpenRequest_ = true;
        handlers_.onInvalid (*this, *fault);
        return;
    }
    if (parser_.takeExpectsContinue())
    {
        socket_->write ("HTTP/1.1 100 Continue\r\n\r\n");
        socket_->flush();
    }
    if (parser_.state() == RequestParser::State::kDone)
    {
        handOn();
    }
    else if (wasIdle && parser_.state() == RequestParser::State::kReading)
    {
        armTimer();
    }
}

void CallerConnection::handOn()
{
    timer_.stop();
    ParsedRequest request = parser_.take();
    hasOpenRequest_ = true;
    hasBegunAnswer_ = false;
    isHttp10_ = request.isHttp10;
    answerHasBody_ = request.method != "HEAD";
    if (request.wantsClose)
        closesAfterAnswer_ = true;
    handlers_.onRequest (*this, std::move (request));
}

void CallerConnection::armTimer()
{
    const bool isReading = parser_.state() == RequestParser::State::kReading;
    const base::Duration limit = isReading ? limits_.headerTimeout : limits_.idleTimeout;
    timer_.start (std::chrono::duration_cast<base::milliseconds> (limit));
}

void CallerConnection::onTimeout()
{
    if (hasOpenRequest_)
        return;
    if (parser_.state() == RequestParser::State::kReading)
    {
        closesAfterAnswer_ = true;
        hasOpenRequest_ = true;
        handlers_.onInvalid (*this,
                             { base::ErrorKind::kRequestTimeout, "the request came too slowly" });
        return;
    }
    closeOrderly();
}

void CallerConnection::onGone()
{
    if (std::exchange (isClosed_, true))
        return;
    timer_.stop();
    if (hasOpenRequest_)
        handlers_.onLeft (*this);
    handlers_.onClosed (*this);
}

void CallerConnection::beginAnswer (int status, const http::Headers& headers, AnswerFraming framing)
{
    if (isClosed_)
        return;
    hasBegunAnswer_ = true;
    const bool hasNoBody = status == kNoContent || status == kNotModified;
    isChunked_ = ! framing.hasLength && ! isHttp10_ && ! hasNoBody;
    if (! framing.hasLength && isHttp10_ && ! hasNoBody)
        closesAfterAnswer_ = true;
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
    if (isChunked_)
        text.append ("Transfer-Encoding: chunked\r\n");
    if (closesAfterAnswer_)
        text.append ("Connection: close\r\n");
    text.append ("\r\n");
    socket_->write (text.data(), static_cast<qint64> (text.size()));
}

void CallerConnection::writeBody (std::string_view data)
{
    if (isClosed_ || data.empty() || ! answerHasBody_)
        return;
    if (isChunked_)
    {
        std::string chunk = chunkHeader (data.size());
        chunk.append (data).append ("\r\n");
        socket_->write (chunk.data(), static_cast<qint64> (chunk.size()));
    }
    else
    {
        socket_->write (data.data(), static_cast<qint64> (data.size()));
    }
    socket_->flush();
}

void CallerConnection::endAnswer()
{
    if (isClosed_)
        return;
    if (isChunked_ && answerHasBody_)
        socket_->write ("0\r\n\r\n");
    socket_->flush();
    hasOpenRequest_ = false;
    hasBegunAnswer_ = false;
    if (closesAfterAnswer_)
    {
        closeOrderly();
        return;
    }
    armTimer();
    // The next request may be here already. Not from within the caller's own call.
    QTimer::singleShot (0, socket_.get(),
                        [weak = weak_from_this()]
                        {
                            const auto self = weak.lock();
                            if (self)
                                self->readOn();
                        });
}

void CallerConnection::readOn()
{
    if (! buffer_.empty())
        parse();
    if (socket_->bytesAvailable() > 0)
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
    if (std::exchange (isClosed_, true))
        return;
    timer_.stop();
    hasOpenRequest_ = false;
    socket_->abort();
    handlers_.onClosed (*this);
}

void CallerConnection::closeAfterAnswer()
{
    closesAfterAnswer_ = true;
    closeIfIdle();
}

void CallerConnection::closeIfIdle()
{
    const bool isIdle = ! hasOpenRequest_ && buffer_.empty() && socket_->bytesAvailable() == 0
                        && parser_.state() == RequestParser::State::kIdle;
    if (isIdle)
        closeOrderly();
}

void CallerConnection::closeOrderly()
{
    if (isClosed_)
        return;
    // What was written still goes out; the connection ends when the caller has taken it.
    socket_->disconnectFromHost();
    if (socket_->state() == QAbstractSocket::UnconnectedState)
    {
        onGone();
        return;
    }
    timer_.stop();
    QTimer::singleShot (kCloseTimeout, socket_.get(),
                        [weak = weak_from_this()]
                        {
                            const auto self = weak.lock();
                            if (self && ! self->isClosed_)
                                self->abort();
                        });
}

std::size_t CallerConnection::bytesToWrite() const
{
    return static_cast<std::size_t> (socket_->bytesToWrite());
}

void CallerConnection::setLimits (const CallerLimits& limits)
{
    limits_ = limits;
    parser_.setLimits (limits.request);
}

}  // namespace fernlift::proxy
