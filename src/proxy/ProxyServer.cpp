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
/// Retry-After in seconds; the caller then reaches another router.
constexpr const char* kRetryElsewhere = "0.05";

}  // namespace

ProxyServer::ProxyServer (ProxyContext& context) : m_context (context)
{
    m_handlers.onRequest = [this] (CallerConnection& connection, ParsedRequest request)
    { onRequest (connection, std::move (request)); };
    m_handlers.onInvalid = [this] (CallerConnection& connection, const base::Error& error)
    { onInvalid (connection, error); };
    m_handlers.onDisconnected = [this] (CallerConnection& connection)
    {
        const auto found = m_exchanges.find (&connection);
        if (found != m_exchanges.end())
            found->second->onCallerDisconnected();
    };
    m_handlers.onClosed = [this] (CallerConnection& connection)
    {
        const auto found = m_connections.find (&connection);
        if (found == m_connections.end())
            return;
        m_closed.push_back (std::move (found->second));
        m_connections.erase (found);
        scheduleSweep();
    };
    m_sweeper.setSingleShot (true);
    QObject::connect (&m_sweeper, &QTimer::timeout, &m_sweeper,
                      [this]
                      {
                          m_ended.clear();
                          m_closed.clear();
                      });
    m_unsentCheck.setSingleShot (true);
    QObject::connect (
        &m_unsentCheck, &QTimer::timeout, &m_unsentCheck,
        [this] { visitExchanges ([] (Exchange& exchange) { exchange.onRunnerUnavailable(); }); });
    m_context.onRunnerUnavailable = [this] { scheduleUnsentCheck(); };
    QObject::connect (&m_server, &QTcpServer::newConnection, &m_server, [this] { acceptAll(); });
}

ProxyServer::~ProxyServer()
{
    m_context.onRunnerUnavailable = [] {};
    m_exchanges.clear();
    m_ended.clear();
}

base::Result<base::SocketAddress> ProxyServer::listen (const base::SocketAddress& address)
{
    m_server.setListenBacklogSize (kListenBacklog);
    m_server.setMaxPendingConnections (kListenBacklog);
    if (! m_server.listen (QHostAddress (QString::fromStdString (address.host)), address.port))
    {
        return base::fail (base::ErrorKind::kConnectionFailed,
                           address.toString() + ": " + m_server.errorString().toStdString());
    }
    return base::SocketAddress{ address.host, m_server.serverPort() };
}

void ProxyServer::acceptAll()
{
    while (QTcpSocket* accepted = m_server.nextPendingConnection())
    {
        accepted->setParent (nullptr);
        std::unique_ptr<QTcpSocket> socket (accepted);
        auto connection =
            std::make_shared<CallerConnection> (std::move (socket), m_limits, m_handlers);
        m_connections.emplace (connection.get(), connection);
        connection->start();
    }
}

void ProxyServer::onRequest (CallerConnection& connection, ParsedRequest request)
{
    if (m_isClosing)
        connection.closeAfterAnswer();
    if (m_isRefusing)
    {
        ++m_context.counters.refused;
        refuseStopping (connection);
        return;
    }
    auto exchange = std::make_unique<Exchange> (m_context, connection, std::move (request),
                                                [this, caller = &connection] (Exchange&)
                                                {
                                                    const auto found = m_exchanges.find (caller);
                                                    if (found == m_exchanges.end())
                                                        return;
                                                    m_ended.push_back (std::move (found->second));
                                                    m_exchanges.erase (found);
                                                    scheduleSweep();
                                                });
    Exchange& begun = *exchange;
    m_exchanges[&connection] = std::move (exchange);
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

void ProxyServer::scheduleUnsentCheck()
{
    if (! m_unsentCheck.isActive())
        m_unsentCheck.start (0);
}

void ProxyServer::scheduleSweep()
{
    if (! m_sweeper.isActive())
        m_sweeper.start (0);
}

void ProxyServer::visitExchanges (const std::function<void (Exchange& exchange)>& visit)
{
    std::vector<Exchange*> open;
    for (const auto& [caller, exchange] : m_exchanges)
        open.push_back (exchange.get());
    // Capacity that becomes free gradually goes to the most urgent requests first.
    std::ranges::sort (open, {}, &Exchange::queueOrder);
    // Ended exchanges stay alive until the sweep.
    for (Exchange* exchange : open)
        visit (*exchange);
}

void ProxyServer::onDirectoryChanged()
{
    visitExchanges ([] (Exchange& exchange) { exchange.onDirectoryChanged(); });
}

void ProxyServer::checkDeadlines()
{
    visitExchanges ([] (Exchange& exchange) { exchange.onTimer(); });
}

void ProxyServer::onSuspectsChanged()
{
    visitExchanges ([] (Exchange& exchange) { exchange.onSuspectsChanged(); });
    onDirectoryChanged();
}

void ProxyServer::setLimits (const config::ClientLimits& limits)
{
    m_limits.request.headerBytes = limits.headerBytes;
    m_limits.request.bodyBytes = limits.bodyBytes;
    m_limits.headerTimeout = limits.headerTimeout;
    m_limits.idleTimeout = limits.idleTimeout;
    for (const auto& [key, connection] : m_connections)
        connection->setLimits (m_limits);
}

void ProxyServer::beginClosing() { m_isClosing = true; }

void ProxyServer::beginRefusing()
{
    m_isRefusing = true;
    const auto connections = m_connections;  // Copied because closing modifies the map.
    for (const auto& [key, connection] : connections)
        connection->closeAfterAnswer();
}

void ProxyServer::refuseWaiting()
{
    visitExchanges ([] (Exchange& exchange) { exchange.onRouterStopping(); });
}

void ProxyServer::stopListening() { m_server.close(); }

std::size_t ProxyServer::waitingExchanges() const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_exchanges, [] (const auto& item) { return item.second->isWaiting(); }));
}

}  // namespace fernlift::proxy
