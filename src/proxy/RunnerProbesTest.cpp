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
    RunnerProbeResult probeResultOf (const std::string& address)
    {
        const auto parsed = base::SocketAddress::tryParse (address);
        m_probes.check ("i-1", *parsed);
        m_probes.check ("i-1", *parsed);
        EXPECT_TRUE (waitUntil ([this] { return m_results > 0; }));
        runFor (std::chrono::milliseconds (20));
        EXPECT_EQ (m_results, 1) << "both requests share one probe";
        return m_probeResult;
    }

    RunnerProbeResult m_probeResult = RunnerProbeResult::kUnknown;
    int m_results = 0;
    RunnerProbes m_probes{ {},
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

}  // namespace
}  // namespace fernlift::proxy::test
