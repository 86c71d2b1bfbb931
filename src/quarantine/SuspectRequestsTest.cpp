#include <gtest/gtest.h>

#include <functional>

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
    void end (const std::string& instance, int sentAt, int crashedAt)
    {
        suspects.onAnswerInterrupted (request, instance, at (sentAt), at (crashedAt));
        suspects.onProbeResult (instance, RunnerProbeResult::kGone);
    }
    static cell::SuspectUpdate updateOf (std::uint64_t version, std::uint32_t crashes,
                                         std::vector<std::string> instances)
    {
        cell::SuspectUpdate update;
        update.toVersion = version;
        update.upserts.push_back ({ { 7, "r" }, crashes, std::move (instances) });
        return update;
    }

    cell::RequestIdentity request{ 7, "r" };
    SuspectRequests suspects;
};

/// Parts of prompts in quarantine at a router, with the instances that crashed.
class PromptPartsTest : public SuspectRequestsTest
{
protected:
    using Instances = std::vector<std::string>;

    static cell::RequestIdentity partOf (const std::string& name)
    {
        return { std::hash<std::string>() (name), std::string (cell::kPromptPartPrefix) + name };
    }
    void crash (const std::string& name, const Instances& instances)
    {
        cell::SuspectUpdate update;
        update.fromVersion = m_version;
        update.toVersion = ++m_version;
        update.upserts.push_back (
            { partOf (name), static_cast<std::uint32_t> (instances.size()), instances });
        suspects.apply (update, at (0));
    }
    bool isInQuarantine (const Instances& names)
    {
        std::vector<cell::RequestIdentity> parts;
        for (const std::string& name : names)
            parts.push_back (partOf (name));
        return suspects.statusOfParts (parts).isInQuarantine();
    }

    std::uint64_t m_version = 1;
};

TEST_F (PromptPartsTest, PartIsInQuarantineWhateverElseTheRequestHolds)
{
    crash ("deadly", { "a", "b", "c" });
    EXPECT_TRUE (isInQuarantine ({ "deadly" }));
    EXPECT_TRUE (isInQuarantine ({ "head", "deadly" }));
    EXPECT_TRUE (isInQuarantine ({ "deadly", "tail" }));
    EXPECT_FALSE (isInQuarantine ({ "head", "tail" }));
}

TEST_F (PromptPartsTest, NeighbourWithTheSameCrashesIsNotInQuarantineByItself)
{
    crash ("head", { "a", "b", "c" });
    crash ("subject", { "a", "b", "c" });
    crash ("deadly", { "a", "b", "c" });
    EXPECT_TRUE (isInQuarantine ({ "head", "subject", "deadly" }));
    EXPECT_FALSE (isInQuarantine ({ "head" }));
    EXPECT_FALSE (isInQuarantine ({ "head", "subject" }));
}

TEST_F (PromptPartsTest, CrashesOfTwoPartsExplainThoseOfTheirNeighbour)
{
    crash ("deadly", { "a", "b", "c" });
    crash ("other", { "d", "e", "f" });
    crash ("head", { "a", "b", "c", "d", "e", "f" });
    EXPECT_FALSE (isInQuarantine ({ "head" }));
    EXPECT_TRUE (isInQuarantine ({ "head", "other" }));
}

TEST_F (PromptPartsTest, PartWithACrashOfItsOwnIsInQuarantine)
{
    crash ("deadly", { "a", "b", "c" });
    crash ("head", { "a", "b", "c", "d" });
    EXPECT_TRUE (isInQuarantine ({ "head" }));
}

