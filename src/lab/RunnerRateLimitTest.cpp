// A runner that states in its answers how many requests a second it takes.
//
// What users saw: a runner in need had stated 1 request a second for all routers together. From 3 s
// later on it got 12 requests within 4 s from routers that had passed on such answers.
//
// The cause: routers passed the field on to callers and read nothing of it. What a runner states
// for all routers together was known to none of them, and nothing could have told it to the others:
// bounds at a runner were counted by each router for itself.
//
// The evidence: requests at such a runner went on as before its first answer with a rate, three of
// one router within a second; in this cell all seven routers logged the rate, and the runner got
// 494 requests within 4 s.

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
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

/// Sends requests to all routers in turn, one each 8 ms, for that long. Returns the statuses of the
/// answers, 0 for a connection that ended without one.
std::vector<int> sendFor (ForwardingCell& cell, milliseconds time)
{
    constexpr milliseconds kPause (8);
    std::vector<std::shared_ptr<int>> open;
    for (milliseconds passed (0); passed < time; passed += kPause)
    {
        open.push_back (std::make_shared<int> (-1));
        cell.beginCall (open.size() % kRouters, "app.test", "request", open.back());
        http::test::runFor (kPause);
    }
    http::test::waitUntil (
        [&] { return std::ranges::all_of (open, [] (const auto& each) { return *each >= 0; }); });
    std::vector<int> statuses;
    std::ranges::transform (open, std::back_inserter (statuses),
                            [] (const auto& status) { return *status; });
    return statuses;
}

std::size_t countOf (const std::vector<int>& statuses, int status)
{
    return static_cast<std::size_t> (std::ranges::count (statuses, status));
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

/// Most that the users allow within a window at a runner that states `rate`.
double boundOf (double rate)
{
    return kTolerance * rate * std::chrono::duration<double> (kWindow).count() + kSlack;
}

/// Most requests within a window from half a second after the request of that number.
double mostSince (const MortalRunner& runner, std::size_t number)
{
    const base::TimePoint begin = runner.arrivals().at (number) + kSpreadTime;
    return static_cast<double> (mostInAWindow (runner.arrivals(), begin));
}

TEST (RunnerRateLimitTest, AllRoutersTogetherSendNoMoreThanARunnerStates)
{
    ForwardingCell cell ({ .controllers = 3, .routers = kRouters, .runners = 3 });
    ASSERT_TRUE (cell.awaitReady());
    MortalRunner& limited = cell.runner (0);
    limited.statedRate = "1";
    const std::size_t earlier = limited.arrivals().size();
    const std::vector<int> statuses = sendFor (cell, milliseconds (6000));
    EXPECT_EQ (countOf (statuses, 200), statuses.size()) << "the other runners have room";
    ASSERT_GT (limited.arrivals().size(), earlier);
    EXPECT_LE (mostSince (limited, earlier), boundOf (1));
}

TEST (RunnerRateLimitTest, AlsoBesideAKilledLeaderAndRoutersThatStartAnew)
{
    ForwardingCell cell ({ .controllers = 3, .routers = kRouters, .runners = 3 });
    ASSERT_TRUE (cell.awaitReady());
    MortalRunner& limited = cell.runner (0);
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

TEST (RunnerRateLimitTest, WhatNoRunnerTakesInTimeIsRefusedAndHasNotRun)
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

TEST (RunnerRateLimitTest, ARunnerThatStatesNoRateAnyMoreGetsItsShareAgain)
{
    ForwardingCell cell ({ .controllers = 3, .routers = kRouters, .runners = 2 });
    ASSERT_TRUE (cell.awaitReady());
    MortalRunner& limited = cell.runner (0);
    limited.statedRate = "2";
    sendFor (cell, milliseconds (2000));
    limited.statedRate = "nan";
    const std::size_t beforeUnreadable = limited.arrivals().size();
    sendFor (cell, milliseconds (1000));
    EXPECT_LE (limited.arrivals().size(), beforeUnreadable + 8) << "what is no rate ends none";
    limited.statedRate.clear();
    sendFor (cell, milliseconds (2500));
    const std::size_t before = limited.arrivals().size();
    constexpr std::size_t kRequestsOfASecond = 125;
    sendFor (cell, milliseconds (1000));
    EXPECT_GT (limited.arrivals().size() - before, kRequestsOfASecond / 4);
}

}  // namespace
}  // namespace fernlift::lab::test
