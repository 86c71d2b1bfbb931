// Callers that read slowly. Guards against a router that runs out of memory, as it reads answers
// faster than their callers do.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;

/// Above what the buffers of a loopback connection hold.
constexpr std::size_t kAnswerBytes = std::size_t{ 24 } * 1024 * 1024;
constexpr qint64 kCallerBufferBytes = 64 * 1024;
/// Longest read of a router, which may exceed the limit of an answer by so much.
constexpr std::size_t kReadBytes = 64UL * 1024;
constexpr std::size_t kEventBytes = 32UL * 1024;

enum class Framing : std::uint8_t
{
    kLength,
    kChunks,
    kClose,
    kEvents,
};

struct SlowCase
{
    const char* name;
    const char* host;
    Framing framing;
};

std::string eventsOf (std::size_t bytes)
{
    std::string events;
    for (int number = 0; events.size() < bytes; ++number)
    {
        events +=
            "id: " + std::to_string (number) + "\ndata: " + std::string (kEventBytes, 'x') + "\n\n";
    }
    return events;
}

std::string bodyOf (const SlowCase& slow)
{
    return slow.framing == Framing::kEvents ? eventsOf (kAnswerBytes)
                                            : std::string (kAnswerBytes, 'x');
}

std::string answerOf (const SlowCase& slow)
{
    const std::string body = bodyOf (slow);
    std::string head = "HTTP/1.1 200 OK\r\nTest-Id: r1\r\n";
    switch (slow.framing)
    {
        case Framing::kLength:
            return head + "Content-Length: " + std::to_string (body.size()) + "\r\n\r\n" + body;
        case Framing::kChunks:
            return head + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf (body) + "0\r\n\r\n";
        case Framing::kClose:
            return head + "\r\n" + body;
        case Framing::kEvents:
            return head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                   + chunkOf (body) + "0\r\n\r\n";
    }
    return {};
}

const std::vector<SlowCase>& slowCases()
{
    static const std::vector<SlowCase> cases{
        { "Length", "app.test", Framing::kLength },
        { "Chunks", "app.test", Framing::kChunks },
        { "Close", "once.test", Framing::kClose },
        { "Stream", "stream.test", Framing::kEvents },
        { "ResumableStream", "resume.test", Framing::kEvents },
        { "EventsOfPlainRoute", "app.test", Framing::kEvents },
    };
    return cases;
}

class SlowCallerTest : public ::testing::TestWithParam<std::size_t>
{
protected:
    [[nodiscard]] static const SlowCase& slow() { return slowCases()[GetParam()]; }
    static StubReply reply()
    {
        return { answerOf (slow()), false, slow().framing == Framing::kClose };
    }
    /// A caller that reads nothing of its answer from some bytes on.
    static std::unique_ptr<RawCaller> callerThatStops (const ProxyFixture& router)
    {
        auto caller = std::make_unique<RawCaller> (router.listening);
        caller->stopReading (kCallerBufferBytes);
        caller->write (ProxyFixture::request (slow().host));
        return caller;
    }

    AnsweringRunner m_runner{ [] (const std::string&) { return reply(); } };
    ProxyFixture m_router;
};

TEST_P (SlowCallerTest, HoldsFewBytesOfTheAnswer)
{
    m_router.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
    const auto caller = callerThatStops (m_router);
    std::size_t most = 0;
    waitUntil (
        [&]
        {
            most = std::max (most, m_router.context.answerBuffers.used());
            return m_router.counters.answered > 0;
        },
        milliseconds (600));
    EXPECT_LE (most, http::BufferBudget::kMaxBytesPerAnswer + kReadBytes + kEventBytes);
    EXPECT_GT (most, 0U);
    EXPECT_EQ (m_router.counters.answered, 0U);
}

