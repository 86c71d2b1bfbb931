#pragma once

/// Helpers for the tests: a stub runner that writes raw bytes, and a proxy that forwards to it.

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/ServiceCatalogue.h"
#include "http/HttpTestSupport.h"
#include "proxy/ProxyContext.h"
#include "proxy/ProxyServer.h"
#include "proxy/RequestIdentity.h"
#include "proxy/StreamFetcher.h"

namespace fernlift::proxy::test
{

using http::test::RawCaller;
using http::test::runFor;
using http::test::waitUntil;

/// Connection accepted by a stub runner.
class StubConnection
{
public:
    explicit StubConnection (QTcpSocket* socket) : m_socket (socket)
    {
        m_socket->setParent (nullptr);
        QObject::connect (m_socket.get(), &QTcpSocket::readyRead, m_socket.get(),
                          [this] { received += m_socket->readAll().toStdString(); });
    }
    void write (const std::string& bytes)
    {
        m_socket->write (bytes.data(), static_cast<qint64> (bytes.size()));
        m_socket->flush();
    }
    /// Closes the connection in order.
    void close() { m_socket->disconnectFromHost(); }
    /// Closes the connection so that the peer receives a reset.
    void reset() { http::test::resetConnection (*m_socket); }
    [[nodiscard]] bool isClosed() const
    {
        return m_socket->state() == QAbstractSocket::UnconnectedState;
    }

    std::string received;

private:
    std::unique_ptr<QTcpSocket> m_socket;
};

/// Runner whose answers the test writes byte by byte.
class StubRunner
{
public:
    StubRunner()
    {
        QObject::connect (&m_server, &QTcpServer::newConnection, &m_server,
                          [this]
                          {
                              if (ignoresProbes)
                                  dropUnused();
                              while (QTcpSocket* socket = m_server.nextPendingConnection())
                              {
                                  connections.push_back (std::make_unique<StubConnection> (socket));
                              }
                          });
        m_server.listen (QHostAddress::LocalHost);
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string (m_server.serverPort());
    }
    /// Accepts no connection from now on.
    void stopListening() { m_server.close(); }
    /// Lets connections to this runner neither open nor fail: its queue of pending ones is full.
    void fillPendingConnections()
    {
        m_server.pauseAccepting();
        ::listen (static_cast<int> (m_server.socketDescriptor()), 0);
        constexpr int kConnections = 3;  // More than the kernel queues with this backlog.
        for (int number = 0; number < kConnections; ++number)
        {
            m_pending.push_back (std::make_unique<QTcpSocket>());
            m_pending.back()->connectToHost (QHostAddress::LocalHost, m_server.serverPort());
        }
        runFor (std::chrono::milliseconds (20));
    }
    /// Waits until a request has arrived on the connection with this number.
    [[nodiscard]] bool waitForRequest (std::size_t number = 0, const std::string& part = "\r\n\r\n")
    {
        return waitUntil (
            [&]
            {
                if (ignoresProbes)
                    dropUnused();
                return connections.size() > number
                       && connections[number]->received.find (part) != std::string::npos;
            });
    }

    std::vector<std::unique_ptr<StubConnection>> connections;
    /// Whether connections that were closed without a request are left out.
    bool ignoresProbes = false;

private:
    void dropUnused()
    {
        std::erase_if (connections, [] (const auto& connection)
                       { return connection->isClosed() && connection->received.empty(); });
    }

