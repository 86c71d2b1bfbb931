// Whole zones of routers that reach no runner, with few requests at each router. Guards against
// their callers being served worse than those of the other zones.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "http/HttpTestSupport.h"
#include "lab/ForwardingCellTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using base::milliseconds;

constexpr std::size_t kRouters = 14;
/// Requests of the whole cell are this far apart: about two a second at each router.
constexpr milliseconds kPause (36);
/// Time within which every router of a cut zone has to find the other way.
constexpr milliseconds kDetection (500);
constexpr milliseconds kMeasured (4000);
constexpr std::array<const char*, 4> kHosts{ "app.test", "once.test", "stream.test",
                                             "resume.test" };

/// Routers that are cut off, and the zones of all routers.
struct ZoneCut
{
    const char* name;
    std::vector<std::string> zones;
    std::size_t cutRouters;  ///< The first ones.
};

std::vector<std::string> zonesOf (const std::vector<std::size_t>& sizes)
{
    std::vector<std::string> zones;
    for (std::size_t zone = 0; zone < sizes.size(); ++zone)
        zones.insert (zones.end(), sizes[zone], "z" + std::to_string (zone + 1));
    return zones;
}

const std::vector<ZoneCut>& zoneCuts()
{
    static const std::vector<ZoneCut> cuts{ { "OneOfTwoZones", zonesOf ({ 9, 5 }), 9 },
                                            { "TwoOfThreeZones", zonesOf ({ 5, 5, 4 }), 10 },
                                            { "AllButOneRouter", zonesOf ({ 5, 5, 4 }), 13 } };
    return cuts;
}

struct Tally
{
    std::size_t requests = 0;
    std::size_t served = 0;

    [[nodiscard]] double share() const
    {
        return static_cast<double> (served) / static_cast<double> (requests);
    }
};

class ZoneIsolationTest : public ::testing::TestWithParam<std::tuple<LinkFault, std::size_t>>
{
protected:
    [[nodiscard]] static LinkFault fault() { return std::get<0> (GetParam()); }
    [[nodiscard]] static const ZoneCut& zoneCut() { return zoneCuts()[std::get<1> (GetParam())]; }

    void cutRouters()
    {
        for (std::size_t router = 0; router < zoneCut().cutRouters; ++router)
            m_cell.network (router).setFault (fault());
    }
    /// Sends requests of all kinds to all routers in turn. Returns the counts of the cut routers
    /// and of the others, without the requests that were sent before `countedFrom`.
    std::array<Tally, 2> sendToAll (milliseconds time, milliseconds countedFrom)
    {
        std::vector<std::shared_ptr<int>> open;
        for (milliseconds passed (0); passed < time; passed += kPause)
        {
            const std::size_t number = open.size();
            open.push_back (std::make_shared<int> (-1));
            m_cell.beginCall (number % kRouters, kHosts[(number / kRouters) % kHosts.size()],
                              "request", open.back());
            http::test::runFor (kPause);
        }
        http::test::waitUntil (
            [&]
            { return std::ranges::all_of (open, [] (const auto& each) { return *each >= 0; }); });
        std::array<Tally, 2> tallies{};
        const auto first = static_cast<std::size_t> (countedFrom / kPause);
        for (std::size_t number = first; number < open.size(); ++number)
        {
            Tally& tally = tallies[number % kRouters < zoneCut().cutRouters ? 0 : 1];
            ++tally.requests;
            tally.served += *open[number] == 200 ? 1 : 0;
        }
        return tallies;
    }

    ForwardingCell m_cell{ { .controllers = 3,
                             .routers = kRouters,
                             .runners = 3,
                             .routerZones = zoneCut().zones,
                             .hasRouterNetworks = true } };
};

TEST_P (ZoneIsolationTest, ServesCallersOfCutZonesAtFewRequests)
{
    ASSERT_TRUE (m_cell.awaitReady());
    sendToAll (milliseconds (1000), {});
    cutRouters();
    const std::array<Tally, 2> tallies = sendToAll (kDetection + kMeasured, kDetection);
    constexpr double kMinShare = 0.99;
    EXPECT_GE (tallies[0].share(), kMinShare * tallies[1].share())
        << "cut routers served " << tallies[0].served << " of " << tallies[0].requests
        << ", the others " << tallies[1].served << " of " << tallies[1].requests;
    EXPECT_EQ (tallies[1].served, tallies[1].requests);
}

INSTANTIATE_TEST_SUITE_P (
    Faults, ZoneIsolationTest,
    ::testing::Combine (::testing::Values (LinkFault::kHangs, LinkFault::kResets,
                                           LinkFault::kRefusesNew, LinkFault::kResetsRequests,
                                           LinkFault::kSilent),
                        ::testing::Range<std::size_t> (0, 3)),
    [] (const auto& info)
    {
        return toString (std::get<0> (info.param))
               + std::string (zoneCuts()[std::get<1> (info.param)].name);
    });

}  // namespace
}  // namespace fernlift::lab::test