TEST_P (SlowCallerTest, PausedRunnerIsNotSilent)
{
    m_router.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
    m_router.put (ProxyFixture::rowOf ("i-2", m_runner.address()));
    const auto caller = callerThatStops (m_router);
    ASSERT_TRUE (waitUntil ([&] { return m_router.counters.pausedAnswers > 0; }));
    // Beyond the silence after which a request is sent to another runner.
    runFor (milliseconds (2200));
    caller->resumeReading();
    EXPECT_TRUE (waitUntil ([&] { return m_router.counters.answered == 1; }));
    EXPECT_TRUE (waitUntil ([&] { return m_router.context.answerBuffers.used() == 0; }));
    runFor (milliseconds (20));
    const std::string& received = caller->received();
    const std::string body = received.substr (received.find ("\r\n\r\n"));
    EXPECT_EQ (std::ranges::count (body, 'x'), std::ranges::count (bodyOf (slow()), 'x'));
    EXPECT_EQ (m_runner.requests, 1U);
    EXPECT_EQ (m_router.counters.retries + m_router.counters.resumed, 0U);
    EXPECT_TRUE (m_router.suspects.isEmpty());
}

TEST_P (SlowCallerTest, RouteTimeEndsPausedAnswer)
{
    m_router.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
    const auto caller = callerThatStops (m_router);
    ASSERT_TRUE (waitUntil ([&] { return m_router.counters.pausedAnswers > 0; }));
    m_router.advance (base::seconds (6));
    EXPECT_TRUE (waitUntil ([&] { return m_router.server.openExchanges() == 0; }));
    EXPECT_TRUE (waitUntil ([&] { return m_router.context.answerBuffers.used() == 0; }));
}

TEST_P (SlowCallerTest, CallerThatLeavesFreesItsBytes)
{
    m_router.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
    const auto caller = callerThatStops (m_router);
    ASSERT_TRUE (waitUntil ([&] { return m_router.counters.pausedAnswers > 0; }));
    caller->close();
    EXPECT_TRUE (waitUntil ([&] { return m_router.server.openExchanges() == 0; }));
    EXPECT_TRUE (waitUntil ([&] { return m_router.context.answerBuffers.used() == 0; }));
    EXPECT_EQ (m_router.counters.disconnected, 1U);
}

TEST_P (SlowCallerTest, AnswerThroughOtherRouterIsPausedAtBoth)
{
    ProxyFixture other;
    other.servePeers ("front-2");
    other.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
    m_router.servePeers ("front-1");
    m_router.setPeers ({ m_router.peerRow(), other.peerRow() });
    m_router.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
    m_router.isolate();
    const auto caller = callerThatStops (m_router);
    ASSERT_TRUE (waitUntil ([&] { return m_router.counters.pausedAnswers > 0; }));
    std::size_t most = 0;
    waitUntil (
        [&]
        {
            most = std::max (most, other.context.answerBuffers.used());
            return false;
        },
        milliseconds (400));
    EXPECT_GT (other.counters.pausedAnswers, 0U);
    EXPECT_LE (most, http::BufferBudget::kMaxBytesPerAnswer + kReadBytes + kEventBytes);
    EXPECT_EQ (m_router.counters.forwardedToPeers, 1U);
}

INSTANTIATE_TEST_SUITE_P (Cases, SlowCallerTest,
                          ::testing::Range<std::size_t> (0, slowCases().size()),
                          [] (const auto& info)
                          { return std::string (slowCases()[info.param].name); });

TEST (ManySlowCallersTest, ShareOneBudget)
{
    constexpr std::size_t kCallers = 60;
    constexpr std::size_t kMaxBytes = std::size_t{ 2 } * 1024 * 1024;
    AnsweringRunner runner{ [] (const std::string&)
                            { return StubReply{ answerOf (slowCases().front()) }; } };
    ProxyFixture router;
    router.context.answerBuffers.setMaxBytes (kMaxBytes);
    router.put (ProxyFixture::rowOf ("i-1", runner.address()));
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t number = 0; number < kCallers; ++number)
    {
        callers.push_back (std::make_unique<RawCaller> (router.listening));
        callers.back()->stopReading (kCallerBufferBytes);
        callers.back()->write (ProxyFixture::request ("app.test"));
    }
    std::size_t most = 0;
    EXPECT_TRUE (waitUntil (
        [&]
        {
            most = std::max (most, router.context.answerBuffers.used());
            return router.counters.pausedAnswers >= kCallers;
        }));
    EXPECT_LE (most, kMaxBytes + kCallers * kReadBytes);
    for (const auto& caller : callers)
        caller->resumeReading();
}

}  // namespace
}  // namespace fernlift::proxy::test
