// A runner can state in its answers how many requests per second it accepts from all routers
// together. Guards against routers that exceed this rate because they forward the header field to
// callers without reading it, do not share the rate with each other, and count only their own
// requests. A runner that states 1 request per second can then receive 12 requests within 4 s,
// counted from 3 s after the first such answer, three requests within a second from one router
// alone, and 494 requests within 4 s in this cell of seven routers.

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "lab/ForwardingCellTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

using base::milliseconds;

constexpr std::size_t kRouters = 7;
constexpr base::Duration kWindow = base::seconds (4);
/// Time from a runner's first answer that states a rate until all routers apply the rate.
constexpr base::Duration kSpreadTime = milliseconds (500);
/// Required bound for a window: one and a half times what the rate allows, plus 5 requests.
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;

/// Largest number of requests that arrived within a window that starts at `begin` or later.
std::size_t mostInAWindow (const std::vector<base::TimePoint>& arrivals, base::TimePoint begin)
{
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
    {
        if (*first < begin)
            continue;
        const auto end = std::lower_bound (first, arrivals.end(), *first + kWindow);
        most = std::max (most, static_cast<std::size_t> (end - first));
    }
    return most;
}

/// Largest number of requests allowed within a window at a runner that states `rate`.
double boundOf (double rate)
{
    return kTolerance * rate * std::chrono::duration<double> (kWindow).count() + kSlack;
}

/// Largest number of requests within a window that starts at least half a second after the arrival
/// of request `number`.
double mostSince (const CrashableRunner& runner, std::size_t number)
{
    const base::TimePoint begin = runner.arrivals().at (number) + kSpreadTime;
    return static_cast<double> (mostInAWindow (runner.arrivals(), begin));
}

TEST (RunnerRateLimitTest, AllRoutersTogetherKeepToTheStatedRate)
{
    ForwardingCell cell ({ .controllers = 3, .routers = kRouters, .runners = 3 });
    ASSERT_TRUE (cell.awaitReady());
    CrashableRunner& limited = cell.runner (0);
    limited.statedRate = "1";
    const std::size_t earlier = limited.arrivals().size();
    const std::vector<int> statuses = sendFor (cell, milliseconds (6000));
    EXPECT_EQ (countOf (statuses, 200), statuses.size()) << "the other runners have capacity";
    ASSERT_GT (limited.arrivals().size(), earlier);
    EXPECT_LE (mostSince (limited, earlier), boundOf (1));
}

TEST (RunnerRateLimitTest, RateHoldsDespiteKilledLeaderAndRestartedRouters)
{
    ForwardingCell cell ({ .controllers = 3, .routers = kRouters, .runners = 3 });
    ASSERT_TRUE (cell.awaitReady());
    CrashableRunner& limited = cell.runner (0);
    limited.statedRate = "1";
    const std::size_t earlier = limited.arrivals().size();
    sendFor (cell, milliseconds (1500));
    cell.killController (0);
    cell.replaceRouter (0);
    sendFor (cell, milliseconds (2500));
    cell.replaceRouter (1);
    cell.replaceRouter (2);
    sendFor (cell, milliseconds (2500));
    ASSERT_GT (limited.arrivals().size(), earlier);
    EXPECT_LE (mostSince (limited, earlier), boundOf (1));
}

TEST (RunnerRateLimitTest, RequestsNotAcceptedInTimeAreRefusedWithoutRunning)
{
    constexpr double kRate = 0.5;
    ForwardingCell cell ({ .controllers = 3, .routers = kRouters, .runners = 2 });
    ASSERT_TRUE (cell.awaitReady());
    std::vector<std::size_t> earlier;
    for (std::size_t number = 0; number < cell.runners(); ++number)
    {
        cell.runner (number).statedRate = "0.5";
        earlier.push_back (cell.runner (number).arrivals().size());
    }
    const std::vector<int> statuses = sendFor (cell, milliseconds (6000));
    EXPECT_EQ (countOf (statuses, 200) + countOf (statuses, 503), statuses.size());
    EXPECT_GT (countOf (statuses, 503), statuses.size() / 2);
    for (std::size_t number = 0; number < cell.runners(); ++number)
        EXPECT_LE (mostSince (cell.runner (number), earlier[number]), boundOf (kRate));
}

TEST (RunnerRateLimitTest, RunnerThatWithdrawsItsRateGetsItsShareAgain)
{
    ForwardingCell cell ({ .controllers = 3, .routers = kRouters, .runners = 2 });
    ASSERT_TRUE (cell.awaitReady());
    CrashableRunner& limited = cell.runner (0);
    limited.statedRate = "2";
    sendFor (cell, milliseconds (2000));
    limited.statedRate = "nan";
    const std::size_t beforeUnreadable = limited.arrivals().size();
    sendFor (cell, milliseconds (1000));
    EXPECT_LE (limited.arrivals().size(), beforeUnreadable + 8)
        << "an unreadable rate does not lift the limit";
    limited.statedRate.clear();
    sendFor (cell, milliseconds (2500));
    const std::size_t before = limited.arrivals().size();
    constexpr std::size_t kRequestsOfASecond = 125;
    sendFor (cell, milliseconds (1000));
    EXPECT_GT (limited.arrivals().size() - before, kRequestsOfASecond / 4);
}

}  // namespace
}  // namespace fernlift::lab::test
