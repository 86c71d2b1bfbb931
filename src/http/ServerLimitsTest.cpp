#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "http/HttpTestSupport.h"
#include "http/Server.h"

namespace fernlift::http
{
namespace
{

using base::milliseconds;
using test::RawCaller;
using test::waitUntil;

constexpr base::Duration kShort = milliseconds (50);

/// A server that answers every request with "ok" and counts the requests.
class LimitedServer
{
public:
    explicit LimitedServer (const ServerLimits& limits) : m_server (limits)
    {
        test::application();
        m_server.setHandler (
            [this] (const Request&, const std::shared_ptr<Responder>& responder)
            {
                ++handled;
                responder->send (200, {}, "ok");
            });
        address = base::handleErrors (
            [&] {
                return m_server.listen ({ "127.0.0.1", 0 });
            },
            [] (const base::Error&) { return base::SocketAddress(); });
    }
    Server& server() { return m_server; }

    base::SocketAddress address;
    int handled = 0;

private:
    Server m_server;
};

bool refuses (const RawCaller& caller, const std::string& status, const std::string& kind)
{
    return caller.received().starts_with ("HTTP/1.1 " + status)
           && caller.received().find ("\"kind\":\"" + kind + "\"") != std::string::npos
           && caller.received().find ("\"execution\":\"not_run\"") != std::string::npos;
}

std::string post (const std::string& fields)
{
    return "POST / HTTP/1.1\r\nHost: t\r\n" + fields + "\r\n";
}

TEST (ServerLimits, RefusesALargeBodyBeforeItArrives)
{
    LimitedServer limited (ServerLimits{ .bodyBytes = 1000 });
    RawCaller caller (limited.address);
    caller.write (post ("Content-Length: 1001\r\n"));
    ASSERT_TRUE (caller.waitForClose());
    EXPECT_TRUE (refuses (caller, "413", "body_too_large")) << caller.received();
    EXPECT_EQ (limited.handled, 0);
    EXPECT_EQ (limited.server().counters().rejected, 1U);
}

TEST (ServerLimits, RefusesALargeChunkedBodyWhileReading)
{
    LimitedServer limited (ServerLimits{ .bodyBytes = 1000 });
    RawCaller caller (limited.address);
    const std::string chunk = "190\r\n" + std::string (400, 'x') + "\r\n";
    caller.write (post ("Transfer-Encoding: chunked\r\n") + chunk + chunk + chunk);
    ASSERT_TRUE (caller.waitForClose());
    EXPECT_TRUE (refuses (caller, "413", "body_too_large")) << caller.received();
    EXPECT_EQ (limited.handled, 0);
}

TEST (ServerLimits, AcceptsABodyOfExactlyTheLimit)
{
    LimitedServer limited (ServerLimits{ .bodyBytes = 1000 });
    RawCaller caller (limited.address);
    caller.write (post ("Content-Length: 1000\r\n") + std::string (1000, 'x'));
    ASSERT_TRUE (caller.waitFor ("ok"));
    EXPECT_EQ (limited.handled, 1);
}

TEST (ServerLimits, RefusesHeadersThatDoNotEnd)
{
    LimitedServer limited (ServerLimits{ .headerBytes = 1000 });
    RawCaller caller (limited.address);
    caller.write ("GET / HTTP/1.1\r\nX-Long: " + std::string (2000, 'x'));
    ASSERT_TRUE (caller.waitForClose());
    EXPECT_TRUE (refuses (caller, "431", "header_too_large")) << caller.received();
    EXPECT_EQ (limited.handled, 0);
}

TEST (ServerLimits, AnswersConnectionsAboveTheLimitAndRecovers)
{
    LimitedServer limited (ServerLimits{ .connections = 2 });
    auto first = std::make_unique<RawCaller> (limited.address);
    const RawCaller second (limited.address);
    ASSERT_TRUE (waitUntil ([&] { return limited.server().openConnections() == 2; }));
    RawCaller third (limited.address);
    third.write (post ("Content-Length: 0\r\n"));
    ASSERT_TRUE (third.waitForClose());
    EXPECT_TRUE (refuses (third, "503", "too_many_connections")) << third.received();
    first.reset();
    ASSERT_TRUE (waitUntil ([&] { return limited.server().openConnections() < 2; }));
    RawCaller fourth (limited.address);
    fourth.write (post ("Content-Length: 0\r\n"));
    EXPECT_TRUE (fourth.waitFor ("ok"));
}

TEST (ServerLimits, RefusesAmbiguousFraming)
{
    const std::vector<std::string> ambiguous{
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: +4\r\n",
        "Content-Length : 4\r\n",
    };
    for (const std::string& fields : ambiguous)
    {
        LimitedServer limited ({});
        RawCaller caller (limited.address);
        // A parser that applies the other framing would read this as a second request.
        caller.write (post (fields) + "0\r\n\r\nGET /second HTTP/1.1\r\nHost: t\r\n\r\n");
        ASSERT_TRUE (caller.waitForClose()) << fields;
        EXPECT_TRUE (caller.received().starts_with ("HTTP/1.1 400")) << fields << caller.received();
        EXPECT_EQ (limited.handled, 0) << fields;
    }
}

TEST (ServerLimits, ClosesAnIdleConnection)
{
    LimitedServer limited (ServerLimits{ .idleTimeout = kShort });
    RawCaller caller (limited.address);
    ASSERT_TRUE (caller.waitForClose());
    EXPECT_EQ (caller.received(), "");
}

TEST (ServerLimits, RefusesSlowHeaders)
{
    LimitedServer limited (ServerLimits{ .headerTimeout = kShort });
    RawCaller caller (limited.address);
    caller.write ("GET / HTTP/1.1\r\nHost: ");
    ASSERT_TRUE (caller.waitForClose());
    EXPECT_TRUE (refuses (caller, "408", "request_timeout")) << caller.received();
    EXPECT_EQ (limited.handled, 0);
}

TEST (ServerLimits, RefusesASlowBodyDespiteProgress)
{
    LimitedServer limited (ServerLimits{ .requestTimeout = 2 * kShort });
    RawCaller caller (limited.address);
    caller.write (post ("Content-Length: 1000000\r\n"));
    const bool isClosed = waitUntil (
        [&]
        {
            if (! caller.isClosed())
                caller.write ("x");
            return caller.isClosed();
        });
    ASSERT_TRUE (isClosed);
    EXPECT_TRUE (refuses (caller, "408", "request_timeout")) << caller.received();
    EXPECT_EQ (limited.handled, 0);
}

TEST (ServerLimits, NotifiesWhenASlowCallerDrainsOrTimesOut)
{
    constexpr std::size_t kLarge = 64UL * 1024 * 1024;
    for (const bool resumes : { true, false })
    {
        Server server (
            ServerLimits{ .writeTimeout = resumes ? base::seconds (60) : base::Duration (kShort) });
        std::shared_ptr<Responder> responder;
        bool isDrained = false;
        bool isClosed = false;
        server.setHandler (
            [&] (const Request&, const std::shared_ptr<Responder>& answer)
            {
                responder = answer;
                answer->onDrained ([&] { isDrained = true; });
                answer->onClosed ([&] { isClosed = true; });
                answer->begin (200, {});
                answer->write (std::string (kLarge, 'x'));
            });
        const auto address = base::handleErrors (
            [&] {
                return server.listen ({ "127.0.0.1", 0 });
            },
            [] (const base::Error&) { return base::SocketAddress(); });
        RawCaller caller (address);
        caller.stopReading (1024);
        caller.write ("GET / HTTP/1.1\r\nHost: t\r\n\r\n");
        ASSERT_TRUE (waitUntil ([&] { return responder != nullptr; }));
        if (! resumes)
        {
            EXPECT_TRUE (waitUntil ([&] { return isClosed; }));
            continue;
        }
        EXPECT_GT (responder->bytesToWrite(), 0U);
        EXPECT_FALSE (isDrained);
        caller.resumeReading();
        EXPECT_TRUE (waitUntil ([&] { return isDrained; }));
        EXPECT_FALSE (isClosed);
    }
}

}  // namespace
}  // namespace fernlift::http
