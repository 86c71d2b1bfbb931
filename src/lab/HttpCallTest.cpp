#include <gtest/gtest.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <sstream>
#include <vector>

#include "lab/EventWait.h"
#include "lab/HttpCall.h"
#include "lab/LoadRunner.h"
#include "lab/TestSupport.h"

namespace fernlift::lab
{
namespace
{

constexpr std::string_view kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Request-Id: r1\r\n\r\n"
    "5\r\nhello\r\n1;x=y\r\n \r\n5\r\nworld\r\n0\r\n\r\n";
constexpr std::string_view kWithLength = "HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\n\r\nabc";

constexpr std::string_view kChunkEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr base::Duration kStalled = base::milliseconds (500);

std::string chunkedAnswer (const std::vector<std::string>& parts)
{
    std::ostringstream answer;
    answer << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" << std::hex;
    for (const std::string& part : parts)
    {
        answer << part.size() << "\r\n" << part << "\r\n";
    }
    answer << kLastChunk;
    return answer.str();
}

enum class After : std::uint8_t
{
    kClose,
    kReset,
    kStayOpen
};

/// A server that answers each request with given bytes, in parts, and then closes the connection,
/// resets it or keeps it open.
class HttpCallTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ensureApplication();
        ASSERT_TRUE (m_server.listen (QHostAddress (QHostAddress::LocalHost)));
        QObject::connect (&m_server, &QTcpServer::newConnection,
                          [this]
                          {
                              ++m_connections;
                              QTcpSocket* const socket = m_server.nextPendingConnection();
                              QObject::connect (socket, &QTcpSocket::readyRead, socket,
                                                [this, socket] { answer (*socket); });
                          });
    }

    void answer (QTcpSocket& socket)
    {
        m_received += socket.readAll().toStdString();
        if (! m_received.ends_with ("question"))
        {
            return;
        }
        ++m_requests;
        std::string_view rest = m_answer;
        while (! rest.empty())
        {
            const std::string_view part = rest.substr (0, m_partSize);
            socket.write (part.data(), static_cast<qint64> (part.size()));
            socket.flush();
            rest.remove_prefix (part.size());
        }
        if (m_after == After::kClose)
        {
            socket.disconnectFromHost();
        }
        else if (m_after == After::kReset)
        {
            socket.abort();
        }
    }

    HttpOutcome call (std::string_view bytes, After after,
                      base::Duration timeout = base::seconds (20))
    {
        m_answer = bytes;
        m_after = after;
        m_received.clear();
        return callAndWait ({ .address = { "127.0.0.1", m_server.serverPort() },
                              .path = "/path",
                              .headers = { { "X-Request-Id", "r1" } },
                              .body = "question",
                              .timeout = timeout });
    }

    QTcpServer m_server;
    std::string m_answer;
    After m_after = After::kClose;
    std::size_t m_partSize = 1024;
    std::string m_received;
    int m_connections = 0;
    int m_requests = 0;
};

TEST_F (HttpCallTest, ReadsAnAnswerWithALength)
{
    const HttpOutcome outcome = call (kWithLength, After::kStayOpen);
    EXPECT_EQ (outcome.end, CallEnd::kComplete);
    EXPECT_EQ (outcome.status, 404);
    EXPECT_EQ (outcome.body, "abc");
    EXPECT_NE (m_received.find ("X-Request-Id: r1\r\n"), std::string::npos);
    EXPECT_NE (m_received.find ("Connection: close\r\n"), std::string::npos);
}

TEST_F (HttpCallTest, ReadsChunksInPartsOfAnySize)
{
    for (m_partSize = 1; m_partSize <= kChunked.size(); m_partSize += 3)
    {
        const HttpOutcome outcome = call (kChunked, After::kStayOpen);
        EXPECT_EQ (outcome.end, CallEnd::kComplete);
        EXPECT_EQ (outcome.body, "hello world");
        EXPECT_EQ (outcome.headers.value ("x-request-id"), "r1");
    }
}

TEST_F (HttpCallTest, ReportsBrokenForEveryTruncationOfAnAnswerWithALength)
{
    for (const After after : { After::kClose, After::kReset })
    {
        for (std::size_t length = 0; length < kWithLength.size(); ++length)
        {
            EXPECT_EQ (call (kWithLength.substr (0, length), after).end, CallEnd::kBroken)
                << "cut after " << length << " bytes";
        }
    }
    EXPECT_EQ (m_connections, m_requests) << "a request was sent again";
}

