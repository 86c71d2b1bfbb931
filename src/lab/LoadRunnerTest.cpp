#include <gtest/gtest.h>

#include <memory>

#include "base/Digest.h"
#include "http/ErrorResponse.h"
#include "http/Server.h"
#include "lab/EventWait.h"
#include "lab/LoadRunner.h"
#include "lab/TestSupport.h"

namespace fernlift::lab
{
namespace
{

constexpr base::Duration kWait = base::seconds (30);

/// A fake router that answers application calls, or refuses every call with the given error kind.
class FakeRouter
{
public:
    explicit FakeRouter (std::optional<base::ErrorKind> refusal = {}) : m_refusal (refusal)
    {
        m_server.setHandler (
            [this] (const http::Request& request, const std::shared_ptr<http::Responder>& responder)
            {
                m_requests.push_back (request);
                if (m_refusal)
                {
                    http::errorResponse ({ *m_refusal, "refused" }).sendTo (*responder);
                }
                else
                {
                    responder->send (
                        200, {}, R"({"body_digest":")" + base::sha256Hex (request.body) + "\"}");
                }
            });
        EXPECT_TRUE (succeeds (
            [this]() -> base::Result<void>
            {
                BOOST_LEAF_ASSIGN (m_address, m_server.listen ({ "127.0.0.1", 0 }));
                return {};
            }));
    }

    [[nodiscard]] const base::SocketAddress& address() const { return m_address; }
    [[nodiscard]] const std::vector<http::Request>& requests() const { return m_requests; }

private:
    std::optional<base::ErrorKind> m_refusal;
    http::Server m_server;
    base::SocketAddress m_address;
    std::vector<http::Request> m_requests;
};

class LoadRunnerTest : public testing::Test
{
protected:
    void SetUp() override { ensureApplication(); }

    static std::vector<CallRecord> run (std::vector<base::SocketAddress> routers)
    {
        LoadOptions options;
        options.routers = std::move (routers);
        options.targets = { { CallKind::kApplication, "portal", "approval", 1, false } };
        options.arrivals = { { {}, 0, false, 1 } };
        LoadRunner runner (std::move (options));
        runner.start();
        EXPECT_TRUE (waitUntil ([&] { return runner.isFinished(); }, kWait));
        return runner.history();
    }
};

TEST_F (LoadRunnerTest, ResendsACallToAnotherRouterWhenTheFirstIsStopping)
{
    for (const base::ErrorKind kind :
         { base::ErrorKind::kStopping, base::ErrorKind::kLeaseExpired })
    {
        const FakeRouter stopping (kind);
        const FakeRouter serving;
        const auto history = run ({ stopping.address(), serving.address() });
        ASSERT_EQ (history.size(), 2U);
        EXPECT_TRUE (history[0].isResent);
        EXPECT_EQ (history[0].execution, "not_run");
        EXPECT_TRUE (history[1].isAnswerComplete);
        EXPECT_FALSE (history[1].isResent);
        EXPECT_NE (history[0].requestId, history[1].requestId);
        EXPECT_EQ (history[0].idempotencyKey, history[1].idempotencyKey);
        EXPECT_GE (history[1].endMicroseconds, history[0].endMicroseconds);
    }
}

TEST_F (LoadRunnerTest, DoesNotRepeatOtherRefusals)
{
    for (const base::ErrorKind kind : { base::ErrorKind::kQueueFull, base::ErrorKind::kAlreadyRun,
                                        base::ErrorKind::kOutcomeUnknown })
    {
        const FakeRouter refusing (kind);
        const FakeRouter serving;
        const auto history = run ({ refusing.address(), serving.address() });
        ASSERT_EQ (history.size(), 1U);
        EXPECT_FALSE (history[0].isResent);
        EXPECT_TRUE (serving.requests().empty());
    }
}

TEST_F (LoadRunnerTest, KeepsTheRefusalOfTheLastRouter)
{
    const FakeRouter first (base::ErrorKind::kStopping);
    const FakeRouter second (base::ErrorKind::kStopping);
    const auto history = run ({ first.address(), second.address() });
    ASSERT_EQ (history.size(), 2U);
    EXPECT_FALSE (history[1].isResent);
    EXPECT_EQ (history[1].errorKind, "stopping");
}

}  // namespace
}  // namespace fernlift::lab
