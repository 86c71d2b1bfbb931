#include <gtest/gtest.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include "lab/EventWait.h"
#include "lab/FaultProxy.h"
#include "lab/TestSupport.h"

namespace fernlift::lab
{
namespace
{

constexpr base::Duration kTestTimeout = base::seconds (30);

/// A proxied connection between a caller socket and a target socket that the test controls.
class FaultProxyTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ensureApplication();
        ASSERT_TRUE (m_server.listen (QHostAddress (QHostAddress::LocalHost)));
        m_proxy = std::make_unique<FaultProxy> (
            base::SocketAddress{ "127.0.0.1", m_server.serverPort() });
        ASSERT_TRUE (succeeds (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_ASSIGN (m_address, m_proxy->listen ({ "127.0.0.1", 0 }));
                return {};
            }));
    }

    void connectThrough()
    {
        m_caller = std::make_unique<QTcpSocket>();
        m_caller->connectToHost (QHostAddress (QHostAddress::LocalHost), m_address.port);
        ASSERT_TRUE (waitUntil ([&] { return m_server.hasPendingConnections(); }, kTestTimeout));
        m_target.reset (m_server.nextPendingConnection());
        m_target->setParent (nullptr);
    }

    void setFaults (const ProxyFaults& faults)
    {
        EXPECT_TRUE (succeeds ([&] { return m_proxy->setFaults (faults); }));
    }

    static bool receives (QTcpSocket& socket, const QByteArray& expected)
    {
        QByteArray received;
        return waitUntil (
            [&]
            {
                received += socket.readAll();
                return received == expected;
            },
            kTestTimeout);
    }

    QTcpServer m_server;
    std::unique_ptr<FaultProxy> m_proxy;
    base::SocketAddress m_address;
    std::unique_ptr<QTcpSocket> m_caller;
    std::unique_ptr<QTcpSocket> m_target;
};

TEST_F (FaultProxyTest, ForwardsBothDirectionsAndTheClose)
{
    connectThrough();
    m_caller->write ("question");
    EXPECT_TRUE (receives (*m_target, "question"));
    m_target->write ("answer");
    EXPECT_TRUE (receives (*m_caller, "answer"));
    m_target->disconnectFromHost();
    EXPECT_TRUE (waitUntil ([&] { return m_caller->state() == QAbstractSocket::UnconnectedState; },
                            kTestTimeout));
}

TEST_F (FaultProxyTest, CutsOneDirectionSilently)
{
    connectThrough();
    setFaults ({ .toTarget = {}, .toCaller = { .isCut = true } });
    m_target->write ("held");
    m_caller->write ("passes");
    EXPECT_TRUE (receives (*m_target, "passes"));
    EXPECT_EQ (m_caller->readAll(), "");
    EXPECT_EQ (m_caller->state(), QAbstractSocket::ConnectedState);
    setFaults ({});
    EXPECT_TRUE (receives (*m_caller, "held"));
}

TEST_F (FaultProxyTest, CutAlsoHoldsTheClose)
{
    connectThrough();
    setFaults ({ .toTarget = {}, .toCaller = { .isCut = true } });
    m_target->disconnectFromHost();
    ASSERT_TRUE (waitUntil ([&] { return m_target->state() == QAbstractSocket::UnconnectedState; },
                            kTestTimeout));
    handleEventsFor (base::milliseconds (50));
    EXPECT_EQ (m_caller->state(), QAbstractSocket::ConnectedState);
    setFaults ({});
    EXPECT_TRUE (waitUntil ([&] { return m_caller->state() == QAbstractSocket::UnconnectedState; },
                            kTestTimeout));
}

TEST_F (FaultProxyTest, ResetsHalfWay)
{
    connectThrough();
    setFaults ({ .toTarget = {}, .toCaller = { .resetAfterBytes = 3 } });
    m_target->write ("abcdef");
    EXPECT_TRUE (waitUntil ([&] { return m_caller->state() == QAbstractSocket::UnconnectedState; },
                            kTestTimeout));
    EXPECT_LE (m_caller->readAll().size(), 3);
    EXPECT_EQ (m_proxy->counters().bytesToCaller, 3U);
    EXPECT_EQ (m_proxy->counters().resets, 1U);
}

TEST_F (FaultProxyTest, ResetsAllConnectionsAndRefusesNewOnes)
{
    connectThrough();
    setFaults ({ .toTarget = {}, .toCaller = {}, .refuses = true });
    m_proxy->resetConnections();
    EXPECT_TRUE (waitUntil ([&] { return m_caller->state() == QAbstractSocket::UnconnectedState; },
                            kTestTimeout));
    EXPECT_EQ (m_proxy->counters().resets, 1U);
    QTcpSocket late;
    late.connectToHost (QHostAddress (QHostAddress::LocalHost), m_address.port);
    EXPECT_TRUE (waitUntil ([&] { return late.error() == QAbstractSocket::ConnectionRefusedError; },
                            kTestTimeout));
    setFaults ({});
    connectThrough();
    m_caller->write ("again");
    EXPECT_TRUE (receives (*m_target, "again"));
}

TEST (ProxyCountersJson, ReadsWhatItWrites)
{
    const ProxyCounters expected{ 1, 2, 3, 4, 5 };
    EXPECT_TRUE (succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (counters, parseProxyCounters (toJson (expected)));
            EXPECT_EQ (counters, expected);
            return {};
        }));
}

TEST (ProxyFaultsJson, ReadsEveryFaultAndRefusesUnknownKeys)
{
    const auto parse = [] (std::string_view json)
    {
        return base::handleErrors (
            [&]() -> base::Result<std::optional<ProxyFaults>>
            {
                BOOST_LEAF_AUTO (faults, parseProxyFaults (json));
                return std::optional<ProxyFaults> (faults);
            },
            [] (const base::Error&) { return std::optional<ProxyFaults>(); });
    };
    const ProxyFaults expected{ .toTarget = { .isCut = true },
                                .toCaller = { .delay = base::milliseconds (5),
                                              .bytesPerSecond = 100,
                                              .resetAfterBytes = 7,
                                              .cutAfterBytes = 9 },
                                .refuses = true };
    EXPECT_EQ (parse (R"({"to_target":{"cut":true},"refuse":true,
                      "to_caller":{"delay_ms":5,"bytes_per_second":100,"reset_after_bytes":7,"cut_after_bytes":9}})"),
               expected);
    EXPECT_EQ (parse (toJson (expected)), expected);
    EXPECT_EQ (parse (toJson (ProxyFaults{})), ProxyFaults{});
    EXPECT_EQ (parse (R"({"to_target":{"slow":true}})"), std::nullopt);
    EXPECT_EQ (parse (R"({"sideways":{}})"), std::nullopt);
    EXPECT_EQ (parse ("[]"), std::nullopt);
}

}  // namespace
}  // namespace fernlift::lab
