// Tests that requests for the cell's reserve of retries reach the leader through any controller,
// and that routers of an earlier version receive nothing of it.

#include <gtest/gtest.h>

#include "controller/ControllerCore.h"
#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;
using base::seconds;
using test::TestCell;

constexpr std::size_t kRouters = 6;
/// Index of the router that does not read grants: the last one.
constexpr std::size_t kEarlierRouter = 5;
constexpr double kMinShare = 0.01;

/// Two routers at each of three controllers, of which one leads.
class ControllerRetryReserveTest : public ::testing::Test
{
protected:
    ControllerRetryReserveTest() : m_cell (test::forwardingOptions (kRouters))
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            m_cell.router (number).acceptsLastKnownState = true;
            m_cell.router (number).features =
                number == kEarlierRouter ? 0U : std::uint32_t{ cell::kReadsRetryReserve };
        }
        EXPECT_TRUE (m_cell.awaitLeader());
        connectAll();
        const auto answer =
            m_cell.sendControlRequest (m_cell.leader(), ReplaceConfiguration{ "1 " }, seconds (4));
        EXPECT_TRUE (answer && answer->verdict == ControlVerdict::kDone);
        m_cell.run (seconds (8));
    }

    void connectAll()
    {
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.reconnect (number, (m_cell.leader() + number) % 3 + 1);
    }
    /// Requests a share for a router and returns what it is granted; none without an answer.
    std::optional<double> request (std::size_t router, double held)
    {
        cell::RetryReserveRequests requests;
        requests.requests.push_back ({ router + 1, ++m_sequence, held, kMinShare, false });
        m_cell.router (router).reserveGrants.clear();
        m_cell.sendFromRouter (router, requests);
        m_cell.run (milliseconds (300));
        for (const cell::RetryReserveGrants& grants : m_cell.router (router).reserveGrants)
        {
            if (! grants.grants.empty())
                return grants.grants.front().share;
        }
        return std::nullopt;
    }

    TestCell m_cell;
    std::uint64_t m_sequence = 0;
};

TEST_F (ControllerRetryReserveTest, RoutersAtAllControllersGetAnEqualShare)
{
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
    {
        const std::optional<double> share = request (number, 0);
        ASSERT_TRUE (share) << number;
        EXPECT_DOUBLE_EQ (*share, 1.0 / kRouters) << number;
    }
}

TEST_F (ControllerRetryReserveTest, OnlyRoutersThatReadGrantsAreToldThatTheyAreMade)
{
    for (std::size_t number = 0; number < kRouters; ++number)
        EXPECT_EQ (m_cell.router (number).reserveGrants.empty(), number == kEarlierRouter)
            << number;
}

TEST_F (ControllerRetryReserveTest, NewLeaderRenewsSharesAndGrantsNoneUntilEarlierOnesHaveEnded)
{
    ASSERT_TRUE (request (0, 0));
    m_cell.kill (m_cell.leader());
    ASSERT_TRUE (m_cell.awaitLeader());
    connectAll();
    m_cell.run (seconds (2));
    std::size_t renewed = 0;
    for (std::size_t number = 0; number < kEarlierRouter; ++number)
    {
        const double held = number % 2 == 0 ? 1.0 / kRouters : 0;
        const std::optional<double> share = request (number, held);
        renewed += share ? 1 : 0;
        EXPECT_LE (share.value_or (0), held) << number;
    }
    EXPECT_GT (renewed, 0U);
}

TEST_F (ControllerRetryReserveTest, EachLeaseStatesTheNumberOfRoutersOverAnUnchangedTable)
{
    for (std::size_t number = 0; number < kRouters; ++number)
        EXPECT_EQ (m_cell.router (number).cellRouters, kRouters) << number;
}

TEST_F (ControllerRetryReserveTest, OperatorSeesHoldersAndSharesInUse)
{
    ASSERT_TRUE (request (0, 0));
    const auto answer = m_cell.ask (m_cell.leader(), AdminStatus{});
    ASSERT_TRUE (answer);
    EXPECT_NE (answer->json.find ("\"retry_reserve\":{\"holders\":1,\"shares_in_use\":0.1666"),
               std::string::npos)
        << answer->json;
    const std::string text = m_cell.core (m_cell.leader()).metricsText();
    EXPECT_NE (text.find ("retry_reserve_holders 1\n"), std::string::npos);
    EXPECT_NE (text.find ("retry_reserve_in_use_per_mille 167\n"), std::string::npos);
}

}  // namespace
}  // namespace fernlift::controller
