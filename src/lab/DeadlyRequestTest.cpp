// A request that ends each runner which begins to run it.
//
// What users saw: one caller sent the same request again and again, at whatever router. Each time a
// runner began to run it, sent the head of its answer and ended, with all the requests of other
// callers that ran there. Thirteen of eighteen runners ended within fourteen seconds, and one in
// ten requests of the service failed.
//
// The cause: attempts and retries are bounded within one try of a caller. Nothing of a request was
// kept when its try ended, so that its next try, at the same router or at another one, began with
// no history.
//
// The evidence: every one of these requests had a single attempt and broke off 41 to 93 ms after
// the head; a connection to the runner was refused right after; the next one, with the same caller,
// path and body, came 0.2 to 2.9 s later at another router.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "http/HttpTestSupport.h"
#include "lab/ForwardingCellTestSupport.h"

namespace fernlift::lab::test
{
namespace
{

/// Runners that one such request may end when its tries come one after the other.
constexpr std::uint32_t kMaxCrashes = 3;
/// The same when copies of it reach several routers at once.
constexpr std::uint32_t kMaxCrashesOfCopies = 5;
constexpr const char* kDeadly = "deadly chat";

/// Sends the request that many times, each after the end of the last, at changing routers. Returns
/// the status of the last answer.
int repeat (ForwardingCell& cell, int times)
{
    int status = 0;
    for (int each = 0; each < times; ++each)
    {
        status = cell.call (static_cast<std::size_t> (each % 2), "stream.test", kDeadly);
        http::test::runFor (std::chrono::milliseconds (100));
    }
    return status;
}

TEST (DeadlyRequestTest, ARequestThatEndedThreeRunnersIsPassedOnToNoOther)
{
    ForwardingCell cell ({ .controllers = 3, .routers = 2, .runners = 8 });
    ASSERT_TRUE (cell.awaitReady());
    const int status = repeat (cell, 12);
    EXPECT_LE (cell.crashes(), kMaxCrashes);
    EXPECT_EQ (status, 502) << "it did run: no status may promise that it has not";
    EXPECT_EQ (cell.call (0, "app.test", "another request"), 200);
}

TEST (DeadlyRequestTest, WhatIsKnownOutlivesTheLeaderAndTheRouters)
{
    ForwardingCell cell ({ .controllers = 3, .routers = 2, .runners = 8 });
    ASSERT_TRUE (cell.awaitReady());
    repeat (cell, 2);
    cell.killController (0);
    cell.replaceRouter (0);
    ASSERT_TRUE (cell.awaitReady());
    repeat (cell, 2);
    cell.replaceRouter (1);
    ASSERT_TRUE (cell.awaitReady());
    repeat (cell, 8);
    EXPECT_LE (cell.crashes(), kMaxCrashes);
}

TEST (DeadlyRequestTest, CopiesThatComeAtOnceEndFewRunners)
{
    ForwardingCell cell ({ .controllers = 3, .routers = 4, .runners = 12 });
    ASSERT_TRUE (cell.awaitReady());
    constexpr int kRounds = 8;
    for (int round = 0; round < kRounds; ++round)
    {
        std::vector<std::shared_ptr<int>> statuses;
        for (std::size_t router = 0; router < 4; ++router)
        {
            statuses.push_back (std::make_shared<int> (-1));
            cell.beginCall (router, "resume.test", kDeadly, statuses.back());
        }
        http::test::waitUntil (
            [&] {
                return std::ranges::all_of (statuses, [] (const auto& each) { return *each >= 0; });
            });
    }
    EXPECT_LE (cell.crashes(), kMaxCrashesOfCopies);
}

TEST (DeadlyRequestTest, RequestsBesideCrashesAndResetConnectionsAreServed)
{
    ForwardingCell cell ({ .controllers = 3, .routers = 2, .runners = 6 });
    ASSERT_TRUE (cell.awaitReady());
    for (std::size_t number = 0; number < cell.runners(); ++number)
        cell.runner (number).workTime = std::chrono::milliseconds (50);
    // One request that many callers send, while one runner after the other crashes under it.
    constexpr std::size_t kCrashes = 5;
    for (std::size_t round = 0; round < kCrashes; ++round)
    {
        const auto status = std::make_shared<int> (-1);
        cell.beginCall (round % 2, "app.test", "popular", status);
        http::test::runFor (std::chrono::milliseconds (20));
        if (round % 2 == 0)
            cell.runner (round).crash();
        else
            cell.runner (round).resetConnections();
        http::test::waitUntil ([&] { return *status >= 0; });
        EXPECT_EQ (*status, 200) << "round " << round;
        cell.restartRunners();
        EXPECT_EQ (cell.call (round % 2, "app.test", "popular"), 200);
    }
}

}  // namespace
}  // namespace fernlift::lab::test
