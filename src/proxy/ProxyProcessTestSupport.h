#pragma once

/// Helpers for the tests of ProxyProcess: the process on loopback, and a leader controlled by the
/// test.

#include <QTcpServer>
#include <QTcpSocket>
#include <charconv>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cell/RouterMessages.h"
#include "proxy/ProxyProcess.h"
#include "proxy/ProxyTestSupport.h"
#include "wire/Codec.h"
#include "wire/FrameConnection.h"

namespace fernlift::proxy::test
{

/// Parses a test configuration, which is a version followed by any text; the services are those of
/// ProxyFixture.
inline config::CatalogueOutcome parseTestConfiguration (std::string_view text)
{
    config::CatalogueOutcome outcome;
    std::uint64_t version = 0;
    std::from_chars (text.data(), text.data() + text.size(), version);
    if (version == 0)
    {
        outcome.problems.push_back ({ 0, "configuration", "has no version" });
        return outcome;
    }
    outcome.catalogue.emplace();
    outcome.catalogue->version = version;
    outcome.catalogue->services = ProxyFixture::catalogue();
    return outcome;
}

/// Leader of a cell with one runner.
class StubLeader
{
public:
    explicit StubLeader (std::string runnerAddress) : m_runnerAddress (std::move (runnerAddress))
    {
        http::test::application();
        m_server.listen (QHostAddress::LocalHost, 0);
        QObject::connect (&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
    }
    [[nodiscard]] base::SocketAddress address() const
    {
        return { "127.0.0.1", m_server.serverPort() };
    }
    void send (const cell::ControllerToRouter& message)
    {
        if (m_connection)
            m_connection->send (wire::Channel::kControllerToRouter, wire::encodeMessage (message));
    }
    /// Sends this configuration to the connected router and to those that connect later.
    void setConfiguration (std::uint64_t version)
    {
        m_version = version;
        sendConfiguration();
    }

    /// Sends a change based on a configuration that the router does not hold.
    void sendMismatchedChange (std::uint64_t version)
    {
        cell::ConfigurationUpdate update{ version, "digest", "" };
        update.baseVersion = version - 1;
        update.baseDigest = "another digest";
        update.pieces.push_back ({ 0, 1, "" });
        send (update);
    }

    /// Redirects the router to this leader again, as controllers that do not lead do.
    void redirect() { send (cell::NotLeaderReply{ address().toString() }); }

    bool grantsLeases = true;
    bool supportsRates = false;  ///< Whether messages about rates of runners are understood, which
                                 ///< earlier versions do not support.
    std::vector<cell::LeaseRequest> leaseRequests;
    std::size_t connections = 0;   ///< Connections on which a router sent its hello.
    std::size_t rateMessages = 0;  ///< Messages about rates on the current connection.

private:
    void accept()
    {
        wire::FrameConnection::Handlers handlers;
        handlers.onFrame = [this] (const wire::Frame& frame)
        {
            auto message = wire::decodeMessage<cell::RouterToController> (frame.payload);
            if (std::holds_alternative<cell::RouterHello> (message.value()))
                sendInitialState();
            const bool isOfRates =
                std::holds_alternative<cell::InstanceRateReport> (message.value())
                || std::holds_alternative<cell::InstancePermitRequest> (message.value());
            rateMessages += isOfRates ? 1 : 0;
            if (const auto* request = std::get_if<cell::LeaseRequest> (&message.value()))
                answer (*request);
        };
        std::unique_ptr<QTcpSocket> socket (m_server.nextPendingConnection());
        socket->setParent (nullptr);
        m_connection = std::make_unique<wire::FrameConnection> (
            std::move (socket), wire::FrameConnectionOptions(), std::move (handlers), nullptr);
    }
    void sendConfiguration()
    {
        send (cell::ConfigurationUpdate{ m_version, "digest-" + std::to_string (m_version),
                                         std::to_string (m_version) });
    }
    void sendInitialState()
    {
        ++connections;
        rateMessages = 0;
        if (supportsRates)
            send (cell::InstanceRateUpdate{});
        sendConfiguration();
        cell::InstanceUpdate update;
        update.term = 1;
        update.toVersion = 1;
        cell::RoutableInstance row;
        row.instance.id = "runner";
        row.instance.service = "service";
        row.instance.address = m_runnerAddress;
        row.instance.zone = "z1";
        row.instance.slots = 8;
        update.upserts.push_back (row);
        send (update);
    }
    void answer (const cell::LeaseRequest& request)
    {
        constexpr std::int64_t kLeaseMilliseconds = 300;
        leaseRequests.push_back (request);
        if (! grantsLeases)
            return;
        cell::LeaseGrant grant;
        grant.sequence = request.sequence;
        grant.configurationVersion = m_version;
        grant.configurationDigest = "digest-" + std::to_string (m_version);
        grant.term = 1;
        grant.durationMilliseconds = kLeaseMilliseconds;
        send (grant);
    }

    std::string m_runnerAddress;
    std::uint64_t m_version = 1;
    QTcpServer m_server;
    std::unique_ptr<wire::FrameConnection> m_connection;
};

/// The process under test.
class RunningProxy
{
public:
    explicit RunningProxy (const base::SocketAddress& leader)
        : m_process (settingsFor (leader), ProxyFixture::testNames(), &parseTestConfiguration,
                     clock, 1, [this] (int) { hasEnded = true; })
    {
        http::test::application();
        base::handleErrors ([&] { return m_process.start(); }, [] (const base::Error&) {});
    }
    [[nodiscard]] const base::SocketAddress& frontAddress() const
    {
        return m_process.frontAddress();
    }
    [[nodiscard]] bool isReady() const { return m_process.isReady(); }
    void beginStop() { m_process.beginStop(); }
    [[nodiscard]] bool waitUntilReady()
    {
        return waitUntil ([this] { return m_process.isReady(); });
    }

private:
    static ProxySettings settingsFor (const base::SocketAddress& leader)
    {
        ProxySettings settings;
        settings.id = "router";
        settings.cell = "cell";
        settings.zone = "z1";
        settings.frontAddress = { "127.0.0.1", 0 };
        settings.readinessAddress = { "127.0.0.1", 0 };
        settings.seeds = { leader };
        settings.seedPeerPort = leader.port;
        settings.unconfirmedGrace = base::milliseconds (100);
        return settings;
    }

public:
    SuspendedClock clock;
    bool hasEnded = false;  ///< Whether a planned stop is complete.

private:
    ProxyProcess m_process;
};

}  // namespace fernlift::proxy::test
