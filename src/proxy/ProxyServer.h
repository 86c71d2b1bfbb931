#pragma once

/// Accepts the connections of callers and runs an exchange for each request.

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
#include "proxy/PeerAnnouncer.h"
#include "proxy/ProxyContext.h"

namespace fernlift::proxy
{

/// What the end of a process cuts.
struct CutAtStop
{
    std::size_t waiting = 0;      ///< Requests that waited for a runner.
    std::size_t atRunner = 0;     ///< Requests without a byte of an answer for the caller.
    std::size_t begun = 0;        ///< Requests whose answer had begun.
    std::size_t connections = 0;  ///< Connections whose last answer was not written whole.
    std::uint64_t unsentBytes = 0;

    [[nodiscard]] std::size_t requests() const { return waiting + atRunner + begun; }
};

class ProxyServer
{
public:
    /// `context` must outlive the server.
    explicit ProxyServer (ProxyContext& context);
    ~ProxyServer();

    /// Starts listening. Returns the actual address or fails with kConnectionFailed.
    base::Result<base::SocketAddress> listen (const base::SocketAddress& address);
    /// Starts listening for requests of other routers, which have to state `key`, and serves at
    /// most `maxRequests` of them at the same time.
    base::Result<base::SocketAddress> listenForPeers (const base::SocketAddress& address,
                                                      std::uint64_t key, std::size_t maxRequests);
    /// Lets waiting requests try again to find a runner.
    void onDirectoryChanged();
    /// Checks the deadlines of all requests after time that timers did not count.
    void checkDeadlines();
    /// Called when the status of suspect requests changed.
    void onSuspectsChanged();
    /// Sets the limits of new connections and, from their next request, of the existing ones.
    void setLimits (const config::ClientLimits& limits);
    /// Closes each connection after its next answer, so that callers move to other routers. New
    /// connections are still accepted, for one request each.
    void beginClosing();
    /// Refuses new requests as not executed and closes idle connections.
    void beginRefusing();
    /// Answers the waiting requests, since a runner found now would be too late.
    void refuseWaiting();
    void stopListening();
    /// Logs the open requests and the answers that are not written whole, up to a limit, and counts
    /// them all. Call when the process ends.
    CutAtStop logOpen() const;

    [[nodiscard]] std::size_t openExchanges() const { return m_exchanges.size(); }
    [[nodiscard]] std::size_t waitingExchanges() const;
    /// Notices that other routers probably did not get.
    [[nodiscard]] std::uint64_t lostNotices() const { return m_announcer.lost(); }
    /// Bytes of answers that the system has not taken yet.
    [[nodiscard]] std::uint64_t unsentBytes() const;
    [[nodiscard]] std::size_t openConnections() const { return m_connections.size(); }

private:
    /// A connection and whether another router opened it.
    struct OpenConnection
    {
        std::shared_ptr<CallerConnection> connection;
        bool isOfPeer = false;
    };

    base::Result<base::SocketAddress> listen (QTcpServer& server,
                                              const base::SocketAddress& address);
    void acceptAll (QTcpServer& server, bool areOfPeers);
    [[nodiscard]] CallerLimits limitsOf (bool isOfPeer) const;
    /// Takes the statement of the other router out of its request. None after it was answered.
    std::optional<PeerRequest> takeStatement (CallerConnection& connection, ParsedRequest& request);
    [[nodiscard]] std::size_t peerExchanges() const;
    void onRequest (CallerConnection& connection, ParsedRequest request);
    void onInvalid (CallerConnection& connection, const base::Error& error);
    void onAnswerCut (const CallerConnection& connection);
    void onNotice (CallerConnection& connection, const PeerRequest& statement);
    /// Streams recorded here, as the body of an answer to another router.
    [[nodiscard]] std::string streamPageAfter (const std::string& key) const;
    void onPathNotice (const std::string& router, const PathNotice& notice);
    static void refuseStopping (CallerConnection& connection);
    static void declinePeer (CallerConnection& connection, const std::string& message);
    /// Calls `visit` for each open exchange. `visit` may end exchanges.
    void visitExchanges (const std::function<void (Exchange& exchange)>& visit);
    /// Lets the attempts that were not sent yet choose again, from the event loop.
    void scheduleUnsentCheck();
    /// Destroys ended exchanges and closed connections from the event loop, when none of their
    /// functions is on the call stack.
    void scheduleSweep();

    ProxyContext& m_context;
    CallerConnection::Handlers m_handlers;
    CallerLimits m_limits;
    bool m_isClosing = false;
    bool m_isRefusing = false;
    std::uint64_t m_peerKey = 0;
    std::size_t m_maxPeerExchanges = 0;
    std::map<CallerConnection*, OpenConnection> m_connections;
    std::map<CallerConnection*, std::unique_ptr<Exchange>> m_exchanges;
    std::vector<std::unique_ptr<Exchange>> m_ended;
    std::vector<std::shared_ptr<CallerConnection>> m_closed;
    PeerAnnouncer m_announcer;
    QTimer m_sweeper;
    QTimer m_unsentCheck;
    QTcpServer m_server;
    QTcpServer m_peerServer;
};

}  // namespace fernlift::proxy
