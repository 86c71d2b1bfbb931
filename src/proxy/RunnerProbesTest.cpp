// Tests of the probe of a runner that broke off an answer.

#include <gtest/gtest.h>

#include <optional>

#include "proxy/ProxyTestSupport.h"
#include "proxy/RunnerProbes.h"

namespace fernlift::proxy::test
{
namespace
{

class RunnerProbesTest : public ::testing::Test
{
protected:
    RunnerProbeResult probeResultOf (const std::string& address, const std::string& request = {})
    {
        const auto parsed = base::SocketAddress::tryParse (address);
        m_probes.check ("i-1", *parsed, request);
        m_probes.check ("i-1", *parsed, request);
        EXPECT_TRUE (waitUntil ([this] { return m_results > 0; }));
        runFor (std::chrono::milliseconds (20));
        EXPECT_EQ (m_results, 1) << "both requests share one probe";
        return m_probeResult;
    }

    RunnerProbeResult m_probeResult = RunnerProbeResult::kUnknown;
    int m_results = 0;
    RunnerProbes m_probes{ { .answerTimeout = std::chrono::milliseconds (100) },
                           [this] (const std::string& instance, RunnerProbeResult probeResult)
                           {
                               EXPECT_EQ (instance, "i-1");
                               m_probeResult = probeResult;
                               ++m_results;
                           } };
};

TEST_F (RunnerProbesTest, RunnerThatAcceptsConnectionIsAlive)
{
    const StubRunner runner;
    EXPECT_EQ (probeResultOf (runner.address()), RunnerProbeResult::kAlive);
}

TEST_F (RunnerProbesTest, RunnerWithoutListenerIsGone)
{
    std::string address;
    {
        const StubRunner runner;
        address = runner.address();
    }
    EXPECT_EQ (probeResultOf (address), RunnerProbeResult::kGone);
}

class RunnerProbesWithRequestTest : public RunnerProbesTest
{
protected:
    /// Result of a probe whose request gets this reply.
    RunnerProbeResult resultOfReply (const StubReply& reply)
    {
        AnsweringRunner runner ([reply] (const std::string&) { return reply; });
        runner.setRequestEnd ("\r\n\r\n");
        return probeResultOf (runner.address(), "GET /health HTTP/1.1\r\nHost: runner\r\n\r\n");
    }
};

TEST_F (RunnerProbesWithRequestTest, RunnerThatAnswersIsAlive)
{
    EXPECT_EQ (resultOfReply ({ "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" }),
               RunnerProbeResult::kAlive);
}

TEST_F (RunnerProbesWithRequestTest, ConnectionThatIsResetAfterTheRequestIsNotAlive)
{
    EXPECT_EQ (resultOfReply ({ "", true }), RunnerProbeResult::kGone);
}

TEST_F (RunnerProbesWithRequestTest, RunnerThatAcceptsAndDoesNotAnswerIsSilent)
{
    EXPECT_EQ (resultOfReply ({}), RunnerProbeResult::kSilent);
}

}  // namespace
}  // namespace fernlift::proxy::test
