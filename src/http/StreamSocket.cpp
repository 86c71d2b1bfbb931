#include "http/StreamSocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QObject>
#include <QTimer>
#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "base/DeadPeerDetection.h"

namespace fernlift::http
{
namespace
{

/// Below the 5 s that callers wait for the most urgent answers, and above the first three
/// retransmissions of a lost packet, after 0.2 s, 0.6 s and 1.4 s.
constexpr base::Duration kMaxSilence = base::seconds (4);
/// Bytes that the system buffers while this end does not read. The system's own limit of several
/// MiB for each connection is too much for a small machine with many of them.
constexpr int kReceiveBufferBytes = 128 * 1024;

void setOptions (int descriptor)
{
    constexpr int kOn = 1;
    ::setsockopt (descriptor, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof kOn);
    ::setsockopt (descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
                  sizeof kReceiveBufferBytes);
    base::enableDeadPeerDetection (descriptor, kMaxSilence);
}

/// Releases a notifier that may be emitting its signal at the moment.
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
    m_state = State::kConnecting;
    m_descriptor = ::socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons (address.port);
    const bool isValid =
        m_descriptor >= 0 && ::inet_pton (AF_INET, address.host.c_str(), &target.sin_addr) == 1;
    if (! isValid)
    {
        finishLater (StreamEnd::kRefused);
        return;
    }
    setOptions (m_descriptor);
    // connect() takes the generic address type.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const auto* const general = reinterpret_cast<const sockaddr*> (&target);
    if (::connect (m_descriptor, general, sizeof target) != 0 && errno != EINPROGRESS)
    {
        finishLater (StreamEnd::kRefused);
        return;
    }
    m_writeNotifier = std::make_unique<QSocketNotifier> (m_descriptor, QSocketNotifier::Write);
    QObject::connect (m_writeNotifier.get(), &QSocketNotifier::activated, m_writeNotifier.get(),
                      [this] { onWritable(); });
}

void StreamSocket::onWritable()
{
    if (m_state == State::kOpen)
    {
        flush();
        if (m_unsent.empty())
            m_listener->onFlushed();
        return;
    }
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt (m_descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
    {
        finish (StreamEnd::kRefused);
        return;
    }
    m_state = State::kOpen;
    m_writeNotifier->setEnabled (false);
    m_readNotifier = std::make_unique<QSocketNotifier> (m_descriptor, QSocketNotifier::Read);
    QObject::connect (m_readNotifier.get(), &QSocketNotifier::activated, m_readNotifier.get(),
                      [this] { onReadable(); });
    m_readNotifier->setEnabled (m_isReading);
    m_listener->onConnected();
}

void StreamSocket::setReading (bool isReading)
{
    m_isReading = isReading;
    if (m_readNotifier)
        m_readNotifier->setEnabled (isReading);
}

bool StreamSocket::hasUnreadInput() const
{
    pollfd input{ m_descriptor, POLLIN, 0 };
    return m_state == State::kOpen && ::poll (&input, 1, 0) > 0;
}

void StreamSocket::setMaxReadBytes (std::size_t bytes)
{
    m_maxReadBytes = std::clamp<std::size_t> (bytes, 1, kReadBytes);
}

void StreamSocket::write (std::string_view data)
{
    if (m_state != State::kOpen || m_hasWriteFailed)
        return;
    m_unsent.append (data);
    flush();
}

void StreamSocket::flush()
{
    std::size_t sent = 0;
    while (sent < m_unsent.size())
    {
        const ssize_t count =
            ::send (m_descriptor, m_unsent.data() + sent, m_unsent.size() - sent, MSG_NOSIGNAL);
        if (count > 0)
        {
            sent += static_cast<std::size_t> (count);
            continue;
        }
        if (errno == EINTR)
            continue;
        // Data that the peer sent earlier may still be readable; onReadable() reports the end.
        m_hasWriteFailed = errno != EAGAIN && errno != EWOULDBLOCK;
        break;
    }
    m_unsent.erase (0, sent);
    m_writeNotifier->setEnabled (! m_unsent.empty() && ! m_hasWriteFailed);
}

void StreamSocket::onReadable()
{
    static std::array<char, kReadBytes> buffer;
    if (m_state != State::kOpen || ! m_isReading)
        return;
    // One read, so that a peer that sends without end does not keep the event loop from timers and
    // other sockets. The notifier signals again while more is readable.
    const ssize_t count = ::recv (m_descriptor, buffer.data(), m_maxReadBytes, 0);
    if (count > 0)
    {
        m_listener->onData ({ buffer.data(), static_cast<std::size_t> (count) });
        return;
    }
    if (count < 0 && (errno == EINTR || errno == EAGAIN || errno == EWOULDBLOCK))
        return;
    const bool isOrderly = count == 0 && ! m_hasWriteFailed && m_unsent.empty();
    finish (isOrderly ? StreamEnd::kOrderly : StreamEnd::kBroken);
}

void StreamSocket::finish (StreamEnd end)
{
    if (m_state == State::kClosed)
        return;
    close();
    m_listener->onEnd (end);
}

void StreamSocket::finishLater (StreamEnd end)
{
    m_deferredEnd = std::make_unique<QTimer>();
    m_deferredEnd->setSingleShot (true);
    QObject::connect (m_deferredEnd.get(), &QTimer::timeout, m_deferredEnd.get(),
                      [this, end] { finish (end); });
    m_deferredEnd->start (0);
}

void StreamSocket::close()
{
    if (m_deferredEnd)
    {
        m_deferredEnd->disconnect();
        m_deferredEnd.release()->deleteLater();
    }
    m_state = State::kClosed;
    dropLater (m_readNotifier);
    dropLater (m_writeNotifier);
    if (m_descriptor >= 0)
        ::close (std::exchange (m_descriptor, -1));
}

}  // namespace fernlift::http
