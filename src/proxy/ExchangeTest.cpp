#include <gtest/gtest.h>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

constexpr const char* kAnswer =
    "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Length: 5\r\nX-Own: 1\r\n\r\nhello";

class ExchangeTest : public ::testing::Test
{
protected:
    ProxyFixture proxy;
    StubRunner runner;
    StubRunner other;
};

TEST_F (ExchangeTest, ForwardsMethodTargetBodyAndEndToEndFields)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test", "r1",
                                         "X-Extra: 7\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"));
    ASSERT_TRUE (runner.waitForRequest (0, "body"));
    const std::string& received = runner.connections[0]->received;
    EXPECT_TRUE (received.starts_with ("POST /path?q=1 HTTP/1.1\r\n"));
    EXPECT_NE (received.find ("X-Extra: 7\r\n"), std::string::npos);
    EXPECT_NE (received.find ("Test-Target: i-1\r\n"), std::string::npos);
    EXPECT_EQ (received.find ("X-Hop"), std::string::npos);
    runner.connections[0]->write (kAnswer);
    ASSERT_TRUE (caller.waitFor ("hello"));
    EXPECT_NE (caller.received().find ("X-Own: 1\r\n"), std::string::npos);
}

TEST_F (ExchangeTest, ARequestInQuarantineReachesNoRunner)
{
    proxy.addRunner ("i-1", runner);
    proxy.suspects.apply (suspectUpdate (1, "app.test", 3, { "a", "b", "c" }), proxy.clock.now());
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 502"));
    EXPECT_NE (caller.received().find ("request_quarantined"), std::string::npos);
    EXPECT_EQ (caller.received().find ("Retry-After"), std::string::npos);
    RawCaller another (proxy.listening);
    another.write (ProxyFixture::request ("stream.test"));
    ASSERT_TRUE (runner.waitForRequest());
    EXPECT_EQ (runner.connections.size(), 1);
}

TEST_F (ExchangeTest, CancelsRunningCopyOnceRequestIsInQuarantine)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    proxy.suspects.apply (suspectUpdate (1, "once.test", 3, { "a", "b", "c" }), proxy.clock.now());
    proxy.server.onSuspectsChanged();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 502"));
    EXPECT_TRUE (waitUntil ([&] { return runner.connections[0]->isClosed(); }));
}

TEST_F (ExchangeTest, SendsCopiesOfSuspectToOneRunnerThatDidNotCrash)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    proxy.suspects.apply (suspectUpdate (1, "once.test", 1, { "i-1" }), proxy.clock.now());
    RawCaller first (proxy.listening);
    first.write (ProxyFixture::request ("once.test", "r1"));
    RawCaller second (proxy.listening);
    second.write (ProxyFixture::request ("once.test", "r2"));
    ASSERT_TRUE (other.waitForRequest (0));
    ASSERT_TRUE (other.waitForRequest (1));
    EXPECT_TRUE (runner.connections.empty());
}

TEST_F (ExchangeTest, RetryAfterBrokenAnswerWaitsForProbeResult)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    std::string checked;
    proxy.context.checkRunner = [&] (const std::string& instance, const base::SocketAddress&)
    { checked = instance; };
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->reset();
    ASSERT_TRUE (waitUntil ([&] { return checked == "i-1"; }));
    EXPECT_TRUE (other.connections.empty());
    proxy.suspects.onProbeResult ("i-1", quarantine::RunnerProbeResult::kAlive);
    proxy.server.onSuspectsChanged();
    ASSERT_TRUE (other.waitForRequest());
}

TEST_F (ExchangeTest, RetryAfterBrokenAnswerStopsWaitingWithoutController)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->reset();
    ASSERT_TRUE (other.waitForRequest());
}

// Guards against crashes of further runners: copies that arrive before it is known whether a
// runner has crashed are each sent to another runner and crash it.
TEST_F (ExchangeTest, CopyAfterBrokenAnswerWaitsForProbeResult)
{
    proxy.addRunner ("i-1", runner);
    proxy.suspects.onAnswerInterrupted (identityOfRequest ("app.test"), "gone", proxy.clock.now(),
                                        proxy.clock.now());
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    runFor (std::chrono::milliseconds (40));
    EXPECT_TRUE (runner.connections.empty());
    proxy.suspects.onProbeResult ("gone", quarantine::RunnerProbeResult::kAlive);
    proxy.server.onSuspectsChanged();
    ASSERT_TRUE (runner.waitForRequest());
}

