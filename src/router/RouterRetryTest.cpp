// Retries, resumed streams, hedging and leaving runners.

#include <gtest/gtest.h>

#include <algorithm>

#include "router/RouterTestHarness.h"

namespace fernlift::router
{
namespace
{

using base::ErrorKind;
using base::Execution;
using base::milliseconds;
using testing::RouterHarness;

std::vector<cell::RoutableReplica> twoReplicas()
{
    auto second = RouterHarness::replica ("r2", "m");
    second.replica = 11;
    return { RouterHarness::replica ("r1", "m"), second };
}

TEST (RouterRetryTest, UnsentAttemptIsRetriedAtAnotherReplica)
{
    RouterHarness router;
    router.connect (twoReplicas());
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    router.event (router.starts[0].attempt, AttemptNotSent{});
    const auto attempts = router.attemptsOf (ticket);
    ASSERT_EQ (attempts.size(), 2U);
    EXPECT_NE (attempts[0].replica.runner, attempts[1].replica.runner);
}

TEST (RouterRetryTest, BrokenStreamResumesElsewhereWithCompleteText)
{
    RouterHarness router;
    router.connect (twoReplicas());
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    const AttemptId first = router.starts[0].attempt;
    router.event (first, AttemptHeaders{ 200, false });
    router.event (first, AttemptData{ 0, 2, "a b " });
    router.event (first, AttemptBroken{});
    ASSERT_EQ (router.starts.size(), 2U);
    EXPECT_EQ (router.starts[1].resumeFrom, 2U);
    const AttemptId second = router.starts[1].attempt;
    router.event (first, AttemptData{ 2, 1, "LATE" });
    router.event (second, AttemptHeaders{ 200, false });
    router.event (second, AttemptData{ 1, 1, "b " });
    router.event (second, AttemptData{ 2, 1, "c" });
    router.event (second, AttemptData{ 2, 1, "c" });
    router.event (second, AttemptEnded{});
    EXPECT_EQ (router.callers[ticket].text, "a b c");
    EXPECT_EQ (router.callers[ticket].ends, 1);
    EXPECT_EQ (router.core().counters().resumes, 1U);
}

TEST (RouterRetryTest, HeadersWithoutABodyTimeOutAtTheDeadline)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m") });
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    router.event (router.starts[0].attempt, AttemptHeaders{ 200, false });
    router.advance (milliseconds (1100));
    ASSERT_TRUE (router.callers[ticket].error);
    EXPECT_EQ (router.callers[ticket].error->error.kind, ErrorKind::kUpstreamTimeout);
    EXPECT_EQ (router.callers[ticket].error->execution, Execution::kUnknown);
}

TEST (RouterRetryTest, PartialBodyIsBufferedUntilTheDeadlineAtMost)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m") });
    const RequestTicket ticket = router.request (RouterHarness::completion ("a", "m", false));
    const AttemptId attempt = router.starts[0].attempt;
    router.event (attempt, AttemptHeaders{ 200, false });
    router.event (attempt, AttemptData{ 0, 6, "first " });
    EXPECT_FALSE (router.callers[ticket].headers);
    router.advance (milliseconds (1100));
    ASSERT_TRUE (router.callers[ticket].headers);
    EXPECT_EQ (router.callers[ticket].text, "first ");
    router.event (attempt, AttemptData{ 6, 4, "rest" });
    router.event (attempt, AttemptEnded{});
    EXPECT_EQ (router.callers[ticket].text, "first rest");
    EXPECT_EQ (router.callers[ticket].ends, 1);
}

TEST (RouterRetryTest, GapInAStreamFailsTheAttempt)
{
    RouterHarness router;
    router.connect (twoReplicas());
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    const AttemptId first = router.starts[0].attempt;
    router.event (first, AttemptHeaders{ 200, false });
    router.event (first, AttemptData{ 0, 1, "a" });
    router.event (first, AttemptData{ 2, 1, "c" });
    EXPECT_TRUE (router.isCancelled (first));
    EXPECT_EQ (router.callers[ticket].text, "a");
    ASSERT_EQ (router.starts.size(), 2U);
    EXPECT_EQ (router.starts[1].resumeFrom, 1U);
}

TEST (RouterRetryTest, ErrorResponseIsNeverForwardedAsRestOfAStream)
{
    RouterHarness router;
    router.connect (twoReplicas());
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    router.event (router.starts[0].attempt, AttemptHeaders{ 200, false });
    router.event (router.starts[0].attempt, AttemptData{ 0, 1, "a" });
    router.event (router.starts[0].attempt, AttemptBroken{});
    router.answerWhole (router.starts[1].attempt, "{\"error\":1}", 500);
    EXPECT_EQ (router.callers[ticket].text, "a");
}

