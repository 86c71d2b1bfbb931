// Tests of a forwarding router as a process; the test acts as the leader.

#include <gtest/gtest.h>

#include <charconv>

#include "proxy/ProxyProcess.h"
#include "proxy/ProxyProcessTestSupport.h"

namespace fernlift::proxy
{
namespace
{

using test::RawCaller;
using test::runFor;
using test::StubLeader;
using test::StubRunner;

class ProxyProcessTest : public ::testing::Test
{
protected:
    /// Status of the answer to one request on a new connection; 0 without an answer.
    int statusOfRequest()
    {
        RawCaller caller (m_process.frontAddress());
        caller.write (test::ProxyFixture::request ("app.test", "r" + std::to_string (++m_sent)));
        const std::string begin = "HTTP/1.1 ";
        if (! caller.waitFor (begin))
            return 0;
        int status = 0;
        const std::string& received = caller.received();
        const char* const digits = received.data() + received.find (begin) + begin.size();
        std::from_chars (digits, received.data() + received.size(), status);
        return status;
    }

    ProxyProcessTest() { m_runner.ignoresProbes = true; }

    StubRunner m_runner;
    StubLeader m_leader{ m_runner.address() };
    test::RunningProxy m_process{ m_leader.address() };
    int m_sent = 0;
};

TEST_F (ProxyProcessTest, ARouterThatCannotConfirmItsConfigurationForLongRefusesRequests)
{
    ASSERT_TRUE (m_process.waitUntilReady());
    m_leader.grantsLeases = false;
    runFor (std::chrono::milliseconds (2000));
    EXPECT_EQ (statusOfRequest(), 503)
        << "the replacement may have been acknowledged to an operator";
    EXPECT_FALSE (m_process.isReady());
    m_leader.grantsLeases = true;
    ASSERT_TRUE (m_process.waitUntilReady());
}

TEST_F (ProxyProcessTest, ResumedRouterDoesNotServeByExpiredLease)
{
    ASSERT_TRUE (m_process.waitUntilReady());
    m_leader.grantsLeases = false;
    m_process.clock.suspendedFor = base::seconds (5);
    EXPECT_FALSE (m_process.isReady());
    EXPECT_EQ (statusOfRequest(), 503)
        << "the replacement may have been acknowledged to an operator";
    m_leader.grantsLeases = true;
    ASSERT_TRUE (m_process.waitUntilReady());
    EXPECT_TRUE (m_runner.connections.empty());
}

TEST_F (ProxyProcessTest, EndsRequestsWithDeadlinesPassedDuringSuspension)
{
    ASSERT_TRUE (m_process.waitUntilReady());
    RawCaller caller (m_process.frontAddress());
    caller.write (test::ProxyFixture::request ("once.test"));
    ASSERT_TRUE (m_runner.waitForRequest());
    m_process.clock.suspendedFor = base::seconds (4);
    EXPECT_TRUE (test::waitUntil (
        [&] { return caller.received().find ("HTTP/1.1 504") != std::string::npos; },
        std::chrono::seconds (1)))
        << "the timer of the deadline, 3 s after arrival, did not run during the suspension";
}

TEST_F (ProxyProcessTest, StatesNewConfigurationAtOnceAndRequestsWholeOneAfterGap)
{
    ASSERT_TRUE (m_process.waitUntilReady());
    m_leader.setConfiguration (2);
    const auto states = [this] (std::uint64_t version)
    {
        return ! m_leader.leaseRequests.empty()
               && m_leader.leaseRequests.back().configurationVersion == version;
    };
    ASSERT_TRUE (test::waitUntil ([&] { return states (2); }));
    EXPECT_FALSE (m_leader.leaseRequests.back().needsWholeConfiguration);
    m_leader.sendMismatchedChange (4);
    ASSERT_TRUE (
        test::waitUntil ([this] { return m_leader.leaseRequests.back().needsWholeConfiguration; }));
    EXPECT_TRUE (states (2));
}

// Guards against sending messages to a controller that cannot read them. During an upgrade,
// controllers of the earlier version then close the connections of routers with "unknown message
// type".
//
// This happens if the state that a router keeps about its controller is reset when the connection
// is lost, but not when a controller that does not lead redirects it to another one. Loads, quota
// claims and suspects reported to the previous controller are not reported again either.
//
// The closed connections followed the router's line ControllerLost without a loss, within the 0.4 s
// in which it searched for the leader.
TEST_F (ProxyProcessTest, RedirectResetsFeaturesOfPreviousController)
{
    m_leader.supportsRates = true;
    m_leader.redirect();
    ASSERT_TRUE (m_process.waitUntilReady());
    m_leader.redirect();
    ASSERT_TRUE (test::waitUntil ([this] { return m_leader.connections > 1; }));
    RawCaller caller (m_process.frontAddress());
    caller.write (test::ProxyFixture::request ("once.test"));
    ASSERT_TRUE (m_runner.waitForRequest());
    m_runner.connections[0]->write (
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Rate: 5\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE (test::waitUntil ([this] { return m_leader.rateMessages > 0; }));
    m_leader.supportsRates = false;
    const std::size_t earlier = m_leader.connections;
    m_leader.redirect();
    ASSERT_TRUE (test::waitUntil ([&] { return m_leader.connections > earlier; }));
    runFor (std::chrono::milliseconds (1200));
    EXPECT_EQ (m_leader.rateMessages, 0U);
}

TEST_F (ProxyProcessTest, SecondStopSignalLeavesOpenRequestToItsRunner)
{
    ASSERT_TRUE (m_process.waitUntilReady());
    RawCaller caller (m_process.frontAddress());
    caller.write (test::ProxyFixture::request ("resume.test"));
    ASSERT_TRUE (m_runner.waitForRequest());
    m_process.beginStop();
    runFor (std::chrono::milliseconds (50));
    m_process.beginStop();
    runFor (std::chrono::milliseconds (50));
    EXPECT_FALSE (m_process.hasEnded);
    m_runner.connections[0]->write (
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Length: 5\r\n\r\nhello");
    EXPECT_TRUE (caller.waitFor ("hello"));
    EXPECT_TRUE (test::waitUntil ([&] { return m_process.hasEnded; }));
}

}  // namespace
}  // namespace fernlift::proxy
