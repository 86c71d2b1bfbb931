// Answers whose runner, or whose other router, stops in the middle of the head and closes. Guards
// against callers that get a success that is short and framed as whole.

#include <gtest/gtest.h>

#include <string>

#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

const std::string kHead = "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Length: 5\r\n\r\n";
const std::string kPeerHead =
    "HTTP/1.1 200 OK\r\nFernlift-Peer-Answer: outcome=answered;attempts=1;runner=i-1;isolated=0\r\n"
    "Test-Id: r1\r\nContent-Length: 5\r\n\r\n";
constexpr std::size_t kCutStep = 3;

struct Cut
{
    std::size_t bytes = 0;  ///< Bytes of the head that are sent.
    bool resets = false;    ///< Whether the connection is reset, or else closed in order.
};

/// Calls `check` with each cut of a head.
template <class Check>
void forEachCut (const std::string& head, Check&& check)
{
    for (std::size_t bytes = 0; bytes < head.size(); bytes += kCutStep)
    {
        for (const bool resets : { false, true })
            check (Cut{ bytes, resets });
    }
}

StubReply replyOf (const std::string& head, const Cut& cut)
{
    return { head.substr (0, cut.bytes), cut.resets, ! cut.resets };
}

/// Whole answer to one request at the router.
std::string answerOf (ProxyFixture& router, const std::string& host)
{
    RawCaller caller (router.listening);
    caller.write (ProxyFixture::request (host));
    caller.waitFor ("\r\n\r\n");
    runFor (std::chrono::milliseconds (5));
    return caller.received();
}

class CutHeadTest : public ::testing::TestWithParam<const char*>
{
};

TEST_P (CutHeadTest, RunnerThatStopsInTheHeadGivesNoSuccess)
{
    forEachCut (
        kHead,
        [] (const Cut& cut)
        {
            AnsweringRunner runner ([&] (const std::string&) { return replyOf (kHead, cut); });
            ProxyFixture router;
            router.put (ProxyFixture::rowOf ("i-1", runner.address()));
            const std::string answer = answerOf (router, GetParam());
            EXPECT_TRUE (answer.starts_with ("HTTP/1.1 502")) << cut.bytes << answer;
        });
}

TEST_P (CutHeadTest, RunnerOfAnotherRouterThatStopsInTheHeadGivesNoSuccess)
{
    forEachCut (
        kHead,
        [] (const Cut& cut)
        {
            AnsweringRunner runner ([&] (const std::string&) { return replyOf (kHead, cut); });
            ProxyFixture near;
            ProxyFixture far;
            near.servePeers ("near");
            far.servePeers ("far");
            near.setPeers ({ near.peerRow(), far.peerRow() });
            near.put (ProxyFixture::rowOf ("i-1", runner.address()));
            far.put (ProxyFixture::rowOf ("i-1", runner.address()));
            near.isolate();
            const std::string answer = answerOf (near, GetParam());
            EXPECT_GT (runner.requests, 0U);
            EXPECT_TRUE (answer.starts_with ("HTTP/1.1 502")) << cut.bytes << answer;
        });
}

TEST_P (CutHeadTest, OtherRouterThatStopsInTheHeadGivesNoSuccess)
{
    forEachCut (
        kPeerHead,
        [] (const Cut& cut)
        {
            AnsweringRunner far ([&] (const std::string&) { return replyOf (kPeerHead, cut); });
            ProxyFixture near;
            near.servePeers ("near");
            near.setPeers ({ { "far", "z1", far.address(), ProxyFixture::kPeerKey } });
            near.put (ProxyFixture::rowOf ("i-1", closedAddress()));
            near.isolate();
            const std::string answer = answerOf (near, GetParam());
            EXPECT_GT (far.requests, 0U);
            EXPECT_TRUE (answer.starts_with ("HTTP/1.1 50")) << cut.bytes << answer;
        });
}

INSTANTIATE_TEST_SUITE_P (Routes, CutHeadTest, ::testing::Values ("once.test", "app.test"),
                          [] (const auto& info) {
                              return std::string (info.param).substr (0, 3) == "app" ? "Repeatable"
                                                                                     : "Once";
                          });

}  // namespace
}  // namespace fernlift::proxy::test
