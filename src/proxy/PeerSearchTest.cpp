#include <gtest/gtest.h>

#include "proxy/PeerSearch.h"

namespace fernlift::proxy
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (100) };
constexpr base::TimePoint kDeadline = kStart + base::seconds (60);
const char* const kTarget = "service/m/";

class PeerSearchTest : public ::testing::Test
{
protected:
    PeerSearchTest()
    {
        cell::RouterPeers list;
        for (const char* const zone : { "z1", "z2", "z3" })
        {
            for (const char* const number : { "1", "2", "3" })
                list.peers.push_back (
                    { std::string (zone) + "-" + number, zone, "10.0.0.1:70", 1 });
        }
        m_peers.apply (list, kStart);
    }

    /// Name of the next router; empty: the search is over.
    std::string next (PeerSearch& search)
    {
        const auto peer = search.next (m_peers, kTarget, 0, m_now, kDeadline);
        return peer ? peer->router : std::string();
    }
    void decline (PeerSearch& search, const std::string& router,
                  PeerDecline reason = PeerDecline::kIsolated)
    {
        search.onDeclined (m_peers, router, reason, kTarget, m_now);
    }

    base::TimePoint m_now = kStart;
    PeerRouters m_peers{ "z1-0", "z1" };
};

TEST_F (PeerSearchTest, LeavesAZoneAfterOneIsolatedRouter)
{
    PeerSearch search;
    EXPECT_EQ (next (search), "z1-1");
    decline (search, "z1-1");
    EXPECT_EQ (next (search), "z2-1");
    decline (search, "z2-1");
    EXPECT_EQ (next (search), "z3-1");
}

TEST_F (PeerSearchTest, NextRequestBeginsWhereOneWasServed)
{
    PeerSearch first;
    for (const char* const router : { "z1-1", "z2-1" })
        decline (first, router);
    m_peers.onServing ("z3-1", m_now);
    m_now += base::seconds (5);
    PeerSearch second;
    EXPECT_EQ (next (second), "z3-1");
}

TEST_F (PeerSearchTest, StaysInAZoneWhereMostServe)
{
    m_peers.onIsolated ("z1-1", m_now);
    m_peers.onServing ("z1-2", m_now);
    PeerSearch search;
    EXPECT_EQ (next (search), "z1-2");
}

TEST_F (PeerSearchTest, StatementsOnPathsLapse)
{
    m_peers.onIsolated ("z1-1", m_now);
    m_now += PeerRouters::kPathLifetime;
    PeerSearch search;
    EXPECT_EQ (next (search), "z1-1");
}

TEST_F (PeerSearchTest, AsksOneRouterWhenAllAreKnownToBeIsolated)
{
    m_peers.visit ([&] (const PeerChoice& peer) { m_peers.onIsolated (peer.router, m_now); });
    m_now += base::seconds (1);
    PeerSearch search;
    const std::string asked = next (search);
    EXPECT_FALSE (asked.empty());
    decline (search, asked);
    EXPECT_EQ (next (search), "");
    EXPECT_EQ (search.declined(), 1U);
}

TEST_F (PeerSearchTest, AsksEveryRouterWhileNothingIsKnown)
{
    PeerSearch search;
    for (std::string router = next (search); ! router.empty(); router = next (search))
        decline (search, router);
    EXPECT_EQ (search.declined(), 9U);
}

TEST_F (PeerSearchTest, EndsHalfWayToTheDeadline)
{
    PeerSearch search;
    const base::TimePoint deadline = kStart + base::milliseconds (200);
    EXPECT_TRUE (search.next (m_peers, kTarget, 0, kStart, deadline));
    EXPECT_TRUE (search.next (m_peers, kTarget, 0, kStart + base::milliseconds (100), deadline));
    EXPECT_FALSE (search.next (m_peers, kTarget, 0, kStart + base::milliseconds (101), deadline));
}

TEST_F (PeerSearchTest, EndsAfterTwoRoutersWithoutARunnerForTheRequest)
{
    PeerSearch search;
    decline (search, "z1-1", PeerDecline::kNoRunner);
    EXPECT_NE (next (search), "");
    decline (search, "z1-2", PeerDecline::kNoRunner);
    EXPECT_EQ (next (search), "");
    PeerSearch other;
    EXPECT_EQ (next (other), "") << "the same runners";
}

}  // namespace
}  // namespace fernlift::proxy
