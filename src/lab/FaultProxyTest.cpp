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

constexpr base::Duration kGuard = base::seconds (30);

/// A proxied connection to a server that keeps what it gets and sends what the test tells it to.
class FaultProxyTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ensureApplication();
        ASSERT_TRUE (server_.listen (QHostAddress (QHostAddress::LocalHost)));
        proxy_ =
            std::make_unique<FaultProxy> (base::SocketAddress{ "127.0.0.1", server_.serverPort() });
        ASSERT_TRUE (succeeds (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_ASSIGN (address_, proxy_->listen ({ "127.0.0.1", 0 }));
                return {};
            }));
    }

    void connectThrough()
    {
        caller_ = std::make_unique<QTcpSocket>();
        caller_->connectToHost (QHostAddress (QHostAddress::LocalHost), address_.port);
        ASSERT_TRUE (waitUntil ([&] { return server_.hasPendingConnections(); }, kGuard));
        target_.reset (server_.nextPendingConnection());
        target_->setParent (nullptr);
    }

    void setFaults (const ProxyFaults& faults)
    {
        EXPECT_TRUE (succeeds ([&] { return proxy_->setFaults (faults); }));
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
            kGuard);
    }

    QTcpServer server_;
    std::unique_ptr<FaultProxy> proxy_;
    base::SocketAddress address_;
    std::unique_ptr<QTcpSocket> caller_;
    std::unique_ptr<QTcpSocket> target_;
};

TEST_F (FaultProxyTest, PassesBothWaysAndTheEnd)
{
    connectThrough();
    caller_->write ("question");
    EXPECT_TRUE (receives (*target_, "question"));
    target_->write ("answer");
    EXPECT_TRUE (receives (*caller_, "answer"));
    target_->disconnectFromHost();
    EXPECT_TRUE (
        waitUntil ([&] { return caller_->state() == QAbstractSocket::UnconnectedState; }, kGuard));
}

TEST_F (FaultProxyTest, CutsOneDirectionSilently)
{
    connectThrough();
    setFaults ({ .toTarget = {}, .toCaller = { .isCut = true } });
    target_->write ("held");
    caller_->write ("passes");
    EXPECT_TRUE (receives (*target_, "passes"));
    EXPECT_EQ (caller_->readAll(), "");
    EXPECT_EQ (caller_->state(), QAbstractSocket::ConnectedState);
    setFaults ({});
    EXPECT_TRUE (receives (*caller_, "held"));
}

TEST_F (FaultProxyTest, ACutHidesTheEndToo)
{
    connectThrough();
    setFaults ({ .toTarget = {}, .toCaller = { .isCut = true } });
    target_->disconnectFromHost();
    ASSERT_TRUE (
        waitUntil ([&] { return target_->state() == QAbstractSocket::UnconnectedState; }, kGuard));
    handleEventsFor (base::milliseconds (50));
    EXPECT_EQ (caller_->state(), QAbstractSocket::ConnectedState);
    setFaults ({});
    EXPECT_TRUE (
        waitUntil ([&] { return caller_->state() == QAbstractSocket::UnconnectedState; }, kGuard));
}

TEST_F (FaultProxyTest, ResetsHalfWay)
{
    connectThrough();
    setFaults ({ .toTarget = {}, .toCaller = { .resetAfterBytes = 3 } });
    target_->write ("abcdef");
    EXPECT_TRUE (
        waitUntil ([&] { return caller_->state() == QAbstractSocket::UnconnectedState; }, kGuard));
    EXPECT_LE (caller_->readAll().size(), 3);
    EXPECT_EQ (proxy_->counters().bytesToCaller, 3U);
    EXPECT_EQ (proxy_->counters().resets, 1U);
}

TEST_F (FaultProxyTest, ResetsAllConnectionsAndRefusesNewOnes)
{
    connectThrough();
    setFaults ({ .toTarget = {}, .toCaller = {}, .refuses = true });
    proxy_->resetConnections();
    EXPECT_TRUE (
        waitUntil ([&] { return caller_->state() == QAbstractSocket::UnconnectedState; }, kGuard));
    EXPECT_EQ (proxy_->counters().resets, 1U);
    QTcpSocket late;
    late.connectToHost (QHostAddress (QHostAddress::LocalHost), address_.port);
    EXPECT_TRUE (waitUntil ([&] { return late.error() == QAbstractSocket::ConnectionRefusedError; },
                            kGuard));
    setFaults ({});
    connectThrough();
    caller_->write ("again");
    EXPECT_TRUE (receives (*target_, "again"));
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