    QTcpServer m_server;
    std::vector<std::unique_ptr<QTcpSocket>> m_pending;
};

/// Waits until one of two runners has received the first request, and returns it.
inline StubRunner& receiverOf (StubRunner& one, StubRunner& two)
{
    EXPECT_TRUE (waitUntil ([&] { return one.connections.size() + two.connections.size() == 1; }));
    return one.connections.empty() ? two : one;
}

/// Address of a runner that no longer listens.
inline std::string closedAddress()
{
    StubRunner closed;
    std::string address = closed.address();
    closed.stopListening();
    return address;
}

/// Number in an environment variable, by which more seeds are played by hand.
inline std::uint64_t numberFrom (const char* variable, std::uint64_t otherwise)
{
    const char* const text = std::getenv (variable);
    return text == nullptr ? otherwise : std::stoull (text);
}

/// Answer of a runner that served ProxyFixture::request(), with further fields, each with its end
/// of line.
inline std::string servedAnswer (const std::string& fields = "")
{
    return "HTTP/1.1 200 OK\r\nTest-Id: r1\r\n" + fields + "Content-Length: 5\r\n\r\nhello";
}

/// One chunk of a chunked body; empty for no data.
inline std::string chunkOf (const std::string& data)
{
    std::array<char, 24> header{};
    std::snprintf (header.data(), header.size(), "%zx\r\n", data.size());
    return data.empty() ? std::string() : header.data() + data + "\r\n";
}

/// Reply of an AnsweringRunner.
struct StubReply
{
    std::string bytes;    ///< Empty: no answer; the connection stays open.
    bool resets = false;  ///< Whether the connection is reset after the bytes.
    bool closes = false;  ///< Whether the connection is closed in order after the bytes.
};

/// Runner that replies to each request of ProxyFixture::request() as soon as it has arrived.
class AnsweringRunner
{
public:
    using Handler = std::function<StubReply (const std::string& request)>;

    explicit AnsweringRunner (Handler handler) : m_handler (std::move (handler))
    {
        QObject::connect (&m_server, &QTcpServer::newConnection, &m_server,
                          [this]
                          {
                              while (QTcpSocket* socket = m_server.nextPendingConnection())
                                  accept (*socket);
                          });
        m_server.listen (QHostAddress::LocalHost);
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string (m_server.serverPort());
    }

    /// Sets the end of each request, for requests other than ProxyFixture::request().
    void setRequestEnd (std::string end) { m_requestEnd = std::move (end); }

    std::size_t requests = 0;

private:
    void accept (QTcpSocket& socket)
    {
        QObject::connect (&socket, &QTcpSocket::disconnected, &socket, &QObject::deleteLater);
        QObject::connect (&socket, &QTcpSocket::readyRead, &socket,
                          [this, &socket] { read (socket); });
    }
    void read (QTcpSocket& socket)
    {
        std::string& received = m_received[&socket];
        received += socket.readAll().toStdString();
        const std::size_t end = received.find (m_requestEnd);
        if (end == std::string::npos)
            return;
        const std::string request = received.substr (0, end + m_requestEnd.size());
        received.erase (0, request.size());
        ++requests;
        const StubReply reply = m_handler (request);
        socket.write (reply.bytes.data(), static_cast<qint64> (reply.bytes.size()));
        socket.flush();
        if (reply.closes)
            socket.disconnectFromHost();
        if (reply.resets)
            http::test::resetConnection (socket);
    }

    Handler m_handler;
    std::string m_requestEnd = "\r\n\r\nbody";
    std::map<QTcpSocket*, std::string> m_received;
    QTcpServer m_server;
};

/// Other router, of a build that knows no notices.
class RouterOfEarlierBuild : public AnsweringRunner
{
public:
    RouterOfEarlierBuild()
        : AnsweringRunner (
            [] (const std::string&)
            {
                return StubReply{
                    "HTTP/1.1 404 Not Found\r\nFernlift-Peer-Answer: "
                    "outcome=unavailable;attempts=0;runner=;isolated=0\r\n"
                    "Content-Length: 0\r\n\r\n"
                };
            })
    {
        setRequestEnd ("\r\n\r\n");
    }
};

/// Clock that continues while timers stand still, as on a suspended machine.
class SuspendedClock final : public base::Clock
{
public:
    [[nodiscard]] base::TimePoint now() const override { return m_clock.now() + suspendedFor; }
    [[nodiscard]] base::TimePoint runningTime() const override { return m_clock.runningTime(); }
    [[nodiscard]] base::UnixMilliseconds unixNow() const override
    {
        return m_clock.unixNow() + base::toMilliseconds (suspendedFor);
    }

    base::Duration suspendedFor{};

private:
    base::SystemClock m_clock;
};

/// Proxy with two services. Four hosts lead to the first: "app.test" is repeatable, "once.test" is
/// at-most-once, "stream.test" streams, and "resume.test" streams and may be resumed. "other.test"
/// is repeatable and leads to the second.
class ProxyFixture
{
public:
    ProxyFixture()
    {
        http::test::application();
        context.routes = std::make_shared<const RouteTable> (1, catalogue());
        context.areRoutesConfirmed = true;
        listening = base::handleErrors (
            [&] {
                return server.listen ({ "127.0.0.1", 0 });
            },
            [] (const base::Error&) { return base::SocketAddress(); });
    }