TEST_F (ExchangeTest, CopyAfterBrokenAnswerStopsWaitingWithoutController)
{
    proxy.addRunner ("i-1", runner);
    proxy.suspects.onAnswerInterrupted (identityOfRequest ("app.test"), "gone", proxy.clock.now(),
                                        proxy.clock.now());
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (runner.waitForRequest());
}

// Guards against a suspect request that crashes a runner beyond the limit. Another router has
// detected the third crash, but without a leader this router is not notified of it. This router
// finds the isolation runner gone and sends the request to the next runner, which crashes too.
class ExchangeOfSuspectTest : public ExchangeTest
{
protected:
    /// Two runners crashed under the request. Its isolation runner refuses connections.
    void SetUp() override
    {
        proxy.addRunner ("i-1", runner);
        proxy.addRunner ("i-2", other);
        proxy.suspects.apply (suspectUpdate (1, "app.test", 2, { "a", "b" }), proxy.clock.now());
        InstanceQuery query;
        query.service = "service";
        query.isolationKey = identityOfRequest ("app.test").digest;
        crashed = proxy.directory.choose (query, proxy.clock.now()).id;
        (crashed == "i-1" ? runner : other).stopListening();
    }
    [[nodiscard]] StubRunner& remaining() { return crashed == "i-1" ? other : runner; }

    std::string crashed;
};

TEST_F (ExchangeOfSuspectTest, WaitsForReportsOfOtherRoutersOnIsolationRunner)
{
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    runFor (std::chrono::milliseconds (300));
    RawCaller copy (proxy.listening);
    copy.write (ProxyFixture::request ("app.test", "r2"));
    runFor (std::chrono::milliseconds (300));
    EXPECT_TRUE (remaining().connections.empty());
    proxy.suspects.apply (suspectUpdate (2, "app.test", 3, { "a", "b", crashed }),
                          proxy.clock.now());
    proxy.server.onSuspectsChanged();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 502"));
    ASSERT_TRUE (copy.waitFor ("HTTP/1.1 502"));
    EXPECT_TRUE (remaining().connections.empty());
}

TEST_F (ExchangeOfSuspectTest, IsServedByAnotherRunnerWithoutReportOfCrash)
{
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (remaining().waitForRequest());
    remaining().connections[0]->write (kAnswer);
    ASSERT_TRUE (caller.waitFor ("hello"));
}

TEST_F (ExchangeTest, CompleteAnswerClearsSuspect)
{
    proxy.addRunner ("i-1", runner);
    proxy.suspects.apply (suspectUpdate (1, "app.test", 2, { "a", "b" }), proxy.clock.now());
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (kAnswer);
    ASSERT_TRUE (caller.waitFor ("hello"));
    const auto report = proxy.suspects.takeReport (proxy.clock.now());
    ASSERT_TRUE (report);
    EXPECT_EQ (report->cleared, std::vector<std::string>{ identityOfRequest ("app.test").digest });
}

TEST_F (ExchangeTest, EndOfDrainingRunnerIsNoEvidence)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    proxy.addRunner ("i-1", runner, true);
    runner.connections[0]->reset();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 502"));
    EXPECT_TRUE (proxy.suspects.isEmpty());
}

/// Catalogue with one tenant for all routes except the public "once.test".
config::ServiceCatalogue catalogueWithTenant (const std::string& key)
{
    config::ServiceCatalogue catalogue = ProxyFixture::catalogue();
    catalogue.requiresKeys = true;
    config::Tenant tenant;
    tenant.name = "farm";
    tenant.keys = { key };
    tenant.priority = 7;
    catalogue.tenants = { tenant };
    catalogue.routes[1].isPublic = true;
    return catalogue;
}

TEST_F (ExchangeTest, ReplacesKnownKeyByNameAndPriorityOfTenant)
{
    proxy.context.routes = std::make_shared<const RouteTable> (2, catalogueWithTenant ("k1"));
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test", "r1", "Authorization: Bearer k1\r\n"));
    ASSERT_TRUE (runner.waitForRequest (0, "body"));
    const std::string& received = runner.connections[0]->received;
    EXPECT_EQ (received.find ("k1"), std::string::npos);
    EXPECT_NE (received.find ("Test-Tenant: farm\r\n"), std::string::npos);
    EXPECT_NE (received.find ("Test-Priority: 7\r\n"), std::string::npos);
}

