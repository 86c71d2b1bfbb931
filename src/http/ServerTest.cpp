#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "http/ErrorResponse.h"
#include "http/HttpTestSupport.h"
#include "http/Server.h"
#include "http/StreamSocket.h"

namespace fernlift::http
{
namespace
{

using test::RawCaller;
using test::waitUntil;

base::SocketAddress listenOnLoopback (Server& server)
{
    test::application();
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

std::string get (const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n";
}

std::size_t countOf (const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find (part); at != std::string::npos; at = text.find (part, at + 1))
    {
        ++count;
    }
    return count;
}

/// Makes the server begin each answer with `text`, and keeps the responder in `kept`.
void beginAnswers (Server& server, const std::string& text, std::shared_ptr<Responder>& kept)
{
    server.setHandler (
        [text, &kept] (const Request&, const std::shared_ptr<Responder>& responder)
        {
            kept = responder;
            responder->begin (200, {});
            responder->write (text);
        });
}

/// A caller that notes how its connection ends.
class EndObserver final : public StreamListener
{
public:
    EndObserver (const base::SocketAddress& address, std::string request)
        : m_request (std::move (request))
    {
        m_socket.connectTo (address);
    }

    void onConnected() override { m_socket.write (m_request); }
    void onData (std::string_view data) override { m_received += data; }
    void onEnd (StreamEnd end) override { m_end = end; }

