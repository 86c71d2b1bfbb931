#include "http/Server.h"

#include <QAbstractHttpServer>
#include <QHostAddress>
#include <QHttpServerRequest>
#include <QTcpServer>
#include <algorithm>
#include <unordered_set>
#include <utility>

#include "http/Connection.h"

namespace fernlift::http
{
namespace
{

constexpr int kListenBacklog = 1024;

/// Accepts connections and passes each descriptor to a callback.
class Listener final : public QTcpServer
{
public:
    explicit Listener (std::function<QTcpSocket*(qintptr)> accept) : m_accept (std::move (accept))
    {
        setListenBacklogSize (kListenBacklog);
    }

protected:
    void incomingConnection (qintptr descriptor) override
    {
        QTcpSocket* const socket = m_accept (descriptor);
        if (socket != nullptr)
            addPendingConnection (socket);
    }

private:
    std::function<QTcpSocket*(qintptr)> m_accept;
};

/// Accepts the connections in the listen backlog, which would be reset by closing the listener.
void acceptPendingConnections (QTcpServer& listener)
{
    constexpr int kNoWait = 0;
    for (int count = 0; count < kListenBacklog; ++count)
    {
        if (! listener.waitForNewConnection (kNoWait))
            return;
    }
}

/// Qt's HTTP server, reading from feed sockets.
class ParsingServer final : public QAbstractHttpServer
{
protected:
    bool handleRequest (const QHttpServerRequest& request, QTcpSocket* socket) override
    {
        const auto* const feed = static_cast<FeedSocket*> (socket);
        feed->connection()->onParsed (request.body().toStdString());
        return true;
    }
    void missingHandler (const QHttpServerRequest& /*request*/, QTcpSocket* /*socket*/) override {}
};

}  // namespace

class Server::Implementation
{
public:
    explicit Implementation (ServerLimits limits)
        : m_limits (limits), m_requests (std::make_shared<RequestBudget> (limits.requestBytes))
    {
    }
    ~Implementation()
    {
        const auto connections = std::exchange (m_connections, {});
        for (Connection* const connection : connections)
            delete connection;
    }
    Implementation (const Implementation&) = delete;
    Implementation& operator= (const Implementation&) = delete;

    base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    void stopListening();
    QTcpSocket* accept (qintptr descriptor);

    ServerLimits m_limits;
    std::shared_ptr<RequestBudget> m_requests;
    Handler m_handler;
    ServerCounters m_counters;
    std::unordered_set<Connection*> m_connections;
    ParsingServer m_server;
};

base::Result<base::SocketAddress> Server::Implementation::listen (
    const base::SocketAddress& address)
{
    auto listener =
        std::make_unique<Listener> ([this] (qintptr descriptor) { return accept (descriptor); });
    if (! listener->listen (QHostAddress (QString::fromStdString (address.host)), address.port))
    {
        return base::fail (base::ErrorKind::kConnectionFailed,
                           "cannot listen on " + address.toString() + ": "
                               + listener->errorString().toStdString());
    }
    base::SocketAddress real{ address.host, listener->serverPort() };
    m_server.bind (listener.release());
    return real;
}

QTcpSocket* Server::Implementation::accept (qintptr descriptor)
{
    ++m_counters.connections;
    auto connection = std::make_unique<Connection> (m_limits, m_handler, m_counters, m_requests);
    if (! connection->open (descriptor))
        return nullptr;
    Connection* const raw = connection.release();
    const bool isFull = m_connections.size() >= m_limits.connections;
    m_connections.insert (raw);
    raw->onFinished (
        [this, raw]
        {
            m_connections.erase (raw);
            raw->deleteLater();
        });
    if (isFull)
    {
        raw->reject ({ base::ErrorKind::kTooManyConnections,
                       "more than " + std::to_string (m_limits.connections) + " connections" });
        return nullptr;
    }
    return raw->feedSocket();
}

void Server::Implementation::stopListening()
{
    for (QTcpServer* const listener : m_server.servers())
    {
        acceptPendingConnections (*listener);
        listener->close();
    }
    const std::vector<Connection*> connections (m_connections.begin(), m_connections.end());
    for (Connection* const connection : connections)
        connection->closeWhenIdle();
}

Server::Server (ServerLimits limits) : m_implementation (std::make_unique<Implementation> (limits))
{
}

Server::~Server() = default;

void Server::setHandler (Handler handler) { m_implementation->m_handler = std::move (handler); }

base::Result<base::SocketAddress> Server::listen (const base::SocketAddress& address)
{
    return m_implementation->listen (address);
}

void Server::stopListening() { m_implementation->stopListening(); }

std::size_t Server::openResponses() const
{
    const auto& connections = m_implementation->m_connections;
    return static_cast<std::size_t> (std::count_if (connections.begin(), connections.end(),
                                                    [] (const Connection* connection)
                                                    { return connection->isAnswering(); }));
}

std::size_t Server::openConnections() const { return m_implementation->m_connections.size(); }

ServerCounters Server::counters() const { return m_implementation->m_counters; }

}  // namespace fernlift::http
