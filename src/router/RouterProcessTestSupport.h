#pragma once

/// Test support: a router process on loopback, with a controller that grants everything and back
/// ends whose handlers the test supplies.

#include <gtest/gtest.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/HttpTestSupport.h"
#include "http/Server.h"
#include "router/RouterProcess.h"
#include "router/RouterTestHarness.h"
#include "wire/Codec.h"
#include "wire/FrameConnection.h"

namespace fernlift::router::testing
{

/// Listens on any free port; a failure fails the test.
inline base::SocketAddress listenOnLoopback (http::Server& server)
{
    return base::handleErrors (
        [&] {
            return server.listen ({ "127.0.0.1", 0 });
        },
        [] (const base::Error& error)
        {
            ADD_FAILURE() << error.message;
            return base::SocketAddress();
        });
}

/// The leader of a cell with the configuration kCatalogueText.
class FakeController
{
public:
    explicit FakeController (std::vector<cell::RoutableReplica> replicas)
        : m_replicas (std::move (replicas))
    {
        http::test::application();
        m_server.listen (QHostAddress::LocalHost, 0);
        QObject::connect (&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
    }
    [[nodiscard]] base::SocketAddress address() const
    {
        return { "127.0.0.1", m_server.serverPort() };
    }

    std::vector<cell::OutcomeRecord> outcomes;
    std::vector<cell::RunnerLeavingReport> leavingSeen;

private:
    void accept()
    {
        wire::FrameConnection::Handlers handlers;
        handlers.onFrame = [this] (const wire::Frame& frame)
        {
            auto message = wire::decodeMessage<cell::RouterToController> (frame.payload);
            std::visit ([this] (const auto& content) { handle (content); }, message.value());
        };
        std::unique_ptr<QTcpSocket> socket (m_server.nextPendingConnection());
        socket->setParent (nullptr);
        m_connection = std::make_unique<wire::FrameConnection> (
            std::move (socket), wire::FrameConnectionOptions(), std::move (handlers), nullptr);
    }
    void send (const cell::ControllerToRouter& message)
    {
        m_connection->send (wire::Channel::kControllerToRouter, wire::encodeMessage (message));
    }
    void handle (const cell::RouterHello& /*hello*/)
    {
        send (cell::ConfigurationUpdate{ 1, "digest-1", kCatalogueText });
        cell::ReplicaUpdate update;
        update.toVersion = 1;
        update.upserts = m_replicas;
        send (update);
    }
    void handle (const cell::LeaseRequest& request)
    {
        constexpr std::int64_t kLeaseMilliseconds = 60'000;
        send (cell::LeaseGrant{ request.sequence, request.configurationVersion,
                                request.configurationDigest, 1, kLeaseMilliseconds, 1 });
    }
    void handle (const cell::ClaimRequest& request)
    {
        cell::ClaimReply reply{ request.sequence, {} };
        for (const cell::Claim& claim : request.claims)
        {
            reply.answers.push_back ({ claim.key, claim.request, cell::ClaimVerdict::kGranted, 0 });
        }
        send (reply);
    }
    void handle (const cell::OutcomeReport& report)
    {
        outcomes.insert (outcomes.end(), report.outcomes.begin(), report.outcomes.end());
    }
    void handle (const cell::DemandReport& /*report*/) {}
    void handle (const cell::EngineDemandReport& /*report*/) {}
    void handle (const cell::MemberJoinRequest& /*request*/) {}
    void handle (const cell::InstanceUnreachable& /*report*/) {}
    void handle (const cell::RelayedHeartbeats& /*sightings*/) {}
    void handle (const cell::QuotaRequest& /*request*/) {}
    void handle (const cell::SuspectReport& /*report*/) {}
    void handle (const cell::InstanceLoadReport& /*report*/) {}
    void handle (const cell::InstanceRateReport& /*report*/) {}
    void handle (const cell::InstancePermitRequest& /*request*/) {}
    void handle (const cell::RouterPeers& /*peers*/) {}
    void handle (const cell::RetryReserveRequests& /*requests*/) {}
    void handle (const cell::StreamRecords& /*records*/) {}
    void handle (const cell::StreamLookup& /*lookup*/) {}
    void handle (const cell::SlotReports& /*reports*/) {}
    void handle (const cell::RunnerLeavingReport& seen) { leavingSeen.push_back (seen); }

    std::vector<cell::RoutableReplica> m_replicas;
    QTcpServer m_server;
    std::unique_ptr<wire::FrameConnection> m_connection;
};

/// A back end with a handler supplied by the test.
class FakeBackEnd
{
public:
    explicit FakeBackEnd (http::Handler handler)
    {
        http::test::application();
        m_server.setHandler (
            [this, handler = std::move (handler)] (
                const http::Request& request, const std::shared_ptr<http::Responder>& responder)
            {
                requests.push_back (request);
                handler (request, responder);
            });
        address = listenOnLoopback (m_server);
    }
    /// The row of this back end in the replica table.
    [[nodiscard]] cell::RoutableReplica row (const std::string& runner, const std::string& target,
                                             bool isApplication = false) const
    {
        cell::RoutableReplica row = RouterHarness::replica (runner, target);
        row.isApplication = isApplication;
        row.address = address.toString();
        return row;
    }