TEST_F (PromptPartsTest, RequestsForOnePartAtARunnerCountOnceFromTheFirstOn)
{
    const cell::RequestIdentity part = partOf ("head");
    suspects.onAnswerInterrupted (part, "a", at (0), at (50));
    suspects.onProbeResult ("a", RunnerProbeResult::kGone);
    suspects.onAnswerInterrupted (part, "b", at (60), at (110));
    suspects.onAnswerInterrupted (part, "b", at (10), at (110));
    suspects.onProbeResult ("b", RunnerProbeResult::kGone);
    const auto report = suspects.takeReport (at (120));
    ASSERT_TRUE (report);
    ASSERT_EQ (report->crashes.size(), 2U);
    EXPECT_EQ (report->crashes[1].sentAgoMilliseconds, 110);
}

TEST_F (PromptPartsTest, PartThatWasAnsweredLatelyIsClearedAtTheWordOfOthers)
{
    suspects.onPartAnswered (partOf ("head").fingerprint, at (0));
    crash ("head", { "a", "b", "c" });
    crash ("deadly", { "a", "b", "c" });
    EXPECT_FALSE (isInQuarantine ({ "head" }));
    EXPECT_TRUE (isInQuarantine ({ "head", "deadly" }));
    const auto report = suspects.takeReport (at (0));
    ASSERT_TRUE (report);
    EXPECT_EQ (report->cleared, Instances{ partOf ("head").digest });
}

TEST_F (SuspectRequestsTest, StartsEmpty)
{
    EXPECT_TRUE (suspects.isEmpty());
    EXPECT_FALSE (suspects.suspectStatusOf (request).isSuspect());
    EXPECT_FALSE (suspects.takeReport (at (0)));
}

TEST_F (SuspectRequestsTest, CountsAnInterruptionOnceTheProbeFindsTheRunnerGone)
{
    suspects.onAnswerInterrupted (request, "a", at (0), at (50));
    EXPECT_TRUE (suspects.suspectStatusOf (request).isUndecided());
    EXPECT_FALSE (suspects.suspectStatusOf (request).isSuspect());
    EXPECT_FALSE (suspects.takeReport (at (50)));
    EXPECT_TRUE (suspects.onProbeResult ("a", RunnerProbeResult::kGone));
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 1);
    EXPECT_TRUE (suspects.mayContain (7));
    EXPECT_FALSE (suspects.mayContain (8));
}

TEST_F (SuspectRequestsTest, DropsAnInterruptionWhenTheRunnerIsAlive)
{
    suspects.onAnswerInterrupted (request, "a", at (0), at (50));
    EXPECT_FALSE (suspects.onProbeResult ("a", RunnerProbeResult::kAlive));
    EXPECT_TRUE (suspects.isEmpty());
}

TEST_F (SuspectRequestsTest, CountsAnUnreachableRunnerOnceItIsReplaced)
{
    suspects.onAnswerInterrupted (request, "a", at (0), at (50));
    suspects.onProbeResult ("a", RunnerProbeResult::kUnknown);
    EXPECT_FALSE (suspects.suspectStatusOf (request).isUndecided())
        << "a probe that timed out does not delay requests";
    EXPECT_FALSE (suspects.suspectStatusOf (request).isSuspect());
    suspects.onReplaced ("a", at (0));
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 1);
}

TEST_F (SuspectRequestsTest, CountsAMissingAnswerOnceTheRunnerIsReplaced)
{
    suspects.onAnswerMissing (request, { "a", at (0), at (0) }, at (1500));
    EXPECT_FALSE (suspects.suspectStatusOf (request).isUndecided());
    EXPECT_FALSE (suspects.suspectStatusOf (request).isSuspect());
    // Another incarnation may accept connections at the address.
    suspects.onProbeResult ("a", RunnerProbeResult::kAlive);
    suspects.onReplaced ("a", at (3000));
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 1);
}

TEST_F (SuspectRequestsTest, CountsAMissingAnswerOfARunnerThatIsReplacedAlready)
{
    suspects.onReplaced ("a", at (1000));
    suspects.onAnswerMissing (request, { "a", at (0), at (0) }, at (1500));
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 1);
}

