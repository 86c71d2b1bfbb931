#include "proxy/ProxyServer.h"

#include <QHostAddress>
#include <algorithm>
#include <utility>

#include "http/ErrorResponse.h"

namespace fernlift::proxy
{
namespace
{

constexpr int kListenBacklog = 512;
/// Seconds after which a caller reaches another router.
constexpr const char* kRetryElsewhere = "0.05";

}  // namespace

ProxyServer::ProxyServer (ProxyContext& context) : context_ (context)
{
    handlers_.onRequest = [this] (CallerConnection& connection, ParsedRequest request)
    { onRequest (connection, std::move (request)); };
    handlers_.onInvalid = [this] (CallerConnection& connection, const base::Error& error)
    { onInvalid (connection, error); };
    handlers_.onLeft = [this] (CallerConnection& connection)
    {
        const auto found = exchanges_.find (&connection);
        if (found != exchanges_.end())
            found->second->onCallerLeft();
    };
    handlers_.onClosed = [this] (CallerConnection& connection)
    {
        const auto found = connections_.find (&connection);
        if (found == connections_.end())
            return;
        closed_.push_back (std::move (found->second));
        connections_.erase (found);
        sweepSoon();
    };
    sweeper_.setSingleShot (true);
    QObject::connect (&sweeper_, &QTimer::timeout, &sweeper_,
                      [this]
                      {
                          ended_.clear();
                          closed_.clear();
                      });
    QObject::connect (&server_, &QTcpServer::newConnection, &server_, [this] { acceptAll(); });
}

ProxyServer::~ProxyServer()
{
    exchanges_.clear();
    ended_.clear();
}

base::Result<base::SocketAddress> ProxyServer::listen (const base::SocketAddress& address)
{
    server_.setListenBacklogSize (kListenBacklog);
    server_.setMaxPendingConnections (kListenBacklog);
    if (! server_.listen (QHostAddress (QString::fromStdString (address.host)), address.port))
    {
        return base::fail (base::ErrorKind::kConnectionFailed,
                           address.toString() + ": " + server_.errorString().toStdString());
    }
    return base::SocketAddress{ address.host, server_.serverPort() };
}

void ProxyServer::acceptAll()
{
    while (QTcpSocket* accepted = server_.nextPendingConnection())
    {
        accepted->setParent (nullptr);
        std::unique_ptr<QTcpSocket> socket (accepted);
        auto connection =
            std::make_shared<CallerConnection> (std::move (socket), limits_, handlers_);
        connections_.emplace (connection.get(), connection);
        connection->start();
    }
}

void ProxyServer::onRequest (CallerConnection& connection, ParsedRequest request)
{
    if (isClosing_)
        connection.closeAfterAnswer();
    if (isRefusing_)
    {
        ++context_.counters.refused;
        refuseStopping (connection);
        return;
    }
    auto exchange = std::make_unique<Exchange> (context_, connection, std::move (request),
                                                [this, caller = &connection] (Exchange&)
                                                {
                                                    const auto found = exchanges_.find (caller);
                                                    if (found == exchanges_.end())
                                                        return;
                                                    ended_.push_back (std::move (found->second));
                                                    exchanges_.erase (found);
                                                    sweepSoon();
                                                });
    Exchange& begun = *exchange;
    exchanges_[&connection] = std::move (exchange);
    begun.begin();
}

void ProxyServer::onInvalid (CallerConnection& connection, const base::Error& error)
{
    const http::Response response = http::errorResponse (error);
    connection.sendAnswer (response.status, response.headers, response.body);
}

void ProxyServer::refuseStopping (CallerConnection& connection)
{
    http::Response response =
        http::errorResponse ({ base::ErrorKind::kStopping, "this router is stopping" });
    response.headers.set ("Retry-After", kRetryElsewhere);
    connection.sendAnswer (response.status, response.headers, response.body);
}

void ProxyServer::sweepSoon()
{
    if (! sweeper_.isActive())
        sweeper_.start (0);
}

void ProxyServer::onDirectoryChanged()
{
    std::vector<Exchange*> waiting;
    for (const auto& [caller, exchange] : exchanges_)
    {
        if (exchange->isWaiting())
            waiting.push_back (exchange.get());
    }
    // Ended exchanges stay alive until the sweep.
    for (Exchange* exchange : waiting)
        exchange->onDirectoryChanged();
}

void ProxyServer::setLimits (const config::ClientLimits& limits)
{
    limits_.request.headerBytes = limits.headerBytes;
    limits_.request.bodyBytes = limits.bodyBytes;
    limits_.headerTimeout = limits.headerTimeout;
    limits_.idleTimeout = limits.idleTimeout;
    for (const auto& [key, connection] : connections_)
        connection->setLimits (limits_);
}

void ProxyServer::beginClosing() { isClosing_ = true; }

void ProxyServer::beginRefusing()
{
    isRefusing_ = true;
    const auto connections = connections_;  // Closing changes the map.
    for (const auto& [key, connection] : connections)
        connection->closeAfterAnswer();
}

void ProxyServer::stopListening() { server_.close(); }

std::size_t ProxyServer::waitingExchanges() const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        exchanges_, [] (const auto& item) { return item.second->isWaiting(); }));
}

}  // namespace fernlift::proxy
