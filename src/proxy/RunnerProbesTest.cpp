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
    RunnerFate fateOf (const std::string& address)
    {
        const auto parsed = base::SocketAddress::tryParse (address);
        m_probes.check ("i-1", *parsed);
        m_probes.check ("i-1", *parsed);
        EXPECT_TRUE (waitUntil ([this] { return m_results > 0; }));
        runFor (std::chrono::milliseconds (20));
        EXPECT_EQ (m_results, 1) << "both requests share one probe";
        return m_fate;
    }

    RunnerFate m_fate = RunnerFate::kUnknown;
    int m_results = 0;
    RunnerProbes m_probes{ [this] (const std::string& instance, RunnerFate fate)
                           {
                               EXPECT_EQ (instance, "i-1");
                               m_fate = fate;
                               ++m_results;
                           } };
};

TEST_F (RunnerProbesTest, RunnerThatAcceptsConnectionIsAlive)
{
    const StubRunner runner;
    EXPECT_EQ (fateOf (runner.address()), RunnerFate::kAlive);
}

TEST_F (RunnerProbesTest, RunnerWithoutListenerIsGone)
{
    std::string address;
    {
        const StubRunner runner;
        address = runner.address();
    }
    EXPECT_EQ (fateOf (address), RunnerFate::kGone);
}

}  // namespace
}  // namespace fernlift::proxy::test