    [[nodiscard]] const std::string& received() const { return m_received; }
    [[nodiscard]] std::optional<StreamEnd> end() const { return m_end; }

private:
    std::string m_request;
    std::string m_received;
    std::optional<StreamEnd> m_end;
    StreamSocket m_socket{ this };
};

TEST (Server, BrokenAnswerToHttp10CallerEndsByReset)
{
    for (const bool isBroken : { false, true })
    {
        Server server;
        std::shared_ptr<Responder> kept;
        beginAnswers (server, "hello", kept);
        const EndObserver caller (listenOnLoopback (server), "GET / HTTP/1.0\r\n\r\n");
        ASSERT_TRUE (waitUntil ([&] { return caller.received().ends_with ("hello"); }));
        if (isBroken)
            kept->abort();
        else
            kept->end();
        ASSERT_TRUE (waitUntil ([&] { return caller.end().has_value(); }));
        EXPECT_EQ (*caller.end(), isBroken ? StreamEnd::kBroken : StreamEnd::kOrderly);
    }
}

TEST (Server, PassesTheCompleteRequestToTheHandler)
{
    Server server;
    Request seen;
    server.setHandler (
        [&] (const Request& request, const std::shared_ptr<Responder>& responder)
        {
            seen = request;
            responder->send (201, { { "X-Answer", "yes" } }, "done");
        });
    RawCaller caller (listenOnLoopback (server));
    caller.write (
        "PROPFIND /a%20b/c?x=1&y=z%20z HTTP/1.1\r\nHost: t\r\nX-One: 1\r\n"
        "Content-Length: 5\r\n\r\nhello");
    ASSERT_TRUE (caller.waitFor ("done"));
    EXPECT_EQ (seen.method, "PROPFIND");
    EXPECT_EQ (seen.path, "/a%20b/c");
    EXPECT_EQ (seen.query, "x=1&y=z%20z");
    EXPECT_EQ (seen.queryValue ("y"), "z z");
    EXPECT_EQ (seen.headers.value ("x-one"), "1");
    EXPECT_EQ (seen.body, "hello");
    EXPECT_EQ (seen.peer.host, "127.0.0.1");
    EXPECT_TRUE (caller.received().starts_with ("HTTP/1.1 201 Created\r\nX-Answer: yes\r\n"));
}

TEST (Server, AnswersPipelinedRequestsInOrder)
{
    Server server;
    std::vector<std::shared_ptr<Responder>> responders;
    server.setHandler (
        [&] (const Request& request, const std::shared_ptr<Responder>& responder)
        {
            if (request.path == "/slow")
            {
                responder->begin (200, {});
                responder->write ("first");
                responders.push_back (responder);
            }
            else
            {
                responder->send (200, {}, request.path);
            }
        });
    RawCaller caller (listenOnLoopback (server));
    caller.write (get ("/slow") + get ("/second") + get ("/third"));
    ASSERT_TRUE (caller.waitFor ("first"));
    test::runFor (std::chrono::milliseconds (50));
    EXPECT_EQ (countOf (caller.received(), "HTTP/1.1 200"), 1U);
    responders.at (0)->write ("last");
    responders.at (0)->end();
    ASSERT_TRUE (caller.waitFor ("/third"));
    EXPECT_EQ (caller.received(),
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n4\r\nlast\r\n"
               "0\r\n\r\n"
               "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n/second"
               "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n/third");
}

TEST (Server, DecodesAChunkedBody)
{
    Server server;
    server.setHandler ([&] (const Request& request, const std::shared_ptr<Responder>& responder)
                       { responder->send (200, {}, "<" + request.body + ">"); });
    RawCaller caller (listenOnLoopback (server));
    caller.write (
        "POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nTrailer: v\r\n\r\n"
        + get ("/next"));
    ASSERT_TRUE (caller.waitFor ("<>"));
    EXPECT_NE (caller.received().find ("<abc0123456789>"), std::string::npos);
}

TEST (Server, NotifiesWhenTheCallerDisconnects)
{
    Server server;
    std::shared_ptr<Responder> kept;
    int closed = 0;
    server.setHandler (
        [&] (const Request& /*request*/, const std::shared_ptr<Responder>& responder)
        {
            kept = responder;
            responder->onClosed ([&] { ++closed; });
            responder->begin (200, {});
        });
    RawCaller caller (listenOnLoopback (server));
    caller.write (get ("/"));
    ASSERT_TRUE (caller.waitFor ("200 OK"));
    EXPECT_EQ (server.openResponses(), 1U);
    caller.close();
    ASSERT_TRUE (waitUntil ([&] { return closed == 1; }));
    EXPECT_FALSE (kept->isOpen());
    kept->write ("x");
    kept->end();
    EXPECT_EQ (closed, 1);
    EXPECT_TRUE (waitUntil ([&] { return server.openConnections() == 0; }));
}

TEST (Server, AnswersARequestThatTheHandlerDrops)
{
    Server server;
    server.setHandler ([] (const Request&, const std::shared_ptr<Responder>&) {});
    RawCaller caller (listenOnLoopback (server));
    caller.write (get ("/"));
    ASSERT_TRUE (caller.waitFor ("\"kind\":\"internal\""));
    EXPECT_TRUE (caller.received().starts_with ("HTTP/1.1 500"));
}

TEST (Server, PlannedStopFinishesOpenAnswers)
{
    Server server;
    std::shared_ptr<Responder> kept;
    beginAnswers (server, "part", kept);
    const base::SocketAddress address = listenOnLoopback (server);
    RawCaller busy (address);
    RawCaller idle (address);
    busy.write (get ("/"));
    ASSERT_TRUE (busy.waitFor ("part"));
    server.stopListening();
    ASSERT_TRUE (idle.waitForClose());
    EXPECT_EQ (server.openResponses(), 1U);
    kept->write ("rest");
    kept->end();
    ASSERT_TRUE (busy.waitForClose());
    EXPECT_NE (busy.received().find ("rest\r\n0\r\n\r\n"), std::string::npos);
    EXPECT_EQ (server.openResponses(), 0U);
}

TEST (Server, PlannedStopAnswersANewConnection)
{
    Server server;
    server.setHandler ([] (const Request&, const std::shared_ptr<Responder>& responder)
                       { responder->send (200, {}, "done"); });
    const base::SocketAddress address = listenOnLoopback (server);
    RawCaller caller (address);
    ASSERT_TRUE (waitUntil ([&] { return server.openConnections() == 1; }));
    server.stopListening();
    caller.write (get ("/"));
    ASSERT_TRUE (caller.waitForClose());
    EXPECT_NE (caller.received().find ("done"), std::string::npos);
}

TEST (Server, PlannedStopAnswersConnectionsInTheBacklog)
{
    Server server;
    server.setHandler ([] (const Request&, const std::shared_ptr<Responder>& responder)
                       { responder->send (200, {}, "done"); });
    const base::SocketAddress address = listenOnLoopback (server);
    // Blocking calls, so that the server cannot accept the connection before it stops.
    QTcpSocket caller;
    caller.connectToHost (QHostAddress (QString::fromStdString (address.host)), address.port);
    ASSERT_TRUE (caller.waitForConnected());
    caller.write (get ("/").c_str());
    ASSERT_TRUE (caller.waitForBytesWritten());
    server.stopListening();
    QByteArray received;
    ASSERT_TRUE (waitUntil (
        [&]
        {
            received += caller.readAll();
            return caller.state() == QAbstractSocket::UnconnectedState
                   || received.contains ("done");
        }));
    EXPECT_TRUE (received.contains ("done"));
}

TEST (ErrorResponse, HasTheDocumentedForm)
{
    const Response response =
        errorResponse ({ base::ErrorKind::kQueueFull, "busy" }, base::Execution::kNotRun, "r-1",
                       base::milliseconds (1200));
    EXPECT_EQ (response.status, 429);
    EXPECT_EQ (response.headers.value ("Retry-After"), "2");
    EXPECT_EQ (response.body,
               "{\"error\":{\"execution\":\"not_run\",\"kind\":\"queue_full\",\"message\":\"busy\","
               "\"request_id\":\"r-1\",\"retry_after_ms\":1200}}");
}

}  // namespace
}  // namespace fernlift::http
