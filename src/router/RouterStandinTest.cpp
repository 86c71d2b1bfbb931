// A router with stand-in engines that run as separate processes.

#include <gtest/gtest.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>

#include "engine/EngineApi.h"
#include "http/Client.h"
#include "router/RouterProcessTestSupport.h"

namespace fernlift::router
{
namespace
{

using http::test::RawCaller;
using http::test::waitUntil;
using testing::chatRequest;
using testing::RunningRouter;

constexpr base::ReplicaId kReplica = 10;

/// A stand-in engine process with the model "m" loaded.
class StandinEngine
{
public:
    explicit StandinEngine (const std::string& runner) : m_runner (runner)
    {
        http::test::application();
        m_process.setProcessChannelMode (QProcess::MergedChannels);
        m_process.start (
            qEnvironmentVariable ("FERNLIFT_BIN_DIR") + QLatin1String ("/fernlift-standin"),
            { QLatin1String ("engine"), QLatin1String ("--runner"), QString::fromStdString (runner),
              QLatin1String ("--http-address"), QLatin1String ("127.0.0.1:0"),
              QLatin1String ("--time-scale"), QLatin1String ("0.1") });
        findAddress();
        load();
    }
    ~StandinEngine()
    {
        m_process.kill();
        m_process.waitForFinished();
    }
    StandinEngine (const StandinEngine&) = delete;
    StandinEngine& operator= (const StandinEngine&) = delete;

    [[nodiscard]] cell::RoutableReplica row() const
    {
        cell::RoutableReplica row = testing::RouterHarness::replica (m_runner, "m");
        row.replica = kReplica;
        row.address = m_address.toString();
        return row;
    }
    void setFault (const std::string& json) { call ("POST", "/standin/faults", json); }
    /// Sends a request and returns the body of the answer; empty on failure.
    std::string call (const std::string& method, const std::string& path,
                      const std::string& body = {})
    {
        http::ClientRequest request;
        request.address = m_address;
        request.method = method;
        request.path = path;
        request.body = body;
        std::optional<std::string> answer;
        m_client.fetch (
            request, [&] (const http::WholeResponse& response) { answer = response.body; },
            [&] (const http::ClientError&) { answer.emplace(); });
        waitUntil ([&] { return answer.has_value(); });
        return answer.value_or (std::string());
    }

private:
    void findAddress()
    {
        QByteArray output;
        const QByteArray mark ("address=");
        waitUntil (
            [&]
            {
                output += m_process.readAll();
                const auto at = output.indexOf (mark);
                return at >= 0 && output.indexOf ('\n', at) > 0;
            });
        const std::string text = output.mid (output.indexOf (mark) + mark.size()).toStdString();
        m_address = base::handleErrors (
            [&]
            { return base::SocketAddress::parse (text.substr (0, text.find_first_of (" \n"))); },
            [&] (const base::Error&)
            {
                ADD_FAILURE() << "no address in '" << output.toStdString() << "'";
                return base::SocketAddress();
            });
    }
    engine::Report report()
    {
        const std::string body = call ("GET", "/engine/report");
        return base::handleErrors ([&] { return engine::parseReport (body); },
                                   [] (const base::Error&) { return engine::Report(); });
    }
    void load()
    {
        engine::Order order;
        order.fence = kReplica;
        order.incarnation = report().incarnation;
        order.replica = kReplica;
        order.model = base::ModelName ("m");
        order.version = "1";
        order.memory = 1000;
        call ("POST", "/engine/orders", engine::toJson (order));
        EXPECT_TRUE (waitUntil (
            [&]
            {
                const engine::Report current = report();
                return ! current.replicas.empty()
                       && current.replicas[0].phase == engine::ReplicaPhase::kReady;
            }));
    }

