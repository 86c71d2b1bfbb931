#include <gtest/gtest.h>

#include "proxy/PeerRouters.h"

namespace fernlift::proxy
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (100) };

cell::RouterPeer rowOf (const std::string& router, const std::string& zone, std::uint64_t key = 1)
{
    return { router, zone, "10.0.0.1:70", key };
}

class PeerRoutersTest : public ::testing::Test
{
protected:
    PeerRoutersTest()
    {
        m_peers.apply ({ { rowOf ("a", "z1"), rowOf ("b", "z1"), rowOf ("c", "z2") } }, kStart);
    }
    std::string choose (const std::set<std::string>& excluded = {},
                        base::TimePoint now = kStart) const
    {
        const auto choice = m_peers.choose (excluded, 0, now);
        return choice ? choice->router : std::string();
    }

    PeerRouters m_peers{ "a", "z1" };
};

TEST_F (PeerRoutersTest, ChoosesAnotherRouterOfTheSameZone)
{
    EXPECT_EQ (m_peers.size(), 2U);
    EXPECT_EQ (choose(), "b");
    EXPECT_EQ (choose ({ "b" }), "c");
    EXPECT_EQ (choose ({ "b", "c" }), "");
}

TEST_F (PeerRoutersTest, SpreadsRequestsOverZonesWhenOneRouterHasMany)
{
    for (int request = 0; request < 5; ++request)
        m_peers.onBegin ("b");
    EXPECT_EQ (choose(), "c");
    m_peers.onEnd ("b");
    m_peers.onEnd ("b");
    EXPECT_EQ (choose(), "b");
}

TEST_F (PeerRoutersTest, AvoidsRouterForATime)
{
    m_peers.avoid ("b", kStart + base::seconds (1));
    EXPECT_EQ (choose(), "c");
    EXPECT_EQ (choose ({}, kStart + base::seconds (1)), "b");
}

TEST_F (PeerRoutersTest, RestartedRouterIsNotAvoided)
{
    m_peers.avoid ("b", kStart + base::seconds (1));
    m_peers.apply ({ { rowOf ("b", "z1", 2) } }, kStart);
    EXPECT_EQ (m_peers.choose ({}, 0, kStart)->key, 2U);
}

TEST_F (PeerRoutersTest, RouterThatIsMissingInTheListIsTheLastChoiceAndLapses)
{
    m_peers.apply ({ { rowOf ("c", "z2") } }, kStart);
    EXPECT_EQ (choose(), "c");
    EXPECT_EQ (choose ({ "c" }), "b");
    m_peers.apply ({ { rowOf ("c", "z2") } }, kStart + base::seconds (9));
    m_peers.expire (kStart + base::seconds (11));
    EXPECT_EQ (m_peers.size(), 1U);
}

TEST_F (PeerRoutersTest, DrawDecidesBetweenEqualRouters)
{
    m_peers.apply ({ { rowOf ("b", "z1"), rowOf ("d", "z1") } }, kStart);
    EXPECT_EQ (m_peers.choose ({}, 0.2, kStart)->router, "b");
    EXPECT_EQ (m_peers.choose ({}, 0.8, kStart)->router, "d");
}

TEST_F (PeerRoutersTest, TargetIsUnservableForATime)
{
    m_peers.onUnservable ("service/m/", kStart + base::milliseconds (500));
    EXPECT_TRUE (m_peers.isUnservable ("service/m/", kStart));
    EXPECT_FALSE (m_peers.isUnservable ("service/x/", kStart));
    EXPECT_FALSE (m_peers.isUnservable ("service/m/", kStart + base::milliseconds (500)));
}

TEST_F (PeerRoutersTest, IgnoresRouterWithInvalidAddress)
{
    m_peers.apply ({ { { "e", "z1", "nowhere", 1 } } }, kStart);
    EXPECT_EQ (choose ({ "b", "c" }), "");
}

}  // namespace
}  // namespace fernlift::proxy