TEST (RouterRetryTest, BufferedAnswerRestartsWhenTheAttemptBreaks)
{
    RouterHarness router;
    router.connect (twoReplicas());
    const RequestTicket ticket = router.request (RouterHarness::completion ("a", "m", false));
    router.event (router.starts[0].attempt, AttemptHeaders{ 200, false });
    router.event (router.starts[0].attempt, AttemptData{ 0, 4, "half" });
    router.event (router.starts[0].attempt, AttemptBroken{});
    ASSERT_EQ (router.starts.size(), 2U);
    EXPECT_EQ (router.starts[1].resumeFrom, 0U);
    router.answerWhole (router.starts[1].attempt, "whole");
    EXPECT_EQ (router.callers[ticket].text, "whole");
    EXPECT_EQ (router.callers[ticket].headers->attempt, router.starts[1].attempt);
}

TEST (RouterRetryTest, AttemptsAreLimited)
{
    RouterHarness router;
    router.connect (twoReplicas());
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    for (int made = 0; made < 10; ++made)
    {
        router.event (router.starts.back().attempt, AttemptNotSent{});
        router.advance (milliseconds (80));
    }
    EXPECT_EQ (router.attemptsOf (ticket).size(), 3U);
    ASSERT_TRUE (router.callers[ticket].error);
    EXPECT_EQ (router.callers[ticket].error->error.kind, ErrorKind::kUpstreamUnreachable);
    EXPECT_EQ (router.callers[ticket].error->execution, Execution::kNotRun);
    EXPECT_TRUE (router.callers[ticket].error->retryAfter);
}

TEST (RouterRetryTest, RetryBudgetLimitsRetries)
{
    RouterOptions options = RouterHarness::defaultOptions();
    options.retryBudgetShare = 0;
    RouterHarness router (options);
    router.connect (twoReplicas());
    int budgetErrors = 0;
    for (int number = 0; number < 30; ++number)
    {
        const RequestTicket ticket =
            router.request (RouterHarness::completion (std::to_string (number)));
        router.event (router.starts.back().attempt, AttemptRefused{ 503, false, std::nullopt });
        if (router.callers[ticket].ends == 0)
        {
            router.answerWhole (router.starts.back().attempt, "text");
        }
        else if (router.callers[ticket].error->error.kind == ErrorKind::kRetryBudgetSpent)
        {
            budgetErrors += 1;
        }
    }
    EXPECT_EQ (router.core().counters().retries, 10U);
    EXPECT_EQ (budgetErrors, 20);
}

AttemptRefused declinedFor (base::Duration delay) { return { 503, false, delay }; }

TEST (RouterRetryTest, SendsNothingBeforeEndOfRetryAfter)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m") });
    const RequestTicket first = router.request (RouterHarness::completion ("a"));
    router.event (router.starts.back().attempt, declinedFor (base::milliseconds (600)));
    const RequestTicket second = router.request (RouterHarness::completion ("b"));
    router.advance (milliseconds (590));
    EXPECT_EQ (router.starts.size(), 1U);
    router.advance (milliseconds (30));
    EXPECT_EQ (router.attemptsOf (first).size(), 2U);
    EXPECT_EQ (router.attemptsOf (second).size(), 1U);
}

TEST (RouterRetryTest, RefusesAtOnceWhenAllRunnersDeclineBeyondDeadline)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m") });
    const RequestTicket first = router.request (RouterHarness::completion ("a"));
    router.event (router.starts.back().attempt, declinedFor (base::seconds (30)));
    router.advance (milliseconds (200));
    const RequestTicket second = router.request (RouterHarness::completion ("b"));
    for (const RequestTicket ticket : { first, second })
    {
        ASSERT_TRUE (router.callers[ticket].error);
        EXPECT_EQ (router.callers[ticket].error->execution, Execution::kNotRun);
        EXPECT_GE (router.callers[ticket].error->retryAfter, base::seconds (29));
    }
    EXPECT_EQ (router.starts.size(), 1U);
}

TEST (RouterRetryTest, OtherReplicasServeDuringBackoff)
{
    RouterHarness router;
    router.connect (twoReplicas());
    router.request (RouterHarness::completion ("a"));
    const auto declining = router.starts.back().replica.runner;
    router.event (router.starts.back().attempt, declinedFor (base::seconds (30)));
    for (int number = 0; number < 4; ++number)
    {
        router.answerWhole (router.starts.back().attempt, "text");
        router.request (RouterHarness::completion ("b" + std::to_string (number)));
    }
    EXPECT_EQ (std::ranges::count_if (router.starts, [&] (const StartAttempt& start)
                                      { return start.replica.runner == declining; }),
               1);
}

TEST (RouterRetryTest, BrokenAttemptIsNotReportedAsNotRun)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m") });
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    for (int made = 0; made < 3; ++made)
    {
        router.event (router.starts.back().attempt, AttemptBroken{});
        router.advance (milliseconds (250));
    }
    ASSERT_TRUE (router.callers[ticket].error);
    EXPECT_EQ (router.callers[ticket].error->execution, Execution::kUnknown);
}

