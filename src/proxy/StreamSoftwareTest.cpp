// Resumed streams while runners of several software versions serve. Guards against streams that
// hold events of two versions, which do not fit together.

#include <gtest/gtest.h>

#include <vector>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

const std::string kHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

/// Runner of one software version, which writes its version into each event. It breaks off a new
/// stream after its first event and completes a resumed one.
class VersionedRunner
{
public:
    explicit VersionedRunner (std::string version)
        : m_version (std::move (version)),
          m_runner ([this] (const std::string& request) { return answer (request); })
    {
    }
    [[nodiscard]] cell::RoutableInstance row (const std::string& id) const
    {
        cell::RoutableInstance row = ProxyFixture::rowOf (id, m_runner.address());
        row.softwareVersion = m_version;
        return row;
    }

    std::size_t begun = 0;
    std::size_t resumed = 0;

private:
    StubReply answer (const std::string& request)
    {
        if (request.find ("Last-Event-Id") == std::string::npos)
        {
            ++begun;
            return { kHead + chunk ("1"), true };
        }
        ++resumed;
        return { kHead + chunk ("2") + "0\r\n\r\n" };
    }
    [[nodiscard]] std::string chunk (const std::string& id) const
    {
        return chunkOf ("id: " + id + "\ndata: " + m_version + "\n\n");
    }

    std::string m_version;
    AnsweringRunner m_runner;
};

/// A router with two runners of one version and two of another one.
class StreamSoftwareTest : public ::testing::Test
{
protected:
    void addRunnersTo (ProxyFixture& router)
    {
        router.put (first.row ("i-1"));
        router.put (other.row ("i-2"));
        router.put (otherToo.row ("i-3"));
        router.put (firstToo.row ("i-4"));
    }
    static void connect (ProxyFixture& router, ProxyFixture& another)
    {
        router.servePeers ("a");
        another.servePeers ("b");
        router.setPeers ({ router.peerRow(), another.peerRow() });
        another.setPeers ({ router.peerRow(), another.peerRow() });
    }
    static std::string callUntil (ProxyFixture& router, const std::string& request,
                                  const std::string& end)
    {
        RawCaller caller (router.listening);
        caller.write (request);
        caller.waitFor (end);
        return caller.received();
    }
    /// Begins a stream that breaks off after its first event, since the router may not retry.
    static std::string begin (ProxyFixture& router, const std::string& id)
    {
        while (router.retryBudgets.of ("service").tryRetry())
        {
        }
        return callUntil (router, ProxyFixture::request ("resume.test", id), "data:");
    }
    static std::string resume (ProxyFixture& router, const std::string& begunAs)
    {
        return callUntil (
            router,
            ProxyFixture::request ("resume.test", "r1",
                                   "Last-Event-Id: 1\r\nTest-Resumes: " + begunAs + "\r\n"),
            "\r\n\r\n");
    }
    /// Version of the events in the answer; empty with events of two versions or of none.
    static std::string versionIn (const std::string& answer)
    {
        const bool hasOne = answer.find ("data: v1\n") != std::string::npos;
        const bool hasTwo = answer.find ("data: v2\n") != std::string::npos;
        if (hasOne == hasTwo)
            return {};
        return hasOne ? "v1" : "v2";
    }

    VersionedRunner first{ "v1" };
    VersionedRunner firstToo{ "v1" };
    VersionedRunner other{ "v2" };
    VersionedRunner otherToo{ "v2" };
};

TEST_F (StreamSoftwareTest, RouterResumesStreamAtItsSoftwareVersion)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        ProxyFixture router;
        router.random = base::Random (seed);
        addRunnersTo (router);
        const std::string answer =
            callUntil (router, ProxyFixture::request ("resume.test"), "\r\n0\r\n\r\n");
        EXPECT_NE (versionIn (answer), "") << answer;
        EXPECT_NE (answer.find ("id: 2"), std::string::npos) << answer;
    }
}

