// Requests while runners decline with Retry-After.

#include <gtest/gtest.h>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

constexpr const char* kAnswer = "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Length: 5\r\n\r\nhello";

std::string declineWith (const std::string& retryAfter)
{
    return "HTTP/1.1 503 Service Unavailable\r\nTest-Id: r1\r\nTest-Not-Executed: "
           "1\r\nRetry-After: "
           + retryAfter + "\r\nContent-Length: 0\r\n\r\n";
}

class ExchangeBackoffTest : public ::testing::Test
{
protected:
    /// Sends a request on a new connection and waits for the end of its answer head.
    std::string send (const std::string& host)
    {
        RawCaller caller (proxy.listening);
        caller.write (ProxyFixture::request (host));
        EXPECT_TRUE (caller.waitFor ("\r\n\r\n"));
        return caller.received();
    }

    ProxyFixture proxy;
    AnsweringRunner declining{ [] (const std::string&)
                               { return StubReply{ declineWith ("30") }; } };
    AnsweringRunner serving{ [] (const std::string&) { return StubReply{ kAnswer }; } };
};

TEST_F (ExchangeBackoffTest, SendsNothingBeforeEndOfRetryAfter)
{
    proxy.put (ProxyFixture::rowOf ("i-1", declining.address()));
    for (int request = 0; request < 5; ++request)
        EXPECT_TRUE (send ("once.test").starts_with ("HTTP/1.1 503"));
    EXPECT_EQ (declining.requests, 1U);
}

TEST_F (ExchangeBackoffTest, RetryAvoidsRunnerThatAskedForBackoff)
{
    proxy.put (ProxyFixture::rowOf ("i-1", declining.address()));
    EXPECT_TRUE (send ("app.test").starts_with ("HTTP/1.1 503"));
    EXPECT_EQ (declining.requests, 1U);
}

}  // namespace
}  // namespace fernlift::proxy::test
