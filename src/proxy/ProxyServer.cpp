#include "proxy/ProxyServer.h"

#include <QHostAddress>
#include <algorithm>
#include <utility>
#include <variant>

#include "base/Overloaded.h"
#include "http/ErrorResponse.h"
#include "log/Log.h"
#include "proxy/PathAnnouncements.h"
#include "proxy/PeerMessage.h"
#include "proxy/StreamPage.h"

namespace fernlift::proxy
{
namespace
{

constexpr int kListenBacklog = 512;
/// Room for the field that a router adds to the header of a caller.
constexpr std::size_t kPeerFieldBytes = 1024;
/// Retry-After in seconds; the caller then reaches another router.
constexpr const char* kRetryElsewhere = "0.05";
/// Retry-After in seconds; other requests have been received or answered by then.
constexpr const char* kRetryWhenFull = "0.5";
constexpr std::size_t kMaxLoggedAtStop = 200;

void logAnswerCut (const CallerConnection& connection)
{
    log::write (log::Event::kAnswerCut, { { "request", connection.requestId() },
                                          { "caller", connection.peerAddress() },
                                          { "unsent_bytes", connection.bytesToWrite() } });
}

}  // namespace

ProxyServer::ProxyServer (ProxyContext& context)
    : m_context (context), m_announcer (context.clock, context.pool)
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
        m_closed.push_back (std::move (found->second.connection));
        m_connections.erase (found);
        scheduleSweep();
    };
    m_handlers.onAnswerCut = [this] (const CallerConnection& connection)
    { onAnswerCut (connection); };
    m_handlers.onCaughtUp = [this] (CallerConnection& connection)
    {
        const auto found = m_exchanges.find (&connection);
        if (found != m_exchanges.end())
            found->second->onCallerCaughtUp();
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
    m_context.announceStream = [this] (const StreamNotice& notice)
    { m_announcer.announce (notice, m_context.peers, m_context.router); };
    m_context.announcePath = [this] (PeerPath path)
    {
        const auto audience = path == PeerPath::kInDoubt ? PeerAnnouncer::Audience::kOwnZone
                                                         : PeerAnnouncer::Audience::kAll;
        m_announcer.announce (PathNotice{ path }, m_context.peers, m_context.router, audience);
    };
    QObject::connect (&m_server, &QTcpServer::newConnection, &m_server,
                      [this] { acceptAll (m_server, false); });
    QObject::connect (&m_peerServer, &QTcpServer::newConnection, &m_peerServer,
                      [this] { acceptAll (m_peerServer, true); });
}

ProxyServer::~ProxyServer()
{
    m_context.onRunnerUnavailable = [] {};
    m_context.announceStream = [] (const StreamNotice&) {};
    m_context.announcePath = [] (PeerPath) {};
    m_exchanges.clear();
    m_ended.clear();
}

base::Result<base::SocketAddress> ProxyServer::listen (const base::SocketAddress& address)
{
    return listen (m_server, address);
}

base::Result<base::SocketAddress> ProxyServer::listenForPeers (const base::SocketAddress& address,
                                                               std::uint64_t key,
                                                               std::size_t maxRequests)
{
    m_peerKey = key;
    m_maxPeerExchanges = maxRequests;
    return listen (m_peerServer, address);
}

base::Result<base::SocketAddress> ProxyServer::listen (QTcpServer& server,
                                                       const base::SocketAddress& address)
{
    server.setListenBacklogSize (kListenBacklog);
    server.setMaxPendingConnections (kListenBacklog);
    if (! server.listen (QHostAddress (QString::fromStdString (address.host)), address.port))
    {
        return base::fail (base::ErrorKind::kConnectionFailed,
                           address.toString() + ": " + server.errorString().toStdString());
    }
    return base::SocketAddress{ address.host, server.serverPort() };
}

CallerLimits ProxyServer::limitsOf (bool isOfPeer) const
{
    CallerLimits limits = m_limits;
    if (isOfPeer)
        limits.request.headerBytes += kPeerFieldBytes;
    return limits;
}

void ProxyServer::acceptAll (QTcpServer& server, bool areOfPeers)
{
    while (QTcpSocket* accepted = server.nextPendingConnection())
    {
        accepted->setParent (nullptr);
        std::unique_ptr<QTcpSocket> socket (accepted);
        auto connection = std::make_shared<CallerConnection> (
            std::move (socket), limitsOf (areOfPeers), m_handlers,
            CallerBuffers{ m_context.answerBuffers, m_context.requestBuffers });
        m_connections[connection.get()] = { connection, areOfPeers };
        connection->start();
    }
}

std::size_t ProxyServer::peerExchanges() const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_exchanges, [] (const auto& item) { return item.second->isServedForPeer(); }));
}

std::optional<PeerRequest> ProxyServer::takeStatement (CallerConnection& connection,
                                                       ParsedRequest& request)
{
    std::optional<PeerRequest> statement;
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_ASSIGN (statement, takePeerRequest (request.headers));
            return {};
        },
        [&] (const base::Error& error)
        {
            log::write (log::Event::kPeerRequestInvalid,
                        { { "peer", connection.peerAddress() }, { "problem", error.message } });
            onInvalid (connection, error);
        });
    if (! statement)
        return std::nullopt;
    if (statement->key != m_peerKey)
    {
        log::write (log::Event::kPeerRequestInvalid,
                    { { "peer", connection.peerAddress() }, { "problem", "wrong key" } });
        declinePeer (connection, "the key is not the one of this router");
        return std::nullopt;
    }
    if (! statement->notice && peerExchanges() >= m_maxPeerExchanges)
    {
        ++m_context.counters.declinedToPeers;
        declinePeer (connection, "too many requests of other routers");
        return std::nullopt;
    }
    return statement;
}

