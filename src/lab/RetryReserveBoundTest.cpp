// Retries of all routers together at a service that is sound at first and then breaks off most of
// its requests. Guards against routers whose parts of the common reserve add up to more than the
// reserve, since each received the number of routers at another moment.

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "http/HttpTestSupport.h"
#include "lab/ForwardingCellTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using base::milliseconds;

constexpr std::size_t kRouters = 8;
constexpr std::size_t kRunners = 4;
constexpr double kRetryShare = 0.2;
constexpr double kReserve = 56;
constexpr double kBrokenShare = 0.9;
/// Part of the allowed retries that has to be made while no router is restarted.
constexpr double kMinUse = 0.9;
constexpr milliseconds kSoundTime (10'000);
constexpr milliseconds kWindow (10'000);
constexpr milliseconds kStartInterval (600);

struct RouterStart
{
    std::string name;
    milliseconds interval;  ///< Time between the starts of two routers.
};

class RetryReserveBoundTest : public ::testing::TestWithParam<RouterStart>
{
protected:
    /// Starts the routers anew, after all runners have registered.
    void startRouters()
    {
        for (std::size_t router = 0; router < kRouters; ++router)
            m_cell.killRouter (router);
        for (std::size_t router = 0; router < kRouters; ++router)
        {
            m_cell.replaceRouter (router);
            http::test::runFor (GetParam().interval);
        }
    }
    [[nodiscard]] std::size_t runs()
    {
        std::size_t runs = 0;
        for (std::size_t number = 0; number < kRunners; ++number)
            runs += m_cell.runner (number).runs();
        return runs;
    }

    ForwardingCell m_cell{ { .controllers = 3,
                             .routers = kRouters,
                             .runners = kRunners,
                             .retryShare = kRetryShare,
                             .cellRetryReserve = kReserve } };
};

TEST_P (RetryReserveBoundTest, PartsOfRoutersThatStartAnewStayWithinTheReserve)
{
    ASSERT_TRUE (m_cell.awaitReady());
    startRouters();
    ASSERT_TRUE (m_cell.awaitReady());
    sendFor (m_cell, kSoundTime);
    const std::size_t before = runs();
    for (std::size_t number = 0; number < kRunners; ++number)
        m_cell.runner (number).brokenShare = kBrokenShare;
    const std::size_t requests = sendFor (m_cell, kWindow).size();
    const auto retries = static_cast<double> (runs() - before - requests);
    const double allowed = kRetryShare * static_cast<double> (requests) + kReserve;
    EXPECT_LE (retries, allowed) << "for " << requests << " requests";
    EXPECT_GE (retries, kMinUse * allowed) << "for " << requests << " requests";
}

INSTANTIATE_TEST_SUITE_P (Starts, RetryReserveBoundTest,
                          ::testing::Values (RouterStart{ "AtOnce", milliseconds (0) },
                                             RouterStart{ "OneAfterAnother", kStartInterval }),
                          [] (const auto& info) { return info.param.name; });

}  // namespace
}  // namespace fernlift::lab::test
