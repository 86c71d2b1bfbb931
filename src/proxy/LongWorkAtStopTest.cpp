// Requests that come while their router is stopping. Guards against long work that is taken late
// and cut at the end of the stop, although it may run once only.

#include <gtest/gtest.h>

#include <string>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;
using base::seconds;

class LongWorkAtStopTest : public ::testing::Test
{
protected:
    LongWorkAtStopTest()
    {
        m_router.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
        m_router.context.routeTimes.onAnswered ("once.test", seconds (2));
        m_router.context.routeTimes.onAnswered ("app.test", milliseconds (100));
    }
    void stopIn (base::Duration time)
    {
        m_router.context.stopsAt = m_router.clock.now() + time;
        m_router.server.beginClosing();
    }

    AnsweringRunner m_runner{ [] (const std::string&) { return StubReply{ servedAnswer() }; } };
    ProxyFixture m_router;
};

TEST_F (LongWorkAtStopTest, IsRefusedAtOnceWithTheTimeToReachAnotherRouter)
{
    stopIn (milliseconds (1500));
    const base::TimePoint sentAt = m_router.clock.now();
    const std::string answer = m_router.call ("once.test");
    EXPECT_TRUE (answer.starts_with ("HTTP/1.1 503")) << answer;
    EXPECT_NE (answer.find ("Retry-After: 0.05"), std::string::npos) << answer;
    EXPECT_LT (m_router.clock.now() - sentAt, milliseconds (500));
    EXPECT_EQ (m_runner.requests, 0U);
}

TEST_F (LongWorkAtStopTest, IsTakenWhileItWillProbablyEndBeforeTheRouter)
{
    stopIn (seconds (8));
    EXPECT_TRUE (m_router.call ("once.test").starts_with ("HTTP/1.1 200"));
}

TEST_F (LongWorkAtStopTest, IsTakenIfItsDeadlineIsBeforeTheEndOfTheRouter)
{
    // The deadline of the request is 3 s.
    m_router.context.routeTimes.onAnswered ("once.test", seconds (100));
    stopIn (milliseconds (3500));
    EXPECT_TRUE (m_router.call ("once.test").starts_with ("HTTP/1.1 200"));
}

TEST_F (LongWorkAtStopTest, ShortWorkIsTaken)
{
    stopIn (milliseconds (1500));
    EXPECT_TRUE (m_router.call ("app.test").starts_with ("HTTP/1.1 200"));
    EXPECT_TRUE (m_router.call ("stream.test").starts_with ("HTTP/1.1 200")) << "no time is known";
}

TEST_F (LongWorkAtStopTest, RequestThatWaitsForARunnerIsNotSentTooLate)
{
    m_router.remove ("i-1");
    stopIn (milliseconds (2800));
    RawCaller caller (m_router.listening);
    caller.write (ProxyFixture::request ("once.test"));
    runFor (milliseconds (30));
    m_router.advance (milliseconds (1200));
    m_router.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
    ASSERT_TRUE (caller.waitFor ("\r\n\r\n"));
    EXPECT_TRUE (caller.received().starts_with ("HTTP/1.1 503")) << caller.received();
    EXPECT_EQ (m_runner.requests, 0U);
}

}  // namespace
}  // namespace fernlift::proxy::test
