#include <gtest/gtest.h>

#include <QTcpServer>
#include <QTimer>
#include <algorithm>
#include <array>
#include <optional>
#include <vector>

#include "http/Client.h"
#include "http/HttpTestSupport.h"
#include "http/Server.h"

namespace fernlift::http
{
namespace
{

using test::waitUntil;

base::SocketAddress listenOnLoopback (Server& server)
{
    return base::handleErrors (
        [&] {
            return server.listen ({ "127.0.0.1", 0 });
        },
        [] (const base::Error& error)
        {
            ADD_FAILURE() << error.message;
            return base::SocketAddress{};
        });
}

/// Result of one exchange.
struct Outcome
{
    std::optional<WholeResponse> response;
    std::optional<ClientError> error;

    [[nodiscard]] bool isDone() const { return response || error; }
};

std::shared_ptr<Exchange> fetchInto (Client& client, ClientRequest request, Outcome& outcome)
{
    return client.fetch (
        std::move (request), [&] (const WholeResponse& response) { outcome.response = response; },
        [&] (const ClientError& error) { outcome.error = error; });
}

ClientRequest post (const base::SocketAddress& address, std::string body)
{
    ClientRequest request;
    request.address = address;
    request.method = "POST";
    request.body = std::move (body);
    return request;
}

/// A back end on raw sockets that counts requests and answers each with a callback.
class RawBackEnd
{
public:
    using Answer = std::function<void (QTcpSocket&, int requestNumber)>;

    explicit RawBackEnd (Answer answer) : m_answer (std::move (answer))
    {
        m_server.listen (QHostAddress::LocalHost, 0);
        QObject::connect (&m_server, &QTcpServer::newConnection, &m_server,
                          [this] { onConnection(); });
    }
    [[nodiscard]] base::SocketAddress address() const
    {
        return { "127.0.0.1", m_server.serverPort() };
    }
    [[nodiscard]] int requests() const { return m_requests; }
    [[nodiscard]] int connections() const { return m_connections; }

private:
    void onConnection()
    {
        while (QTcpSocket* const socket = m_server.nextPendingConnection())
        {
            ++m_connections;
            QObject::connect (
                socket, &QTcpSocket::readyRead, &m_server,
                [this, socket]
                {
                    QByteArray received =
                        socket->property ("received").toByteArray() + socket->readAll();
                    while (received.contains ("\r\n\r\n") && received.endsWith ("end"))
                    {
                        received.clear();
                        m_answer (*socket, ++m_requests);
                    }
                    socket->setProperty ("received", received);
                });
        }
    }

