// Tests of the stand-ins over real sockets in one event loop.

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <functional>

#include "http/Client.h"
#include "standin/AnswerText.h"
#include "standin/ApplicationServer.h"
#include "standin/EngineServer.h"
#include "standin/MachineListServer.h"
#include "standin/WeightStoreServer.h"

namespace fernlift::standin
{
namespace
{

constexpr double kTimeScale = 0.02;
constexpr base::Duration kHangGuard = base::seconds (60);

/// Fixture with an HTTP client and any number of stand-ins behind real listeners.
class StandinServerTest : public testing::Test
{
protected:
    /// Serves `server` on a free port.
    base::SocketAddress serve (StandinServer& server)
    {
        auto& listener = m_listeners.emplace_back (std::make_unique<http::Server>());
        listener->setHandler ([&server] (const http::Request& request, const auto& responder)
                              { server.handle (request, responder); });
        const auto address = listener->listen ({ "127.0.0.1", 0 });
        EXPECT_TRUE (address);
        return address.value();
    }

    static void waitUntil (const std::function<bool()>& isTrue)
    {
        const base::SystemClock clock;
        const auto end = clock.now() + kHangGuard;
        while (! isTrue() && clock.now() < end)
        {
            QCoreApplication::processEvents (QEventLoop::AllEvents, 10);
        }
        ASSERT_TRUE (isTrue());
    }

    /// Sends a request and waits for the response; status 0 when the exchange failed.
    http::WholeResponse exchange (http::ClientRequest request)
    {
        std::optional<http::WholeResponse> answer;
        m_client.fetch (
            std::move (request), [&] (const http::WholeResponse& response) { answer = response; },
            [&] (const http::ClientError&) { answer = http::WholeResponse{}; });
        waitUntil ([&] { return answer.has_value(); });
        return answer.value_or (http::WholeResponse{});
    }
    http::WholeResponse get (const base::SocketAddress& address, const std::string& path)
    {
        http::ClientRequest request;
        request.address = address;
        request.path = path;
        return exchange (request);
    }
    http::WholeResponse post (const base::SocketAddress& address, const std::string& path,
                              const std::string& body)
    {
        http::ClientRequest request;
        request.address = address;
        request.method = "POST";
        request.path = path;
        request.body = body;
        request.headers.set ("X-Request-Id", "q1");
        return exchange (request);
    }

    /// Loads model "m" as replica 1 and waits until it is ready.
    void loadModel (const base::SocketAddress& engine)
    {
        const auto report = engine::parseReport (get (engine, "/engine/report").body);
        ASSERT_TRUE (report);
        engine::Order order;
        order.fence = 1;
        order.incarnation = report->incarnation;
        order.replica = 1;
        order.model.value = "m";
        order.version = "1";
        order.memory = 1000;
        const auto answer =
            engine::parseOrderAnswer (post (engine, "/engine/orders", engine::toJson (order)).body);
        ASSERT_TRUE (answer && answer->accepted);
        const auto isReady = [&]
        { return get (engine, "/engine/report").body.find ("\"ready\"") != std::string::npos; };
        waitUntil (isReady);
    }

    static EngineOptions engineOptions()
    {
        EngineOptions options;
        options.runner.value = "r1";
        options.incarnation = 71;
        return options;
    }

    int m_argumentCount = 1;
    char m_name[5] = "test";
    char* m_arguments[2] = { m_name, nullptr };
    QCoreApplication m_application{ m_argumentCount, m_arguments };
    SimulatedClock m_clock{ kTimeScale };
    http::Client m_client;
    std::vector<std::unique_ptr<http::Server>> m_listeners;
};

std::string chatBody (const std::string& content, int tokens, bool isStreaming)
{
    return R"({"model":"m","messages":[{"role":"user","content":")" + content
           + R"("}],"max_tokens":)" + std::to_string (tokens) + R"(,"stream":)"
           + (isStreaming ? "true}" : "false}");
}