TEST_F (SuspectRequestsTest, RunnerThatSendsBytesWasOnlySlow)
{
    suspects.onAnswerMissing (request, { "a", at (0), at (0) }, at (1500));
    ASSERT_TRUE (suspects.hasMissingAnswers());
    suspects.onBytes ("a");
    suspects.onReplaced ("a", at (3000));
    EXPECT_FALSE (suspects.hasMissingAnswers());
    EXPECT_TRUE (suspects.isEmpty());
}

TEST_F (SuspectRequestsTest, WholeAnswerClearsAMissingOne)
{
    suspects.onAnswerMissing (request, { "a", at (0), at (0) }, at (1500));
    suspects.onCompleteAnswer (request);
    suspects.onReplaced ("a", at (3000));
    EXPECT_TRUE (suspects.isEmpty());
}

TEST_F (SuspectRequestsTest, CountsAMissingAnswerOfARunnerOnce)
{
    end ("a", 0, 50);
    suspects.onAnswerMissing (request, { "a", at (60), at (60) }, at (1500));
    suspects.onReplaced ("a", at (3000));
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 1);
}

TEST_F (SuspectRequestsTest, RequestsLostBeforeTheSilenceOfARunnerIsNoticedCountOnce)
{
    suspects.onAnswerMissing (request, { "a", at (0), at (0) }, at (1500));
    suspects.onAnswerMissing (request, { "b", at (600), at (600) }, at (2100));
    suspects.onAnswerMissing (request, { "c", at (800), at (800) }, at (2300));
    for (const char* const runner : { "a", "b", "c" })
        suspects.onReplaced (runner, at (3500));
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 2);
}

TEST_F (SuspectRequestsTest, MissingAnswersDoNotEvictInterruptedOnes)
{
    suspects.onAnswerInterrupted (request, "a", at (0), at (50));
    for (std::size_t number = 0; number < 2 * SuspectRequests::kMaxOwnCrashes; ++number)
    {
        const cell::RequestIdentity other{ number + 10, "other-" + std::to_string (number) };
        suspects.onAnswerMissing (other, { "b", at (0), at (0) }, at (100));
    }
    suspects.onProbeResult ("a", RunnerProbeResult::kGone);
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 1);
}

TEST_F (SuspectRequestsTest, DropsAnUnconfirmedCrashAfterItsLifetime)
{
    suspects.onAnswerInterrupted (request, "a", at (0), at (50));
    suspects.onProbeResult ("a", RunnerProbeResult::kUnknown);
    suspects.expire (at (11'000));
    EXPECT_TRUE (suspects.isEmpty());
}

TEST_F (SuspectRequestsTest, QuarantinesAfterThreeOwnCrashesWithoutAController)
{
    end ("a", 0, 50);
    end ("b", 60, 110);
    EXPECT_FALSE (suspects.suspectStatusOf (request).isInQuarantine());
    end ("c", 120, 170);
    EXPECT_TRUE (suspects.suspectStatusOf (request).isInQuarantine());
}

TEST_F (SuspectRequestsTest, AddsOwnCrashesToThoseOfOtherRouters)
{
    suspects.apply (updateOf (4, 2, { "a", "b" }), at (100));
    end ("c", 110, 160);
    EXPECT_TRUE (suspects.suspectStatusOf (request).isInQuarantine());
}

TEST_F (SuspectRequestsTest, DoesNotCountACrashConcurrentWithThoseOfOtherRouters)
{
    suspects.apply (updateOf (4, 2, { "a", "b" }), at (100));
    end ("c", 90, 160);
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 2);
}

TEST_F (SuspectRequestsTest, ReportsACrashUntilTheTableContainsIt)
{
    end ("a", 0, 50);
    const auto report = suspects.takeReport (at (60));
    ASSERT_TRUE (report);
    ASSERT_EQ (report->crashes.size(), 1);
    EXPECT_EQ (report->crashes[0].sentAgoMilliseconds, 60);
    EXPECT_EQ (report->crashes[0].crashedAgoMilliseconds, 10);
    EXPECT_FALSE (suspects.takeReport (at (70)));
    EXPECT_TRUE (suspects.takeReport (at (600))) << "it may be lost";
    suspects.onLinkLost();
    EXPECT_TRUE (suspects.takeReport (at (610)));
    suspects.apply (updateOf (9, 1, { "a" }), at (620));
    EXPECT_FALSE (suspects.takeReport (at (2000)));
    EXPECT_FALSE (suspects.suspectStatusOf (request).isUndecided());
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 1);
}