    std::string m_runner;
    base::SocketAddress m_address;
    http::Client m_client;
    QProcess m_process;
};

/// Text of a stream; fails the test if an offset is not the expected next one.
std::string textOfStream (const std::string& answer)
{
    std::string text;
    qint64 nextOffset = 0;
    for (auto at = answer.find ("data: {"); at != std::string::npos;
         at = answer.find ("data: {", at + 1))
    {
        const std::string json = answer.substr (at + 6, answer.find ('\n', at) - at - 6);
        const QJsonObject event =
            QJsonDocument::fromJson (QByteArray::fromStdString (json)).object();
        EXPECT_EQ (event.value (QLatin1String ("offset")).toInteger (-1), nextOffset++) << json;
        const QJsonObject choice =
            event.value (QLatin1String ("choices")).toArray().at (0).toObject();
        text += choice.value (QLatin1String ("delta"))
                    .toObject()
                    .value (QLatin1String ("content"))
                    .toString()
                    .toStdString();
    }
    return text;
}

std::string streamOf (const RunningRouter& router)
{
    std::string answer = router.sendRequest (chatRequest ("m", true), "0\r\n\r\n");
    EXPECT_NE (answer.find ("data: [DONE]\n\n"), std::string::npos) << answer;
    return answer;
}

/// Value of a counter in the router's metrics; -1 if it is missing.
int counterOf (const RunningRouter& router, const std::string& name)
{
    const std::string text = router.sendRequest ("GET /metrics HTTP/1.1\r\nHost: t\r\n\r\n",
                                                 "caller_bytes_total{direction=\"out");
    const std::size_t at = text.find ("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stoi (text.substr (at + name.size() + 2));
}

/// Fixture with two engines that serve the same model.
class RouterStandin : public ::testing::Test
{
protected:
    /// Compares answers with `expected`. Uses a new router, so that the retry budget is unused.
    void expectSameAnswers (const std::string& fault)
    {
        const RunningRouter router ({ first.row(), second.row() }, [] (RouterSettings& settings)
                                    { settings.core.retryBudgetShare = 1; });
        for (int round = 0; round < kRounds; ++round)
        {
            const std::string answer = streamOf (router);
            EXPECT_EQ (textOfStream (answer), expected) << fault << "\n" << answer;
        }
        resumes = counterOf (router, "fernlift_router_resumes_total");
        attempts += counterOf (router, "fernlift_router_attempts_total");
        leavingSeen += router.controller.leavingSeen.size();
    }
    void SetUp() override
    {
        const RunningRouter router ({ first.row(), second.row() });
        expected = textOfStream (streamOf (router));
        ASSERT_FALSE (expected.empty());
    }

    static constexpr int kRounds = 4;
    StandinEngine first{ "r1" };
    StandinEngine second{ "r2" };
    std::string expected;
    int resumes = 0;
    int attempts = 0;
    std::size_t leavingSeen = 0;
};

TEST_F (RouterStandin, ResumesBrokenStreams)
{
    const std::string fault = "{\"fault\":\"break_streams\",\"tokens\":5}";
    first.setFault (fault);
    second.setFault (fault);
    expectSameAnswers (fault);
    // Each attempt delivers at most 5 of 16 tokens, so each answer is resumed at least three times.
    EXPECT_GE (resumes, 3 * kRounds);
}

TEST_F (RouterStandin, DropsRepeatedParts)
{
    first.setFault ("{\"fault\":\"repeat_chunks\"}");
    second.setFault ("{\"fault\":\"repeat_chunks\"}");
    expectSameAnswers ("repeat_chunks");
}

TEST_F (RouterStandin, NeverForwardsPartsOutOfOrder)
{
    for (StandinEngine* const engine : { &first, &second })
    {
        engine->setFault ("{\"fault\":\"reorder_chunks\"}");
        expectSameAnswers ("reorder_chunks");
        engine->setFault ("{\"fault\":\"clear\"}");
    }
}

TEST_F (RouterStandin, UsesTheOtherEngineWhenOneIsLeaving)
{
    for (StandinEngine* const engine : { &first, &second })
    {
        engine->setFault ("{\"fault\":\"leaving\"}");
        expectSameAnswers ("leaving");
        engine->setFault ("{\"fault\":\"leaving\",\"enabled\":false}");
    }
    // After one refusal the router reports the leaving runner and sends it no more requests.
    EXPECT_GE (leavingSeen, 1U);
    EXPECT_EQ (attempts, 2 * kRounds + static_cast<int> (leavingSeen));
}

TEST (RouterStandinCaller, DisconnectFreesTheEngine)
{
    StandinEngine engine ("r1");
    const RunningRouter router ({ engine.row() });
    const std::string body =
        "{\"model\":\"m\",\"stream\":true,\"max_tokens\":1000000,\"prompt\":\"endless\"}";
    RawCaller caller (router.address);
    caller.write (testing::postRequest ("/v1/completions", body));
    ASSERT_TRUE (caller.waitFor ("\"offset\":3"));
    const auto isRunning = [&]
    { return engine.call ("GET", "/standin/state").find ("\"running\":1") != std::string::npos; };
    EXPECT_TRUE (isRunning());
    caller.close();
    EXPECT_TRUE (waitUntil ([&] { return ! isRunning(); }));
}

}  // namespace
}  // namespace fernlift::router
