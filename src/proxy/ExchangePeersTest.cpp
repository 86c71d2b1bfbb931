// Requests that one router serves for another one that can connect to no runner. Guards against
// requests that are lost, executed or counted twice on the way, or sent in circles.

#include <gtest/gtest.h>

#include <algorithm>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

using base::milliseconds;

const char* const kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nTest-Id: r1\r\n"
    "Test-Not-Executed: 1\r\n";

/// A router that callers send to, which is isolated, and another one that reaches the runner.
class ExchangePeersTest : public ::testing::Test
{
protected:
    ExchangePeersTest()
    {
        m_near.servePeers ("near");
        m_far.servePeers ("far");
        m_near.setPeers ({ m_near.peerRow(), m_far.peerRow() });
        m_far.setPeers ({ m_near.peerRow(), m_far.peerRow() });
        m_near.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
        m_far.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
        m_near.isolate();
    }

    std::string call (const std::string& host, const std::string& extra = "")
    {
        RawCaller caller (m_near.listening);
        caller.write (ProxyFixture::request (host, "r1", extra));
        caller.waitFor ("\r\n\r\n");
        runFor (std::chrono::milliseconds (20));
        return caller.received();
    }

    std::string m_lastRequest;
    StubReply m_reply{ servedAnswer() };
    StubReply m_replyToResumed;  ///< To a request that resumes a stream.
    AnsweringRunner m_runner{ [this] (const std::string& request)
                              {
                                  m_lastRequest = request;
                                  const bool isResumed =
                                      request.find ("Last-Event-Id") != std::string::npos;
                                  return isResumed ? m_replyToResumed : m_reply;
                              } };
    ProxyFixture m_near;
    ProxyFixture m_far;
};

TEST_F (ExchangePeersTest, ForwardsAnswerOfRunnerUnchanged)
{
    m_reply = { servedAnswer ("X-Other: 7\r\n") };
    const std::string answer = call ("once.test");
    EXPECT_TRUE (answer.starts_with ("HTTP/1.1 200 OK\r\nTest-Id: r1\r\nX-Other: 7\r\n")) << answer;
    EXPECT_TRUE (answer.ends_with ("\r\n\r\nhello")) << answer;
    EXPECT_EQ (answer.find ("Fernlift-Peer"), std::string::npos);
    EXPECT_EQ (m_lastRequest.find ("Fernlift-Peer"), std::string::npos);
    EXPECT_EQ (m_runner.requests, 1U);
    EXPECT_EQ (m_near.counters.attempts, 0U);
    EXPECT_EQ (m_far.counters.attempts, 1U);
}

TEST_F (ExchangePeersTest, FieldsOfTheSameNamePassUnchanged)
{
    m_reply = { servedAnswer ("Fernlift-Peer-Answer: outcome=refused\r\n") };
    const std::string answer = call ("app.test", "Fernlift-Peer-Request: key=abcdef\r\n");
    EXPECT_NE (answer.find ("Fernlift-Peer-Answer: outcome=refused\r\n"), std::string::npos);
    EXPECT_NE (m_lastRequest.find ("Fernlift-Peer-Request: key=abcdef\r\n"), std::string::npos);
}

TEST_F (ExchangePeersTest, CallerCannotUseTheFieldOnItsOwnConnection)
{
    m_far.isolate();
    RawCaller caller (m_far.listening);
    caller.write (ProxyFixture::request (
        "once.test", "r1",
        "Fernlift-Peer-Request: router=x;key=abcdef;configuration=1;avoid=\r\n"));
    runFor (std::chrono::milliseconds (50));
    EXPECT_EQ (m_far.counters.servedForPeers, 0U);
    EXPECT_EQ (m_far.counters.requests, 1U);
}

TEST_F (ExchangePeersTest, StrangerGetsClearErrorWithoutStatement)
{
    RawCaller stranger (m_far.peerListening);
    stranger.write (ProxyFixture::request ("once.test"));
    EXPECT_TRUE (stranger.waitFor ("HTTP/1.1 400"));
    EXPECT_TRUE (stranger.waitFor ("the message has no field Fernlift-Peer-Request"));
    EXPECT_EQ (m_runner.requests, 0U);
}

