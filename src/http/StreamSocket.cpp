#include "http/StreamSocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QObject>
#include <QTimer>
#include <array>
#include <cerrno>
#include <utility>

namespace fernlift::http
{
namespace
{

constexpr std::size_t kReadBytes = 64UL * 1024;
constexpr unsigned kUnacknowledgedTimeoutMs = 4000;

void setOptions (int descriptor)
{
    constexpr int kOn = 1;
    ::setsockopt (descriptor, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof kOn);
    ::setsockopt (descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedTimeoutMs,
                  sizeof kUnacknowledgedTimeoutMs);
}

/// Drops a notifier that may be in the middle of emitting its signal.
void dropLater (std::unique_ptr<QSocketNotifier>& notifier)
{
    if (! notifier)
        return;
    notifier->setEnabled (false);
    notifier->disconnect();
    notifier.release()->deleteLater();
}

}  // namespace

void StreamSocket::connectTo (const base::SocketAddress& address)
{
    state_ = State::kConnecting;
    descriptor_ = ::socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons (address.port);
    const bool isValid =
        descriptor_ >= 0 && ::inet_pton (AF_INET, address.host.c_str(), &target.sin_addr) == 1;
    if (! isValid)
    {
        finishLater (StreamEnd::kRefused);
        return;
    }
    setOptions (descriptor_);
    // The socket interface wants the general type.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const auto* const general = reinterpret_cast<const sockaddr*> (&target);
    if (::connect (descriptor_, general, sizeof target) != 0 && errno != EINPROGRESS)
    {
        finishLater (StreamEnd::kRefused);
        return;
    }
    writeNotifier_ = std::make_unique<QSocketNotifier> (descriptor_, QSocketNotifier::Write);
    QObject::connect (writeNotifier_.get(), &QSocketNotifier::activated, writeNotifier_.get(),
                      [this] { onWritable(); });
}

void StreamSocket::onWritable()
{
    if (state_ == State::kOpen)
    {
        flush();
        return;
    }
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt (descriptor_, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
    {
        finish (StreamEnd::kRefused);
        return;
    }
    state_ = State::kOpen;
    writeNotifier_->setEnabled (false);
    readNotifier_ = std::make_unique<QSocketNotifier> (descriptor_, QSocketNotifier::Read);
    QObject::connect (readNotifier_.get(), &QSocketNotifier::activated, readNotifier_.get(),
                      [this] { onReadable(); });
    listener_->onConnected();
}

void StreamSocket::write (std::string_view data)
{
    if (state_ != State::kOpen || hasWriteFailed_)
        return;
    unsent_.append (data);
    flush();
}

void StreamSocket::flush()
{
    std::size_t sent = 0;
    while (sent < unsent_.size())
    {
        const ssize_t count =
            ::send (descriptor_, unsent_.data() + sent, unsent_.size() - sent, MSG_NOSIGNAL);
        if (count > 0)
        {
            sent += static_cast<std::size_t> (count);
            continue;
        }
        if (errno == EINTR)
            continue;
        // What the peer sent before may still be read; the end shows there.
        hasWriteFailed_ = errno != EAGAIN && errno != EWOULDBLOCK;
        break;
    }
    unsent_.erase (0, sent);
    writeNotifier_->setEnabled (! unsent_.empty() && ! hasWriteFailed_);
}

void StreamSocket::onReadable()
{
    static std::array<char, kReadBytes> buffer;
    const std::weak_ptr<bool> lifetime = lifetime_;
    while (! lifetime.expired() && state_ == State::kOpen)
    {
        const ssize_t count = ::recv (descriptor_, buffer.data(), buffer.size(), 0);
        if (count > 0)
        {
            listener_->onData ({ buffer.data(), static_cast<std::size_t> (count) });
            if (static_cast<std::size_t> (count) < buffer.size())
                return;
            continue;
        }
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        const bool isOrderly = count == 0 && ! hasWriteFailed_ && unsent_.empty();
        finish (isOrderly ? StreamEnd::kOrderly : StreamEnd::kBroken);
        return;
    }
}

void StreamSocket::finish (StreamEnd end)
{
    if (state_ == State::kClosed)
        return;
    close();
    listener_->onEnd (end);
}

void StreamSocket::finishLater (StreamEnd end)
{
    lateEnd_ = std::make_unique<QTimer>();
    lateEnd_->setSingleShot (true);
    QObject::connect (lateEnd_.get(), &QTimer::timeout, lateEnd_.get(),
                      [this, end] { finish (end); });
    lateEnd_->start (0);
}

void StreamSocket::close()
{
    if (lateEnd_)
    {
        lateEnd_->disconnect();
        lateEnd_.release()->deleteLater();
    }
    state_ = State::kClosed;
    dropLater (readNotifier_);
    dropLater (writeNotifier_);
    if (descriptor_ >= 0)
        ::close (std::exchange (descriptor_, -1));
}

}  // namespace fernlift::http