TEST_F (StandinServerTest, EngineLoadsThroughWeightStoreAndAnswers)
{
    WeightStoreServer store (WeightStoreOptions{}, m_clock);
    EngineServer server (engineOptions(), m_clock, serve (store));
    const auto engine = serve (server);
    EXPECT_EQ (post (engine, "/v1/chat/completions", chatBody ("hi", 4, false)).status, 503);
    loadModel (engine);
    const auto whole = post (engine, "/v1/chat/completions", chatBody ("hi", 4, false));
    EXPECT_EQ (whole.status, 200);
    EXPECT_NE (whole.body.find (expectedAnswer ("m", "user: hi\n", 4)), std::string::npos);
    const auto stream = post (engine, "/v1/chat/completions", chatBody ("hi", 3, true));
    EXPECT_EQ (stream.headers.value ("Content-Type"), "text/event-stream");
    EXPECT_NE (stream.body.find ("\"offset\":2"), std::string::npos);
    EXPECT_TRUE (stream.body.ends_with ("data: [DONE]\n\n"));
    const auto ledger = get (engine, "/standin/ledger").body;
    EXPECT_EQ (ledger.find ("not_run"), std::string::npos);
    EXPECT_NE (ledger.find ("\"ended\""), std::string::npos);
}

TEST_F (StandinServerTest, EngineInjectsBrokenStreamsAndRefusals)
{
    EngineServer server (engineOptions(), m_clock, std::nullopt);
    const auto engine = serve (server);
    loadModel (engine);
    EXPECT_EQ (post (engine, "/standin/faults", R"({"fault":"break_streams","tokens":2})").status,
               200);
    EXPECT_EQ (post (engine, "/v1/chat/completions", chatBody ("hi", 9, true)).status, 0);
    EXPECT_EQ (post (engine, "/standin/faults", R"({"fault":"no_such_fault"})").status, 400);
    EXPECT_EQ (post (engine, "/standin/faults", R"({"fault":"clear"})").status, 200);
    EXPECT_EQ (post (engine, "/v1/chat/completions", chatBody ("hi", 9, true)).status, 200);
    EXPECT_EQ (post (engine, "/standin/faults", R"({"fault":"leaving"})").status, 200);
    const auto refused = post (engine, "/v1/chat/completions", chatBody ("hi", 9, true));
    EXPECT_EQ (refused.status, 503);
    EXPECT_EQ (refused.headers.value (kExecutionHeader), "not_run");
    EXPECT_EQ (refused.headers.value (kLeavingHeader), "1");
}

TEST_F (StandinServerTest, CallerDisconnectCancelsItsRequest)
{
    EngineServer server (engineOptions(), m_clock, std::nullopt);
    const auto engine = serve (server);
    loadModel (engine);
    http::ClientRequest request;
    request.address = engine;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = chatBody ("hi", 1000000, true);
    bool hasData = false;
    http::ClientCallbacks callbacks;
    callbacks.onData = [&] (std::string_view) { hasData = true; };
    const auto exchange = m_client.send (request, callbacks);
    waitUntil ([&] { return hasData; });
    exchange->cancel();
    waitUntil ([&] { return server.isIdle(); });
    EXPECT_NE (get (engine, "/standin/ledger").body.find ("\"cancelled\""), std::string::npos);
}

TEST_F (StandinServerTest, ApplicationEchoesRequestsAndCountsKeys)
{
    ApplicationOptions options;
    options.runner.value = "a1";
    ApplicationServer server (options, m_clock);
    const auto application = serve (server);
    const auto echo = post (application, "/claims/7", "the body");
    EXPECT_EQ (echo.status, 200);
    EXPECT_NE (echo.body.find ("\"request_id\":\"q1\""), std::string::npos);
    EXPECT_NE (echo.body.find ("the body"), std::string::npos);
    post (application, "/standin/faults", R"({"fault":"close_after_body"})");
    http::ClientRequest request;
    request.address = application;
    request.method = "POST";
    request.path = "/claims/8";
    request.body = "x";
    request.headers.set ("Idempotency-Key", "k1");
    EXPECT_EQ (exchange (request).status, 0);
    const auto ledger = get (application, "/standin/ledger").body;
    EXPECT_NE (ledger.find ("\"keys\":{\"k1\":1}"), std::string::npos) << ledger;
}

TEST_F (StandinServerTest, MachineListAppliesChanges)
{
    engine::MachineList list;
    list.machines.resize (1);
    list.machines[0].runner.value = "r1";
    MachineListServer server (list, base::seconds (5), m_clock);
    const auto machines = serve (server);
    EXPECT_EQ (post (machines, "/standin/machines", R"({"id":"r1","state":"leaving"})").status,
               200);
    EXPECT_EQ (post (machines, "/standin/machines", R"({"id":"r9","state":"gone"})").status, 400);
    const auto isLeaving = [&]
    { return get (machines, "/machines").body.find ("\"leaving\"") != std::string::npos; };
    EXPECT_NE (get (machines, "/standin/machines").body.find ("\"leaving\""), std::string::npos);
    waitUntil (isLeaving);
}

}  // namespace
}  // namespace fernlift::standin