TEST_F (ExchangePeersTest, RequestWithWrongKeyIsNotServed)
{
    RawCaller stranger (m_far.peerListening);
    stranger.write (ProxyFixture::request (
        "once.test", "r1", "Fernlift-Peer-Request: router=x;key=1;configuration=1;avoid=\r\n"));
    EXPECT_TRUE (stranger.waitFor ("HTTP/1.1 503"));
    EXPECT_EQ (m_runner.requests, 0U);
}

TEST_F (ExchangePeersTest, RequestThatMayHaveRunIsNotSentAgain)
{
    m_reply = { "", true };
    EXPECT_TRUE (call ("once.test").starts_with ("HTTP/1.1 502"));
    EXPECT_EQ (m_runner.requests, 1U);
}

TEST_F (ExchangePeersTest, AttemptsOfAllRoutersTogetherAreLimited)
{
    m_reply = { "", true };
    EXPECT_TRUE (call ("app.test").starts_with ("HTTP/1.1 502"));
    EXPECT_EQ (m_runner.requests, 2U) << "the route allows two attempts";
}

TEST_F (ExchangePeersTest, RefusalStatesRetryAfterOfRunner)
{
    m_reply = { std::string (kRefusal) + "Retry-After: 20\r\nContent-Length: 0\r\n\r\n" };
    const std::string answer = call ("once.test");
    EXPECT_TRUE (answer.starts_with ("HTTP/1.1 503")) << answer;
    EXPECT_NE (answer.find ("Retry-After: 20."), std::string::npos) << answer;
    EXPECT_EQ (m_runner.requests, 1U) << "the other router knows of the backoff";
}

