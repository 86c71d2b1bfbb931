#pragma once

/// Helpers of the tests: an event loop with a guard, and a caller that speaks raw bytes.

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "base/SocketAddress.h"

namespace fernlift::http::test
{

/// The one application object of a test binary.
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

/// Runs the event loop until `condition` holds; false if it doesn't within the guard time.
inline bool waitUntil (const std::function<bool()>& condition,
                       std::chrono::seconds guard = std::chrono::seconds (20))
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

/// Runs the event loop for a while, to see that something does not happen.
inline void runFor (std::chrono::milliseconds duration)
{
    const auto limit = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < limit)
    {
        QCoreApplication::processEvents (QEventLoop::AllEvents, 5);
    }
}

/// A caller that writes and reads raw bytes.
class RawCaller
{
public:
    explicit RawCaller (const base::SocketAddress& address)
    {
        application();
        QObject::connect (&socket_, &QTcpSocket::readyRead, &socket_,
                          [this]
                          {
                              if (isReading_)
                                  received_ += socket_.readAll().toStdString();
                          });
        bool wasConnected = false;
        const auto connected = QObject::connect (&socket_, &QTcpSocket::connected, &socket_,
                                                 [&wasConnected] { wasConnected = true; });
        socket_.connectToHost (QHostAddress (QString::fromStdString (address.host)), address.port);
        waitUntil ([&] { return wasConnected; });
        QObject::disconnect (connected);
    }

    void write (const std::string& bytes)
    {
        socket_.write (bytes.data(), static_cast<qint64> (bytes.size()));
        socket_.flush();
    }
    /// Stops reading, so that the sender feels back-pressure.
    void stopReading (qint64 bufferBytes)
    {
        isReading_ = false;
        socket_.setReadBufferSize (bufferBytes);
    }
    void resumeReading()
    {
        isReading_ = true;
        socket_.setReadBufferSize (0);
        received_ += socket_.readAll().toStdString();
    }
    void close() { socket_.abort(); }
    [[nodiscard]] const std::string& received() const { return received_; }
    [[nodiscard]] bool isClosed() const
    {
        return socket_.state() == QAbstractSocket::UnconnectedState;
    }
    bool waitFor (const std::string& text)
    {
        return waitUntil ([&] { return received_.find (text) != std::string::npos; });
    }
    bool waitForClose()
    {
        return waitUntil ([this] { return isClosed(); });
    }

private:
    QTcpSocket socket_;
    std::string received_;
    bool isReading_ = true;
};

}  // namespace fernlift::http::test
