#include <gtest/gtest.h>

#include "proxy/PathAnnouncements.h"

namespace fernlift::proxy
{
namespace
{

class PathAnnouncementsTest : public ::testing::Test
{
protected:
    PathAnnouncementsTest() { m_reachability.setRunners ({ "i-1", "i-2", "i-3" }); }

    std::optional<PeerPath> due() { return m_announcements.takeDue (m_reachability, m_now); }
    std::optional<PeerPath> doubt() { return m_announcements.takeDoubt (m_reachability, m_now); }
    void fail (const std::string& runner) { m_reachability.onConnectFailed (runner, m_now); }
    void isolate()
    {
        for (const char* const runner : { "i-1", "i-2", "i-3" })
            fail (runner);
    }

    base::TimePoint m_now{ base::seconds (100) };
    RunnerReachability m_reachability;
    PathAnnouncements m_announcements;
};

TEST_F (PathAnnouncementsTest, StatesChangesOfThePathOnce)
{
    EXPECT_EQ (due(), std::nullopt);
    isolate();
    EXPECT_EQ (due(), PeerPath::kIsolated);
    EXPECT_EQ (due(), std::nullopt);
    m_reachability.onConnected ("i-1", m_now);
    m_reachability.onConnected ("i-2", m_now);
    EXPECT_EQ (due(), std::nullopt) << "the path is returning";
    m_now += base::seconds (1);
    EXPECT_EQ (due(), PeerPath::kOpen);
}

TEST_F (PathAnnouncementsTest, IsolatedRouterRepeatsItsStatement)
{
    isolate();
    EXPECT_EQ (due(), PeerPath::kIsolated);
    m_now += base::seconds (5);
    EXPECT_EQ (due(), PeerPath::kIsolated);
}

TEST_F (PathAnnouncementsTest, StatesDoubtsAtABoundedRate)
{
    EXPECT_EQ (doubt(), std::nullopt);
    fail ("i-1");
    EXPECT_EQ (doubt(), PeerPath::kInDoubt);
    EXPECT_EQ (doubt(), std::nullopt);
    m_reachability.onConnected ("i-2", m_now);
    m_now += base::seconds (2);
    EXPECT_EQ (doubt(), std::nullopt) << "the failure lies back";
}

TEST_F (PathAnnouncementsTest, StatementsOfTheOwnZoneCauseProbes)
{
    PeerRouters peers ("a", "z1");
    peers.apply ({ { { "b", "z1", "10.0.0.1:70", 1 }, { "c", "z2", "10.0.0.2:70", 2 } } }, m_now);
    const auto apply = [&] (const std::string& router, PeerPath path)
    { return applyPathNotice (peers, m_reachability, router, path, m_now); };
    EXPECT_TRUE (apply ("b", PeerPath::kInDoubt));
    EXPECT_TRUE (apply ("b", PeerPath::kIsolated));
    EXPECT_FALSE (apply ("b", PeerPath::kIsolated)) << "a repetition";
    EXPECT_FALSE (apply ("c", PeerPath::kIsolated)) << "another zone";
    EXPECT_TRUE (peers.isIsolated ("c", m_now));
    EXPECT_FALSE (apply ("c", PeerPath::kOpen));
    EXPECT_FALSE (peers.isIsolated ("c", m_now));
}

}  // namespace
}  // namespace fernlift::proxy
