#include <gtest/gtest.h>

#include "quarantine/SuspectRequests.h"

namespace fernlift::quarantine
{
namespace
{

using base::milliseconds;

class SuspectRequestsTest : public ::testing::Test
{
protected:
    static base::TimePoint at (int milliseconds)
    {
        return base::TimePoint (base::seconds (100) + base::milliseconds (milliseconds));
    }
    /// A runner crashes while it runs the request.
    void end (const std::string& instance, int sentAt, int endedAt)
    {
        suspects.onBrokenOff (request, instance, at (sentAt), at (endedAt));
        suspects.onFate (instance, RunnerFate::kGone);
    }
    static cell::SuspectUpdate updateOf (std::uint64_t version, std::uint32_t ends,
                                         std::vector<std::string> instances)
    {
        cell::SuspectUpdate update;
        update.toVersion = version;
        update.upserts.push_back ({ { 7, "r" }, ends, std::move (instances) });
        return update;
    }

    cell::RequestIdentity request{ 7, "r" };
    SuspectRequests suspects;
};

TEST_F (SuspectRequestsTest, StartsEmpty)
{
    EXPECT_TRUE (suspects.isEmpty());
    EXPECT_FALSE (suspects.standingOf (request).isSuspect());
    EXPECT_FALSE (suspects.takeReport (at (0)));
}

TEST_F (SuspectRequestsTest, CountsAnInterruptionOnceTheProbeFindsTheRunnerGone)
{
    suspects.onBrokenOff (request, "a", at (0), at (50));
    EXPECT_TRUE (suspects.standingOf (request).isUndecided());
    EXPECT_FALSE (suspects.standingOf (request).isSuspect());
    EXPECT_FALSE (suspects.takeReport (at (50)));
    EXPECT_TRUE (suspects.onFate ("a", RunnerFate::kGone));
    EXPECT_EQ (suspects.standingOf (request).ends, 1);
    EXPECT_TRUE (suspects.mayKnow (7));
    EXPECT_FALSE (suspects.mayKnow (8));
}

TEST_F (SuspectRequestsTest, DropsAnInterruptionWhenTheRunnerIsAlive)
{
    suspects.onBrokenOff (request, "a", at (0), at (50));
    EXPECT_FALSE (suspects.onFate ("a", RunnerFate::kAlive));
    EXPECT_TRUE (suspects.isEmpty());
}

TEST_F (SuspectRequestsTest, CountsAnUnreachableRunnerOnceItIsReplaced)
{
    suspects.onBrokenOff (request, "a", at (0), at (50));
    suspects.onFate ("a", RunnerFate::kUnknown);
    EXPECT_FALSE (suspects.standingOf (request).isUndecided())
        << "a probe that timed out does not delay requests";
    EXPECT_FALSE (suspects.standingOf (request).isSuspect());
    suspects.onReplaced ("a");
    EXPECT_EQ (suspects.standingOf (request).ends, 1);
}

TEST_F (SuspectRequestsTest, DropsAnUnconfirmedCrashAfterItsLifetime)
{
    suspects.onBrokenOff (request, "a", at (0), at (50));
    suspects.onFate ("a", RunnerFate::kUnknown);
    suspects.expire (at (11'000));
    EXPECT_TRUE (suspects.isEmpty());
}

TEST_F (SuspectRequestsTest, QuarantinesAfterThreeOwnCrashesWithoutAController)
{
    end ("a", 0, 50);
    end ("b", 60, 110);
    EXPECT_FALSE (suspects.standingOf (request).isInQuarantine());
    end ("c", 120, 170);
    EXPECT_TRUE (suspects.standingOf (request).isInQuarantine());
}

TEST_F (SuspectRequestsTest, AddsOwnCrashesToThoseOfOtherRouters)
{
    suspects.apply (updateOf (4, 2, { "a", "b" }), at (100));
    end ("c", 110, 160);
    EXPECT_TRUE (suspects.standingOf (request).isInQuarantine());
}

TEST_F (SuspectRequestsTest, DoesNotCountACrashConcurrentWithThoseOfOtherRouters)
{
    suspects.apply (updateOf (4, 2, { "a", "b" }), at (100));
    end ("c", 90, 160);
    EXPECT_EQ (suspects.standingOf (request).ends, 2);
}

TEST_F (SuspectRequestsTest, ReportsACrashUntilTheTableContainsIt)
{
    end ("a", 0, 50);
    const auto report = suspects.takeReport (at (60));
    ASSERT_TRUE (report);
    ASSERT_EQ (report->ends.size(), 1);
    EXPECT_EQ (report->ends[0].sentAgoMilliseconds, 60);
    EXPECT_EQ (report->ends[0].endedAgoMilliseconds, 10);
    EXPECT_FALSE (suspects.takeReport (at (70)));
    EXPECT_TRUE (suspects.takeReport (at (600))) << "it may be lost";
    suspects.onLinkLost();
    EXPECT_TRUE (suspects.takeReport (at (610)));
    suspects.apply (updateOf (9, 1, { "a" }), at (620));
    EXPECT_FALSE (suspects.takeReport (at (2000)));
    EXPECT_FALSE (suspects.standingOf (request).isUndecided());
    EXPECT_EQ (suspects.standingOf (request).ends, 1);
}

TEST_F (SuspectRequestsTest, CountsForwardedCrashesBeforeTheTableContainsThem)
{
    cell::SuspectReport reported;
    reported.ends.push_back ({ request, "a", 100, 50 });
    reported.ends.push_back ({ request, "b", 40, 10 });
    suspects.onTold (reported, at (200));
    suspects.onTold (reported, at (210));
    EXPECT_EQ (suspects.standingOf (request).ends, 2);
    EXPECT_FALSE (suspects.standingOf (request).isUndecided());
    EXPECT_FALSE (suspects.takeReport (at (220))) << "the other router reports it";
    end ("c", 220, 250);
    EXPECT_TRUE (suspects.standingOf (request).isInQuarantine());
    suspects.apply (updateOf (4, 3, { "a", "b", "c" }), at (300));
    EXPECT_EQ (suspects.standingOf (request).ends, 3);
}

TEST_F (SuspectRequestsTest, RecordsAGoneIsolationRunnerOnlyBeforeTheLastCrash)
{
    suspects.apply (updateOf (1, 1, { "a" }), at (0));
    suspects.onTrialUnreachable (request, "b", at (10));
    EXPECT_FALSE (suspects.standingOf (request).trialGoneSince)
        << "one more crash does not quarantine";
    suspects.apply (updateOf (2, 2, { "a", "c" }), at (20));
    suspects.onTrialUnreachable (request, "d", at (30));
    suspects.onTrialUnreachable (request, "d", at (40));
    EXPECT_EQ (suspects.standingOf (request).trialGoneSince, at (30));
    EXPECT_EQ (suspects.standingOf (request).ends, 2) << "no crash was observed";
    suspects.apply (updateOf (3, 2, { "a", "c", "d" }), at (50));
    EXPECT_FALSE (suspects.standingOf (request).trialGoneSince) << "the table contains the crash";
}

TEST_F (SuspectRequestsTest, ACompleteAnswerOrTimeResolvesAGoneIsolationRunner)
{
    suspects.apply (updateOf (1, 2, { "a", "b" }), at (0));
    suspects.onTrialUnreachable (request, "c", at (10));
    suspects.onWholeAnswer (request);
    EXPECT_FALSE (suspects.standingOf (request).trialGoneSince);
    suspects.onTrialUnreachable (request, "c", at (20));
    suspects.expire (at (11'000));
    EXPECT_FALSE (suspects.standingOf (request).trialGoneSince);
}

TEST_F (SuspectRequestsTest, ACompleteAnswerClearsTheRequest)
{
    suspects.apply (updateOf (4, 1, { "a" }), at (100));
    suspects.onWholeAnswer (request);
    const auto report = suspects.takeReport (at (110));
    ASSERT_TRUE (report);
    EXPECT_EQ (report->acquitted, std::vector<std::string>{ "r" });
    cell::SuspectUpdate update;
    update.fromVersion = 4;
    update.toVersion = 5;
    update.removals.push_back ("r");
    suspects.apply (update, at (120));
    EXPECT_TRUE (suspects.isEmpty());
    EXPECT_FALSE (suspects.takeReport (at (2000)));
}

TEST_F (SuspectRequestsTest, IgnoresAnUpdateOlderThanTheHeldVersion)
{
    suspects.apply (updateOf (9, 3, { "a", "b", "c" }), at (100));
    cell::SuspectUpdate older;
    older.toVersion = 5;
    suspects.apply (older, at (110));
    EXPECT_TRUE (suspects.standingOf (request).isInQuarantine());
    // The next update starts at a version before the one held.
    cell::SuspectUpdate next;
    next.fromVersion = 5;
    next.toVersion = 12;
    next.removals.push_back ("r");
    suspects.apply (next, at (120));
    EXPECT_TRUE (suspects.isEmpty());
}

TEST_F (SuspectRequestsTest, EvictsTheOldestInterruptionsAtTheBound)
{
    for (std::size_t each = 0; each <= SuspectRequests::kMaxOwnCrashes; ++each)
        suspects.onBrokenOff ({ each, std::to_string (each) }, "a", at (0), at (50));
    EXPECT_EQ (suspects.evicted(), 1);
    EXPECT_FALSE (suspects.mayKnow (0));
    EXPECT_TRUE (suspects.mayKnow (SuspectRequests::kMaxOwnCrashes));
}

}  // namespace
}  // namespace fernlift::quarantine
