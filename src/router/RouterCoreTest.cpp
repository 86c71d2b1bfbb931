#include <gtest/gtest.h>

#include <algorithm>

#include "router/RouterCore.h"
#include "router/RouterTestHarness.h"

namespace fernlift::router
{
namespace
{

using base::ErrorKind;
using base::Execution;
using base::milliseconds;
using testing::RouterHarness;

TEST (RouterCoreTest, ForwardsTheStreamOfOneReplica)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m") });
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    ASSERT_EQ (router.attemptsOf (ticket).size(), 1U);
    const AttemptId attempt = router.starts[0].attempt;
    router.event (attempt, AttemptHeaders{ 200, false });
    router.event (attempt, AttemptData{ 0, 2, "one two " });
    EXPECT_EQ (router.callers[ticket].text, "one two ");
    router.event (attempt, AttemptData{ 2, 1, "three" });
    router.event (attempt, AttemptEnded{});
    EXPECT_EQ (router.callers[ticket].text, "one two three");
    EXPECT_EQ (router.callers[ticket].ends, 1);
    EXPECT_FALSE (router.callers[ticket].error);
    EXPECT_EQ (router.core().counters().answered, 1U);
    EXPECT_TRUE (router.isLeakFree());
    EXPECT_TRUE (router.core().isIdle());
}

TEST (RouterCoreTest, ConnectsAndSendsHelloToTheController)
{
    RouterHarness router;
    router.advance (milliseconds (10));
    ASSERT_EQ (router.connects.size(), 1U);
    router.core().onControllerConnected();
    router.collect();
    ASSERT_EQ (router.hellos.size(), 1U);
    EXPECT_EQ (router.hellos[0].router.value, "router-1");
    ASSERT_EQ (router.leaseRequests.size(), 1U);
}

TEST (RouterCoreTest, FollowsTheAddressOfTheLeader)
{
    RouterHarness router;
    router.core().onControllerConnected();
    router.fromController (cell::NotLeaderReply{ "127.0.0.1:77" });
    router.advance (milliseconds (20));
    ASSERT_FALSE (router.connects.empty());
    EXPECT_EQ (router.connects.back().address, "127.0.0.1:77");
}

TEST (RouterCoreTest, ReconnectsFromASilentControllerBeforeTheLeaseEnds)
{
    RouterHarness router;
    router.connect ({});
    router.advance (milliseconds (700));
    router.grantsLeases = false;
    router.connects.clear();
    router.advance (milliseconds (1500));
    EXPECT_FALSE (router.connects.empty());
    EXPECT_TRUE (router.core().isReady());
}

TEST (RouterCoreTest, RefusesWithoutALease)
{
    RouterHarness router;
    const RequestTicket early = router.request (RouterHarness::completion ("a"));
    ASSERT_TRUE (router.callers[early].error);
    EXPECT_EQ (router.callers[early].error->error.kind, ErrorKind::kLeaseExpired);
    EXPECT_EQ (router.callers[early].error->execution, Execution::kNotRun);
    EXPECT_TRUE (router.callers[early].error->retryAfter);
}

TEST (RouterCoreTest, LeaseStartsWhenItsRequestIsSent)
{
    RouterHarness router;
    router.core().onControllerConnected();
    router.collect();
    router.fromController (cell::ConfigurationUpdate{ 1, "digest-1", testing::kCatalogueText });
    const auto requests = std::exchange (router.leaseRequests, {});
    router.grantsLeases = false;
    router.advance (milliseconds (350));
    router.fromController (cell::LeaseGrant{ requests.back().sequence, 1, "digest-1", 1, 600, 0 });
    EXPECT_TRUE (router.core().isReady());
    router.advance (milliseconds (240));
    EXPECT_TRUE (router.core().isReady());
    router.advance (milliseconds (20));
    EXPECT_FALSE (router.core().isReady());
}

TEST (RouterCoreTest, WaitingRequestsAreRefusedWhenTheLeaseEndsAndOpenOnesFinish)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "deep-model", 1) });
    const RequestTicket open = router.request (RouterHarness::completion ("a", "deep-model"));
    const RequestTicket waiting = router.request (RouterHarness::completion ("b", "deep-model"));
    router.event (router.starts[0].attempt, AttemptHeaders{ 200, false });
    router.event (router.starts[0].attempt, AttemptData{ 0, 1, "x" });
    router.grantsLeases = false;
    router.advance (milliseconds (2100));
    ASSERT_TRUE (router.callers[waiting].error);
    EXPECT_EQ (router.callers[waiting].error->error.kind, ErrorKind::kLeaseExpired);
    EXPECT_EQ (router.callers[waiting].error->execution, Execution::kNotRun);
    router.event (router.starts[0].attempt, AttemptData{ 1, 1, "y" });
    router.event (router.starts[0].attempt, AttemptEnded{});
    EXPECT_EQ (router.callers[open].text, "xy");
    EXPECT_FALSE (router.callers[open].error);
    EXPECT_TRUE (router.isLeakFree());
}