    Answer m_answer;
    QTcpServer m_server;
    int m_requests = 0;
    int m_connections = 0;
};

void answerOk (QTcpSocket& socket)
{
    socket.write ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

TEST (Client, SendsTheRequestAsGivenAndReadsTheAnswer)
{
    Server server;
    Request seen;
    server.setHandler (
        [&] (const Request& request, const std::shared_ptr<Responder>& responder)
        {
            seen = request;
            responder->send (404, { { "X-Answer", "a" } }, "gone");
        });
    Client client;
    Outcome outcome;
    ClientRequest request = post (listenOnLoopback (server), "body");
    request.method = "PATCH";
    request.path = "/a%20b?x=%2F";
    request.headers.add ("X-One", "1");
    fetchInto (client, request, outcome);
    ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
    ASSERT_TRUE (outcome.response) << outcome.error->message;
    EXPECT_EQ (outcome.response->status, 404);
    EXPECT_EQ (outcome.response->body, "gone");
    EXPECT_EQ (outcome.response->headers.value ("x-answer"), "a");
    EXPECT_EQ (seen.method, "PATCH");
    EXPECT_EQ (seen.path, "/a%20b");
    EXPECT_EQ (seen.query, "x=%2F");
    EXPECT_EQ (seen.body, "body");
    EXPECT_EQ (seen.headers.value ("X-One"), "1");
    EXPECT_EQ (seen.headers.value ("User-Agent"), "fernlift");
    EXPECT_EQ (seen.headers.value ("Accept-Encoding"), "identity");
}

TEST (Client, DeliversAnswersOfEveryStatus)
{
    int status = 0;
    Server server;
    server.setHandler ([&] (const Request&, const std::shared_ptr<Responder>& responder)
                       { responder->send (status, {}, "body"); });
    const auto address = listenOnLoopback (server);
    Client client;
    for (status = 200; status < 600; ++status)
    {
        if (status == 204 || status == 205 || (status > 300 && status < 309))
            continue;
        Outcome outcome;
        fetchInto (client, post (address, "end"), outcome);
        ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
        ASSERT_TRUE (outcome.response) << status << ": " << outcome.error->message;
        EXPECT_EQ (outcome.response->status, status);
        EXPECT_EQ (outcome.response->body, "body");
    }
}

TEST (Client, HeadAnswerHasNoBody)
{
    Server server;
    std::string method;
    server.setHandler (
        [&] (const Request& request, const std::shared_ptr<Responder>& responder)
        {
            method = request.method;
            responder->send (200, { { "X-Answer", "a" } }, "hidden");
        });
    Client client;
    Outcome outcome;
    ClientRequest request;
    request.address = listenOnLoopback (server);
    request.method = "HEAD";
    request.idleTimeout = base::milliseconds (500);
    fetchInto (client, request, outcome);
    ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
    ASSERT_TRUE (outcome.response) << outcome.error->message;
    EXPECT_EQ (method, "HEAD");
    EXPECT_EQ (outcome.response->headers.value ("X-Answer"), "a");
    EXPECT_EQ (outcome.response->headers.value ("Content-Length"), "6");
    EXPECT_EQ (outcome.response->body, "");
}

TEST (Client, SendsAPostOnceWhenAFreshConnectionCloses)
{
    RawBackEnd backEnd ([] (QTcpSocket& socket, int) { socket.abort(); });
    Client client;
    Outcome outcome;
    fetchInto (client, post (backEnd.address(), "end"), outcome);
    ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
    test::runFor (std::chrono::milliseconds (300));
    ASSERT_TRUE (outcome.error);
    EXPECT_EQ (outcome.error->kind, ClientErrorKind::kBroken);
    EXPECT_EQ (backEnd.requests(), 1);
}

TEST (Client, DropsIdleConnectionsAfterATimeout)
{
    std::vector<QTcpSocket*> silent;  // Sockets that stop answering after their first answer.
    RawBackEnd backEnd (
        [&] (QTcpSocket& socket, int)
        {
            if (std::ranges::find (silent, &socket) != silent.end())
                return;
            answerOk (socket);
            silent.push_back (&socket);
        });
    Client client;
    std::array<Outcome, 4> outcomes;
    fetchInto (client, post (backEnd.address(), "end"), outcomes[0]);
    fetchInto (client, post (backEnd.address(), "end"), outcomes[1]);
    ASSERT_TRUE (waitUntil ([&] { return outcomes[0].isDone() && outcomes[1].isDone(); }));
    ASSERT_EQ (backEnd.connections(), 2);
    ClientRequest third = post (backEnd.address(), "end");
    third.headersTimeout = std::chrono::milliseconds (100);
    fetchInto (client, third, outcomes[2]);
    ASSERT_TRUE (waitUntil ([&] { return outcomes[2].isDone(); }));
    ASSERT_TRUE (outcomes[2].error);
    fetchInto (client, post (backEnd.address(), "end"), outcomes[3]);
    ASSERT_TRUE (waitUntil ([&] { return outcomes[3].isDone(); }));
    EXPECT_TRUE (outcomes[3].response);
    EXPECT_EQ (backEnd.connections(), 3);
}

TEST (Client, SendsAPostOnceWhenAReusedConnectionCloses)
{
    for (const bool isGraceful : { true, false })
    {
        RawBackEnd backEnd (
            [isGraceful] (QTcpSocket& socket, int number)
            {
                if (number == 1)
                {
                    answerOk (socket);
                }
                else if (isGraceful)
                {
                    socket.disconnectFromHost();
                }
                else
                {
                    socket.abort();
                }
            });
        Client client;
        Outcome first;
        fetchInto (client, post (backEnd.address(), "end"), first);
        ASSERT_TRUE (waitUntil ([&] { return first.isDone(); }));
        ASSERT_TRUE (first.response);
        Outcome second;
        fetchInto (client, post (backEnd.address(), "end"), second);
        ASSERT_TRUE (waitUntil ([&] { return second.isDone(); }));
        test::runFor (std::chrono::milliseconds (300));
        ASSERT_TRUE (second.error);
        EXPECT_EQ (second.error->kind, ClientErrorKind::kBroken);
        EXPECT_EQ (backEnd.requests(), 2);
        EXPECT_EQ (backEnd.connections(), 1)
            << "the second request was not on the reused connection";
    }
}

TEST (Client, SendsARequestWithoutBodyOnce)
{
    for (const char* method : { "POST", "DELETE" })
    {
        int heads = 0;
        QTcpServer server;
        server.listen (QHostAddress::LocalHost, 0);
        QObject::connect (&server, &QTcpServer::newConnection, &server,
                          [&]
                          {
                              QTcpSocket* const socket = server.nextPendingConnection();
                              QObject::connect (socket, &QTcpSocket::readyRead, &server,
                                                [&heads, socket]
                                                {
                                                    if (socket->readAll().contains ("\r\n\r\n"))
                                                        ++heads;
                                                    socket->abort();
                                                });
                          });
        Client client;
        Outcome outcome;
        ClientRequest request = post ({ "127.0.0.1", server.serverPort() }, "");
        request.method = method;
        fetchInto (client, request, outcome);
        ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
        test::runFor (std::chrono::milliseconds (300));
        ASSERT_TRUE (outcome.error);
        EXPECT_EQ (outcome.error->kind, ClientErrorKind::kBroken);
        EXPECT_EQ (heads, 1) << method;
    }
}

TEST (Client, ReportsNotSentWhenTheConnectionIsRefused)
{
    QTcpServer closed;
    closed.listen (QHostAddress::LocalHost, 0);
    const base::SocketAddress address{ "127.0.0.1", closed.serverPort() };
    closed.close();
    Client client;
    Outcome outcome;
    fetchInto (client, post (address, "end"), outcome);
    ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
    ASSERT_TRUE (outcome.error);
    EXPECT_EQ (outcome.error->kind, ClientErrorKind::kNotSent);
}

TEST (Client, ReportsNotSentWhenTheConnectionIsNotEstablishedInTime)
{
    QTcpServer full;
    full.setListenBacklogSize (0);
    full.listen (QHostAddress::LocalHost, 0);
    full.pauseAccepting();
    std::array<QTcpSocket, 4> waiting;  // More than the system keeps for the server.
    for (QTcpSocket& socket : waiting)
        socket.connectToHost (QHostAddress::LocalHost, full.serverPort());
    test::runFor (std::chrono::milliseconds (50));
    Client client;
    Outcome outcome;
    ClientRequest request = post ({ "127.0.0.1", full.serverPort() }, "end");
    request.connectTimeout = std::chrono::milliseconds (100);
    fetchInto (client, request, outcome);
    ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
    ASSERT_TRUE (outcome.error);
    EXPECT_EQ (outcome.error->kind, ClientErrorKind::kNotSent);
}

TEST (Client, ReportsBrokenWhenTheBackEndDiesAfterReading)
{
    auto backEnd = std::make_unique<QTcpServer>();
    backEnd->listen (QHostAddress::LocalHost, 0);
    int requests = 0;
    QObject::connect (backEnd.get(), &QTcpServer::newConnection, backEnd.get(),
                      [&]
                      {
                          QTcpSocket* const socket = backEnd->nextPendingConnection();
                          QObject::connect (socket, &QTcpSocket::readyRead, socket,
                                            [&, socket]
                                            {
                                                ++requests;
                                                socket->readAll();
                                                if (requests == 1)
                                                {
                                                    answerOk (*socket);
                                                    return;
                                                }
                                                backEnd->close();
                                                socket->abort();
                                            });
                      });
    const base::SocketAddress address{ "127.0.0.1", backEnd->serverPort() };
    Client client;
    for (int attempt = 1; attempt <= 2; ++attempt)
    {
        Outcome outcome;
        fetchInto (client, post (address, "end"), outcome);
        ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
        if (attempt == 2)
        {
            ASSERT_TRUE (outcome.error);
            EXPECT_EQ (outcome.error->kind, ClientErrorKind::kBroken);
        }
    }
}

TEST (Client, RunsManyExchangesWithOneBackEndAtOnce)
{
    constexpr std::size_t kExchanges = 40;
    Server server;
    std::vector<std::shared_ptr<Responder>> waiting;
    server.setHandler (
        [&] (const Request&, const std::shared_ptr<Responder>& responder)
        {
            waiting.push_back (responder);
            if (waiting.size() < kExchanges)
                return;
            for (const auto& each : waiting)
                each->send (200, {}, "all");
        });
    const base::SocketAddress address = listenOnLoopback (server);
    Client client;
    std::vector<Outcome> outcomes (kExchanges);
    for (Outcome& outcome : outcomes)
        fetchInto (client, post (address, "x"), outcome);
    EXPECT_TRUE (waitUntil (
        [&]
        {
            return std::all_of (outcomes.begin(), outcomes.end(),
                                [] (const Outcome& outcome)
                                { return outcome.response.has_value(); });
        }));
}

TEST (Client, ReportsATruncatedAnswerAsBroken)
{
    for (const char* answer :
         { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort" })
    {
        RawBackEnd backEnd (
            [answer] (QTcpSocket& socket, int)
            {
                socket.write (answer);
                socket.disconnectFromHost();
            });
        Client client;
        Outcome outcome;
        fetchInto (client, post (backEnd.address(), "end"), outcome);
        ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
        ASSERT_TRUE (outcome.error) << answer;
        EXPECT_EQ (outcome.error->kind, ClientErrorKind::kBroken);
    }
}

TEST (Client, ChunkedAnswerWithoutItsLastChunkIsBroken)
{
    const std::string answer =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (std::size_t length = answer.find ("hello"); length < answer.size(); ++length)
    {
        RawBackEnd backEnd (
            [&] (QTcpSocket& socket, int)
            {
                socket.write (answer.data(), static_cast<qint64> (length));
                socket.disconnectFromHost();
            });
        Client client;
        Outcome outcome;
        const auto exchange = fetchInto (client, post (backEnd.address(), "end"), outcome);
        ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
        EXPECT_TRUE (outcome.error) << "complete after " << length << " of " << answer.size();
    }
}

TEST (Client, AnswerWithoutLengthIsBrokenByReset)
{
    RawBackEnd backEnd (
        [&] (QTcpSocket& socket, int)
        {
            socket.write ("HTTP/1.1 200 OK\r\n\r\nhello");
            socket.flush();
            QTimer::singleShot (20, &socket, [&socket] { test::resetConnection (socket); });
        });
    Client client;
    Outcome outcome;
    const auto exchange = fetchInto (client, post (backEnd.address(), "end"), outcome);
    ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
    EXPECT_TRUE (outcome.error);
}

TEST (Client, TimesOutWhenNoAnswerComes)
{
    RawBackEnd backEnd ([] (QTcpSocket&, int) {});
    Client client;
    Outcome outcome;
    ClientRequest request = post (backEnd.address(), "end");
    request.headersTimeout = base::milliseconds (50);
    fetchInto (client, request, outcome);
    ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
    ASSERT_TRUE (outcome.error);
    EXPECT_EQ (outcome.error->kind, ClientErrorKind::kTimeout);
}

TEST (Client, CancelClosesTheConnectionAndStopsCallbacks)
{
    Server server;
    int closed = 0;
    std::shared_ptr<Responder> kept;
    server.setHandler (
        [&] (const Request&, const std::shared_ptr<Responder>& responder)
        {
            kept = responder;
            responder->onClosed ([&] { ++closed; });
            responder->begin (200, {});
            responder->write ("part");
        });
    Client client;
    std::string received;
    bool isFinished = false;
    ClientCallbacks callbacks;
    callbacks.onData = [&] (std::string_view data) { received += data; };
    callbacks.onEnd = [&] { isFinished = true; };
    callbacks.onError = [&] (const ClientError&) { isFinished = true; };
    const auto exchange = client.send (post (listenOnLoopback (server), "x"), callbacks);
    ASSERT_TRUE (waitUntil ([&] { return received == "part"; }));
    exchange->cancel();
    ASSERT_TRUE (waitUntil ([&] { return closed == 1; }));
    EXPECT_FALSE (isFinished);
}

TEST (Client, PauseAtTheEndOfAnAnswerDoesNotHoldUpTheNextOne)
{
    RawBackEnd backEnd ([] (QTcpSocket& socket, int) { answerOk (socket); });
    Client client;
    bool hasEnded = false;
    std::shared_ptr<Exchange> exchange;
    ClientCallbacks callbacks;
    callbacks.onData = [&] (std::string_view) { exchange->setPaused (true); };
    callbacks.onEnd = [&] { hasEnded = true; };
    exchange = client.send (post (backEnd.address(), "end"), callbacks);
    ASSERT_TRUE (waitUntil ([&] { return hasEnded; }));
    Outcome second;
    ClientRequest request = post (backEnd.address(), "end");
    request.headersTimeout = std::chrono::milliseconds (500);
    fetchInto (client, request, second);
    ASSERT_TRUE (waitUntil ([&] { return second.isDone(); }));
    EXPECT_TRUE (second.response);
    EXPECT_EQ (backEnd.connections(), 1);
}

TEST (Client, CollectedAnswerWithoutEndIsBrokenOff)
{
    Server server;
    int closed = 0;
    std::shared_ptr<Responder> kept;
    const std::string block (64UL * 1024, 'x');
    server.setHandler (
        [&] (const Request&, const std::shared_ptr<Responder>& responder)
        {
            kept = responder;
            responder->onClosed ([&] { ++closed; });
            responder->onDrained ([&] { kept->write (block); });
            responder->begin (200, {});
            responder->write (block);
        });
    Client client;
    ClientRequest request = post (listenOnLoopback (server), "x");
    request.maxWholeBytes = 1024UL * 1024;
    Outcome outcome;
    fetchInto (client, request, outcome);
    ASSERT_TRUE (waitUntil ([&] { return outcome.isDone(); }));
    ASSERT_TRUE (outcome.error);
    EXPECT_EQ (outcome.error->kind, ClientErrorKind::kBroken);
    EXPECT_TRUE (waitUntil ([&] { return closed == 1; }));
}

TEST (Client, PausingAppliesBackPressure)
{
    constexpr std::size_t kTotal = 64UL * 1024 * 1024;
    Server server;
    std::shared_ptr<Responder> kept;
    std::size_t written = 0;
    const std::string block (64UL * 1024, 'x');
    const auto refill = [&]
    {
        while (written < kTotal && kept->bytesToWrite() < block.size())
        {
            kept->write (block);
            written += block.size();
        }
        if (written == kTotal)
            kept->end();
    };
    server.setHandler (
        [&] (const Request&, const std::shared_ptr<Responder>& responder)
        {
            kept = responder;
            responder->onDrained (refill);
            responder->begin (200, { { "Content-Length", std::to_string (kTotal) } });
            refill();
        });
    Client client;
    std::size_t received = 0;
    bool isComplete = false;
    std::shared_ptr<Exchange> exchange;
    ClientCallbacks callbacks;
    callbacks.onData = [&] (std::string_view data)
    {
        if (received == 0)
            exchange->setPaused (true);
        received += data.size();
    };
    callbacks.onEnd = [&] { isComplete = true; };
    exchange = client.send (post (listenOnLoopback (server), "x"), callbacks);
    ASSERT_TRUE (waitUntil ([&] { return received > 0; }));
    const std::size_t receivedBefore = received;
    test::runFor (std::chrono::milliseconds (500));
    EXPECT_EQ (received, receivedBefore);
    EXPECT_LT (written, kTotal / 4) << "the back end was not held back";
    exchange->setPaused (false);
    ASSERT_TRUE (waitUntil ([&] { return isComplete; }));
    EXPECT_EQ (received, kTotal);
}

}  // namespace
}  // namespace fernlift::http
