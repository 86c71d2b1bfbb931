// Tests that the rates that runners state reach all routers of a cell and that the leader grants
// the permits. Routers of an earlier version receive neither.

#include <gtest/gtest.h>

#include <algorithm>

#include "controller/ControllerCore.h"
#include "controller/TestCell.h"
#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;
using base::seconds;
using test::TestCell;

constexpr std::size_t kRouters = 6;
/// Index of the router that does not support rates: the last one.
constexpr std::size_t kEarlierRouter = 5;
/// Time limit from the report of one router until all others have the rate.
constexpr base::Duration kSpreadTime = milliseconds (200);

/// Two routers at each of three controllers, of which one leads, and a runner.
class ControllerRatesTest : public ::testing::Test
{
protected:
    ControllerRatesTest() : m_cell (test::forwardingOptions (kRouters))
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            m_cell.router (number).acceptsLastKnownState = true;
            m_cell.router (number).features =
                number == kEarlierRouter ? 0U : std::uint32_t{ cell::kReadsInstanceRates };
        }
        EXPECT_TRUE (m_cell.awaitLeader());
        m_leader = m_cell.leader();
        connectAll();
        const auto answer =
            m_cell.sendControlRequest (m_leader, ReplaceConfiguration{ "1 " }, seconds (4));
        EXPECT_TRUE (answer && answer->verdict == ControlVerdict::kDone);
        beat();
        run (seconds (1));
    }

    [[nodiscard]] base::MemberId memberFor (std::size_t router) const
    {
        return (m_leader + router) % 3 + 1;
    }
    void connectAll()
    {
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.reconnect (number, memberFor (number));
    }
    void beat()
    {
        InstanceHeartbeat beat;
        beat.instance.id = "i-1";
        beat.instance.service = "llm";
        beat.instance.address = "10.0.0.9:1";
        beat.sequence = ++m_sequence;
        m_cell.sendControlRequest (m_cell.leader(), beat, milliseconds (0));
    }
    /// Advances the time while the runner sends heartbeats.
    void run (base::Duration duration)
    {
        const base::TimePoint end = m_cell.now() + duration;
        while (m_cell.now() < end)
        {
            m_cell.run (std::min<base::Duration> (end - m_cell.now(), milliseconds (500)));
            if (m_cell.leader() != 0)
                beat();
        }
    }
    void state (std::size_t router, double perSecond)
    {
        cell::InstanceRateReport report;
        report.statements.push_back ({ "i-1", 0, true, perSecond, 0 });
        m_cell.sendFromRouter (router, report);
    }
    void stateNone (std::size_t router)
    {
        cell::InstanceRateReport report;
        report.statements.push_back ({ "i-1", 0, false, 0, 0 });
        m_cell.sendFromRouter (router, report);
    }
    void ask (std::size_t router, std::size_t requests)
    {
        cell::InstancePermitRequest request;
        request.claims.sequence = ++m_requestSequence;
        request.claims.needs.push_back ({ "i-1", std::vector<std::uint64_t> (requests, 1) });
        m_cell.sendFromRouter (router, request);
        run (milliseconds (50));
    }
    [[nodiscard]] double known (std::size_t router)
    {
        const auto& rates = m_cell.router (router).rates;
        return rates && ! rates->limited.empty() ? rates->limited.front().perSecond : -1;
    }
    [[nodiscard]] bool allHave (double perSecond)
    {
        for (std::size_t number = 0; number < kEarlierRouter; ++number)
        {
            if (known (number) != perSecond)
                return false;
        }
        return true;
    }

    TestCell m_cell;
    base::MemberId m_leader = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_requestSequence = 0;
};

TEST_F (ControllerRatesTest, RateReportedByOneRouterReachesAllRouters)
{
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
    {
        state (number, static_cast<double> (number) + 2);
        run (kSpreadTime);
        EXPECT_TRUE (allHave (static_cast<double> (number) + 2)) << number;
    }
    stateNone (1);
    run (kSpreadTime);
    EXPECT_TRUE (allHave (-1));
}

TEST_F (ControllerRatesTest, RateTableIsSentBeforeInstanceTable)
{
    state (0, 2);
    run (kSpreadTime);
    connectAll();
    run (seconds (1));
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
    {
        const auto& received = m_cell.router (number).received;
        ASSERT_FALSE (received.empty());
        EXPECT_EQ (received.front(), "instance_rate_update") << number;
    }
}