TEST_F (ExchangeTest, ARequestWithoutAKnownKeyReachesNoRunner)
{
    proxy.context.routes = std::make_shared<const RouteTable> (2, catalogueWithTenant ("k1"));
    proxy.addRunner ("i-1", runner);
    RawCaller without (proxy.listening);
    without.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (without.waitFor ("HTTP/1.1 401"));
    RawCaller unknown (proxy.listening);
    unknown.write (ProxyFixture::request ("app.test", "r1", "Authorization: Bearer k2\r\n"));
    ASSERT_TRUE (unknown.waitFor ("HTTP/1.1 401"));
    EXPECT_TRUE (runner.connections.empty());
}

TEST_F (ExchangeTest, PublicRouteNeedsNoKeyAndForwardsNone)
{
    proxy.context.routes = std::make_shared<const RouteTable> (2, catalogueWithTenant ("k1"));
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test", "r1", "Authorization: Bearer other\r\n"));
    ASSERT_TRUE (runner.waitForRequest (0, "body"));
    EXPECT_EQ (runner.connections[0]->received.find ("other"), std::string::npos);
    EXPECT_EQ (runner.connections[0]->received.find ("Test-Tenant"), std::string::npos);
}

TEST_F (ExchangeTest, AnUnknownKeyWaitsUntilALeaderHasConfirmedTheConfiguration)
{
    proxy.context.routes = std::make_shared<const RouteTable> (2, catalogueWithTenant ("k1"));
    proxy.context.areRoutesConfirmed = false;
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test", "r1", "Authorization: Bearer k2\r\n"));
    runFor (std::chrono::milliseconds (50));
    EXPECT_TRUE (caller.received().empty());
    proxy.context.routes = std::make_shared<const RouteTable> (3, catalogueWithTenant ("k2"));
    proxy.context.areRoutesConfirmed = true;
    proxy.server.onDirectoryChanged();
    ASSERT_TRUE (runner.waitForRequest (0, "body"));
}

/// Catalogue of catalogueWithTenant() with a token quota for the tenant.
config::ServiceCatalogue catalogueWithQuota()
{
    config::ServiceCatalogue catalogue = catalogueWithTenant ("k1");
    catalogue.tenants[0].quota = { config::QuotaUnit::kTokens, 1000, 1000, 200 };
    return catalogue;
}

constexpr const char* kTokensAndKey = "Authorization: Bearer k1\r\nTest-Tokens: 90,10\r\n";

TEST_F (ExchangeTest, ARequestWaitsForUnitsOfItsTenantsQuota)
{
    proxy.context.routes = std::make_shared<const RouteTable> (2, catalogueWithQuota());
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test", "r1", kTokensAndKey));
    runFor (std::chrono::milliseconds (20));
    const auto request = proxy.quotas.pool().takeRequest (proxy.clock.now());
    ASSERT_TRUE (request);
    EXPECT_EQ (request->needs, (std::vector<cell::QuotaNeed>{ { "farm", { 100 } } }));
    EXPECT_TRUE (runner.connections.empty());
    proxy.quotas.pool().onGrant ({ request->sequence, { { "farm", 100, 1000, 0 } } });
    proxy.server.onDirectoryChanged();
    ASSERT_TRUE (runner.waitForRequest (0, "body"));
}

TEST_F (ExchangeTest, RefusesRequestOverQuotaWithRetryAfterOfNextUnits)
{
    proxy.context.routes = std::make_shared<const RouteTable> (2, catalogueWithQuota());
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test", "r1", kTokensAndKey));
    runFor (std::chrono::milliseconds (20));
    const auto request = proxy.quotas.pool().takeRequest (proxy.clock.now());
    ASSERT_TRUE (request);
    proxy.quotas.pool().onGrant ({ request->sequence, { { "farm", 0, 0, 1500 } } });
    proxy.server.onDirectoryChanged();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 429"));
    EXPECT_NE (caller.received().find ("Retry-After: 1.500\r\n"), std::string::npos);
    EXPECT_TRUE (runner.connections.empty());
    EXPECT_EQ (proxy.counters.overQuota, 1U);
}

TEST_F (ExchangeTest, AdmitsRequestFromFallbackShareWithoutGrant)
{
    proxy.context.routes = std::make_shared<const RouteTable> (2, catalogueWithQuota());
    proxy.quotas.setRouters (1);
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test", "r1", kTokensAndKey));
    runFor (std::chrono::milliseconds (80));
    proxy.server.onDirectoryChanged();
    ASSERT_TRUE (runner.waitForRequest (0, "body"));
}

