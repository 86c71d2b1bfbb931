#include <gtest/gtest.h>

#include <algorithm>

#include "proxy/RunnerReachability.h"

namespace fernlift::proxy
{
namespace
{

using base::milliseconds;

class RunnerReachabilityTest : public ::testing::Test
{
protected:
    RunnerReachabilityTest() { m_reachability.setRunners ({ "i-1", "i-2", "i-3", "i-4", "i-5" }); }

    void advance (base::Duration time) { m_now += time; }
    bool fail (const std::string& runner) { return m_reachability.onConnectFailed (runner, m_now); }
    void connect (const std::string& runner) { m_reachability.onConnected (runner, m_now); }
    std::vector<std::string> probes() { return m_reachability.takeProbes (m_now, m_random); }
    RunnerPath path() const { return m_reachability.path (m_now); }
    void isolate()
    {
        for (const char* const runner : { "i-1", "i-2", "i-3" })
            fail (runner);
        EXPECT_EQ (path(), RunnerPath::kIsolated);
    }
    /// Lets probes succeed until the path is back; returns their number.
    std::size_t recover()
    {
        std::size_t count = 0;
        while (path() == RunnerPath::kIsolated)
        {
            advance (milliseconds (100));
            for (const std::string& runner : probes())
            {
                connect (runner);
                ++count;
            }
        }
        return count;
    }

