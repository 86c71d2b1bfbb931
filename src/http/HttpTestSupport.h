#pragma once

/// Test helpers: running the event loop with a time limit, and a caller on a raw socket.

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "base/SocketAddress.h"
#include "http/ResetOnClose.h"

namespace fernlift::http::test
{

/// The single application object of a test program.
inline QCoreApplication& application()
{
    static int argumentCount = 1;
    static char name[] = "test";
    static char* arguments[] = { name, nullptr };
    static auto* const instance = new QCoreApplication (argumentCount, arguments);
    return *instance;
}

/// Created before any test, as Qt's network classes need it.
inline const QCoreApplication& globalApplication = application();

/// Runs the event loop until `condition` holds; returns false if it does not within `guard`.
inline bool waitUntil (const std::function<bool()>& condition,
                       std::chrono::milliseconds guard = std::chrono::seconds (20))
{
    application();
    const auto limit = std::chrono::steady_clock::now() + guard;
    while (! condition())
    {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        QCoreApplication::processEvents (QEventLoop::AllEvents, 5);
    }
    return true;
}

/// Runs the event loop for `duration`, to check that something does not happen.
inline void runFor (std::chrono::milliseconds duration)
{
    const auto limit = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < limit)
    {
        QCoreApplication::processEvents (QEventLoop::AllEvents, 5);
    }
}

/// Closes the connection so that the peer receives a reset.
inline void resetConnection (QTcpSocket& socket)
{
    setResetOnClose (socket, true);
    socket.abort();
}

/// A caller that writes and reads raw bytes.
class RawCaller
{
public:
    explicit RawCaller (const base::SocketAddress& address)
    {
        application();
        QObject::connect (&m_socket, &QTcpSocket::readyRead, &m_socket,
                          [this]
                          {
                              if (m_isReading)
                                  m_received += m_socket.readAll().toStdString();
                          });
        bool wasConnected = false;
        const auto connected = QObject::connect (&m_socket, &QTcpSocket::connected, &m_socket,
                                                 [&wasConnected] { wasConnected = true; });
        m_socket.connectToHost (QHostAddress (QString::fromStdString (address.host)), address.port);
        waitUntil ([&] { return wasConnected; });
        QObject::disconnect (connected);
    }

    void write (const std::string& bytes)
    {
        m_socket.write (bytes.data(), static_cast<qint64> (bytes.size()));
        m_socket.flush();
    }
    /// Stops reading, which puts back-pressure on the sender.
    void stopReading (qint64 bufferBytes)
    {
        m_isReading = false;
        m_socket.setReadBufferSize (bufferBytes);
    }
    /// Reads what the socket has buffered, while reading is stopped.
    void readBuffered() { m_received += m_socket.readAll().toStdString(); }
    void resumeReading()
    {
        m_isReading = true;
        m_socket.setReadBufferSize (0);
        m_received += m_socket.readAll().toStdString();
    }
    void close() { m_socket.abort(); }
    [[nodiscard]] const std::string& received() const { return m_received; }
    [[nodiscard]] bool isClosed() const
    {
        return m_socket.state() == QAbstractSocket::UnconnectedState;
    }
    bool waitFor (const std::string& text)
    {
        return waitUntil ([&] { return m_received.find (text) != std::string::npos; });
    }
    bool waitForClose()
    {
        return waitUntil ([this] { return isClosed(); });
    }

private:
    QTcpSocket m_socket;
    std::string m_received;
    bool m_isReading = true;
};

}  // namespace fernlift::http::test
