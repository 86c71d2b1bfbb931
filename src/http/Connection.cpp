#include "http/Connection.h"

#include <sys/socket.h>

#include <QHostAddress>
#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "http/ConnectionResponder.h"
#include "http/ErrorResponse.h"

namespace fernlift::http
{
namespace
{

/// Received bytes held per connection beside the request being read; more stay in the kernel.
constexpr qint64 kReadBufferBytes = 64LL * 1024;
/// onDrained callbacks run when no more than this is left to write.
constexpr qint64 kLowWaterBytes = 16LL * 1024;
/// After the last answer, what the caller still sends is read and dropped up to these bounds, so
/// that the answer isn't destroyed by a reset.
constexpr base::Duration kLingerTime = base::seconds (2);
/// During a planned stop, a caller that has connected may still send its first request this long.
constexpr base::Duration kFirstRequestGrace = base::milliseconds (250);
constexpr std::size_t kLingerBytes = 4UL * 1024 * 1024;
constexpr int kHexadecimal = 16;

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

Connection::Connection (const ServerLimits& limits, Handler& handler, ServerCounters& counters)
    : limits_ (limits),
      handler_ (handler),
      counters_ (counters),
      feed_ (this),
      reader_ (ReaderLimits{ limits.headerBytes, limits.bodyBytes })
{
    timer_.setSingleShot (true);
    connect (&timer_, &QTimer::timeout, this, [this] { onTimeout(); });
    connect (&socket_, &QTcpSocket::readyRead, this, [this] { onReadyRead(); });
    connect (&socket_, &QTcpSocket::bytesWritten, this, [this] (qint64 n) { onBytesWritten (n); });
    connect (&socket_, &QTcpSocket::disconnected, this, [this] { onDisconnected(); });
}

Connection::~Connection()
{
    socket_.disconnect (this);
    if (const auto responder = responder_.lock())
        responder->notifyClosed();
}

bool Connection::open (qintptr descriptor)
{
    if (! socket_.setSocketDescriptor (descriptor))
        return false;
    socket_.setReadBufferSize (kReadBufferBytes);
    socket_.setSocketOption (QAbstractSocket::LowDelayOption, 1);
    feed_.setPeer (socket_.peerAddress(), socket_.peerPort());
    startTimer (limits_.idleTimeout);
    return true;
}

void Connection::startTimer (base::Duration duration)
{
    timer_.start (std::chrono::ceil<std::chrono::milliseconds> (duration));
}

void Connection::onReadyRead()
{
    if (phase_ == Phase::kLingering)
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
    if (isProcessing_)
        return;
    isProcessing_ = true;
    while (phase_ == Phase::kIdle || phase_ == Phase::kReading)
    {
        if (unread_.empty())
        {
            const QByteArray bytes = socket_.read (kReadBufferBytes);
            if (bytes.isEmpty())
                break;
            counters_.bytesIn += static_cast<std::uint64_t> (bytes.size());
            unread_ = bytes.toStdString();
        }
        feedReader();
    }
    isProcessing_ = false;
}

void Connection::feedReader()
{
    unread_.erase (0, reader_.feed (unread_));
    const RequestReader::State state = reader_.state();
    if (state == RequestReader::State::kFailed)
    {
        reject (reader_.error());
        return;
    }
    if (phase_ == Phase::kIdle && state != RequestReader::State::kIdle)
    {
        phase_ = Phase::kReading;
        startTimer (limits_.headerTimeout);
    }
    if (state == RequestReader::State::kBody && ! headersDone_)
    {
        headersDone_ = true;
        startTimer (limits_.requestTimeout);
        sendContinue();
    }
    if (state == RequestReader::State::kComplete)
        dispatch();
}

void Connection::sendContinue()
{
    if (reader_.expectsContinue())
        writeRaw ("HTTP/1.1 100 Continue\r\n\r\n");
}

void Connection::dispatch()
{
    timer_.stop();
    phase_ = Phase::kAnswering;
    hasServed_ = true;
    isAnswering_ = true;
    closesAfterAnswer_ = closesAfterAnswer_ || reader_.wantsClose() || reader_.isVersion10();
    wasParsed_ = false;
    feed_.deliver (reader_.takeCanonicalBytes());
    if (! wasParsed_ && phase_ == Phase::kAnswering)
    {
        reject ({ base::ErrorKind::kInvalidRequest, "the request could not be parsed" });
    }
}

void Connection::onParsed (const std::string& body)
{
    wasParsed_ = true;
    ++counters_.requests;
    const auto responder = std::make_shared<ConnectionResponder> (this);
    responder_ = responder;
    Request request;
    request.method = reader_.method();
    const std::string& target = reader_.target();
    const std::size_t question = std::min (target.find ('?'), target.size());
    request.path = target.substr (0, question);
    if (question < target.size())
        request.query = target.substr (question + 1);
    request.headers = reader_.headers();
    request.body = body;
    request.peer = { socket_.peerAddress().toString().toStdString(), socket_.peerPort() };
    if (handler_)
        handler_ (request, responder);
}

bool Connection::bodyIsAllowed (int status) const
{
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return reader_.method() != "HEAD" && status != kNoContent && status != kNotModified;
}

void Connection::beginAnswer (int status, const Headers& headers, bool hasKnownLength)
{
    if (! isAnswering_)
        return;
    hasKnownLength_ = hasKnownLength;
    hidesBody_ = ! bodyIsAllowed (status);
    isChunked_ = ! hasKnownLength && ! hidesBody_ && ! reader_.isVersion10();
    const std::string length = headers.value ("Content-Length");
    remainingLength_ = 0;
    std::from_chars (length.data(), length.data() + length.size(), remainingLength_);
    std::string head =
        "HTTP/1.1 " + std::to_string (status) + ' ' + std::string (reasonPhrase (status)) + "\r\n";
    for (const Header& field : headers.fields())
    {
        const bool isPassed = ! isFramingField (field.name) && isSafeValue (field.value);
        if (isPassed)
            head += field.name + ": " + field.value + "\r\n";
    }
    if (isChunked_)
        head += "Transfer-Encoding: chunked\r\n";
    if (closesAfterAnswer_)
        head += "Connection: close\r\n";
    writeRaw (head + "\r\n");
}

void Connection::writeAnswer (std::string_view data)
{
    if (! isAnswering_ || hidesBody_ || data.empty())
        return;
    if (isChunked_)
    {
        std::string chunk = chunkHeader (data.size());
        chunk += data;
        chunk += "\r\n";
        writeRaw (chunk);
        return;
    }
    if (hasKnownLength_)
    {
        data = data.substr (0, remainingLength_);
        remainingLength_ -= data.size();
    }
    writeRaw (data);
}

void Connection::endAnswer()
{
    if (! isAnswering_)
        return;
    const bool isTooShort = hasKnownLength_ && ! hidesBody_ && remainingLength_ > 0;
    if (isTooShort)
    {
        abortAnswer();
        return;
    }
    if (isChunked_)
        writeRaw ("0\r\n\r\n");
    isAnswering_ = false;
    if (closesAfterAnswer_)
    {
        beginLingering();
        return;
    }
    reader_.reset();
    headersDone_ = false;
    phase_ = Phase::kIdle;
    startTimer (limits_.idleTimeout);
    processInput();
}

void Connection::abortAnswer()
{
    isAnswering_ = false;
    socket_.abort();
}

void Connection::reject (const base::Error& error)
{
    ++counters_.rejected;
    closesAfterAnswer_ = true;
    isAnswering_ = true;
    const Response response = errorResponse (error);
    Headers headers = response.headers;
    headers.set ("Content-Length", std::to_string (response.body.size()));
    beginAnswer (response.status, headers, true);
    writeAnswer (response.body);
    endAnswer();
}

void Connection::closeWhenIdle()
{
    closesAfterAnswer_ = true;
    if (phase_ != Phase::kIdle)
        return;
    if (hasServed_)
    {
        beginLingering();
    }
    else
    {
        startTimer (std::min (kFirstRequestGrace, limits_.idleTimeout));
    }
}

void Connection::beginLingering()
{
    phase_ = Phase::kLingering;
    unread_ = {};
    startTimer (limits_.writeTimeout);
    onBytesWritten (0);
    if (phase_ == Phase::kLingering)
        discardInput();
}

void Connection::discardInput()
{
    discarded_ += static_cast<std::size_t> (socket_.readAll().size());
    if (discarded_ > kLingerBytes)
        socket_.abort();
}

void Connection::writeRaw (std::string_view bytes)
{
    if (phase_ == Phase::kClosed)
        return;
    const bool wasEmpty = socket_.bytesToWrite() == 0;
    counters_.bytesOut += bytes.size();
    socket_.write (bytes.data(), static_cast<qint64> (bytes.size()));
    if (wasEmpty && phase_ == Phase::kAnswering)
        startTimer (limits_.writeTimeout);
}

void Connection::onBytesWritten (qint64 bytes)
{
    const qint64 left = socket_.bytesToWrite();
    if (phase_ == Phase::kLingering)
    {
        if (left > 0)
        {
            if (bytes > 0)
                startTimer (limits_.writeTimeout);
            return;
        }
        ::shutdown (static_cast<int> (socket_.socketDescriptor()), SHUT_WR);
        startTimer (kLingerTime);
        return;
    }
    if (phase_ != Phase::kAnswering)
        return;
    if (left == 0)
    {
        timer_.stop();
    }
    else if (bytes > 0)
    {
        startTimer (limits_.writeTimeout);
    }
    if (left > kLowWaterBytes)
        return;
    if (const auto responder = responder_.lock())
        responder->notifyDrained();
}

void Connection::onTimeout()
{
    if (phase_ == Phase::kReading)
    {
        reject ({ base::ErrorKind::kRequestTimeout, "the request was sent too slowly" });
    }
    else if (phase_ == Phase::kIdle)
    {
        beginLingering();
    }
    else
    {
        socket_.abort();
    }
}

void Connection::onDisconnected()
{
    if (phase_ == Phase::kClosed)
        return;
    phase_ = Phase::kClosed;
    isAnswering_ = false;
    timer_.stop();
    if (const auto responder = responder_.lock())
        responder->notifyClosed();
    if (finished_)
        finished_();
}

}  // namespace fernlift::http
