#include "wire/FrameConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <QHostAddress>
#include <QTimer>
#include <utility>
#include <vector>

namespace fernlift::wire
{
namespace
{

constexpr std::size_t kReadChunkBytes = 64UL * 1024;

/// Size of `payload` as a frame on the wire.
std::size_t frameBytes (std::string_view payload)
{
    static const std::size_t headerBytes = encodeFrame (Channel::kMember, {}).size();
    return headerBytes + payload.size();
}

}  // namespace

FrameConnection::FrameConnection (std::unique_ptr<QTcpSocket> socket,
                                  FrameConnectionOptions options, Handlers handlers,
                                  FrameTraffic* traffic)
    : socket_ (std::move (socket)),
      options_ (options),
      handlers_ (std::move (handlers)),
      traffic_ (traffic)
{
    connectSignals();
    if (! isOpen())
        return;
    configureSocket();
    // Bytes may have arrived before the signals were connected.
    runLater ({}, &FrameConnection::readFrames);
}

FrameConnection::~FrameConnection() { close(); }

std::unique_ptr<FrameConnection> FrameConnection::connectTo (const base::SocketAddress& address,
                                                             FrameConnectionOptions options,
                                                             Handlers handlers,
                                                             FrameTraffic* traffic)
{
    auto connection = std::make_unique<FrameConnection> (std::make_unique<QTcpSocket>(), options,
                                                         std::move (handlers), traffic);
    connection->socket_->connectToHost (QHostAddress (QString::fromStdString (address.host)),
                                        address.port);
    connection->runLater (options.connectTimeout, &FrameConnection::closeUnlessConnected);
    return connection;
}

void FrameConnection::connectSignals()
{
    QTcpSocket* socket = socket_.get();
    QObject::connect (socket, &QTcpSocket::connected, socket,
                      [this]
                      {
                          configureSocket();
                          if (handlers_.onConnected)
                              handlers_.onConnected();
                      });
    QObject::connect (socket, &QTcpSocket::readyRead, socket, [this] { readFrames(); });
    QObject::connect (socket, &QTcpSocket::disconnected, socket, [this] { closeAndReport(); });
    QObject::connect (socket, &QTcpSocket::errorOccurred, socket, [this] { closeAndReport(); });
}

void FrameConnection::configureSocket()
{
    socket_->setSocketOption (QAbstractSocket::LowDelayOption, 1);
    const auto timeout =
        static_cast<unsigned> (base::toMilliseconds (options_.unacknowledgedTimeout));
    ::setsockopt (static_cast<int> (socket_->socketDescriptor()), IPPROTO_TCP, TCP_USER_TIMEOUT,
                  &timeout, sizeof timeout);
    if (options_.idleTimeout > base::Duration::zero())
    {
        runLater (options_.idleTimeout, &FrameConnection::closeWhenSilent);
    }
}

void FrameConnection::closeUnlessConnected()
{
    if (! isOpen())
        closeAndReport();
}

void FrameConnection::closeWhenSilent()
{
    if (! std::exchange (hasReceivedSinceWatch_, false))
    {
        closeAndReport();
        return;
    }
    runLater (options_.idleTimeout, &FrameConnection::closeWhenSilent);
}

void FrameConnection::send (Channel channel, std::string_view payload)
{
    if (! isOpen())
        return;
    if (unsentBytes() > options_.maximumUnsentBytes)
    {
        runLater ({}, &FrameConnection::closeAndReport);
        return;
    }
    const std::string bytes = encodeFrame (channel, payload);
    socket_->write (bytes.data(), static_cast<qint64> (bytes.size()));
    if (traffic_ == nullptr)
        return;
    traffic_->of (channel).messagesOut += 1;
    traffic_->of (channel).bytesOut += bytes.size();
}

void FrameConnection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    socket_->disconnect();
    socket_->abort();
    // The socket may be in the middle of emitting the signal that led here.
    socket_.release()->deleteLater();
}

bool FrameConnection::isOpen() const
{
    return ! isClosed_ && socket_->state() == QAbstractSocket::ConnectedState;
}

std::size_t FrameConnection::unsentBytes() const
{
    return isClosed_ ? 0 : static_cast<std::size_t> (socket_->bytesToWrite());
}

void FrameConnection::runLater (base::Duration delay, void (FrameConnection::*step)())
{
    const std::weak_ptr<bool> lifetime = lifetime_;
    QTimer::singleShot (std::chrono::duration_cast<base::milliseconds> (delay), socket_.get(),
                        [this, step, lifetime]
                        {
                            if (! lifetime.expired() && ! isClosed_)
                                (this->*step)();
                        });
}

void FrameConnection::readFrames()
{
    std::vector<Frame> frames;
    bool isSound = true;
    std::string chunk (kReadChunkBytes, '\0');
    while (isSound && socket_->bytesAvailable() > 0)
    {
        const qint64 count = socket_->read (chunk.data(), static_cast<qint64> (chunk.size()));
        if (count <= 0)
            break;
        hasReceivedSinceWatch_ = true;
        isSound = base::handleErrors (
            [&]() -> base::Result<bool>
            {
                const std::string_view received (chunk.data(), static_cast<std::size_t> (count));
                BOOST_LEAF_CHECK (reader_.feed (received, frames));
                return true;
            },
            [] (const base::Error&) { return false; });
    }
    const std::weak_ptr<bool> lifetime = lifetime_;
    deliver (frames);
    if (! isSound && ! lifetime.expired())
        closeAndReport();
}

void FrameConnection::deliver (std::vector<Frame>& frames)
{
    const std::weak_ptr<bool> lifetime = lifetime_;
    for (Frame& frame : frames)
    {
        if (lifetime.expired() || isClosed_)
            return;
        if (traffic_ != nullptr)
        {
            traffic_->of (frame.channel).messagesIn += 1;
            traffic_->of (frame.channel).bytesIn += frameBytes (frame.payload);
        }
        if (handlers_.onFrame)
            handlers_.onFrame (std::move (frame));
    }
}

void FrameConnection::closeAndReport()
{
    if (isClosed_)
        return;
    close();
    // The handler may destroy this object, and with it the stored function.
    const std::function<void()> onClosed = handlers_.onClosed;
    if (onClosed)
        onClosed();
}

}  // namespace fernlift::wire