TEST (RouterCoreTest, IgnoresAnOlderConfiguration)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m") });
    std::string newer = testing::kCatalogueText;
    newer.replace (newer.find ("version = 1"), 11, "version = 3");
    router.fromController (cell::ConfigurationUpdate{ 3, "digest-3", newer });
    router.answerLeases();
    EXPECT_TRUE (router.core().isReady());
    router.fromController (cell::ConfigurationUpdate{ 1, "digest-1", testing::kCatalogueText });
    router.advance (milliseconds (700));
    router.core().onControllerConnected();
    router.collect();
    EXPECT_EQ (router.hellos.back().configurationVersion, 3U);
}

TEST (RouterCoreTest, UnknownModelsAndMissingKeysAreRefused)
{
    RouterHarness router;
    router.connect ({ RouterHarness::application ("a1") });
    const RequestTicket unknown = router.request (RouterHarness::completion ("a", "nothing"));
    EXPECT_EQ (router.callers[unknown].error->error.kind, ErrorKind::kModelNotFound);
    RequestHead keyless = RouterHarness::payment ("b", "");
    const RequestTicket unkeyed = router.request (keyless);
    EXPECT_EQ (router.callers[unkeyed].error->error.kind, ErrorKind::kIdempotencyKeyRequired);
    keyless.isSafeMethod = true;
    const RequestTicket read = router.request (keyless);
    EXPECT_EQ (router.attemptsOf (read).size(), 1U);
}

TEST (RouterCoreTest, AColdTargetIsReportedAtOnceAndServedWhenReady)
{
    RouterHarness router;
    router.connect ({});
    router.demands.clear();
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    ASSERT_EQ (router.demands.size(), 1U);
    EXPECT_EQ (router.demands[0].demands[0].target, "m");
    EXPECT_EQ (router.demands[0].demands[0].waiting, 1U);
    EXPECT_EQ (router.demands[0].demands[0].mostUrgent, 0);
    router.setReplicas ({ RouterHarness::replica ("r1", "m") });
    EXPECT_EQ (router.attemptsOf (ticket).size(), 1U);
}

TEST (RouterCoreTest, RefusesAtOnceWithTheEstimateWhenALoadExceedsTheDeadline)
{
    RouterHarness router;
    router.connect ({});
    const RequestTicket waiting = router.request (RouterHarness::completion ("a"));
    router.setReplicas ({}, { cell::TargetEstimate{ "m", true, 8000 } });
    const RequestTicket late = router.request (RouterHarness::completion ("b"));
    for (const RequestTicket ticket : { waiting, late })
    {
        ASSERT_TRUE (router.callers[ticket].error);
        EXPECT_EQ (router.callers[ticket].error->error.kind, ErrorKind::kDeadlineUnreachable);
        EXPECT_EQ (router.callers[ticket].error->execution, Execution::kNotRun);
        EXPECT_GE (*router.callers[ticket].error->retryAfter, milliseconds (8000));
    }
    router.setReplicas ({}, { cell::TargetEstimate{ "m", false, 0 } });
    const RequestTicket hopeless = router.request (RouterHarness::completion ("c"));
    EXPECT_EQ (router.callers[hopeless].error->error.kind, ErrorKind::kNoCapacity);
}

TEST (RouterCoreTest, WaitingRequestFailsAtItsDeadline)
{
    RouterHarness router;
    router.connect ({});
    const RequestTicket ticket = router.request (RouterHarness::completion ("a"));
    router.advance (milliseconds (990));
    EXPECT_EQ (router.callers[ticket].ends, 0);
    router.advance (milliseconds (20));
    ASSERT_TRUE (router.callers[ticket].error);
    EXPECT_EQ (router.callers[ticket].error->error.kind, ErrorKind::kDeadlinePassed);
    EXPECT_EQ (router.callers[ticket].error->execution, Execution::kNotRun);
}

TEST (RouterCoreTest, ReservedSlotsStayFreeForUrgentRequests)
{
    RouterHarness router;
    router.connect (
        { RouterHarness::replica ("r1", "m", 8), RouterHarness::replica ("r1", "deep-model", 8) });
    for (int number = 0; number < 20; ++number)
    {
        router.request (RouterHarness::completion ("d" + std::to_string (number), "deep-model"));
    }
    EXPECT_EQ (router.starts.size(), 6U);
    const RequestTicket urgent = router.request (RouterHarness::completion ("u"));
    EXPECT_EQ (router.attemptsOf (urgent).size(), 1U);
    EXPECT_EQ (router.starts.back().urgency, 0);
}