TEST_F (HttpCallTest, TruncatedChunkedAnswerIsNeverComplete)
{
    CallRecord streamed;
    streamed.isStreaming = true;
    CallRecord application;
    application.kind = CallKind::kApplication;
    const std::vector<std::pair<CallRecord, std::string>> answers{
        { streamed, chunkedAnswer ({ R"(data: {"offset":0,"choices":[{"delta":{"content":"a "}}]})",
                                     "\n\ndata: [DONE]", "\n\n" }) },
        { CallRecord{},
          chunkedAnswer ({ R"({"choices":[{"message":)", R"({"content":"a "}}]})" }) },
        { application, chunkedAnswer ({ R"({"body_digest")", R"(:"abc"})" }) }
    };
    for (const auto& [record, answer] : answers)
    {
        // From this offset on the complete text has arrived.
        const std::size_t last = answer.size() - kLastChunk.size() - kChunkEnd.size();
        for (const After after : { After::kClose, After::kReset })
        {
            for (std::size_t length = 0; length < last; ++length)
            {
                CallRecord read = record;
                readOutcome (call (answer.substr (0, length), after, kStalled), read);
                EXPECT_FALSE (read.isAnswerComplete)
                    << "cut after " << length << " bytes of " << answer;
            }
        }
        CallRecord read = record;
        readOutcome (call (answer, After::kClose), read);
        EXPECT_TRUE (read.isAnswerComplete) << answer;
    }
    EXPECT_EQ (m_connections, m_requests) << "a request was sent again";
}

/// An orderly close is the only end of such an answer, so only the text shows a truncation.
TEST_F (HttpCallTest, TruncatedAnswerWithoutLengthIsNeverComplete)
{
    CallRecord application;
    application.kind = CallKind::kApplication;
    for (const auto& [record, text] : std::vector<std::pair<CallRecord, std::string>>{
             { CallRecord{}, R"({"choices":[{"message":{"content":"a "}}]})" },
             { application, R"({"body_digest":"abc"})" } })
    {
        const std::string answer = "HTTP/1.0 200 OK\r\n\r\n" + text;
        for (std::size_t length = 0; length < answer.size(); ++length)
        {
            CallRecord read = record;
            readOutcome (call (answer.substr (0, length), After::kClose, kStalled), read);
            EXPECT_FALSE (read.isAnswerComplete)
                << "cut after " << length << " bytes of " << answer;
        }
    }
}

TEST_F (HttpCallTest, IgnoresBytesAfterTheEndOfTheAnswer)
{
    const HttpOutcome outcome =
        call (std::string (kChunked) + "HTTP/1.1 200 OK\r\n", After::kClose);
    EXPECT_EQ (outcome.body, "hello world");
}

TEST_F (HttpCallTest, TimesOutWhenTheAnswerDoesNotArrive)
{
    for (const std::size_t length : { std::size_t{ 0 }, kChunked.size() - 2 })
    {
        const HttpOutcome outcome =
            call (kChunked.substr (0, length), After::kStayOpen, base::milliseconds (50));
        EXPECT_EQ (outcome.end, CallEnd::kTimeout);
    }
}

TEST_F (HttpCallTest, ReportsNotConnectedWhenTheConnectionIsRefused)
{
    m_server.pauseAccepting();
    const quint16 port = m_server.serverPort();
    m_server.close();
    const HttpOutcome outcome =
        callAndWait ({ .address = { "127.0.0.1", port }, .path = "/", .body = "question" });
    EXPECT_EQ (outcome.end, CallEnd::kNotConnected);
    EXPECT_EQ (outcome.status, 0);
}

TEST_F (HttpCallTest, AnAbandonedCallClosesItsConnection)
{
    m_after = After::kStayOpen;
    bool isClosed = false;
    QObject::connect (&m_server, &QTcpServer::newConnection,
                      [&]
                      {
                          for (QTcpSocket* const socket : m_server.findChildren<QTcpSocket*>())
                          {
                              QObject::connect (socket, &QTcpSocket::disconnected,
                                                [&] { isClosed = true; });
                          }
                      });
    http::Client client;
    auto abandoned = std::make_unique<HttpCall> (
        client,
        HttpRequest{
            .address = { "127.0.0.1", m_server.serverPort() }, .path = "/", .body = "question" },
        [] (const HttpOutcome&) { ADD_FAILURE() << "an abandoned call ended"; });
    ASSERT_TRUE (waitUntil ([&] { return m_requests == 1; }, base::seconds (20)));
    abandoned.reset();
    EXPECT_TRUE (waitUntil ([&] { return isClosed; }, base::seconds (20)));
}

}  // namespace
}  // namespace fernlift::lab