    base::SocketAddress address;
    std::vector<http::Request> requests;

private:
    http::Server m_server;
};

/// One event of an engine's stream.
inline std::string tokenEvent (std::uint64_t offset, const std::string& text)
{
    return "data: {\"offset\":" + std::to_string (offset)
           + ",\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
}

/// A ready router with the given replicas.
class RunningRouter
{
public:
    explicit RunningRouter (std::vector<cell::RoutableReplica> replicas,
                            const std::function<void (RouterSettings&)>& change = {})
        : controller (std::move (replicas))
    {
        RouterSettings settings;
        settings.id = "router-1";
        settings.cell = "test";
        settings.zone = "z1";
        settings.httpAddress = { "127.0.0.1", 0 };
        settings.controllers = { controller.address() };
        settings.cacheEventInterval = {};
        settings.stopGrace = {};
        if (change)
            change (settings);
        process = std::make_unique<RouterProcess> (
            settings, m_clock, 1, [this] (int exitCode) { exitCodes.push_back (exitCode); });
        address = base::handleErrors ([&] { return process->start(); },
                                      [] (const base::Error& error)
                                      {
                                          ADD_FAILURE() << error.message;
                                          return base::SocketAddress();
                                      });
        waitUntilReady();
    }

    /// Sends a request on a new connection and returns everything received until `end` arrives or
    /// the connection closes.
    std::string sendRequest (const std::string& request, const std::string& end) const
    {
        http::test::RawCaller caller (address);
        caller.write (request);
        http::test::waitUntil (
            [&] { return caller.isClosed() || caller.received().find (end) != std::string::npos; });
        return caller.received();
    }

    FakeController controller;
    base::SocketAddress address;
    std::vector<int> exitCodes;
    std::unique_ptr<RouterProcess> process;

private:
    void waitUntilReady() const
    {
        bool isReady = false;
        while (! isReady && ! ::testing::Test::HasFailure())
        {
            isReady =
                sendRequest ("GET /readyz HTTP/1.1\r\nHost: t\r\n\r\n", "ready\n").find (" 200 ")
                != std::string::npos;
        }
    }

    base::SystemClock m_clock;
};

/// A POST request with a body and additional header fields ("Name: value\r\n").
inline std::string postRequest (const std::string& path, const std::string& body,
                                const std::string& fields = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: t\r\n" + fields
           + "Content-Length: " + std::to_string (body.size()) + "\r\n\r\n" + body;
}

inline std::string chatRequest (const std::string& model, bool isStreaming,
                                const std::string& fields = {})
{
    const std::string body = "{\"model\":\"" + model
                             + "\",\"stream\":" + (isStreaming ? "true" : "false")
                             + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    return postRequest ("/v1/chat/completions", body, fields);
}

}  // namespace fernlift::router::testing
