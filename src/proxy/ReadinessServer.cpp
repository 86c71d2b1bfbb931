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

}  // namespace

ReadinessServer::ReadinessServer (std::string path, std::function<bool()> isReady)
    : path_ (std::move (path)), isReady_ (std::move (isReady))
{
    handlers_.onRequest = [this] (CallerConnection& connection, const ParsedRequest& request)
    { answer (connection, request); };
    handlers_.onInvalid = [] (CallerConnection& connection, const base::Error& error)
    { connection.sendAnswer (base::traitsOf (error.kind).httpStatus, {}, ""); };
    handlers_.onLeft = [] (CallerConnection&) {};
    handlers_.onClosed = [this] (CallerConnection& connection)
    {
        const auto found = connections_.find (&connection);
        if (found == connections_.end())
            return;
        // The connection may be in the middle of a call of its own.
        QTimer::singleShot (0, &server_, [closed = std::move (found->second)] {});
        connections_.erase (found);
    };
    QObject::connect (&server_, &QTcpServer::newConnection, &server_, [this] { acceptAll(); });
}

base::Result<void> ReadinessServer::listen (const base::SocketAddress& address)
{
    if (! server_.listen (QHostAddress (QString::fromStdString (address.host)), address.port))
    {
        return base::fail (base::ErrorKind::kConnectionFailed,
                           address.toString() + ": " + server_.errorString().toStdString());
    }
    return {};
}

void ReadinessServer::acceptAll()
{
    while (QTcpSocket* accepted = server_.nextPendingConnection())
    {
        accepted->setParent (nullptr);
        std::unique_ptr<QTcpSocket> socket (accepted);
        auto connection =
            std::make_shared<CallerConnection> (std::move (socket), CallerLimits{}, handlers_);
        connections_.emplace (connection.get(), connection);
        connection->start();
    }
}

void ReadinessServer::answer (CallerConnection& connection, const ParsedRequest& request)
{
    const bool isKnown = request.path() == path_;
    connection.sendAnswer (isKnown ? (isReady_() ? kOk : kUnavailable) : kNotFound, {}, "");
}

}  // namespace fernlift::proxy