TEST_F (ExchangeTest, ChunkedAnswerTruncatedAtChunkIsIncomplete)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    runFor (std::chrono::milliseconds (50));
    runner.connections[0]->close();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 502"));
}

TEST_F (ExchangeTest, AnswerWithoutLengthIsCompleteAfterOrderlyClose)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write ("HTTP/1.1 200 OK\r\nTest-Id: r1\r\n\r\nhello");
    runFor (std::chrono::milliseconds (50));
    runner.connections[0]->close();
    ASSERT_TRUE (caller.waitFor ("hello"));
    EXPECT_NE (caller.received().find ("HTTP/1.1 200"), std::string::npos);
}

TEST_F (ExchangeTest, AnswerWithoutLengthIsIncompleteAfterReset)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write ("HTTP/1.1 200 OK\r\nTest-Id: r1\r\n\r\nhello");
    runFor (std::chrono::milliseconds (50));
    runner.connections[0]->reset();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 502"));
    EXPECT_EQ (caller.received().find ("hello"), std::string::npos);
}

/// Sends a request on a route without streams, which is answered by events that end with an orderly
/// close.
void answerByEvents (ProxyFixture& proxy, StubRunner& runner, RawCaller& caller,
                     const std::string& events)
{
    proxy.addRunner ("i-1", runner);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: text/event-stream\r\n\r\n" + events);
    runFor (std::chrono::milliseconds (50));
    runner.connections[0]->close();
}

TEST_F (ExchangeTest, EventsOnRouteWithoutStreamsAreIncompleteInsideAnEvent)
{
    RawCaller caller (proxy.listening);
    answerByEvents (proxy, runner, caller, "data: 1\n\ndata:");
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 502"));
    EXPECT_EQ (caller.received().find ("data: 1"), std::string::npos);
}

TEST_F (ExchangeTest, EventsOnRouteWithoutStreamsAreCompleteAfterAnEvent)
{
    RawCaller caller (proxy.listening);
    answerByEvents (proxy, runner, caller, "data: 1\n\n");
    ASSERT_TRUE (caller.waitFor ("data: 1\n\n"));
    EXPECT_NE (caller.received().find ("HTTP/1.1 200"), std::string::npos);
}

TEST_F (ExchangeTest, DiscardsAnswerWithWrongRequestId)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (
        std::string ("HTTP/1.1 200 OK\r\nTest-Id: r0\r\nContent-Length: 5\r\n\r\nwrong") + kAnswer);
    ASSERT_TRUE (caller.waitFor ("hello"));
    EXPECT_EQ (caller.received().find ("wrong"), std::string::npos);
}

TEST_F (ExchangeTest, DoesNotReuseConnectionWithSurplusBytes)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (std::string (kAnswer) + "HTTP/1.1 200 OK\r\n");
    ASSERT_TRUE (caller.waitFor ("hello"));
    caller.write (ProxyFixture::request ("once.test", "r2"));
    ASSERT_TRUE (runner.waitForRequest (1));
}

TEST_F (ExchangeTest, ReusesConnectionAfterCompleteAnswer)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (kAnswer);
    ASSERT_TRUE (caller.waitFor ("hello"));
    caller.write (ProxyFixture::request ("once.test", "r2"));
    ASSERT_TRUE (runner.waitForRequest (0, "Test-Id: r2"));
    EXPECT_EQ (runner.connections.size(), 1U);
}

TEST_F (ExchangeTest, RetriesRepeatableRequestOnNewConnectionAfterSilence)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    RawCaller second (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (runner.waitForRequest());
    second.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (runner.waitForRequest (1));
    const std::string answer =
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Length: 5\r\nKeep-Alive: "
        "timeout=60\r\n\r\nhello";
    runner.connections[0]->write (answer);
    runner.connections[1]->write (answer);
    ASSERT_TRUE (caller.waitFor ("hello"));
    ASSERT_TRUE (second.waitFor ("hello"));
    // Both connections are idle and silent from now on; the runner accepts new ones.
    caller.write (ProxyFixture::request ("app.test", "r2"));
    ASSERT_TRUE (runner.waitForRequest (2, "Test-Id: r2"));
    runner.connections[2]->write (
        "HTTP/1.1 200 OK\r\nTest-Id: r2\r\nContent-Length: 5\r\n\r\nagain");
    EXPECT_TRUE (caller.waitFor ("again"));
    EXPECT_EQ (runner.connections.size(), 3U);
}