TEST_F (ControllerRatesTest, RouterOfEarlierVersionReceivesNoRates)
{
    state (0, 2);
    run (seconds (1));
    EXPECT_FALSE (m_cell.router (kEarlierRouter).rates);
}

TEST_F (ControllerRatesTest, AllRoutersShareOneBucketOfPermits)
{
    state (0, 2);
    run (seconds (3));
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
        ask (number, 1);
    std::uint64_t granted = 0;
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
    {
        const auto& permits = m_cell.router (number).permits;
        ASSERT_EQ (permits.size(), 1U) << number;
        granted += permits.front().units;
        EXPECT_EQ (permits.front().units == 0, permits.front().waitMilliseconds > 0);
    }
    EXPECT_EQ (granted, 2U);
}

TEST_F (ControllerRatesTest, NewLeaderHasRatesAndStartsWithEmptyBuckets)
{
    state (0, 2);
    run (seconds (3));
    m_cell.kill (m_leader);
    ASSERT_TRUE (m_cell.awaitLeader());
    m_leader = m_cell.leader();
    connectAll();
    run (milliseconds (300));
    EXPECT_TRUE (allHave (2));
    const auto answer = m_cell.ask (m_leader, AdminExplain{ "runner", "i-1" });
    ASSERT_TRUE (answer);
    EXPECT_NE (answer->json.find ("\"rate_per_second\":2"), std::string::npos) << answer->json;
    ask (0, 2);
    ASSERT_FALSE (m_cell.router (0).permits.empty());
    EXPECT_LT (m_cell.router (0).permits.back().units, 2U);
}

TEST_F (ControllerRatesTest, OperatorSeesRateAndPermitCounts)
{
    state (0, 2);
    run (seconds (3));
    ask (0, 3);
    const auto answer = m_cell.ask (m_leader, AdminExplain{ "runner", "i-1" });
    ASSERT_TRUE (answer);
    for (const char* const part : { "\"states_a_rate\":true", "\"rate_per_second\":2",
                                    "\"permits_granted\":2", "\"permits_refused\":1" })
        EXPECT_NE (answer->json.find (part), std::string::npos) << part << " in " << answer->json;
    const std::string text = m_cell.core (m_leader).metricsText();
    for (const char* const line :
         { "rate_limited_runners 1\n", "permits_granted_total 2\n", "permits_refused_total 1\n" })
        EXPECT_NE (text.find (line), std::string::npos) << line;
}

TEST_F (ControllerRatesTest, SendsNothingWhenNoRateIsStated)
{
    for (std::size_t number = 0; number < kRouters; ++number)
        m_cell.router (number).received.clear();
    run (seconds (3));
    for (std::size_t number = 0; number < kRouters; ++number)
    {
        const auto& received = m_cell.router (number).received;
        EXPECT_EQ (std::ranges::count (received, "instance_rate_update"), 0) << number;
    }
}

/// A hello as encoded by versions without the field `features`.
struct EarlierHello
{
    cell::RouterHello hello;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& hello.router& hello.cell& hello.zone& hello.address& hello
            .configurationVersion& hello.configurationDigest& hello.replicaTableTerm& hello
            .replicaTableVersion& hello.acceptsLastKnownState& hello.isRelay& hello
            .instanceTerm& hello.instanceVersion;
    }
};

template <class Read, class Written>
Read reread (const Written& written)
{
    return base::handleErrors (
        [&]() -> base::Result<Read>
        {
            BOOST_LEAF_AUTO (read, wire::decodeValue<Read> (wire::encodeValue (written)));
            return read;
        },
        [] (const base::Error&) { return Read(); });
}

TEST (RouterHelloTest, EarlierAndPresentVersionsDecodeEachOther)
{
    cell::RouterHello hello;
    hello.router = base::RouterId ("router-1");
    hello.instanceVersion = 7;
    hello.features = cell::kReadsInstanceRates;
    const auto same = reread<cell::RouterHello> (hello);
    EXPECT_EQ (same.features, hello.features);
    EXPECT_EQ (same.instanceVersion, 7U);
    EXPECT_EQ (reread<EarlierHello> (hello).hello.instanceVersion, 7U);
    const auto earlier = reread<cell::RouterHello> (EarlierHello{ hello });
    EXPECT_EQ (earlier.features, 0U);
    EXPECT_EQ (earlier.instanceVersion, 7U);
    EXPECT_EQ (earlier.router.value, "router-1");
}

}  // namespace
}  // namespace fernlift::controller