    base::TimePoint m_now{ base::seconds (100) };
    base::Random m_random{ 1 };
    RunnerReachability m_reachability;
};

TEST_F (RunnerReachabilityTest, FailuresAtThreeRunnersInARowIsolate)
{
    EXPECT_FALSE (fail ("i-1"));
    EXPECT_FALSE (fail ("i-2"));
    EXPECT_EQ (path(), RunnerPath::kOpen);
    EXPECT_TRUE (fail ("i-3"));
    EXPECT_EQ (path(), RunnerPath::kIsolated);
    EXPECT_TRUE (m_reachability.mustForward (0.99, m_now));
}

TEST_F (RunnerReachabilityTest, OneRunnerThatIsDownDoesNotIsolate)
{
    for (int attempt = 0; attempt < 20; ++attempt)
    {
        EXPECT_FALSE (fail ("i-1"));
        advance (milliseconds (50));
    }
}

TEST_F (RunnerReachabilityTest, ConnectionThatOpensEndsTheRow)
{
    fail ("i-1");
    fail ("i-2");
    connect ("i-4");
    EXPECT_FALSE (fail ("i-3"));
    EXPECT_FALSE (fail ("i-5"));
}

TEST_F (RunnerReachabilityTest, FailuresFarApartDoNotIsolate)
{
    fail ("i-1");
    advance (milliseconds (800));
    fail ("i-2");
    advance (milliseconds (800));
    EXPECT_FALSE (fail ("i-3"));
}

TEST_F (RunnerReachabilityTest, CrashedRunnersThatAreProbedAgainDoNotIsolate)
{
    fail ("i-1");
    connect ("i-5");
    fail ("i-2");
    connect ("i-5");
    fail ("i-3");
    connect ("i-5");
    for (int round = 0; round < 10; ++round)
    {
        advance (milliseconds (500));
        std::vector<std::string> probed = probes();
        std::ranges::sort (probed);
        // One more is an idle probe of a runner that is reachable.
        const auto isReachable = [] (const std::string& runner)
        { return runner == "i-4" || runner == "i-5"; };
        EXPECT_LE (std::ranges::count_if (probed, isReachable), 1);
        std::erase_if (probed, isReachable);
        EXPECT_EQ (probed, (std::vector<std::string>{ "i-1", "i-2", "i-3" }));
        for (const std::string& runner : probed)
            EXPECT_FALSE (fail (runner));
    }
    EXPECT_EQ (path(), RunnerPath::kOpen);
}

TEST_F (RunnerReachabilityTest, UnansweredProbesIsolateWhileNothingIsReceived)
{
    m_reachability.onAttemptBegin (m_now);
    m_reachability.onBytes (m_now);
    advance (milliseconds (250));
    EXPECT_FALSE (m_reachability.onProbeUnanswered ("i-1", milliseconds (200), m_now));
    EXPECT_FALSE (m_reachability.onProbeUnanswered ("i-2", milliseconds (200), m_now));
    EXPECT_TRUE (m_reachability.onProbeUnanswered ("i-3", milliseconds (200), m_now));
    EXPECT_EQ (path(), RunnerPath::kIsolated);
}

TEST_F (RunnerReachabilityTest, UnansweredProbesOfFullRunnersDoNotIsolate)
{
    for (const char* const runner : { "i-1", "i-2", "i-3", "i-4" })
    {
        m_reachability.onBytes (m_now);
        advance (milliseconds (100));
        EXPECT_FALSE (m_reachability.onProbeUnanswered (runner, milliseconds (200), m_now));
    }
    EXPECT_EQ (path(), RunnerPath::kOpen);
    EXPECT_EQ (m_reachability.unreachable(), 0U);
}

TEST_F (RunnerReachabilityTest, FullRunnerThatAcceptsAProbeIsReachableWhileOthersAnswer)
{
    fail ("i-1");
    EXPECT_TRUE (m_reachability.isUnreachable ("i-1"));
    advance (milliseconds (500));
    m_reachability.onBytes (m_now);
    EXPECT_FALSE (m_reachability.onProbeUnanswered ("i-1", milliseconds (200), m_now));
    EXPECT_FALSE (m_reachability.isUnreachable ("i-1"));
}

TEST_F (RunnerReachabilityTest, FailureIsFollowedByProbesOfOtherRunners)
{
    EXPECT_TRUE (probes().empty());
    fail ("i-1");
    const std::vector<std::string> probed = probes();
    EXPECT_EQ (probed.size(), 2U);
    EXPECT_EQ (std::ranges::count (probed, "i-1"), 0);
    EXPECT_TRUE (probes().empty());
}

TEST_F (RunnerReachabilityTest, QuietAttemptsCauseProbesAtABoundedRate)
{
    m_reachability.onAttemptBegin (m_now);
    std::size_t count = 0;
    for (int tick = 0; tick < 80; ++tick)
    {
        advance (milliseconds (25));
        for (const std::string& runner : probes())
        {
            connect (runner);
            ++count;
        }
    }
    EXPECT_GE (count, 2U);
    EXPECT_LE (count, 12U) << "three in each half second";
}

TEST_F (RunnerReachabilityTest, NoProbesWhileAnswersArriveAndOneAtATimeWhileNothingIsOpen)
{
    m_reachability.onAttemptBegin (m_now);
    for (int tick = 0; tick < 40; ++tick)
    {
        advance (milliseconds (25));
        m_reachability.onBytes (m_now);
        EXPECT_TRUE (probes().empty());
    }
    m_reachability.onAttemptEnd();
    for (int probe = 0; probe < 5; ++probe)
    {
        advance (base::seconds (1));
        EXPECT_EQ (probes().size(), 1U);
        EXPECT_TRUE (probes().empty());
    }
}

TEST_F (RunnerReachabilityTest, ShareOfDirectRequestsRisesAfterTwoProbesHaveSucceeded)
{
    isolate();
    EXPECT_EQ (recover(), 2U);
    EXPECT_EQ (path(), RunnerPath::kReturning);
    EXPECT_TRUE (m_reachability.mustForward (0.1, m_now));
    advance (milliseconds (250));
    EXPECT_FALSE (m_reachability.mustForward (0.1, m_now));
    EXPECT_TRUE (m_reachability.mustForward (0.9, m_now));
    advance (milliseconds (250));
    EXPECT_FALSE (m_reachability.mustForward (0.99, m_now));
    EXPECT_EQ (path(), RunnerPath::kOpen);
}

TEST_F (RunnerReachabilityTest, FailedProbeStartsTheCountAnew)
{
    isolate();
    connect ("i-4");
    fail ("i-5");
    connect ("i-4");
    EXPECT_EQ (path(), RunnerPath::kIsolated);
    connect ("i-4");
    EXPECT_EQ (path(), RunnerPath::kReturning);
}

TEST_F (RunnerReachabilityTest, PathThatFailsAgainAndAgainNeedsMoreProbes)
{
    isolate();
    EXPECT_EQ (recover(), 2U);
    isolate();
    EXPECT_EQ (recover(), 4U);
    isolate();
    EXPECT_EQ (recover(), 8U);
    isolate();
    EXPECT_EQ (recover(), 8U);
    advance (base::seconds (20));
    isolate();
    EXPECT_EQ (recover(), 2U);
}

TEST_F (RunnerReachabilityTest, ProbesWhileIsolatedAreBounded)
{
    isolate();
    std::size_t count = 0;
    for (int tick = 0; tick < 40; ++tick)
    {
        advance (milliseconds (25));
        count += probes().size();
    }
    EXPECT_GE (count, 9U);
    EXPECT_LE (count, 10U) << "ten a second";
}

TEST_F (RunnerReachabilityTest, SingleRunnerThatIsDownDoesNotIsolate)
{
    m_reachability.setRunners ({ "i-1" });
    EXPECT_FALSE (fail ("i-1"));
    advance (milliseconds (100));
    EXPECT_FALSE (fail ("i-1"));
}

TEST_F (RunnerReachabilityTest, RouterWithoutRequestsNoticesThatItsPathFailed)
{
    const base::TimePoint begin = m_now;
    while (path() == RunnerPath::kOpen && m_now - begin < base::seconds (2))
    {
        advance (milliseconds (25));
        for (const std::string& runner : probes())
            fail (runner);
    }
    EXPECT_EQ (path(), RunnerPath::kIsolated);
    EXPECT_LE (m_now - begin, milliseconds (500));
}

TEST_F (RunnerReachabilityTest, IdleProbesOfAllRoutersAreLimited)
{
    constexpr std::uint32_t kRouters = 300;
    constexpr int kSeconds = 100;
    m_reachability.setRouters (kRouters);
    std::size_t count = 0;
    for (int tick = 0; tick < kSeconds * 40; ++tick)
    {
        advance (milliseconds (25));
        for (const std::string& runner : probes())
        {
            connect (runner);
            ++count;
        }
    }
    EXPECT_LE (count * kRouters / kSeconds, 150U) << "probes a second in the whole cell";
}

TEST_F (RunnerReachabilityTest, BytesOfRunnersReplaceIdleProbes)
{
    for (int tick = 0; tick < 40; ++tick)
    {
        advance (milliseconds (25));
        m_reachability.onBytes (m_now);
        EXPECT_TRUE (probes().empty());
    }
}

TEST_F (RunnerReachabilityTest, IdleProbesPreferRunnersWithFreeSlots)
{
    const auto isFull = [] (const std::string& runner) { return runner != "i-4"; };
    EXPECT_TRUE (probes().empty()) << "the first one follows after a time";
    for (int probe = 0; probe < 5; ++probe)
    {
        advance (base::seconds (1));
        EXPECT_EQ (m_reachability.takeProbes (m_now, m_random, isFull),
                   std::vector<std::string>{ "i-4" });
    }
}

TEST_F (RunnerReachabilityTest, DoubtOfAnotherRouterCausesProbesOfThreeRunners)
{
    m_reachability.onBytes (m_now);
    EXPECT_TRUE (probes().empty());
    m_reachability.onDoubtOfPeer (m_now);
    EXPECT_EQ (probes().size(), 3U);
    m_reachability.onDoubtOfPeer (m_now);
    EXPECT_TRUE (probes().empty()) << "at most one round in half a second";
}

}  // namespace
}  // namespace fernlift::proxy