TEST_F (ExchangeTest, AtMostOnceRequestWaitsOnSilentConnection)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runFor (std::chrono::milliseconds (2000));
    EXPECT_EQ (runner.connections.size(), 1U) << "the request may have been executed";
    EXPECT_FALSE (caller.isClosed());
}

TEST_F (ExchangeTest, AtMostOnceRequestIsNotResentAfterLostAnswer)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    StubRunner& first = receiverOf (runner, other);
    ASSERT_TRUE (first.waitForRequest());
    first.connections[0]->reset();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 502"));
    EXPECT_EQ (runner.connections.size() + other.connections.size(), 1U);
}

TEST_F (ExchangeTest, RepeatableRequestIsResentAfterLostAnswer)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    StubRunner& first = receiverOf (runner, other);
    StubRunner& second = runner.connections.empty() ? runner : other;
    ASSERT_TRUE (first.waitForRequest());
    first.connections[0]->reset();
    ASSERT_TRUE (second.waitForRequest());
    second.connections[0]->write (kAnswer);
    EXPECT_TRUE (caller.waitFor ("hello"));
}

TEST_F (ExchangeTest, BrokenLargeAnswerIsNotFollowedByAnotherAnswer)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    StubRunner& first = receiverOf (runner, other);
    StubRunner& second = runner.connections.empty() ? runner : other;
    ASSERT_TRUE (first.waitForRequest());
    first.connections[0]->write ("HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Length: 400000\r\n\r\n"
                                 + std::string (300'000, 'x'));
    ASSERT_TRUE (caller.waitFor ("xxx"));
    first.connections[0]->reset();
    if (second.waitForRequest())
        second.connections[0]->write (kAnswer);
    EXPECT_TRUE (caller.waitForClose());
    EXPECT_EQ (caller.received().find ("hello"), std::string::npos);
}

TEST_F (ExchangeTest, ForwardsRefusalAsNotExecutedWithRetryAfter)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    proxy.retryBudgets = dispatch::ServiceRetryBudgets (0, 0);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (
        "HTTP/1.1 503 X\r\nTest-Id: r1\r\nTest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 503"));
    EXPECT_NE (caller.received().find ("Retry-After: "), std::string::npos);
}

TEST_F (ExchangeTest, CancelsAttemptWhenCallerDisconnects)
{
    proxy.addRunner ("i-1", runner);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    caller.close();
    EXPECT_TRUE (waitUntil ([&] { return runner.connections[0]->isClosed(); }));
}

TEST_F (ExchangeTest, ResumesStreamAfterLastCompleteEvent)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("resume.test"));
    StubRunner& first = receiverOf (runner, other);
    StubRunner& second = runner.connections.empty() ? runner : other;
    ASSERT_TRUE (first.waitForRequest());
    const std::string head =
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    first.connections[0]->write (head + "11\r\nid: 1\ndata: a\n\nid:\r\n");
    ASSERT_TRUE (caller.waitFor ("data: a"));
    first.connections[0]->reset();
    ASSERT_TRUE (second.waitForRequest());
    EXPECT_NE (second.connections[0]->received.find ("Last-Event-Id: 1\r\n"), std::string::npos);
    second.connections[0]->write (head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    ASSERT_TRUE (caller.waitFor ("0\r\n\r\n"));
    const std::string expected = "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
    EXPECT_TRUE (caller.received().ends_with (expected)) << caller.received();
}

TEST_F (ExchangeTest, ResumesSilentStreamAtAnotherRunner)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("resume.test"));
    StubRunner& first = receiverOf (runner, other);
    StubRunner& second = runner.connections.empty() ? runner : other;
    ASSERT_TRUE (first.waitForRequest());
    first.connections[0]->write (
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
    ASSERT_TRUE (second.waitForRequest());
    EXPECT_NE (second.connections[0]->received.find ("Last-Event-Id: 1\r\n"), std::string::npos);
    EXPECT_TRUE (waitUntil ([&] { return first.connections[0]->isClosed(); }));
}

