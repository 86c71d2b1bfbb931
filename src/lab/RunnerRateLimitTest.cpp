// A runner that states in its answers how many requests a second it takes.
//
// What users saw: a runner in need had stated 1 request a second for all routers together. From 3 s
// later on it got 12 requests within 4 s from routers that had passed on such answers.

#include <gtest/gtest.h>

#include <algorithm>
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

constexpr std::size_t kRouters = 7;
constexpr base::Duration kWindow = base::seconds (4);
/// From its first answer until all routers go by what a runner states.
constexpr base::Duration kSpreadTime = milliseconds (500);
/// The users' bound for a window: one and a half times what the rate allows, and 5 requests.
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;

/// Sends requests to all routers in turn, one each 8 ms, for that long. Returns how many were not
/// answered by a runner.
int sendFor (ForwardingCell& cell, milliseconds time)
{
    constexpr milliseconds kPause (8);
    std::vector<std::shared_ptr<int>> statuses;
    for (milliseconds passed (0); passed < time; passed += kPause)
    {
        statuses.push_back (std::make_shared<int> (-1));
        cell.beginCall (statuses.size() % kRouters, "app.test", "request", statuses.back());
        http::test::runFor (kPause);
    }
    const auto isOpen = [] (const auto& status) { return *status < 0; };
    http::test::waitUntil ([&] { return std::ranges::none_of (statuses, isOpen); });
    const auto isUnanswered = [] (const auto& status) { return *status != 200; };
    return static_cast<int> (std::ranges::count_if (statuses, isUnanswered));
}

/// Most requests that came within a window which began at `begin` or later.
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

TEST (RunnerRateLimitTest, AllRoutersTogetherSendNoMoreThanARunnerStates)
{
    constexpr double kRate = 1;
    ForwardingCell cell ({ .controllers = 3, .routers = kRouters, .runners = 3 });
    ASSERT_TRUE (cell.awaitReady());
    MortalRunner& limited = cell.runner (0);
    limited.statedRate = "1";
    const std::size_t earlier = limited.arrivals().size();
    EXPECT_EQ (sendFor (cell, milliseconds (6000)), 0) << "the other runners have room";
    ASSERT_GT (limited.arrivals().size(), earlier);
    const base::TimePoint begin = limited.arrivals()[earlier] + kSpreadTime;
    EXPECT_LE (static_cast<double> (mostInAWindow (limited.arrivals(), begin)),
               kTolerance * kRate * 4 + kSlack);
}

}  // namespace
}  // namespace fernlift::lab::test