TEST_F (ExchangePeersTest, RouterWithOlderConfigurationServesNothing)
{
    m_near.context.routes = std::make_shared<const RouteTable> (2, ProxyFixture::catalogue());
    RawCaller caller (m_near.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (waitUntil ([this] { return m_near.counters.declinedByPeers > 0; }));
    EXPECT_EQ (m_far.counters.attempts, 0U);
}

TEST_F (ExchangePeersTest, IsolatedRoutersDoNotAskEachOtherInCircles)
{
    m_far.isolate();
    RawCaller caller (m_near.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (waitUntil ([this] { return m_near.counters.declinedByPeers > 0; }));
    runFor (std::chrono::milliseconds (100));
    EXPECT_EQ (m_far.counters.servedForPeers, 1U);
    EXPECT_EQ (m_far.counters.forwardedToPeers, 0U);
    EXPECT_EQ (m_near.counters.servedForPeers, 0U);
}

TEST_F (ExchangePeersTest, CountsRequestAtTheRouterOfTheCallerOnly)
{
    config::ServiceCatalogue catalogue = ProxyFixture::catalogue();
    catalogue.services[0].engine.emplace();
    for (ProxyFixture* router : { &m_near, &m_far })
    {
        router->context.routes = std::make_shared<const RouteTable> (1, catalogue);
        cell::RoutableInstance row = ProxyFixture::rowOf ("i-1", m_runner.address());
        row.instance.isReported = true;
        row.instance.models = { { "m", 1, {} } };
        router->put (row);
    }
    EXPECT_TRUE (call ("once.test", "Test-Model: m\r\n").starts_with ("HTTP/1.1 200"));
    const auto arrivalsAt = [] (ProxyFixture& router)
    {
        std::uint32_t arrivals = 0;
        for (const cell::EngineDemand& demand :
             router.demands.takeDue (router.clock.now(), base::Duration::zero()))
            arrivals += demand.arrivals;
        return arrivals;
    };
    EXPECT_EQ (arrivalsAt (m_near), 1U);
    EXPECT_EQ (arrivalsAt (m_far), 0U);
    EXPECT_EQ (m_near.counters.requests, 1U);
    EXPECT_EQ (m_far.counters.requests, 0U);
}

TEST_F (ExchangePeersTest, CountsQuotaOfTenantAtTheRouterOfTheCallerOnly)
{
    config::ServiceCatalogue catalogue = ProxyFixture::catalogue();
    catalogue.requiresKeys = true;
    config::Tenant tenant;
    tenant.name = "farm";
    tenant.keys = { "k1" };
    tenant.quota = { config::QuotaUnit::kRequests, 1000, 1000, 1 };
    catalogue.tenants = { tenant };
    for (ProxyFixture* router : { &m_near, &m_far })
        router->context.routes = std::make_shared<const RouteTable> (2, catalogue);
    RawCaller caller (m_near.listening);
    caller.write (ProxyFixture::request ("once.test", "r1", "Authorization: Bearer k1\r\n"));
    runFor (std::chrono::milliseconds (20));
    const auto claim = m_near.quotas.pool().takeRequest (m_near.clock.now());
    ASSERT_TRUE (claim);
    m_near.quotas.pool().onGrant ({ claim->sequence, { { "farm", 1, 1000, 0 } } });
    m_near.server.onDirectoryChanged();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 200"));
    EXPECT_FALSE (m_far.quotas.pool().takeRequest (m_far.clock.now()));
    EXPECT_NE (m_lastRequest.find ("Test-Tenant: farm\r\n"), std::string::npos);
    EXPECT_EQ (m_lastRequest.find ("k1"), std::string::npos);
}

TEST_F (ExchangePeersTest, RequestEarnsRetriesAtTheRouterOfTheCallerOnly)
{
    m_near.retryBudgets = dispatch::ServiceRetryBudgets (1, 0);
    m_far.retryBudgets = dispatch::ServiceRetryBudgets (1, 0);
    m_near.retryBudgets.limitReserve (5);
    m_far.retryBudgets.limitReserve (5);
    while (m_near.retryBudgets.of ("service").tryRetry())
        continue;
    while (m_far.retryBudgets.of ("service").tryRetry())
        continue;
    EXPECT_TRUE (call ("once.test").starts_with ("HTTP/1.1 200"));
    EXPECT_TRUE (m_near.retryBudgets.of ("service").allowsRetry());
    EXPECT_FALSE (m_far.retryBudgets.of ("service").allowsRetry());
}

TEST_F (ExchangePeersTest, RequestThatAnotherRouterSentAndDeclinedNeedsARetry)
{
    const auto decline = [] (const std::string&)
    {
        return StubReply{
            "HTTP/1.1 503 Service Unavailable\r\nFernlift-Peer-Answer: "
            "outcome=unavailable;attempts=1;runner=i-1;isolated=0\r\n"
            "Content-Length: 0\r\n\r\n"
        };
    };
    AnsweringRunner one (decline);
    AnsweringRunner other (decline);
    one.setRequestEnd ("\r\n\r\n");
    other.setRequestEnd ("\r\n\r\n");
    m_near.setPeers ({ { "one", "z1", one.address(), ProxyFixture::kPeerKey },
                       { "other", "z1", other.address(), ProxyFixture::kPeerKey } });
    m_near.retryBudgets = dispatch::ServiceRetryBudgets (0, 0);
    EXPECT_TRUE (call ("app.test").starts_with ("HTTP/1.1 503"));
    EXPECT_EQ (one.requests + other.requests, 1U);
}

TEST_F (ExchangePeersTest, RunnerGetsTheTimeThatIsLeft)
{
    const std::vector<cell::RouterPeer> peers{ m_far.peerRow() };
    m_near.context.peers = PeerRouters ("near", "z1");
    const std::string address = closedAddress();
    m_near.put (ProxyFixture::rowOf ("i-1", address));
    RawCaller caller (m_near.listening);
    caller.write (ProxyFixture::request ("once.test"));
    runFor (std::chrono::milliseconds (20));
    m_near.advance (milliseconds (400));
    m_near.setPeers (peers);
    m_near.server.onDirectoryChanged();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 200"));
    const std::string field = "Test-Deadline: ";
    const std::size_t begin = m_lastRequest.find (field) + field.size();
    EXPECT_LE (std::stoi (m_lastRequest.substr (begin)), 2600);
}

TEST_F (ExchangePeersTest, RequestThatNobodyServedIsRefusedAsNotRun)
{
    m_far.isolate();
    const std::string address = closedAddress();
    m_near.put (ProxyFixture::rowOf ("i-1", address));
    EXPECT_TRUE (call ("once.test").starts_with ("HTTP/1.1 503"));
    EXPECT_EQ (m_runner.requests, 0U);
}

TEST_F (ExchangePeersTest, AnswersOfAnotherRouterAreNoEvidenceOfOwnPath)
{
    for (int request = 0; request < 5; ++request)
    {
        EXPECT_TRUE (call ("once.test").starts_with ("HTTP/1.1 200"));
        m_near.pool.forget (m_far.peerListening);
    }
    EXPECT_EQ (m_near.context.reachability.path (m_near.clock.now()), RunnerPath::kIsolated);
}

TEST_F (ExchangePeersTest, RouterThatBreaksOffIsNotTakenForACrashedRunner)
{
    StubRunner peer;
    m_near.setPeers ({ { "far", "z1", peer.address(), ProxyFixture::kPeerKey } });
    RawCaller caller (m_near.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (peer.waitForRequest());
    peer.connections[0]->reset();
    ASSERT_TRUE (caller.waitFor ("HTTP/1.1 502"));
    EXPECT_TRUE (m_near.suspects.isEmpty());
}

TEST_F (ExchangePeersTest, RunnerHearsThatTheCallerLeft)
{
    StubRunner runner;
    m_far.put (ProxyFixture::rowOf ("i-1", runner.address()));
    RawCaller caller (m_near.listening);
    caller.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    caller.close();
    EXPECT_TRUE (
        waitUntil ([&] { return runner.connections[0]->isClosed(); }, std::chrono::seconds (1)));
}

TEST_F (ExchangePeersTest, StreamPassesEventByEvent)
{
    StubRunner runner;
    m_far.put (ProxyFixture::rowOf ("i-1", runner.address()));
    RawCaller caller (m_near.listening);
    caller.write (ProxyFixture::request ("stream.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: "
        "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        "F\r\nid: 1\ndata: a\n\n\r\n");
    ASSERT_TRUE (caller.waitFor ("data: a"));
    runner.connections[0]->write ("F\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    ASSERT_TRUE (caller.waitFor ("data: b\n\n\r\n0\r\n\r\n"));
}

TEST_F (ExchangePeersTest, StreamThatMayBeResumedGoesOnAtAnotherAttempt)
{
    const std::string head =
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: "
        "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    m_reply = { head + "F\r\nid: 1\ndata: a\n\n\r\n", true };
    m_replyToResumed = { head + "F\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n" };
    RawCaller caller (m_near.listening);
    caller.write (ProxyFixture::request ("resume.test"));
    ASSERT_TRUE (caller.waitFor ("data: a"));
    ASSERT_TRUE (caller.waitFor ("data: b"));
    EXPECT_NE (m_lastRequest.find ("Last-Event-Id: 1\r\n"), std::string::npos);
    EXPECT_EQ (m_runner.requests, 2U);
}

TEST_F (ExchangePeersTest, StreamThatEndsInsideEventIsBrokenForBothRouters)
{
    m_reply = {
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: text/event-stream\r\n\r\n"
        "id: 1\ndata: a\n\nid: 2\nda"
    };
    m_reply.closes = true;
    RawCaller caller (m_near.listening);
    caller.write (ProxyFixture::request ("stream.test"));
    ASSERT_TRUE (caller.waitForClose());
    EXPECT_TRUE (caller.received().ends_with ("data: a\n\n\r\n")) << caller.received();
    EXPECT_EQ (m_far.counters.incompleteStreams, 1U);
    EXPECT_EQ (m_near.counters.incompleteStreams, 0U);
    EXPECT_EQ (m_near.counters.failed, 1U);
}

TEST_F (ExchangePeersTest, RouterAtItsLimitDeclines)
{
    StubRunner runner;
    ProxyFixture small;
    small.servePeers ("far", 1);
    small.put (ProxyFixture::rowOf ("i-1", runner.address()));
    m_near.setPeers ({ small.peerRow() });
    RawCaller first (m_near.listening);
    first.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (runner.waitForRequest());
    RawCaller second (m_near.listening);
    second.write (ProxyFixture::request ("once.test"));
    ASSERT_TRUE (waitUntil ([this] { return m_near.counters.declinedByPeers > 0; }));
    EXPECT_EQ (runner.connections.size(), 1U);
}

TEST_F (ExchangePeersTest, StoppingRouterIsPassedOver)
{
    ProxyFixture third;
    third.servePeers ("third");
    third.put (ProxyFixture::rowOf ("i-1", m_runner.address()));
    m_near.setPeers ({ m_far.peerRow(), third.peerRow() });
    m_far.server.beginRefusing();
    for (int request = 0; request < 4; ++request)
        EXPECT_TRUE (call ("once.test").starts_with ("HTTP/1.1 200"));
    EXPECT_EQ (third.counters.servedForPeers, 4U);
}

TEST_F (ExchangePeersTest, SingleHolderThatOnlyAnotherRouterReaches)
{
    ProxyFixture cut;
    cut.servePeers ("cut");
    cut.setPeers ({ m_far.peerRow() });
    const std::string address = closedAddress();
    cut.put (ProxyFixture::rowOf ("i-1", address));
    for (int request = 0; request < 3; ++request)
        EXPECT_TRUE (cut.call ("once.test").starts_with ("HTTP/1.1 200"));
    EXPECT_EQ (m_far.counters.servedForPeers, 3U);
}

TEST_F (ExchangePeersTest, SilentRunnerIsNotTakenForAnUnreachableOne)
{
    StubRunner silent;
    m_far.put (ProxyFixture::rowOf ("i-1", silent.address()));
    RawCaller caller (m_far.listening);
    caller.write (ProxyFixture::request ("app.test"));
    ASSERT_TRUE (silent.waitForRequest());
    m_far.advance (base::seconds (2));
    ASSERT_TRUE (silent.waitForRequest (1));
    EXPECT_EQ (m_far.context.reachability.unreachable(), 0U);
}

TEST_F (ExchangePeersTest, RequestThatNoRouterCanServeIsRefusedAtOnceAndNotTriedAtARunner)
{
    m_far.isolate();
    const std::string answer = call ("once.test");
    EXPECT_TRUE (answer.starts_with ("HTTP/1.1 503")) << answer;
    EXPECT_NE (answer.find ("Retry-After: 0.1"), std::string::npos) << answer;
    EXPECT_EQ (m_runner.requests, 0U);
    EXPECT_EQ (m_near.counters.attempts, 0U);
}

TEST_F (ExchangePeersTest, RouterAtItsLimitOfRequestsReadsNotices)
{
    ProxyFixture full;
    full.servePeers ("full", 0);
    full.setPeers ({ m_near.peerRow() });
    m_near.setPeers ({ full.peerRow() });
    for (int notice = 0; notice < 2; ++notice)
    {
        m_near.context.announcePath (notice == 0 ? PeerPath::kOpen : PeerPath::kIsolated);
        runFor (std::chrono::milliseconds (50));
    }
    EXPECT_TRUE (full.context.peers.isIsolated ("near", full.clock.now()));
}

TEST_F (ExchangePeersTest, RunnerThatNobodyReachesIsNotAskedForRoundAndRound)
{
    const std::string address = closedAddress();
    ProxyFixture cut;
    cut.servePeers ("cut");
    cut.setPeers ({ m_far.peerRow() });
    m_far.setPeers ({ cut.peerRow() });
    cut.put (ProxyFixture::rowOf ("i-1", address));
    m_far.put (ProxyFixture::rowOf ("i-1", address));
    RawCaller caller (cut.listening);
    caller.write (ProxyFixture::request ("once.test"));
    runFor (std::chrono::milliseconds (400));
    EXPECT_LE (m_far.counters.servedForPeers, 2U);
    EXPECT_EQ (cut.counters.servedForPeers, 0U);
}

}  // namespace
}  // namespace fernlift::proxy::test