void ProxyServer::onRequest (CallerConnection& connection, ParsedRequest request)
{
    connection.setRequestId (request.headers.value (m_context.names.requestId));
    if (m_isClosing)
        connection.closeAfterAnswer();
    const auto open = m_connections.find (&connection);
    const bool isOfPeer = open != m_connections.end() && open->second.isOfPeer;
    if (m_isRefusing)
    {
        ++m_context.counters.refused;
        if (isOfPeer)
            declinePeer (connection, "this router is stopping");
        else
            refuseStopping (connection);
        return;
    }
    std::optional<PeerRequest> statement;
    if (isOfPeer)
    {
        statement = takeStatement (connection, request);
        if (! statement)
            return;
        if (statement->notice)
        {
            onNotice (connection, *statement);
            return;
        }
    }
    auto exchange = std::make_unique<Exchange> (m_context, connection, std::move (request),
                                                std::move (statement),
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

void ProxyServer::onPathNotice (const std::string& router, const PathNotice& notice)
{
    const bool isProbeDue = applyPathNotice (m_context.peers, m_context.reachability, router,
                                             notice.path, m_context.clock.now());
    if (isProbeDue)
        m_context.probeReachability();
}

void ProxyServer::onNotice (CallerConnection& connection, const PeerRequest& statement)
{
    constexpr int kOk = 200;
    constexpr int kNoContent = 204;
    std::string body;
    std::visit (base::Overloaded{ [this] (const StreamNotice& notice)
                                  { m_context.streams.record (notice, m_context.clock.now()); },
                                  [&] (const PathNotice& notice)
                                  { onPathNotice (statement.router, notice); },
                                  [&] (const StreamQuery& query)
                                  { body = streamPageAfter (query.after); } },
                *statement.notice);
    PeerAnswer answer;
    answer.outcome = PeerOutcome::kAnswered;
    answer.isNoticeRead = true;
    http::Headers headers;
    addPeerAnswer (headers, answer);
    connection.sendAnswer (body.empty() ? kNoContent : kOk, headers, body);
}

std::string ProxyServer::streamPageAfter (const std::string& key) const
{
    return formatStreamPage (
        m_context.streams.listAfter (key, kStreamsPerPage, m_context.clock.now()));
}

void ProxyServer::onInvalid (CallerConnection& connection, const base::Error& error)
{
    http::Response response = http::errorResponse (error);
    if (error.kind == base::ErrorKind::kNoCapacity)
        response.headers.set ("Retry-After", kRetryWhenFull);
    connection.sendAnswer (response.status, response.headers, response.body);
}

void ProxyServer::onAnswerCut (const CallerConnection& connection)
{
    ++m_context.counters.cutAnswers;
    logAnswerCut (connection);
}

void ProxyServer::refuseStopping (CallerConnection& connection)
{
    http::Response response =
        http::errorResponse ({ base::ErrorKind::kStopping, "this router is stopping" });
    response.headers.set ("Retry-After", kRetryElsewhere);
    connection.sendAnswer (response.status, response.headers, response.body);
}

void ProxyServer::declinePeer (CallerConnection& connection, const std::string& message)
{
    http::Response response = http::errorResponse ({ base::ErrorKind::kStopping, message });
    PeerAnswer answer;
    answer.outcome = PeerOutcome::kUnavailable;
    addPeerAnswer (response.headers, answer);
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
    for (const auto& [key, open] : m_connections)
        open.connection->setLimits (limitsOf (open.isOfPeer));
}

void ProxyServer::beginClosing() { m_isClosing = true; }

void ProxyServer::beginRefusing()
{
    m_isRefusing = true;
    const auto connections = m_connections;  // Copied because closing modifies the map.
    for (const auto& [key, open] : connections)
        open.connection->closeForStop();
}

void ProxyServer::refuseWaiting()
{
    visitExchanges ([] (Exchange& exchange) { exchange.onRouterStopping(); });
}

void ProxyServer::stopListening()
{
    m_server.close();
    m_peerServer.close();
}

std::uint64_t ProxyServer::unsentBytes() const
{
    std::uint64_t bytes = 0;
    for (const auto& [key, open] : m_connections)
        bytes += open.connection->bytesToWrite();
    return bytes;
}

CutAtStop ProxyServer::logOpen() const
{
    CutAtStop cut;
    cut.unsentBytes = unsentBytes();
    for (const auto& [connection, exchange] : m_exchanges)
    {
        if (cut.requests() < kMaxLoggedAtStop)
            exchange->logOpenAtStop();
        if (exchange->isAnswerBegun())
            ++cut.begun;
        else
            ++(exchange->isWaiting() ? cut.waiting : cut.atRunner);
    }
    for (const auto& [key, open] : m_connections)
    {
        const CallerConnection& connection = *open.connection;
        if (connection.bytesToWrite() == 0 || m_exchanges.contains (key))
            continue;
        if (cut.connections++ < kMaxLoggedAtStop)
            logAnswerCut (connection);
    }
    return cut;
}

std::size_t ProxyServer::waitingExchanges() const
{
    return static_cast<std::size_t> (std::ranges::count_if (
        m_exchanges, [] (const auto& item) { return item.second->isWaiting(); }));
}

}  // namespace fernlift::proxy
