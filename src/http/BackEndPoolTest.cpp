// Tests of connections that are kept for further requests.

#include <gtest/gtest.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <string>

#include "http/BackEndPool.h"
#include "http/HttpTestSupport.h"

namespace fernlift::http
{
namespace
{

constexpr base::Duration kConnectTimeout = base::seconds (2);
constexpr const char* kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

class DoneListener final : public AnswerListener
{
public:
    void onSent() override {}
    void onHead (AnswerHead /*head*/) override {}
    void onBody (std::string_view /*data*/) override {}
    void onDone() override { isDone = true; }
    void onFailed (BackEndFailure /*failure*/) override {}

    bool isDone = false;
};

class BackEndPoolTest : public ::testing::Test
{
protected:
    BackEndPoolTest()
    {
        test::application();
        m_server.listen (QHostAddress::LocalHost);
    }
    /// Makes one request and returns its connection to the pool.
    void keepConnection (const std::string& requestId = "")
    {
        DoneListener listener;
        auto connection = m_pool.acquire (address(), m_clock.now());
        connection->send ({ "GET / HTTP/1.1\r\n\r\n", true, "", requestId }, &listener);
        ASSERT_TRUE (test::waitUntil ([&] { return m_server.hasPendingConnections(); }));
        m_runner.reset (m_server.nextPendingConnection());
        m_runner->setParent (nullptr);
        ASSERT_TRUE (test::waitUntil ([&] { return m_runner->bytesAvailable() > 0; }));
        write (kAnswer);
        ASSERT_TRUE (test::waitUntil ([&] { return listener.isDone; }));
        m_pool.release (std::move (connection), m_clock.now());
    }
    /// Writes bytes that the other end has received when the call returns, and has not read.
    void write (const std::string& bytes)
    {
        m_runner->write (bytes.data(), static_cast<qint64> (bytes.size()));
        m_runner->flush();
    }
    [[nodiscard]] base::SocketAddress address() const
    {
        return { "127.0.0.1", m_server.serverPort() };
    }

    base::SystemClock m_clock;
    QTcpServer m_server;
    std::unique_ptr<QTcpSocket> m_runner;
    BackEndPool m_pool{ kConnectTimeout };
};

TEST_F (BackEndPoolTest, ConnectionIsKept)
{
    keepConnection();
    (void)m_pool.acquire (address(), m_clock.now());
    EXPECT_EQ (m_pool.opened(), 1U);
}

TEST_F (BackEndPoolTest, HalfAHeadOnAKeptConnectionIsNotTakenForTheNextAnswer)
{
    keepConnection();
    write ("HTTP/1.1 200 OK\r\nTest-Field: ");
    (void)m_pool.acquire (address(), m_clock.now());
    EXPECT_EQ (m_pool.opened(), 2U);
}

TEST_F (BackEndPoolTest, ConnectionCarriesARequestOnce)
{
    keepConnection ("r1");
    (void)m_pool.acquire (address(), m_clock.now(), "r1");
    EXPECT_EQ (m_pool.opened(), 2U);
    (void)m_pool.acquire (address(), m_clock.now(), "r2");
    EXPECT_EQ (m_pool.opened(), 2U);
}

TEST_F (BackEndPoolTest, KeptConnectionThatTheRunnerHasClosedIsNotUsed)
{
    keepConnection();
    m_runner->close();
    (void)m_pool.acquire (address(), m_clock.now());
    EXPECT_EQ (m_pool.opened(), 2U);
}

}  // namespace
}  // namespace fernlift::http
