// Callers that read their answers slowly while their router closes their connections: on a planned
// stop, or after an answer with "Connection: close". Guards against answers that are cut although
// the caller goes on reading.

#include <gtest/gtest.h>

#include <string>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;

/// Above what the buffers of a loopback connection hold.
constexpr std::size_t kAnswerBytes = std::size_t{ 40 } * 1024 * 1024;
constexpr qint64 kReadBytes = 512 * 1024;
constexpr milliseconds kReadInterval (40);  ///< The whole answer takes some 3 s.
constexpr base::Duration kRouteTimeout = base::seconds (30);

class SlowReaderTest : public ::testing::Test
{
protected:
    SlowReaderTest()
    {
        config::ServiceCatalogue catalogue = ProxyFixture::catalogue();
        for (config::Route& route : catalogue.routes)
            route.timeout = kRouteTimeout;
        m_router.context.routes = std::make_shared<const RouteTable> (1, std::move (catalogue));
    }
    /// A caller that has received the begin of its answer and reads no more, while the router has
    /// more of it to write.
    std::unique_ptr<RawCaller> beginAnswer (const std::string& extra)
    {
        m_router.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
        auto caller = std::make_unique<RawCaller> (m_router.listening);
        caller->stopReading (kReadBytes);
        caller->write ("POST /path?q=1 HTTP/1.1\r\nHost: app.test\r\nTest-Id: r1\r\n" + extra
                       + "Content-Length: 4\r\n\r\nbody");
        EXPECT_TRUE (waitUntil ([&] { return m_router.server.unsentBytes() > 0; }));
        return caller;
    }
    /// Reads until the connection ends.
    static void readSlowly (RawCaller& caller)
    {
        while (! caller.isClosed())
        {
            caller.readBuffered();
            runFor (kReadInterval);
        }
        caller.readBuffered();
    }
    static bool isWhole (const RawCaller& caller)
    {
        const std::size_t head = caller.received().find ("\r\n\r\n");
        return head != std::string::npos && caller.received().size() - head - 4 == kAnswerBytes;
    }

    ProxyFixture m_router;
    AnsweringRunner m_runner{ [] (const std::string&)
                              {
                                  return StubReply{
                                      "HTTP/1.1 200 OK\r\nTest-Id: r1\r\n"
                                      "Content-Length: "
                                      + std::to_string (kAnswerBytes) + "\r\n\r\n"
                                      + std::string (kAnswerBytes, 'x')
                                  };
                              } };
};

TEST_F (SlowReaderTest, PlannedStopLeavesAnswerThatCallerReads)
{
    const auto caller = beginAnswer ("");
    m_router.server.beginClosing();
    m_router.server.beginRefusing();
    readSlowly (*caller);
    EXPECT_TRUE (isWhole (*caller)) << caller->received().size();
    EXPECT_TRUE (waitUntil ([&] { return m_router.server.openConnections() == 0; }));
}

TEST_F (SlowReaderTest, LastAnswerOfConnectionIsReadToItsEnd)
{
    const auto caller = beginAnswer ("Connection: close\r\n");
    readSlowly (*caller);
    EXPECT_TRUE (isWhole (*caller)) << caller->received().size();
}

TEST_F (SlowReaderTest, CallerThatReadsNothingDoesNotHoldStop)
{
    const auto caller = beginAnswer ("");
    m_router.server.beginRefusing();
    EXPECT_TRUE (waitUntil ([&] { return m_router.server.openConnections() == 0; },
                            std::chrono::seconds (3)));
}

}  // namespace
}  // namespace fernlift::proxy::test