TEST (RouterRetryTest, SilentBackEndIsRetriedElsewhereAndFailsAtTheDeadline)
{
    RouterHarness router;
    router.connect (twoReplicas());
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    router.advance (milliseconds (510));
    EXPECT_TRUE (router.isCancelled (router.starts[0].attempt));
    ASSERT_EQ (router.attemptsOf (ticket).size(), 2U);
    router.advance (milliseconds (500));
    ASSERT_TRUE (router.callers[ticket].error);
    EXPECT_EQ (router.callers[ticket].error->error.kind, ErrorKind::kUpstreamTimeout);
    EXPECT_EQ (router.callers[ticket].error->execution, Execution::kUnknown);
}

TEST (RouterRetryTest, AStreamThatStallsIsResumedElsewhere)
{
    RouterHarness router;
    router.connect (twoReplicas());
    router.request (RouterHarness::completion ("a"));
    router.event (router.starts[0].attempt, AttemptHeaders{ 200, false });
    router.event (router.starts[0].attempt, AttemptData{ 0, 3, "abc" });
    router.advance (milliseconds (5010));
    EXPECT_TRUE (router.isCancelled (router.starts[0].attempt));
    ASSERT_EQ (router.starts.size(), 2U);
    EXPECT_EQ (router.starts[1].resumeFrom, 3U);
}

TEST (RouterRetryTest, EndlessAnswerTimesOut)
{
    RouterOptions options = RouterHarness::defaultOptions();
    options.wholeAnswerTimeout = base::seconds (20);
    RouterHarness router (options);
    router.connect (twoReplicas());
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    const AttemptId attempt = router.starts[0].attempt;
    router.event (attempt, AttemptHeaders{ 200, false });
    for (std::uint64_t token = 0; token < 30 && router.callers[ticket].ends == 0; ++token)
    {
        router.event (attempt, AttemptData{ token, 1, "x" });
        router.advance (base::seconds (1));
    }
    ASSERT_TRUE (router.callers[ticket].error);
    EXPECT_EQ (router.callers[ticket].error->error.kind, ErrorKind::kUpstreamTimeout);
    EXPECT_EQ (router.callers[ticket].text.size(), 21U);
    EXPECT_TRUE (router.isCancelled (attempt));
    EXPECT_TRUE (router.isLeakFree());
}

TEST (RouterRetryTest, ALeavingRunnerGetsNothingNewFromTheFirstSign)
{
    RouterHarness router;
    router.connect (twoReplicas());
    router.request (RouterHarness::completion ("a"));
    const base::RunnerId leaving = router.starts[0].replica.runner;
    router.event (router.starts[0].attempt, AttemptHeaders{ 200, true });
    ASSERT_EQ (router.leavingSeen.size(), 1U);
    EXPECT_EQ (router.leavingSeen[0].runner, leaving);
    router.setReplicas (twoReplicas());  // The controller has not processed the notice.
    for (int number = 0; number < 8; ++number)
    {
        router.request (RouterHarness::completion (std::to_string (number)));
        EXPECT_NE (router.starts.back().replica.runner, leaving);
    }
    router.event (router.starts[0].attempt, AttemptData{ 0, 1, "x" });
    router.event (router.starts[0].attempt, AttemptEnded{});
    EXPECT_EQ (router.callers[1].text, "x");
    EXPECT_EQ (router.leavingSeen.size(), 1U);
}

TEST (RouterRetryTest, HedgingTakesTheFirstAnswerAndCancelsTheOther)
{
    RouterOptions options = RouterHarness::defaultOptions();
    options.hedgeAfter = milliseconds (50);
    RouterHarness router (options);
    router.connect (twoReplicas());
    const RequestTicket ticket = router.request (RouterHarness::completion ("a", "m", false));
    router.advance (milliseconds (60));
    const auto attempts = router.attemptsOf (ticket);
    ASSERT_EQ (attempts.size(), 2U);
    EXPECT_NE (attempts[0].replica.runner, attempts[1].replica.runner);
    router.answerWhole (attempts[1].attempt, "second");
    EXPECT_TRUE (router.isCancelled (attempts[0].attempt));
    router.answerWhole (attempts[0].attempt, "first");
    EXPECT_EQ (router.callers[ticket].text, "second");
    EXPECT_EQ (router.callers[ticket].ends, 1);
    EXPECT_TRUE (router.isLeakFree());
}

TEST (RouterRetryTest, DisconnectedCallerFreesTheSlot)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m", 1) });
    const RequestTicket first = router.request (RouterHarness::completion ("a"));
    const RequestTicket second = router.request (RouterHarness::completion ("b"));
    EXPECT_TRUE (router.attemptsOf (second).empty());
    router.disconnectCaller (first);
    EXPECT_TRUE (router.isCancelled (router.starts[0].attempt));
    EXPECT_EQ (router.attemptsOf (second).size(), 1U);
    EXPECT_EQ (router.core().counters().callersDisconnected, 1U);
    EXPECT_TRUE (router.isLeakFree());
}

}  // namespace
}  // namespace fernlift::router
