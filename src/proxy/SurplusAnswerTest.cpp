// Runners that send an answer a second time. Guards against a late copy that is taken for the
// answer to the next send of the same request: the caller is told that it has not run, although it
// runs.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;

struct SurplusCase
{
    const char* name;
    const char* host;
    std::string answer;  ///< Answer after which the request is sent again.
};

const std::vector<SurplusCase>& surplusCases()
{
    static const std::string kEnd = "Content-Length: 0\r\n\r\n";
    static const std::string kRefused =
        "HTTP/1.1 503 Service Unavailable\r\nTest-Not-Executed: 1\r\n";
    static const std::string kMisdirected =
        "HTTP/1.1 421 Misdirected Request\r\nTest-Not-Executed: 1\r\n";
    static const std::string kFailed = "HTTP/1.1 500 Internal Server Error\r\n";
    static const std::string kId = "Test-Id: r1\r\n";
    static const std::vector<SurplusCase> cases{
        { "Refusal", "once.test", kRefused + kId + kEnd },
        { "RefusalWithoutId", "once.test", kRefused + kEnd },
        { "Misdirected", "once.test", kMisdirected + kId + kEnd },
        { "Failure", "app.test", kFailed + kId + kEnd },
    };
    return cases;
}

class SurplusAnswerTest : public ::testing::TestWithParam<std::size_t>
{
protected:
    SurplusAnswerTest() { m_router.addRunner ("i-1", m_runner); }

    [[nodiscard]] static const SurplusCase& surplus() { return surplusCases()[GetParam()]; }
    /// Number of the connection that received this request, counted over all of them.
    [[nodiscard]] std::size_t receiverOf (std::size_t request) const
    {
        std::size_t requests = 0;
        for (std::size_t number = 0; number < m_runner.connections.size(); ++number)
        {
            const std::string& received = m_runner.connections[number]->received;
            for (std::size_t at = 0; (at = received.find ("\r\n\r\nbody", at)) != std::string::npos;
                 ++at)
            {
                if (requests++ == request)
                    return number;
            }
        }
        return kNone;
    }
    [[nodiscard]] bool waitForRequest (std::size_t request) const
    {
        return waitUntil ([&] { return receiverOf (request) != kNone; });
    }

    static constexpr std::size_t kNone = ~std::size_t{ 0 };

    StubRunner m_runner;
    ProxyFixture m_router;
};

TEST_P (SurplusAnswerTest, IsNotTakenForTheAnswerToTheNextAttempt)
{
    RawCaller caller (m_router.listening);
    caller.write (ProxyFixture::request (surplus().host));
    ASSERT_TRUE (waitForRequest (0));
    StubConnection& first = *m_runner.connections[0];
    first.write (surplus().answer);
    runFor (milliseconds (5));
    // Beyond the time for which a runner that answered 421 is not chosen.
    m_router.advance (milliseconds (750));
    ASSERT_TRUE (waitForRequest (1));
    first.write (surplus().answer);
    runFor (milliseconds (20));
    m_runner.connections[receiverOf (1)]->write (servedAnswer());
    ASSERT_TRUE (caller.waitFor ("\r\n\r\n"));
    EXPECT_TRUE (caller.received().starts_with ("HTTP/1.1 200")) << caller.received();
}

TEST_P (SurplusAnswerTest, IsNotTakenForTheAnswerToTheNextTryOfTheCaller)
{
    RawCaller caller (m_router.listening);
    caller.write (ProxyFixture::request (surplus().host));
    ASSERT_TRUE (waitForRequest (0));
    m_runner.connections[0]->write (servedAnswer());
    ASSERT_TRUE (caller.waitFor ("hello"));
    RawCaller again (m_router.listening);
    again.write (ProxyFixture::request (surplus().host));
    ASSERT_TRUE (waitForRequest (1));
    EXPECT_NE (receiverOf (1), receiverOf (0));
}

INSTANTIATE_TEST_SUITE_P (Cases, SurplusAnswerTest,
                          ::testing::Range<std::size_t> (0, surplusCases().size()),
                          [] (const auto& info)
                          { return std::string (surplusCases()[info.param].name); });

}  // namespace
}  // namespace fernlift::proxy::test
