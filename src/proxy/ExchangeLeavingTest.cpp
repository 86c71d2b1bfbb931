// Requests while a runner states in its answers that it is leaving.

#include <gtest/gtest.h>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

constexpr const char* kAnswer = "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Length: 5\r\n\r\nhello";
constexpr const char* kLeavingAnswer =
    "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Leaving: 1\r\nContent-Length: 5\r\n\r\nhello";

class ExchangeLeavingTest : public ::testing::Test
{
protected:
    std::string send (const std::string& host)
    {
        RawCaller caller (proxy.listening);
        caller.write (ProxyFixture::request (host));
        EXPECT_TRUE (caller.waitFor ("\r\n\r\n"));
        return caller.received();
    }

    ProxyFixture proxy;
    AnsweringRunner leaving{ [] (const std::string&) { return StubReply{ kLeavingAnswer }; } };
    AnsweringRunner serving{ [] (const std::string&) { return StubReply{ kAnswer }; } };
};

TEST_F (ExchangeLeavingTest, SendsNothingAfterRunnerStatedThatItIsLeaving)
{
    proxy.put (ProxyFixture::rowOf ("i-1", leaving.address()));
    EXPECT_TRUE (send ("once.test").starts_with ("HTTP/1.1 200"));
    proxy.put (ProxyFixture::rowOf ("i-2", serving.address()));
    for (int request = 0; request < 5; ++request)
        EXPECT_TRUE (send ("once.test").starts_with ("HTTP/1.1 200"));
    EXPECT_EQ (leaving.requests, 1U);
    EXPECT_EQ (serving.requests, 5U);
}

}  // namespace
}  // namespace fernlift::proxy::test
