// Runners that answer with a status that is none, or with one that makes no sense for the rest of a
// stream. Guards against callers that wait for their deadline, get the status as an answer, or take
// a short stream for whole.

#include <gtest/gtest.h>

#include <string>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;

class InvalidStatusTest : public ::testing::TestWithParam<const char*>
{
};

TEST_P (InvalidStatusTest, IsABrokenAnswerAtOnce)
{
    AnsweringRunner runner{ [] (const std::string&)
                            {
                                return StubReply{ "HTTP/1.1 " + std::string (GetParam())
                                                  + " Odd\r\nTest-Id: r1\r\n"
                                                    "Content-Length: 5\r\n\r\nhello" };
                            } };
    for (const char* const host : { "app.test", "once.test", "stream.test", "resume.test" })
    {
        ProxyFixture router;
        router.put (ProxyFixture::rowOf ("i-1", runner.address()));
        const base::TimePoint sentAt = router.clock.now();
        EXPECT_TRUE (router.call (host).starts_with ("HTTP/1.1 502")) << host;
        EXPECT_LT (router.clock.now() - sentAt, milliseconds (500)) << "the deadline is 3 s";
    }
}

INSTANTIATE_TEST_SUITE_P (Statuses, InvalidStatusTest,
                          ::testing::Values ("000", "001", "099", "101", "600", "734", "999"),
                          [] (const auto& info) { return std::string (info.param); });

class StreamRestStatusTest : public ::testing::TestWithParam<const char*>
{
};

TEST_P (StreamRestStatusTest, IsNoEndOfTheStream)
{
    AnsweringRunner runner{
        [] (const std::string& request)
        {
            if (request.find ("Last-Event-Id") == std::string::npos)
            {
                return StubReply{
                    "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: "
                    "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunkOf ("id: 1\ndata: x\n\n"),
                    true
                };
            }
            return StubReply{ "HTTP/1.1 " + std::string (GetParam())
                              + " Odd\r\nTest-Id: r1\r\nContent-Length: 0\r\n\r\n" };
        }
    };
    ProxyFixture router;
    router.put (ProxyFixture::rowOf ("i-1", runner.address()));
    router.put (ProxyFixture::rowOf ("i-2", runner.address()));
    RawCaller caller (router.listening);
    caller.write (ProxyFixture::request ("resume.test"));
    EXPECT_TRUE (caller.waitForClose());
    EXPECT_EQ (runner.requests, 2U);
    EXPECT_NE (caller.received().find ("id: 1"), std::string::npos);
    EXPECT_EQ (caller.received().find ("0\r\n\r\n"), std::string::npos) << "told as whole";
    EXPECT_EQ (router.counters.answered, 0U);
}

INSTANTIATE_TEST_SUITE_P (Statuses, StreamRestStatusTest,
                          ::testing::Values ("200", "204", "205", "206", "302", "304"),
                          [] (const auto& info) { return std::string (info.param); });

}  // namespace
}  // namespace fernlift::proxy::test
