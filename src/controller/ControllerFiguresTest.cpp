// Prints figures in simulated time, used in docs/design/replica-bound.md and configuration.md.

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <vector>

#include "controller/ControllerCore.h"
#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

using test::testCatalogue;
using test::TestCell;
using test::testOptions;

constexpr int kOk = 200;

/// Simulated time until another runner serves a target after the runner that held it crashed.
/// The machine list still contains the crashed machine for `listLag`.
base::Duration timeWithoutReplica (const std::string& target, base::Duration listLag)
{
    TestCell cell (testOptions (3));
    EXPECT_TRUE (cell.awaitLeader());
    EXPECT_EQ (cell.apply (testCatalogue (1)), kOk);
    cell.setDemand (0, target, 1);
    EXPECT_TRUE (cell.runUntil ([&] { return cell.isReadySomewhere (target); }, base::seconds (5)));
    std::string holder;
    for (const char* runner : { "r1", "r2", "r3" })
    {
        if (cell.engine (runner).isReady (target))
            holder = runner;
    }
    cell.engine (holder).isAlive = false;
    const base::TimePoint diedAt = cell.now();
    const auto isServed = [&]
    {
        for (const char* runner : { "r1", "r2", "r3" })
        {
            if (runner != holder && cell.engine (runner).isReady (target))
                return true;
        }
        return false;
    };
    if (! cell.runUntil (isServed, listLag))
    {
        cell.unlisted.insert (base::RunnerId (holder));
        EXPECT_TRUE (cell.runUntil (isServed, base::seconds (60)));
    }
    return cell.now() - diedAt;
}

TEST (ControllerFigures, PrintsWhatTheReplicaBoundCosts)
{
    for (const int lag : { 1, 30 })
    {
        const auto atBound = timeWithoutReplica ("b", base::seconds (lag));
        const auto withHeadroom = timeWithoutReplica ("a", base::seconds (lag));
        std::cout << "machine list lags " << lag << " s: no replica for "
                  << base::toMilliseconds (atBound) << " ms at max_replicas 1, for "
                  << base::toMilliseconds (withHeadroom) << " ms at max_replicas 2\n";
        EXPECT_LE (withHeadroom, atBound);
    }
}

/// Simulated time during which a router does not admit requests after the leader crashed.
base::Duration timeWithoutLease (std::uint64_t seed, base::Duration lease)
{
    TestCell::Options options = testOptions();
    options.seed = seed * 1000;
    options.controller.routerLease = lease;
    TestCell cell (options);
    EXPECT_TRUE (cell.awaitLeader());
    EXPECT_EQ (cell.apply (testCatalogue (1), true), kOk);
    cell.run (base::milliseconds (1000 + 20 * static_cast<int> (seed)));
    cell.kill (cell.leader());
    base::Duration refused{};
    for (int step = 0; step < 800; ++step)
    {
        cell.run (base::milliseconds (5));
        if (! cell.router (0).admits (cell.now()))
            refused += base::milliseconds (5);
    }
    EXPECT_TRUE (cell.router (0).admits (cell.now()));
    return refused;
}

TEST (ControllerFigures, PrintsWhatTheLeaseCostsWhenALeaderDies)
{
    constexpr std::uint64_t kTrials = 60;
    for (const int lease : { 700, 1000, 2000 })
    {
        std::vector<std::int64_t> refused;
        for (std::uint64_t seed = 1; seed <= kTrials; ++seed)
        {
            refused.push_back (
                base::toMilliseconds (timeWithoutLease (seed, base::milliseconds (lease))));
        }
        std::sort (refused.begin(), refused.end());
        const auto hit =
            std::count_if (refused.begin(), refused.end(), [] (auto time) { return time > 0; });
        std::cout << "lease " << lease << " ms, leader dies " << kTrials
                  << " times: a router refuses in " << hit << ", median " << refused[kTrials / 2]
                  << " ms, worst " << refused.back() << " ms\n";
    }
}

}  // namespace
}  // namespace fernlift::controller
