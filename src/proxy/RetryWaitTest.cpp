// Retries that wait for a runner. Guards against retries that are taken from the budget long before
// they are sent, and then arrive together with those that were earned in the meantime.

#include <gtest/gtest.h>

#include <memory>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

const char* const kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nTest-Id: r1\r\nTest-Not-Executed: 1\r\n"
    "Retry-After: 1\r\nContent-Length: 0\r\n\r\n";

/// A request whose only runner has declined it and is to be asked again after a second.
class RetryWaitTest : public ::testing::Test
{
protected:
    RetryWaitTest()
    {
        m_proxy.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
        m_proxy.retryBudgets = dispatch::ServiceRetryBudgets (0, 1);
        m_caller = std::make_unique<RawCaller> (m_proxy.listening);
        m_caller->write (ProxyFixture::request ("app.test"));
        EXPECT_TRUE (waitUntil ([&] { return m_runner.requests == 1; }));
        runFor (std::chrono::milliseconds (50));
    }
    /// Lets the time pass for which the runner has declined requests.
    void endBackoff() { m_proxy.advance (base::milliseconds (1100)); }
    [[nodiscard]] dispatch::RetryBudget& budget() { return m_proxy.retryBudgets.of ("service"); }

    AnsweringRunner m_runner{ [this] (const std::string&) {
        return StubReply{ m_runner.requests == 1 ? kRefusal : servedAnswer() };
    } };
    ProxyFixture m_proxy;
    std::unique_ptr<RawCaller> m_caller;
};

TEST_F (RetryWaitTest, RetryIsTakenFromTheBudgetWhenItIsSent)
{
    EXPECT_DOUBLE_EQ (budget().balance(), 1) << "the request waits";
    endBackoff();
    ASSERT_TRUE (m_caller->waitFor ("HTTP/1.1 200"));
    EXPECT_DOUBLE_EQ (budget().balance(), 0);
    EXPECT_EQ (m_runner.requests, 2U);
}

TEST_F (RetryWaitTest, RequestThatWaitedIsRefusedWhenTheBudgetIsSpentMeanwhile)
{
    while (budget().tryRetry())
        continue;
    endBackoff();
    ASSERT_TRUE (m_caller->waitFor ("HTTP/1.1 503"));
    EXPECT_NE (m_caller->received().find ("Retry-After: "), std::string::npos);
    EXPECT_EQ (m_runner.requests, 1U);
}

}  // namespace
}  // namespace fernlift::proxy::test
