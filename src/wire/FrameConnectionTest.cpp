#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QTcpServer>

#include "base/Random.h"
#include "wire/FrameConnection.h"

namespace fernlift::wire
{
namespace
{

constexpr int kTestTimeoutMilliseconds = 20000;

/// Provides a listening socket on loopback, to which the tests connect.
class FrameConnectionTest : public testing::Test
{
protected:
    FrameConnectionTest()
    {
        if (QCoreApplication::instance() == nullptr)
        {
            static int argc = 1;
            static char name[] = "wire_test";
            static char* argv[] = { name, nullptr };
            static QCoreApplication application (argc, argv);
        }
        m_server.listen (QHostAddress::LocalHost, 0);
    }

    base::SocketAddress address() const { return { "127.0.0.1", m_server.serverPort() }; }

    template <class Condition>
    bool waitFor (Condition condition)
    {
        const QDeadlineTimer deadline (kTestTimeoutMilliseconds);
        while (! condition() && ! deadline.hasExpired())
        {
            QCoreApplication::processEvents (QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents,
                                             20);
        }
        return condition();
    }

    std::unique_ptr<QTcpSocket> acceptSocket()
    {
        EXPECT_TRUE (waitFor ([&] { return m_server.hasPendingConnections(); }));
        QTcpSocket* socket = m_server.nextPendingConnection();
        socket->setParent (nullptr);
        return std::unique_ptr<QTcpSocket> (socket);
    }

    QTcpServer m_server;
};

/// Random bytes, which a frame carries uncompressed.
std::string incompressible (std::size_t size)
{
    base::Random random (1);
    std::string bytes (size, '\0');
    for (char& byte : bytes)
        byte = static_cast<char> (random.bits());
    return bytes;
}

TEST_F (FrameConnectionTest, carriesFramesBothWaysInOrderAndCountsThem)
{
    std::vector<std::string> atServer;
    std::vector<std::string> atClient;
    FrameTraffic clientTraffic;
    FrameTraffic serverTraffic;
    auto client = FrameConnection::connectTo (
        address(), {}, { {}, [&] (const Frame& frame) { atClient.push_back (frame.payload); }, {} },
        &clientTraffic);
    FrameConnection server (
        acceptSocket(), {},
        { {}, [&] (const Frame& frame) { atServer.push_back (frame.payload); }, {} },
        &serverTraffic);
    ASSERT_TRUE (waitFor ([&] { return client->isOpen(); }));
    const std::string large (3'000'000, 'x');
    client->send (Channel::kRouterToController, "first");
    client->send (Channel::kRouterToController, large);
    client->send (Channel::kMember, "last");
    server.send (Channel::kControllerToRouter, "back");
    ASSERT_TRUE (waitFor ([&] { return atServer.size() == 3 && atClient.size() == 1; }));
    EXPECT_EQ (atServer, (std::vector<std::string>{ "first", large, "last" }));
    EXPECT_EQ (serverTraffic.of (Channel::kRouterToController).messagesIn, 2U);
    EXPECT_EQ (serverTraffic.of (Channel::kRouterToController).bytesIn,
               clientTraffic.of (Channel::kRouterToController).bytesOut);
    EXPECT_EQ (clientTraffic.of (Channel::kMember).messagesOut, 1U);
    EXPECT_EQ (clientTraffic.of (Channel::kControllerToRouter).messagesIn, 1U);
}

TEST_F (FrameConnectionTest, closesWhenThePeerSendsAnotherProtocol)
{
    QTcpSocket raw;
    raw.connectToHost (QHostAddress::LocalHost, m_server.serverPort());
    int closed = 0;
    FrameConnection server (acceptSocket(), {}, { {}, {}, [&] { ++closed; } }, nullptr);
    raw.write ("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE (waitFor ([&] { return closed == 1; }));
    EXPECT_FALSE (server.isOpen());
}

TEST_F (FrameConnectionTest, closesWhenThePeerDoesNotRead)
{
    QTcpSocket raw;
    raw.setReadBufferSize (1);
    raw.connectToHost (QHostAddress::LocalHost, m_server.serverPort());
    int closed = 0;
    FrameConnectionOptions options;
    options.maximumUnsentBytes = 1024UL * 1024;
    FrameConnection server (acceptSocket(), options, { {}, {}, [&] { ++closed; } }, nullptr);
    const std::string payload = incompressible (256UL * 1024);
    constexpr std::size_t kMaxBytes = 256UL * 1024 * 1024;
    std::size_t sent = 0;
    while (closed == 0 && sent < kMaxBytes)
    {
        server.send (Channel::kMember, payload);
        sent += payload.size();
        EXPECT_LE (server.unsentBytes(), options.maximumUnsentBytes + 2 * payload.size());
        QCoreApplication::processEvents();
    }
    EXPECT_EQ (closed, 1);
}

TEST_F (FrameConnectionTest, reportsARefusedConnection)
{
    const base::SocketAddress unused = address();
    m_server.close();
    int closed = 0;
    auto client = FrameConnection::connectTo (unused, {}, { {}, {}, [&] { ++closed; } }, nullptr);
    EXPECT_TRUE (waitFor ([&] { return closed == 1; }));
}

TEST_F (FrameConnectionTest, closesAfterTheIdleTimeout)
{
    auto client = FrameConnection::connectTo (address(), {}, {}, nullptr);
    FrameConnectionOptions options;
    options.idleTimeout = base::milliseconds (30);
    int closed = 0;
    FrameConnection server (acceptSocket(), options, { {}, {}, [&] { ++closed; } }, nullptr);
    EXPECT_TRUE (waitFor ([&] { return closed == 1 && ! client->isOpen(); }));
}

TEST_F (FrameConnectionTest, mayBeDestroyedByItsOwnHandler)
{
    auto client = FrameConnection::connectTo (address(), {}, {}, nullptr);
    int received = 0;
    std::unique_ptr<FrameConnection> server;
    server = std::make_unique<FrameConnection> (acceptSocket(), FrameConnectionOptions{},
                                                FrameConnection::Handlers{ {},
                                                                           [&] (const Frame&)
                                                                           {
                                                                               ++received;
                                                                               server.reset();
                                                                           },
                                                                           {} },
                                                nullptr);
    ASSERT_TRUE (waitFor ([&] { return client->isOpen(); }));
    client->send (Channel::kMember, "one");
    client->send (Channel::kMember, "two");
    EXPECT_TRUE (waitFor ([&] { return received == 1 && ! client->isOpen(); }));
    EXPECT_EQ (received, 1);
}

TEST_F (FrameConnectionTest, reportsThatThePeerClosed)
{
    auto client = FrameConnection::connectTo (address(), {}, {}, nullptr);
    int closed = 0;
    FrameConnection server (acceptSocket(), {}, { {}, {}, [&] { ++closed; } }, nullptr);
    ASSERT_TRUE (waitFor ([&] { return client->isOpen(); }));
    client.reset();
    EXPECT_TRUE (waitFor ([&] { return closed == 1; }));
}

}  // namespace
}  // namespace fernlift::wire