TEST (RouterCoreTest, DeepRequestsUseNoCreditsOfUrgentOnesOfTheSameModel)
{
    RouterHarness router;
    auto replica = RouterHarness::replica ("r1", "m", 8);
    replica.credits = 1;
    router.connect ({ replica });
    RequestHead deep = RouterHarness::completion ("d");
    deep.requestClass = base::RequestClassName ("deep");
    router.request (deep);
    const RequestTicket first = router.request (RouterHarness::completion ("u1"));
    EXPECT_EQ (router.attemptsOf (first).size(), 1U);
    const RequestTicket second = router.request (RouterHarness::completion ("u2"));
    EXPECT_EQ (router.attemptsOf (second).size(), 1U) << "two slots are reserved";
    const RequestTicket third = router.request (RouterHarness::completion ("u3"));
    EXPECT_TRUE (router.attemptsOf (third).empty());
}

TEST (RouterCoreTest, WaitingRequestsAreRefusedWhenTheQueueBecomesTooSlow)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m", 1) });
    constexpr int kRequests = 60;
    std::vector<RequestTicket> waiting;
    waiting.reserve (kRequests);
    for (int number = 0; number < kRequests; ++number)
    {
        waiting.push_back (router.request (RouterHarness::completion (std::to_string (number))));
    }
    for (int answered = 0; answered < 20; ++answered)
    {
        router.answerWhole (router.starts.back().attempt, "text");
        router.advance (milliseconds (10));
    }
    router.advance (milliseconds (400));  // The back end stalls.
    const auto& last = router.callers[waiting.back()];
    ASSERT_TRUE (last.error);
    EXPECT_EQ (last.error->error.kind, ErrorKind::kDeadlineUnreachable);
    EXPECT_EQ (last.error->execution, Execution::kNotRun);
    EXPECT_TRUE (last.error->retryAfter);
    EXPECT_EQ (router.callers[waiting[21]].ends, 0) << "the next to be served still waits";
}

TEST (RouterCoreTest, LeavingNoticeRefusesRequestsWithoutAnotherReplica)
{
    RouterHarness router;
    router.connect ({});
    router.setReplicas ({ RouterHarness::replica ("r1", "m", 1) },
                        { cell::TargetEstimate{ "m", true, 9000 } });
    router.request (RouterHarness::completion ("a"));
    const RequestTicket waiting = router.request (RouterHarness::completion ("b"));
    router.event (router.starts[0].attempt, AttemptHeaders{ 200, true });
    ASSERT_TRUE (router.callers[waiting].error);
    EXPECT_EQ (router.callers[waiting].error->error.kind, ErrorKind::kDeadlineUnreachable);
}

TEST (RouterCoreTest, FullQueueEvictsTheLeastUrgentRequest)
{
    RouterOptions options = RouterHarness::defaultOptions();
    options.maximumQueuedRequests = 2;
    RouterHarness router (options);
    router.connect ({});
    const RequestTicket deep = router.request (RouterHarness::completion ("a", "deep-model"));
    router.request (RouterHarness::completion ("b"));
    const RequestTicket urgent = router.request (RouterHarness::completion ("c"));
    EXPECT_EQ (router.callers[urgent].ends, 0);
    ASSERT_TRUE (router.callers[deep].error);
    EXPECT_EQ (router.callers[deep].error->error.kind, ErrorKind::kQueueFull);
    const RequestTicket refused = router.request (RouterHarness::completion ("d"));
    EXPECT_EQ (router.callers[refused].error->error.kind, ErrorKind::kQueueFull);
}

TEST (RouterCoreTest, APlannedStopRefusesNewRequestsAndFinishesOpenOnes)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m", 2) });
    constexpr int kRequests = 4;
    std::vector<RequestTicket> open;
    open.reserve (kRequests);
    for (int number = 0; number < kRequests; ++number)
    {
        open.push_back (router.request (RouterHarness::completion (std::to_string (number))));
    }
    router.core().beginStop();
    const RequestTicket late = router.request (RouterHarness::completion ("late"));
    EXPECT_EQ (router.callers[late].error->error.kind, ErrorKind::kStopping);
    EXPECT_FALSE (router.core().isIdle());
    for (std::size_t number = 0; number < open.size(); ++number)
    {
        ASSERT_GT (router.starts.size(), number);
        router.answerWhole (router.starts[number].attempt, "text");
    }
    for (const RequestTicket ticket : open)
        EXPECT_EQ (router.callers[ticket].text, "text");
    EXPECT_TRUE (router.core().isIdle());
}

TEST (RouterCoreTest, ExplainsARequest)
{
    RouterHarness router;
    router.connect ({ RouterHarness::replica ("r1", "m") });
    router.request (RouterHarness::completion ("a"));
    router.answerWhole (router.starts[0].attempt, "text");
    const std::string json = router.core().explainRequest (base::RequestId ("a"));
    EXPECT_NE (json.find ("attempt 1 at r1"), std::string::npos) << json;
    EXPECT_TRUE (router.core().explainRequest (base::RequestId ("other")).empty());
}

}  // namespace
}  // namespace fernlift::router
