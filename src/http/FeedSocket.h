#pragma once

/// In-memory socket through which Qt's HTTP server reads complete, validated requests only.

#include <QTcpSocket>
#include <string>

namespace fernlift::http
{

class Connection;

/// A socket without a network connection; reading from it returns the bytes passed to deliver().
class FeedSocket final : public QTcpSocket
{
public:
    explicit FeedSocket (Connection* connection);
    ~FeedSocket() override { setSocketState (QAbstractSocket::UnconnectedState); }
    FeedSocket (const FeedSocket&) = delete;
    FeedSocket& operator= (const FeedSocket&) = delete;

    [[nodiscard]] Connection* connection() const { return m_connection; }
    void setPeer (const QHostAddress& address, quint16 port);
    /// Makes `bytes` readable; the HTTP server has read them when this returns.
    void deliver (std::string bytes);
    /// Whether the HTTP server has rejected the delivered bytes.
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
