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

/// Accepts connections and hands each descriptor to a function.
class Listener final : public QTcpServer
{
public:
    explicit Listener (std::function<QTcpSocket*(qintptr)> accept) : accept_ (std::move (accept))
    {
        setListenBacklogSize (kListenBacklog);
    }

protected:
    void incomingConnection (qintptr descriptor) override
    {
        QTcpSocket* const socket = accept_ (descriptor);
        if (socket != nullptr)
            addPendingConnection (socket);
    }

private:
    std::function<QTcpSocket*(qintptr)> accept_;
};

/// Accepts what the system has accepted already: closing the listener would reset those.
void takeWaitingConnections (QTcpServer& listener)
{
    constexpr int kNoWait = 0;
    for (int count = 0; count < kListenBacklog; ++count)
    {
        if (! listener.waitForNewConnection (kNoWait))
            return;
    }
}

/// Qt's HTTP server over feed sockets.
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
    explicit Implementation (ServerLimits limits) : limits_ (limits) {}
    ~Implementation()
    {
        const auto connections = std::exchange (connections_, {});
        for (Connection* const connection : connections)
            delete connection;
    }
    Implementation (const Implementation&) = delete;
    Implementation& operator= (const Implementation&) = delete;

    base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    void stopListening();
    QTcpSocket* accept (qintptr descriptor);

    ServerLimits limits_;
    Handler handler_;
    ServerCounters counters_;
    std::unordered_set<Connection*> connections_;
    ParsingServer server_;
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
    server_.bind (listener.release());
    return real;
}

QTcpSocket* Server::Implementation::accept (qintptr descriptor)
{
    ++counters_.connections;
    auto connection = std::make_unique<Connection> (limits_, handler_, counters_);
    if (! connection->open (descriptor))
        return nullptr;
    Connection* const raw = connection.release();
    const bool isFull = connections_.size() >= limits_.connections;
    connections_.insert (raw);
    raw->onFinished (
        [this, raw]
        {
            connections_.erase (raw);
            raw->deleteLater();
        });
    if (isFull)
    {
        raw->reject ({ base::ErrorKind::kTooManyConnections,
                       "more than " + std::to_string (limits_.connections) + " connections" });
        return nullptr;
    }
    return raw->feedSocket();
}

void Server::Implementation::stopListening()
{
    for (QTcpServer* const listener : server_.servers())
    {
        takeWaitingConnections (*listener);
        listener->close();
    }
    const std::vector<Connection*> connections (connections_.begin(), connections_.end());
    for (Connection* const connection : connections)
        connection->closeWhenIdle();
}

Server::Server (ServerLimits limits) : implementation_ (std::make_unique<Implementation> (limits))
{
}

Server::~Server() = default;

void Server::setHandler (Handler handler) { implementation_->handler_ = std::move (handler); }

base::Result<base::SocketAddress> Server::listen (const base::SocketAddress& address)
{
    return implementation_->listen (address);
}

void Server::stopListening() { implementation_->stopListening(); }

std::size_t Server::openResponses() const
{
    const auto& connections = implementation_->connections_;
    return static_cast<std::size_t> (std::count_if (connections.begin(), connections.end(),
                                                    [] (const Connection* connection)
                                                    { return connection->isAnswering(); }));
}

std::size_t Server::openConnections() const { return implementation_->connections_.size(); }

ServerCounters Server::counters() const { return implementation_->counters_; }

}  // namespace fernlift::http