    static ProtocolNames testNames()
    {
        ProtocolNames names;
        names.requestId = "Test-Id";
        names.deadline = "Test-Deadline";
        names.model = "Test-Model";
        names.promptParts = "Test-Parts";
        names.promptTokens = "Test-Tokens";
        names.resumedRequest = "Test-Resumes";
        names.targetInstance = "Test-Target";
        names.priority = "Test-Priority";
        names.tenant = "Test-Tenant";
        names.notExecuted = "Test-Not-Executed";
        names.load = "Test-Load";
        names.rateLimit = "Test-Rate";
        names.leaving = "Test-Leaving";
        names.brittle = "Test-Brittle";
        names.internalAnswerFields = { "Test-Leaving", "Test-Brittle" };
        names.readinessPath = "/ready";
        return names;
    }

    static config::Route route (const std::string& host, config::RouteKind kind, bool isResumable)
    {
        config::Route route;
        route.name = host;
        route.host = host;
        route.pathPrefix = "/";
        route.kind = kind;
        route.isResumable = isResumable;
        route.timeout = base::seconds (5);
        route.targetLatency = base::seconds (1);
        route.maximumAttempts = 2;
        route.backends.push_back ({ "service", 1 });
        return route;
    }

    static config::ServiceCatalogue catalogue()
    {
        config::ServiceCatalogue catalogue;
        catalogue.services.push_back ({ "service", "/health", 100, std::nullopt });
        catalogue.routes = { route ("app.test", config::RouteKind::kRepeatable, false),
                             route ("once.test", config::RouteKind::kAtMostOnce, false),
                             route ("stream.test", config::RouteKind::kStream, false),
                             route ("resume.test", config::RouteKind::kStream, true),
                             route ("other.test", config::RouteKind::kRepeatable, false) };
        catalogue.services.push_back ({ "other", "/health", 100, std::nullopt });
        catalogue.routes.back().backends = { { "other", 1 } };
        return catalogue;
    }

    /// Registers a runner under this id.
    void addRunner (const std::string& id, const StubRunner& runner, bool isDraining = false)
    {
        cell::RoutableInstance row = rowOf (id, runner.address());
        row.instance.isDraining = isDraining;
        put (row);
    }

    static cell::RoutableInstance rowOf (const std::string& id, const std::string& address,
                                         base::UnixMilliseconds startedAt = 0)
    {
        cell::RoutableInstance row;
        row.instance.id = id;
        row.instance.startedAt = startedAt;
        row.instance.service = "service";
        row.instance.address = address;
        row.instance.zone = "z1";
        row.instance.slots = 8;
        return row;
    }

    /// Adds a row to the table of runners, or replaces it.
    void put (const cell::RoutableInstance& row)
    {
        cell::InstanceUpdate update = nextUpdate();
        update.upserts.push_back (row);
        apply (update);
    }
    void remove (const std::string& id)
    {
        cell::InstanceUpdate update = nextUpdate();
        update.removals.push_back (id);
        apply (update);
    }
    /// Sends the whole table as a new leader does.
    void replaceTable (const std::vector<cell::RoutableInstance>& rows)
    {
        ++m_term;
        cell::InstanceUpdate update = nextUpdate();
        update.fromVersion = 0;
        update.upserts = rows;
        apply (update);
    }
    /// Lets the controller confirm the table as it is.
    void confirmTable() { apply (nextUpdate()); }
    /// Lets every probe of a runner that broke off an answer find it alive, at once.
    void findRunnersAlive()
    {
        context.checkRunner = [this] (const std::string& instance, const base::SocketAddress&)
        { suspects.onProbeResult (instance, quarantine::RunnerProbeResult::kAlive); };
    }

    /// Lets time pass at once, as if the process had been suspended.
    void advance (base::Duration time)
    {
        clock.suspendedFor += time;
        server.checkDeadlines();
        server.onDirectoryChanged();
    }

