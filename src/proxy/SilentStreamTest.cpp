// Streams whose runner is silent for a while and then goes on. Guards against answers that the
// router ends although their runner would have completed them: the rest is requested from another
// runner, which may not take it, and until one has, the silent runner keeps its attempt.

#include <gtest/gtest.h>

#include <algorithm>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;

/// Longer than the silence after which the rest of a stream is requested from another runner.
constexpr milliseconds kSilence (2200);
/// Time for a stream to end after its last event.
constexpr milliseconds kEndLimit (2000);
/// Time for which two runners may work on one request.
constexpr milliseconds kMaxOverlap (400);

const std::string kHead =
    "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string eventOf (int number)
{
    return chunkOf ("id: " + std::to_string (number) + "\ndata: e" + std::to_string (number)
                    + ".\n\n");
}

std::string declined (const std::string& status)
{
    return "HTTP/1.1 " + status
           + "\r\nTest-Id: r1\r\nTest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

class SilentStreamTest : public ::testing::Test
{
protected:
    /// Begins a stream of two events at one of the runners, which sends the first one.
    void begin()
    {
        caller = std::make_unique<RawCaller> (proxy.listening);
        caller->write (ProxyFixture::request ("resume.test"));
        silent = &receiverOf (one, two);
        other = silent == &one ? &two : &one;
        ASSERT_TRUE (silent->waitForRequest());
        silent->connections[0]->write (kHead + eventOf (1));
        ASSERT_TRUE (caller->waitFor ("e1."));
    }
    void beginAtTwoRunners()
    {
        proxy.addRunner ("i-1", one);
        proxy.addRunner ("i-2", two);
        begin();
    }
    /// Lets the silent runner send the rest.
    void goOn() { silent->connections[0]->write (eventOf (2) + "0\r\n\r\n"); }
    [[nodiscard]] std::size_t countOf (const std::string& text) const
    {
        std::size_t count = 0;
        for (std::size_t at = 0; (at = caller->received().find (text, at)) != std::string::npos;
             at += text.size())
            ++count;
        return count;
    }
    void expectWhole()
    {
        EXPECT_TRUE (waitUntil ([&] { return countOf ("\r\n0\r\n\r\n") > 0; }, kEndLimit))
            << caller->received();
        EXPECT_EQ (countOf ("e1."), 1U);
        EXPECT_EQ (countOf ("e2."), 1U);
    }

    ProxyFixture proxy;
    StubRunner one;
    StubRunner two;
    StubRunner* silent = nullptr;
    StubRunner* other = nullptr;
    std::unique_ptr<RawCaller> caller;
};

TEST_F (SilentStreamTest, GoesOnWhenNoOtherRunnerAcceptsConnections)
{
    beginAtTwoRunners();
    one.stopListening();
    two.stopListening();
    runFor (kSilence);
    goOn();
    expectWhole();
}

TEST_F (SilentStreamTest, GoesOnWhenNoOtherRunnerIsLeft)
{
    cell::RoutableInstance row = ProxyFixture::rowOf ("i-1", one.address());
    row.softwareVersion = "v1";
    proxy.put (row);
    begin();
    proxy.remove ("i-1");
    row = ProxyFixture::rowOf ("i-2", two.address());
    row.softwareVersion = "v2";
    proxy.put (row);
    runFor (kSilence);
    goOn();
    expectWhole();
}

TEST_F (SilentStreamTest, GoesOnWhenAllRunnersBackOff)
{
    beginAtTwoRunners();
    for (const char* const id : { "i-1", "i-2" })
        proxy.directory.availability().onBackoff ({ id, 0 }, base::seconds (30), proxy.clock.now());
    runFor (kSilence);
    goOn();
    expectWhole();
}

TEST_F (SilentStreamTest, GoesOnWhenOtherRouterDeclines)
{
    ProxyFixture far;
    proxy.servePeers ("near");
    far.servePeers ("far");
    proxy.setPeers ({ proxy.peerRow(), far.peerRow() });
    far.setPeers ({ proxy.peerRow(), far.peerRow() });
    beginAtTwoRunners();
    proxy.isolate();
    far.isolate();
    runFor (kSilence);
    goOn();
    expectWhole();
}

TEST_F (SilentStreamTest, GoesOnWhenRouterStopsWhileTheRestWaits)
{
    beginAtTwoRunners();
    proxy.remove ("i-1");
    proxy.remove ("i-2");
    runFor (kSilence);
    proxy.server.refuseWaiting();
    goOn();
    expectWhole();
}

TEST_F (SilentStreamTest, GoesOnWhileTheRestIsRequestedFromAnother)
{
    beginAtTwoRunners();
    ASSERT_TRUE (other->waitForRequest());
    goOn();
    expectWhole();
    EXPECT_TRUE (waitUntil ([&] { return other->connections[0]->isClosed(); }));
}

TEST_F (SilentStreamTest, IsCancelledOnceAnotherHasBegunTheRest)
{
    beginAtTwoRunners();
    ASSERT_TRUE (other->waitForRequest());
    EXPECT_NE (other->connections[0]->received.find ("Last-Event-Id: 1\r\n"), std::string::npos);
    other->connections[0]->write (kHead);
    EXPECT_TRUE (waitUntil ([&] { return silent->connections[0]->isClosed(); }));
    other->connections[0]->write (eventOf (2) + "0\r\n\r\n");
    expectWhole();
}

TEST_F (SilentStreamTest, IsCancelledSoonWhenAnotherWorksWithoutAnswer)
{
    beginAtTwoRunners();
    ASSERT_TRUE (other->waitForRequest());
    EXPECT_TRUE (waitUntil ([&] { return silent->connections[0]->isClosed(); }, kMaxOverlap));
    other->connections[0]->write (kHead + eventOf (2) + "0\r\n\r\n");
    expectWhole();
}

TEST_F (SilentStreamTest, EventOfWhichPartCameIsCompleteOnce)
{
    beginAtTwoRunners();
    silent->connections[0]->write (chunkOf ("id: 2\ndata: e"));
    ASSERT_TRUE (other->waitForRequest());
    other->connections[0]->write (declined ("503 Service Unavailable"));
    runFor (milliseconds (50));
    silent->connections[0]->write (chunkOf ("2.\n\n") + "0\r\n\r\n");
    expectWhole();
}

TEST_F (SilentStreamTest, RestComesFromAnotherWhenSilentRunnerBreaksOff)
{
    beginAtTwoRunners();
    silent->connections[0]->write (chunkOf ("id: 2\ndata: x"));
    ASSERT_TRUE (other->waitForRequest());
    silent->connections[0]->reset();
    runFor (milliseconds (50));
    other->connections[0]->write (kHead + eventOf (2) + "0\r\n\r\n");
    expectWhole();
    EXPECT_EQ (countOf ("data: x"), 0U);
}

class DeclinedRestTest : public SilentStreamTest, public ::testing::WithParamInterface<const char*>
{
};

TEST_P (DeclinedRestTest, SilentRunnerGoesOn)
{
    beginAtTwoRunners();
    ASSERT_TRUE (other->waitForRequest());
    other->connections[0]->write (declined (GetParam()));
    runFor (milliseconds (600));
    goOn();
    expectWhole();
}

INSTANTIATE_TEST_SUITE_P (ByStatus, DeclinedRestTest,
                          ::testing::Values ("503 Service Unavailable", "429 Too Many Requests",
                                             "421 Misdirected Request"));

}  // namespace
}  // namespace fernlift::proxy::test
