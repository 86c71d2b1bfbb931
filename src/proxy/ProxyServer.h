#pragma once

/// Takes the connections of callers and runs an exchange for each request.

#include <QTcpServer>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "proxy/CallerConnection.h"
#include "proxy/Exchange.h"
#include "proxy/ProxyContext.h"

namespace fernlift::proxy
{

class ProxyServer
{
public:
    /// `context` must outlive the server.
    explicit ProxyServer (ProxyContext& context);
    ~ProxyServer();

    /// Listens; returns the real address or fails with kConnectionFailed.
    base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    /// Requests that wait for a runner look again.
    void onDirectoryChanged();
    /// Time passed that timers did not count: requests look at their deadlines.
    void onTimePassed();
    /// More may be known of requests under which runners ended.
    void onSuspectsChanged();
    /// Limits of connections accepted or at rest from now on.
    void setLimits (const config::ClientLimits& limits);
    /// Closes each connection after its next answer, so that callers move to other routers. New
    /// connections are still taken, for one request each.
    void beginClosing();
    /// Refuses new requests as not run and closes resting connections.
    void beginRefusing();
    /// Takes no new connection.
    /// Answers requests that wait: no runner that comes would be in time.
    void refuseWaiting();
    void stopListening();

    [[nodiscard]] std::size_t openExchanges() const { return m_exchanges.size(); }
    [[nodiscard]] std::size_t waitingExchanges() const;
    [[nodiscard]] std::size_t openConnections() const { return m_connections.size(); }

private:
    void acceptAll();
    void onRequest (CallerConnection& connection, ParsedRequest request);
    void onInvalid (CallerConnection& connection, const base::Error& error);
    static void refuseStopping (CallerConnection& connection);
    /// Calls `visit` for each open exchange; it may end exchanges.
    void visitExchanges (const std::function<void (Exchange& exchange)>& visit);
    /// Drops what ended; not from within its own calls.
    void sweepSoon();

    ProxyContext& m_context;
    CallerConnection::Handlers m_handlers;
    CallerLimits m_limits;
    bool m_isClosing = false;
    bool m_isRefusing = false;
    std::map<CallerConnection*, std::shared_ptr<CallerConnection>> m_connections;
    std::map<CallerConnection*, std::unique_ptr<Exchange>> m_exchanges;
    std::vector<std::unique_ptr<Exchange>> m_ended;
    std::vector<std::shared_ptr<CallerConnection>> m_closed;
    QTimer m_sweeper;
    QTcpServer m_server;
};

}  // namespace fernlift::proxy
