#pragma once

/// The socket that Qt's HTTP server sees: it yields whole, checked requests and nothing else.

#include <QTcpSocket>
#include <string>

namespace fernlift::http
{

class Connection;

/// A socket without a network connection. The bytes it yields are those given to deliver().
class FeedSocket final : public QTcpSocket
{
public:
    explicit FeedSocket (Connection* connection);
    ~FeedSocket() override { setSocketState (QAbstractSocket::UnconnectedState); }
    FeedSocket (const FeedSocket&) = delete;
    FeedSocket& operator= (const FeedSocket&) = delete;

    [[nodiscard]] Connection* connection() const { return m_connection; }
    void setPeer (const QHostAddress& address, quint16 port);
    /// Lets the HTTP server read `bytes`; it has done so when this returns.
    void deliver (std::string bytes);
    /// Whether the HTTP server refused what it read.
    [[nodiscard]] bool wasRefused() const { return m_wasRefused; }

    [[nodiscard]] qint64 bytesAvailable() const override;
    void disconnectFromHost() override { m_wasRefused = true; }

protected:
    qint64 readData (char* data, qint64 maximumSize) override;
    qint64 writeData (const char* data, qint64 size) override;

private:
    Connection* m_connection;
    std::string m_pending;
    std::size_t m_position = 0;
    bool m_wasRefused = false;
};

}  // namespace fernlift::http
