#include "wire/FrameConnection.h"

#include <QHostAddress>
#include <QTimer>
#include <utility>
#include <vector>

#include "base/DeadPeerDetection.h"

namespace fernlift::wire
{
namespace
{

constexpr std::size_t kReadChunkBytes = 64UL * 1024;

}  // namespace

FrameConnection::FrameConnection (std::unique_ptr<QTcpSocket> socket,
                                  FrameConnectionOptions options, Handlers handlers,
                                  FrameTraffic* traffic)
    : m_socket (std::move (socket)),
      m_options (options),
      m_handlers (std::move (handlers)),
      m_traffic (traffic)
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
    connection->m_socket->connectToHost (QHostAddress (QString::fromStdString (address.host)),
                                         address.port);
    connection->runLater (options.connectTimeout, &FrameConnection::closeUnlessConnected);
    return connection;
}

void FrameConnection::connectSignals()
{
    QTcpSocket* socket = m_socket.get();
    QObject::connect (socket, &QTcpSocket::connected, socket,
                      [this]
                      {
                          configureSocket();
                          if (m_handlers.onConnected)
                              m_handlers.onConnected();
                      });
    QObject::connect (socket, &QTcpSocket::readyRead, socket, [this] { readFrames(); });
    QObject::connect (socket, &QTcpSocket::disconnected, socket, [this] { closeAndReport(); });
    QObject::connect (socket, &QTcpSocket::errorOccurred, socket, [this] { closeAndReport(); });
}

void FrameConnection::configureSocket()
{
    m_socket->setSocketOption (QAbstractSocket::LowDelayOption, 1);
    base::enableDeadPeerDetection (static_cast<int> (m_socket->socketDescriptor()),
                                   m_options.unacknowledgedTimeout);
    if (m_options.idleTimeout > base::Duration::zero())
    {
        runLater (m_options.idleTimeout, &FrameConnection::closeWhenIdle);
    }
}

void FrameConnection::closeUnlessConnected()
{
    if (! isOpen())
        closeAndReport();
}

void FrameConnection::closeWhenIdle()
{
    if (! std::exchange (m_hasReceivedSinceIdleCheck, false))
    {
        closeAndReport();
        return;
    }
    runLater (m_options.idleTimeout, &FrameConnection::closeWhenIdle);
}

void FrameConnection::send (Channel channel, std::string_view payload)
{
    if (isOpen())
        sendFrame (channel, encodeFrame (channel, payload));
}

void FrameConnection::sendFrame (Channel channel, std::string_view frame)
{
    if (! isOpen())
        return;
    if (unsentBytes() > m_options.maximumUnsentBytes)
    {
        runLater ({}, &FrameConnection::closeAndReport);
        return;
    }
    m_socket->write (frame.data(), static_cast<qint64> (frame.size()));
    if (m_traffic == nullptr)
        return;
    m_traffic->of (channel).messagesOut += 1;
    m_traffic->of (channel).bytesOut += frame.size();
}

void FrameConnection::flush()
{
    if (isOpen())
        m_socket->flush();
}

void FrameConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_socket->disconnect();
    m_socket->abort();
    // The socket may still be emitting the signal that led to this call, so it is deleted later.
    m_socket.release()->deleteLater();
}

bool FrameConnection::isOpen() const
{
    return ! m_isClosed && m_socket->state() == QAbstractSocket::ConnectedState;
}

std::size_t FrameConnection::unsentBytes() const
{
    return m_isClosed ? 0 : static_cast<std::size_t> (m_socket->bytesToWrite());
}

void FrameConnection::runLater (base::Duration delay, void (FrameConnection::*step)())
{
    const std::weak_ptr<bool> lifetime = m_lifetime;
    QTimer::singleShot (std::chrono::duration_cast<base::milliseconds> (delay), m_socket.get(),
                        [this, step, lifetime]
                        {
                            if (! lifetime.expired() && ! m_isClosed)
                                (this->*step)();
                        });
}

void FrameConnection::readFrames()
{
    std::vector<Frame> frames;
    bool isValid = true;
    std::string chunk (kReadChunkBytes, '\0');
    while (isValid && m_socket->bytesAvailable() > 0)
    {
        const qint64 count = m_socket->read (chunk.data(), static_cast<qint64> (chunk.size()));
        if (count <= 0)
            break;
        m_hasReceivedSinceIdleCheck = true;
        isValid = base::handleErrors (
            [&]() -> base::Result<bool>
            {
                const std::string_view received (chunk.data(), static_cast<std::size_t> (count));
                BOOST_LEAF_CHECK (m_reader.feed (received, frames));
                return true;
            },
            [] (const base::Error&) { return false; });
    }
    const std::weak_ptr<bool> lifetime = m_lifetime;
    deliver (frames);
    if (! isValid && ! lifetime.expired())
        closeAndReport();
}

void FrameConnection::deliver (std::vector<Frame>& frames)
{
    const std::weak_ptr<bool> lifetime = m_lifetime;
    for (Frame& frame : frames)
    {
        if (lifetime.expired() || m_isClosed)
            return;
        if (m_traffic != nullptr)
        {
            m_traffic->of (frame.channel).messagesIn += 1;
            m_traffic->of (frame.channel).bytesIn += frame.wireBytes;
        }
        if (m_handlers.onFrame)
            m_handlers.onFrame (std::move (frame));
    }
}

void FrameConnection::closeAndReport()
{
    if (m_isClosed)
        return;
    close();
    // Copied, because the handler may destroy this object and with it the stored function.
    const std::function<void()> onClosed = m_handlers.onClosed;
    if (onClosed)
        onClosed();
}

}  // namespace fernlift::wire