TEST_F (SuspectRequestsTest, CountsForwardedCrashesBeforeTheTableContainsThem)
{
    cell::SuspectReport reported;
    reported.crashes.push_back ({ request, "a", 100, 50 });
    reported.crashes.push_back ({ request, "b", 40, 10 });
    suspects.onForwardedReport (reported, at (200));
    suspects.onForwardedReport (reported, at (210));
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 2);
    EXPECT_FALSE (suspects.suspectStatusOf (request).isUndecided());
    EXPECT_FALSE (suspects.takeReport (at (220))) << "the other router reports it";
    end ("c", 220, 250);
    EXPECT_TRUE (suspects.suspectStatusOf (request).isInQuarantine());
    suspects.apply (updateOf (4, 3, { "a", "b", "c" }), at (300));
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 3);
}

TEST_F (SuspectRequestsTest, RecordsAGoneIsolationRunnerOnlyBeforeTheLastCrash)
{
    suspects.apply (updateOf (1, 1, { "a" }), at (0));
    suspects.onIsolationRunnerUnreachable (request, "b", at (10));
    EXPECT_FALSE (suspects.suspectStatusOf (request).isolationRunnerGoneSince)
        << "one more crash does not quarantine";
    suspects.apply (updateOf (2, 2, { "a", "c" }), at (20));
    suspects.onIsolationRunnerUnreachable (request, "d", at (30));
    suspects.onIsolationRunnerUnreachable (request, "d", at (40));
    EXPECT_EQ (suspects.suspectStatusOf (request).isolationRunnerGoneSince, at (30));
    EXPECT_EQ (suspects.suspectStatusOf (request).crashes, 2) << "no crash was observed";
    suspects.apply (updateOf (3, 2, { "a", "c", "d" }), at (50));
    EXPECT_FALSE (suspects.suspectStatusOf (request).isolationRunnerGoneSince)
        << "the table contains the crash";
}

TEST_F (SuspectRequestsTest, ACompleteAnswerOrTimeResolvesAGoneIsolationRunner)
{
    suspects.apply (updateOf (1, 2, { "a", "b" }), at (0));
    suspects.onIsolationRunnerUnreachable (request, "c", at (10));
    suspects.onCompleteAnswer (request);
    EXPECT_FALSE (suspects.suspectStatusOf (request).isolationRunnerGoneSince);
    suspects.onIsolationRunnerUnreachable (request, "c", at (20));
    suspects.expire (at (11'000));
    EXPECT_FALSE (suspects.suspectStatusOf (request).isolationRunnerGoneSince);
}

TEST_F (SuspectRequestsTest, ACompleteAnswerClearsTheRequest)
{
    suspects.apply (updateOf (4, 1, { "a" }), at (100));
    suspects.onCompleteAnswer (request);
    const auto report = suspects.takeReport (at (110));
    ASSERT_TRUE (report);
    EXPECT_EQ (report->cleared, std::vector<std::string>{ "r" });
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
    EXPECT_TRUE (suspects.suspectStatusOf (request).isInQuarantine());
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
        suspects.onAnswerInterrupted ({ each, std::to_string (each) }, "a", at (0), at (50));
    EXPECT_EQ (suspects.evicted(), 1);
    EXPECT_FALSE (suspects.mayContain (0));
    EXPECT_TRUE (suspects.mayContain (SuspectRequests::kMaxOwnCrashes));
}

}  // namespace
}  // namespace fernlift::quarantine
