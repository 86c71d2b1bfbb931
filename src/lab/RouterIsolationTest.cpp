// Routers that reach the controllers, their callers and the other routers, but no runner. Guards
// against their callers being served worse than those of the other routers.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <vector>

#include "http/HttpTestSupport.h"
#include "lab/ForwardingCellTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using base::milliseconds;

constexpr std::size_t kRouters = 4;
constexpr milliseconds kPause (8);
/// Time within which a router has to find the other way.
constexpr milliseconds kDetection (1000);
constexpr std::array<const char*, 4> kHosts{ "app.test", "once.test", "stream.test",
                                             "resume.test" };

struct Tally
{
    std::size_t requests = 0;
    std::size_t served = 0;
};

/// Sends requests of all kinds to all routers in turn and counts them for each router.
std::array<Tally, kRouters> sendToAll (ForwardingCell& cell, milliseconds time)
{
    std::vector<std::shared_ptr<int>> open;
    for (milliseconds passed (0); passed < time; passed += kPause)
    {
        const std::size_t number = open.size();
        open.push_back (std::make_shared<int> (-1));
        const char* const host = kHosts[(number / kRouters) % kHosts.size()];
        cell.beginCall (number % kRouters, host, "request", open.back());
        http::test::runFor (kPause);
    }
    http::test::waitUntil (
        [&] { return std::ranges::all_of (open, [] (const auto& each) { return *each >= 0; }); });
    std::array<Tally, kRouters> tallies{};
    for (std::size_t number = 0; number < open.size(); ++number)
    {
        Tally& tally = tallies[number % kRouters];
        ++tally.requests;
        tally.served += *open[number] == 200 ? 1 : 0;
    }
    return tallies;
}

class RouterIsolationTest : public ::testing::TestWithParam<std::tuple<LinkFault, std::size_t>>
{
protected:
    [[nodiscard]] static LinkFault fault() { return std::get<0> (GetParam()); }
    [[nodiscard]] static std::size_t cutRouters() { return std::get<1> (GetParam()); }

    void setFault (LinkFault fault)
    {
        for (std::size_t router = 0; router < cutRouters(); ++router)
            m_cell.network (router).setFault (fault);
    }
    [[nodiscard]] std::uint64_t runs()
    {
        std::uint64_t sum = 0;
        for (std::size_t runner = 0; runner < m_cell.runners(); ++runner)
            sum += m_cell.runner (runner).runs();
        return sum;
    }

    ForwardingCell m_cell{
        { .controllers = 3, .routers = kRouters, .runners = 6, .hasRouterNetworks = true }
    };
};

TEST_P (RouterIsolationTest, ServesCallersOfRoutersThatReachNoRunner)
{
    ASSERT_TRUE (m_cell.awaitReady());
    sendToAll (m_cell, milliseconds (400));
    setFault (fault());
    sendToAll (m_cell, kDetection);
    const std::uint64_t runsBefore = runs();
    const std::array<Tally, kRouters> tallies = sendToAll (m_cell, milliseconds (2000));
    std::size_t served = 0;
    for (std::size_t router = 0; router < kRouters; ++router)
    {
        const Tally& tally = tallies[router];
        served += tally.served;
        const std::size_t percent = router < cutRouters() ? 95 : 98;
        EXPECT_GE (tally.served * 100, tally.requests * percent)
            << "router " << router << " served " << tally.served << " of " << tally.requests;
    }
    EXPECT_EQ (runs() - runsBefore, served) << "each request runs once";
}

TEST_P (RouterIsolationTest, SendsDirectlyWithinASecondOfHealing)
{
    ASSERT_TRUE (m_cell.awaitReady());
    setFault (fault());
    sendToAll (m_cell, kDetection);
    setFault (LinkFault::kNone);
    sendToAll (m_cell, kDetection);
    // Requests that still went to the other routers would fail now.
    for (std::size_t router = cutRouters(); router < kRouters; ++router)
        m_cell.network (router).setFault (LinkFault::kResets);
    for (std::size_t router = 0; router < cutRouters(); ++router)
    {
        for (int request = 0; request < 10; ++request)
            EXPECT_EQ (m_cell.call (router, "once.test", "request"), 200) << "router " << router;
    }
}

INSTANTIATE_TEST_SUITE_P (
    Faults, RouterIsolationTest,
    ::testing::Combine (::testing::Values (LinkFault::kHangs, LinkFault::kResets,
                                           LinkFault::kRefusesNew, LinkFault::kResetsLater,
                                           LinkFault::kResetsRequests, LinkFault::kSilent),
                        ::testing::Values (1, 2, 3)),
    [] (const auto& info)
    { return toString (std::get<0> (info.param)) + std::to_string (std::get<1> (info.param)); });

}  // namespace
}  // namespace fernlift::lab::test