TEST_F (StreamSoftwareTest, RouterBreaksStreamOffWithoutRunnerOfItsSoftwareVersion)
{
    ProxyFixture router;
    StubRunner runner;
    cell::RoutableInstance row = ProxyFixture::rowOf ("i-1", runner.address());
    row.softwareVersion = "v1";
    router.put (row);
    RawCaller caller (router.listening);
    caller.write (ProxyFixture::request ("resume.test"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (kHead + chunkOf ("id: 1\ndata: v1\n\n"));
    ASSERT_TRUE (caller.waitFor ("data: v1"));
    router.remove ("i-1");
    router.put (other.row ("i-2"));
    runner.connections[0]->reset();
    ASSERT_TRUE (caller.waitForClose());
    EXPECT_EQ (other.resumed, 0U);
    EXPECT_EQ (caller.received().find ("0\r\n\r\n"), std::string::npos) << caller.received();
}

TEST_F (StreamSoftwareTest, CallerResumesStreamAtItsSoftwareVersion)
{
    ProxyFixture router;
    addRunnersTo (router);
    for (int number = 0; number < 8; ++number)
    {
        const std::string id = "stream-" + std::to_string (number);
        const std::string version = versionIn (begin (router, id));
        ASSERT_NE (version, "");
        EXPECT_EQ (versionIn (resume (router, id)), version) << id;
    }
}

TEST_F (StreamSoftwareTest, CallerResumesStreamOfAnotherRouterAtItsSoftwareVersion)
{
    ProxyFixture router;
    ProxyFixture another;
    connect (router, another);
    addRunnersTo (router);
    addRunnersTo (another);
    for (int number = 0; number < 8; ++number)
    {
        const std::string id = "stream-" + std::to_string (number);
        const std::string version = versionIn (begin (router, id));
        ASSERT_NE (version, "");
        runFor (std::chrono::milliseconds (20));
        EXPECT_EQ (versionIn (resume (another, id)), version) << id;
    }
}

TEST_F (StreamSoftwareTest, RefusesStreamOfUnknownSoftwareVersion)
{
    ProxyFixture router;
    addRunnersTo (router);
    const std::string answer = resume (router, "never-begun");
    EXPECT_TRUE (answer.starts_with ("HTTP/1.1 503")) << answer;
    EXPECT_NE (answer.find ("Retry-After"), std::string::npos) << answer;
}

TEST_F (StreamSoftwareTest, ResumesAnyStreamWhileThereIsOneSoftwareVersion)
{
    ProxyFixture router;
    router.put (first.row ("i-1"));
    router.put (firstToo.row ("i-4"));
    EXPECT_EQ (versionIn (resume (router, "of-another-router")), "v1");
}

TEST_F (StreamSoftwareTest, VersionThatIsGoneCountsWhileItsStreamsMayLive)
{
    ProxyFixture router;
    addRunnersTo (router);
    router.remove ("i-1");
    router.remove ("i-4");
    EXPECT_TRUE (resume (router, "of-the-first-version").starts_with ("HTTP/1.1 503"));
    router.advance (base::seconds (60));
    router.confirmTable();
    EXPECT_EQ (versionIn (resume (router, "of-the-other-version")), "v2");
}

TEST_F (StreamSoftwareTest, StreamOfAnotherRouteIsUnknown)
{
    ProxyFixture router;
    config::ServiceCatalogue catalogue = ProxyFixture::catalogue();
    catalogue.routes.push_back (
        ProxyFixture::route ("another.test", config::RouteKind::kStream, true));
    router.context.routes = std::make_shared<const RouteTable> (2, catalogue);
    addRunnersTo (router);
    ASSERT_NE (versionIn (begin (router, "stream")), "");
    const std::string answer =
        callUntil (router,
                   ProxyFixture::request ("another.test", "r1",
                                          "Last-Event-Id: 1\r\nTest-Resumes: stream\r\n"),
                   "\r\n\r\n");
    EXPECT_TRUE (answer.starts_with ("HTTP/1.1 503")) << answer;
}

TEST_F (StreamSoftwareTest, StreamThatBeganBeforeTheNewVersionIsKnownEverywhere)
{
    ProxyFixture router;
    ProxyFixture another;
    connect (router, another);
    StubRunner runner;
    cell::RoutableInstance row = ProxyFixture::rowOf ("i-1", runner.address());
    row.softwareVersion = "v1";
    router.put (row);
    RawCaller caller (router.listening);
    caller.write (ProxyFixture::request ("resume.test", "stream"));
    ASSERT_TRUE (runner.waitForRequest());
    runner.connections[0]->write (kHead + chunkOf ("id: 1\ndata: v1\n\n"));
    ASSERT_TRUE (caller.waitFor ("data: v1"));
    router.put (other.row ("i-2"));
    addRunnersTo (another);
    ASSERT_TRUE (waitUntil ([&] { return another.context.streams.size() == 1; }));
    EXPECT_EQ (versionIn (resume (another, "stream")), "v1");
}

TEST_F (StreamSoftwareTest, NoticeHoldsAgainstTableThatIsBehind)
{
    ProxyFixture router;
    ProxyFixture another;
    connect (router, another);
    router.put (first.row ("i-1"));
    router.put (other.row ("i-2"));
    another.put (first.row ("i-1"));
    for (const char* const id : { "stream-1", "stream-2", "stream-3", "stream-4" })
    {
        const std::string version = versionIn (begin (router, id));
        runFor (std::chrono::milliseconds (20));
        const std::string answer = resume (another, id);
        EXPECT_TRUE (versionIn (answer).empty() || versionIn (answer) == version) << answer;
    }
    EXPECT_GT (other.begun, 0U);
}

TEST_F (StreamSoftwareTest, IsolatedRouterThatIsBehindDoesNotMixVersions)
{
    ProxyFixture router;
    ProxyFixture another;
    connect (router, another);
    addRunnersTo (another);
    router.put (ProxyFixture::rowOf ("cut-1", closedAddress()));
    router.isolate();
    RawCaller caller (router.listening);
    caller.write (ProxyFixture::request ("resume.test"));
    ASSERT_TRUE (
        waitUntil ([&] { return caller.isClosed() || caller.received().ends_with ("0\r\n\r\n"); }));
    EXPECT_NE (versionIn (caller.received()), "") << caller.received();
}

TEST_F (StreamSoftwareTest, NothingIsSentWhileThereIsOneSoftwareVersion)
{
    ProxyFixture router;
    ProxyFixture another;
    connect (router, another);
    router.put (first.row ("i-1"));
    ASSERT_EQ (versionIn (begin (router, "stream")), "v1");
    runFor (std::chrono::milliseconds (20));
    EXPECT_EQ (router.context.streams.size(), 0U);
    EXPECT_EQ (another.context.streams.size(), 0U);
    EXPECT_EQ (router.pool.opened(), 1U);
}

TEST_F (StreamSoftwareTest, RouterOfEarlierBuildGetsOneNotice)
{
    ProxyFixture router;
    router.servePeers ("a");
    RouterOfEarlierBuild earlier;
    router.setPeers ({ { "b", "z1", earlier.address(), 7 } });
    addRunnersTo (router);
    for (const char* const id : { "stream-1", "stream-2", "stream-3" })
    {
        ASSERT_NE (versionIn (begin (router, id)), "");
        runFor (std::chrono::milliseconds (20));
    }
    EXPECT_EQ (earlier.requests, 1U);
}

TEST_F (StreamSoftwareTest, CallerCannotTellVersionsOfStreams)
{
    ProxyFixture router;
    addRunnersTo (router);
    callUntil (router,
               "POST / HTTP/1.1\r\nHost: none.test\r\nContent-Length: 0\r\nFernlift-Peer-Request: "
               "router=a;key=0;configuration=1;avoid=;stream=0f;software=v1;lifetime=9000\r\n\r\n",
               "\r\n\r\n");
    EXPECT_EQ (router.context.streams.size(), 0U);
}

}  // namespace
}  // namespace fernlift::proxy::test
