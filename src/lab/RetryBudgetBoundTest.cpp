// Retries at a service that breaks off most of its requests, beside a sound service with more
// load. Guards against retries that are paid for by requests for other services.

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "http/HttpTestSupport.h"
#include "lab/ForwardingCellTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using base::milliseconds;

constexpr std::size_t kRouters = 4;
constexpr std::size_t kRunnersOfService = 3;
constexpr double kRetryShare = 0.2;
constexpr double kReserve = 20;
constexpr double kBrokenShare = 0.6;
constexpr milliseconds kWindow (10'000);
constexpr milliseconds kPause (8);
/// One request in this many is for the service that breaks them off.
constexpr std::size_t kRequestsPerBrokenOne = 5;
constexpr milliseconds kRestartInterval (2000);

class RetryBudgetBoundTest : public ::testing::TestWithParam<bool>
{
protected:
    RetryBudgetBoundTest()
    {
        for (std::size_t number = 0; number < kRunnersOfService; ++number)
            m_cell.runner (number).brokenShare = kBrokenShare;
    }

    /// Sends requests to both services for kWindow and returns those for the broken one.
    std::size_t sendToBoth()
    {
        std::size_t sent = 0;
        std::size_t broken = 0;
        milliseconds nextRestart = kRestartInterval;
        for (milliseconds passed (0); passed < kWindow; passed += kPause)
        {
            const bool isBroken = sent % kRequestsPerBrokenOne == 0;
            const std::size_t router = (sent / kRequestsPerBrokenOne) % kRouters;
            broken += isBroken ? 1 : 0;
            m_open.push_back (std::make_shared<int> (-1));
            m_cell.beginCall (router, isBroken ? "app.test" : "other.test", "request",
                              m_open.back());
            ++sent;
            http::test::runFor (kPause);
            if (GetParam() && passed >= nextRestart)
            {
                m_cell.replaceRouter (router);
                nextRestart += kRestartInterval;
            }
        }
        return broken;
    }

    ForwardingCell m_cell{ { .controllers = 3,
                             .routers = kRouters,
                             .runners = kRunnersOfService,
                             .otherRunners = kRunnersOfService,
                             .retryShare = kRetryShare,
                             .cellRetryReserve = kReserve } };
    std::vector<std::shared_ptr<int>> m_open;
};

TEST_P (RetryBudgetBoundTest, RetriesAreBoundedByRequestsForTheirService)
{
    ASSERT_TRUE (m_cell.awaitReady());
    const std::size_t requests = sendToBoth();
    std::size_t runs = 0;
    for (std::size_t number = 0; number < kRunnersOfService; ++number)
        runs += m_cell.runner (number).runs();
    const double allowed = kRetryShare * static_cast<double> (requests) + kReserve;
    EXPECT_LE (static_cast<double> (runs), static_cast<double> (requests) + allowed)
        << "for " << requests << " requests";
}

INSTANTIATE_TEST_SUITE_P (Restarts, RetryBudgetBoundTest, ::testing::Bool(),
                          [] (const auto& info)
                          { return info.param ? "RoutersRestart" : "RoutersStay"; });

}  // namespace
}  // namespace fernlift::lab::test
