#include "http/FeedSocket.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace fernlift::http
{

FeedSocket::FeedSocket (Connection* connection) : m_connection (connection)
{
    setOpenMode (QIODevice::ReadWrite);
    // The HTTP server deletes sockets that are not connected.
    setSocketState (QAbstractSocket::ConnectedState);
}

void FeedSocket::setPeer (const QHostAddress& address, quint16 port)
{
    setPeerAddress (address);
    setPeerPort (port);
}

void FeedSocket::deliver (std::string bytes)
{
    m_pending = std::move (bytes);
    m_position = 0;
    Q_EMIT readyRead();
}

qint64 FeedSocket::bytesAvailable() const
{
    // The base class would query a native socket, which does not exist here.
    // NOLINTNEXTLINE(bugprone-parent-virtual-call)
    return QIODevice::bytesAvailable() + static_cast<qint64> (m_pending.size() - m_position);
}

qint64 FeedSocket::readData (char* data, qint64 maximumSize)
{
    const std::size_t size =
        std::min (static_cast<std::size_t> (maximumSize), m_pending.size() - m_position);
    std::memcpy (data, m_pending.data() + m_position, size);
    m_position += size;
    if (m_position == m_pending.size())
    {
        m_pending = {};
        m_position = 0;
    }
    return static_cast<qint64> (size);
}

qint64 FeedSocket::writeData (const char* /*data*/, qint64 size) { return size; }

}  // namespace fernlift::http