    /// Names this router and lets it serve requests of other routers.
    void servePeers (const std::string& name, std::size_t maxRequests = 100)
    {
        context.router = name;
        context.peers = PeerRouters (name, "z1");
        peerListening = base::handleErrors (
            [&] {
                return server.listenForPeers ({ "127.0.0.1", 0 }, kPeerKey, maxRequests);
            },
            [] (const base::Error&) { return base::SocketAddress(); });
    }
    [[nodiscard]] cell::RouterPeer peerRow() const
    {
        return { context.router, "z1", peerListening.toString(), kPeerKey };
    }
    void setPeers (const std::vector<cell::RouterPeer>& rows)
    {
        context.peers.apply ({ rows }, clock.now());
    }
    /// Fetches the streams that the other routers have recorded.
    void fetchStreams()
    {
        streamFetcher.begin();
        pollStreamFetcher();
    }
    void pollStreamFetcher() { streamFetcher.poll (context.peers, context.router); }
    /// Lets this router conclude that it can connect to no runner.
    void isolate()
    {
        const std::vector<std::string> runners{ "cut-1", "cut-2", "cut-3" };
        context.reachability.setRunners (runners);
        for (const std::string& runner : runners)
            context.reachability.onConnectFailed (runner, clock.now());
    }

    /// Sends a request on a new connection. Returns its answer as soon as the head is complete.
    std::string call (const std::string& host)
    {
        RawCaller caller (listening);
        caller.write (request (host));
        caller.waitFor ("\r\n\r\n");
        return caller.received();
    }

    static std::string request (const std::string& host, const std::string& id = "r1",
                                const std::string& extra = "")
    {
        return "POST /path?q=1 HTTP/1.1\r\nHost: " + host + "\r\nTest-Id: " + id
               + "\r\nTest-Deadline: 3000\r\n" + extra + "Content-Length: 4\r\n\r\nbody";
    }

    static constexpr std::uint64_t kPeerKey = 0xabcdef;

    ProtocolNames names = testNames();
    SuspendedClock clock;
    base::Random random{ 1 };
    InstanceDirectory directory{ "z1" };
    InstanceLoadReporter loadReporter;
    RunnerRates rates{ 1, [] {} };
    http::BackEndPool pool{ base::milliseconds (500) };
    dispatch::ServiceRetryBudgets retryBudgets{ 0.1, 10 };
    EngineDemands demands;
    TenantQuotas quotas{ {}, [] {} };
    quarantine::SuspectRequests suspects;
    ProxyCounters counters;
    ProxyContext context{ names,        clock,   random, directory, loadReporter, rates, pool,
                          retryBudgets, demands, quotas, suspects,  counters,     [] {}, nullptr };
    ProxyServer server{ context };
    StreamFetcher streamFetcher{ clock, pool, random, context.streams };
    /// What the controller states about the past with each update; by default, that all versions
    /// are in the table.
    std::function<cell::SoftwareHistory()> softwareHistory = [] {
        return cell::SoftwareHistory{ cell::SoftwareHistory::kWholePast, {} };
    };
    base::SocketAddress listening;
    base::SocketAddress peerListening;

private:
    cell::InstanceUpdate nextUpdate()
    {
        cell::InstanceUpdate update;
        update.term = m_term;
        update.fromVersion = m_tableVersion;
        update.toVersion = ++m_tableVersion;
        update.softwareHistory = softwareHistory();
        return update;
    }
    void apply (const cell::InstanceUpdate& update)
    {
        directory.apply (update, clock.now());
        server.onDirectoryChanged();
    }

    base::Term m_term = 1;
    std::uint64_t m_tableVersion = 0;
};

/// Identity of ProxyFixture::request().
inline cell::RequestIdentity identityOfRequest (const std::string& host)
{
    ParsedRequest request;
    request.method = "POST";
    request.target = "/path?q=1";
    request.headers.add ("Host", host);
    request.body = "body";
    return identityOf (request, "");
}

inline cell::SuspectUpdate suspectUpdate (std::uint64_t version, const std::string& host,
                                          std::uint32_t crashes, std::vector<std::string> instances)
{
    cell::SuspectUpdate update;
    update.toVersion = version;
    update.upserts.push_back ({ identityOfRequest (host), crashes, std::move (instances) });
    return update;
}

}  // namespace fernlift::proxy::test
