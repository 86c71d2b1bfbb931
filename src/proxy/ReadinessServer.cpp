#include "proxy/ReadinessServer.h"

#include <QHostAddress>
#include <QTimer>
#include <utility>

namespace fernlift::proxy
{
namespace
{

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// A readiness check has a short header and no body.
constexpr CallerLimits kLimits{ .request = { .headerBytes = 8UL * 1024, .bodyBytes = 1024 } };

}  // namespace

ReadinessServer::ReadinessServer (std::string path, std::function<bool()> isReady)
    : m_path (std::move (path)), m_isReady (std::move (isReady))
{
    m_handlers.onRequest = [this] (CallerConnection& connection, const ParsedRequest& request)
    { answer (connection, request); };
    m_handlers.onInvalid = [] (CallerConnection& connection, const base::Error& error)
    { connection.sendAnswer (base::traitsOf (error.kind).httpStatus, {}, ""); };
    m_handlers.onDisconnected = [] (CallerConnection&) {};
    m_handlers.onClosed = [this] (CallerConnection& connection)
    {
        const auto found = m_connections.find (&connection);
        if (found == m_connections.end())
            return;
        // Deferred because functions of the connection may still be on the call stack.
        QTimer::singleShot (0, &m_server, [closed = std::move (found->second)] {});
        m_connections.erase (found);
    };
    QObject::connect (&m_server, &QTcpServer::newConnection, &m_server, [this] { acceptAll(); });
}

base::Result<void> ReadinessServer::listen (const base::SocketAddress& address)
{
    if (! m_server.listen (QHostAddress (QString::fromStdString (address.host)), address.port))
    {
        return base::fail (base::ErrorKind::kConnectionFailed,
                           address.toString() + ": " + m_server.errorString().toStdString());
    }
    return {};
}

void ReadinessServer::acceptAll()
{
    while (QTcpSocket* accepted = m_server.nextPendingConnection())
    {
        accepted->setParent (nullptr);
        std::unique_ptr<QTcpSocket> socket (accepted);
        auto connection =
            std::make_shared<CallerConnection> (std::move (socket), kLimits, m_handlers,
                                                CallerBuffers{ m_answerBuffers, m_requestBuffers });
        m_connections.emplace (connection.get(), connection);
        connection->start();
    }
}

void ReadinessServer::answer (CallerConnection& connection, const ParsedRequest& request)
{
    const bool isKnown = request.path() == m_path;
    connection.sendAnswer (isKnown ? (m_isReady() ? kOk : kUnavailable) : kNotFound, {}, "");
}

}  // namespace fernlift::proxy