TEST_F (ExchangeTest, WaitsForSilentStreamWithoutRetryBudget)
{
    proxy.addRunner ("i-1", runner);
    proxy.addRunner ("i-2", other);
    while (proxy.retryBudgets.of ("service").tryRetry())
    {
    }
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("resume.test"));
    StubRunner& first = receiverOf (runner, other);
    ASSERT_TRUE (first.waitForRequest());
    first.connections[0]->write (
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
    ASSERT_TRUE (caller.waitFor ("data: a"));
    runFor (std::chrono::milliseconds (2000));  // Longer than the silence limit of such a stream.
    EXPECT_FALSE (caller.isClosed());
    first.connections[0]->write ("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    EXPECT_TRUE (caller.waitFor ("data: b"));
    EXPECT_TRUE (caller.waitFor ("0\r\n\r\n"));
}

TEST_F (ExchangeTest, AnswersUnknownRouteWith404AndMissingConfigurationWith503)
{
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("nowhere.test"));
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 404"));
    proxy.context.routes = nullptr;
    proxy.context.areRoutesConfirmed = false;
    RawCaller second (proxy.listening);
    second.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (second.waitFor ("HTTP/1.1 503"));
}

TEST_F (ExchangeTest, ARequestWaitsForTheFirstConfigurationAndIsThenServed)
{
    proxy.addRunner ("i-1", runner);
    const auto routes = std::exchange (proxy.context.routes, nullptr);
    proxy.context.areRoutesConfirmed = false;
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    runFor (std::chrono::milliseconds (50));
    EXPECT_EQ (caller.received(), "");
    proxy.context.routes = routes;
    proxy.server.onDirectoryChanged();
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (kAnswer);
    EXPECT_TRUE (caller.waitFor ("hello"));
}

TEST_F (ExchangeTest, AKnownRouteIsServedBeforeALeaderConfirmsTheConfiguration)
{
    proxy.addRunner ("i-1", runner);
    proxy.context.areRoutesConfirmed = false;
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (kAnswer);
    EXPECT_TRUE (caller.waitFor ("hello"));
}

TEST_F (ExchangeTest, HoldsRequestOfUnknownRouteUntilConfigurationIsConfirmed)
{
    proxy.context.areRoutesConfirmed = false;
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("nowhere.test"));
    runFor (std::chrono::milliseconds (50));
    EXPECT_EQ (caller.received(), "");
    proxy.context.areRoutesConfirmed = true;
    proxy.server.onDirectoryChanged();
    EXPECT_TRUE (caller.waitFor ("HTTP/1.1 404"));
}

TEST_F (ExchangeTest, UnreachableRunnerDoesNotCountAsAttempt)
{
    auto crashed = std::make_unique<StubRunner>();
    proxy.addRunner ("i-0", *crashed);
    crashed.reset();
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 503"));
    EXPECT_NE (caller.received().find ("Retry-After: "), std::string::npos);
}

TEST_F (ExchangeTest, ClosingFinishesOpenRequestsAndClosesIdleConnections)
{
    proxy.addRunner ("i-1", runner);
    RawCaller resting (proxy.listening);
    RawCaller reading (proxy.listening);
    RawCaller busy (proxy.listening);
    reading.write ("POST / HT");
    busy.write (ProxyFixture::request ("stream.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
    ASSERT_TRUE (busy.waitFor ("data: a"));
    proxy.server.beginClosing();
    proxy.server.beginRefusing();
    EXPECT_TRUE (resting.waitForClose());
    EXPECT_FALSE (busy.isClosed());
    runner.connections[0]->write ("0\r\n\r\n");
    ASSERT_TRUE (busy.waitFor ("0\r\n\r\n"));
    EXPECT_TRUE (busy.waitForClose());
}

TEST_F (ExchangeTest, AnswersWaitingRequestBeforeRouterStops)
{
    RawCaller caller (proxy.listening);
    caller.write (ProxyFixture::request ("app.test"));
    runFor (std::chrono::milliseconds (20));
    EXPECT_TRUE (caller.received().empty());
    proxy.server.refuseWaiting();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 503"));
    EXPECT_NE (caller.received().find ("Retry-After: 0.050\r\n"), std::string::npos);
}

TEST_F (ExchangeTest, StoppingRouterServesThenRefusesAsNotExecuted)
{
    proxy.addRunner ("i-1", runner);
    RawCaller early (proxy.listening);
    RawCaller late (proxy.listening);
    proxy.server.beginClosing();
    early.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    proxy.server.beginRefusing();
    runner.connections[0]->write (kAnswer);
    ASSERT_TRUE (early.waitFor ("hello"));
    EXPECT_NE (early.received().find ("Connection: close\r\n"), std::string::npos);
    EXPECT_TRUE (early.waitForClose());
    RawCaller refused (proxy.listening);
    refused.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (refused.waitFor ("HTTP/1.1 503"));
    EXPECT_NE (refused.received().find ("Retry-After: "), std::string::npos);
}

}  // namespace
}  // namespace fernlift::proxy::test
