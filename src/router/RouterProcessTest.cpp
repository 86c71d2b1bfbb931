#include <gtest/gtest.h>

#include "router/RouterProcessTestSupport.h"

namespace fernlift::router
{
namespace
{

using http::test::RawCaller;
using http::test::waitUntil;
using testing::chatRequest;
using testing::FakeBackEnd;
using testing::postRequest;
using testing::RunningRouter;
using testing::tokenEvent;

using ResponderPointer = std::shared_ptr<http::Responder>;

const http::Headers kEventStream{ { "Content-Type", "text/event-stream" } };
constexpr const char* kDone = "data: [DONE]\n\n";

bool contains (const std::string& text, const std::string& part)
{
    return text.find (part) != std::string::npos;
}

std::size_t countOf (const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find (part); at != std::string::npos; at = text.find (part, at + 1))
        ++count;
    return count;
}

/// Checks that an answer is an error in the documented form.
void expectError (const std::string& answer, const std::string& status, const std::string& kind,
                  const std::string& execution)
{
    EXPECT_TRUE (answer.starts_with ("HTTP/1.1 " + status)) << answer;
    EXPECT_TRUE (contains (answer, "\"kind\":\"" + kind + "\"")) << answer;
    EXPECT_TRUE (contains (answer, "\"execution\":\"" + execution + "\"")) << answer;
    EXPECT_TRUE (contains (answer, "X-Fernlift-Execution: " + execution + "\r\n")) << answer;
    EXPECT_TRUE (contains (answer, "\"message\":\"")) << answer;
    EXPECT_TRUE (contains (answer, "\"request_id\":\"")) << answer;
    EXPECT_TRUE (contains (answer, "X-Request-Id: ")) << answer;
}

TEST (RouterProcess, ForwardsAStreamAndEndsItWithDone)
{
    FakeBackEnd engine (
        [] (const http::Request&, const ResponderPointer& responder)
        {
            responder->begin (200, kEventStream);
            responder->write (tokenEvent (0, "a"));
            responder->write (tokenEvent (1, "b") + kDone);
            responder->end();
        });
    const RunningRouter router ({ engine.row ("r1", "m") });
    const std::string answer = router.sendRequest (
        chatRequest ("m", true, "X-Request-Id: q-1\r\nX-Fernlift-Class: deep\r\n"), kDone);
    EXPECT_TRUE (answer.starts_with ("HTTP/1.1 200 OK\r\n")) << answer;
    EXPECT_TRUE (contains (answer, tokenEvent (0, "a"))) << answer;
    EXPECT_TRUE (contains (answer, tokenEvent (1, "b"))) << answer;
    EXPECT_EQ (countOf (answer, "[DONE]"), 1U);
    ASSERT_EQ (engine.requests.size(), 1U);
    const http::Headers& headers = engine.requests[0].headers;
    EXPECT_EQ (headers.value ("X-Request-Id"), "q-1");
    EXPECT_EQ (headers.value ("X-Fernlift-Replica"), "10");
    EXPECT_EQ (headers.value ("X-Fernlift-Priority"), "8");
    EXPECT_FALSE (headers.contains ("X-Fernlift-Resume-From"));
    EXPECT_TRUE (
        contains (router.sendRequest (
                      "GET /admin/v1/explain/request/q-1 HTTP/1.1\r\nHost: t\r\n\r\n", "steps"),
                  "attempt 1 at r1"));
}

TEST (RouterProcess, ForwardsApplicationCallsWithoutConnectionHeaders)
{
    FakeBackEnd application (
        [] (const http::Request&, const ResponderPointer& responder) {
            responder->send (202, { { "X-Answer", "1" }, { "X-Fernlift-Leaving", "0" } }, "taken");
        });
    const RunningRouter router ({ application.row ("a1", "portal", true) });
    const std::string answer = router.sendRequest (
        "DELETE /apps/portal/bills/7?x=%2F HTTP/1.1\r\nHost: t\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
        "TE: trailers\r\nX-Kept: 1\r\nX-Fernlift-Class: urgent\r\nIdempotency-Key: k\r\n\r\n",
        "taken");
    EXPECT_TRUE (answer.starts_with ("HTTP/1.1 202 Accepted\r\n")) << answer;
    EXPECT_TRUE (contains (answer, "X-Answer: 1\r\n"));
    EXPECT_FALSE (contains (answer, "X-Fernlift-Leaving"));
    ASSERT_EQ (application.requests.size(), 1U);
    const http::Request& seen = application.requests[0];
    EXPECT_EQ (seen.method + " " + seen.path + "?" + seen.query, "DELETE /bills/7?x=%2F");
    EXPECT_EQ (seen.headers.value ("X-Kept"), "1");
    EXPECT_EQ (seen.headers.value ("Idempotency-Key"), "k");
    EXPECT_FALSE (seen.headers.contains ("X-Hop"));
    EXPECT_FALSE (seen.headers.contains ("TE"));
    EXPECT_FALSE (seen.headers.contains ("X-Fernlift-Class"));
}

TEST (RouterProcess, AnswersPipelinedRequestsWholeAndInOrder)
{
    std::vector<ResponderPointer> waiting;
    FakeBackEnd engine (
        [&] (const http::Request& request, const ResponderPointer& responder)
        {
            if (request.headers.value ("X-Request-Id") == "q-1")
            {
                waiting.push_back (responder);
                return;
            }
            responder->send (200, {}, "answer " + request.headers.value ("X-Request-Id"));
        });
    const RunningRouter router ({ engine.row ("r1", "m") });
    RawCaller caller (router.address);
    caller.write (chatRequest ("m", false, "X-Request-Id: q-1\r\n")
                  + chatRequest ("m", false, "X-Request-Id: q-2\r\n")
                  + "GET /v1/models HTTP/1.1\r\nHost: t\r\n\r\n");
    ASSERT_TRUE (waitUntil ([&] { return ! waiting.empty(); }));
    EXPECT_EQ (caller.received(), "");
    waiting[0]->send (200, {}, "answer q-1");
    ASSERT_TRUE (caller.waitFor ("\"list\""));
    const std::string& answers = caller.received();
    EXPECT_LT (answers.find ("answer q-1"), answers.find ("answer q-2"));
    EXPECT_LT (answers.find ("answer q-2"), answers.find ("deep-model"));
    EXPECT_EQ (countOf (answers, "HTTP/1.1 200 OK"), 3U);
}

TEST (RouterProcess, AnswersErrorsInOneForm)
{
    const RunningRouter router ({});
    const std::string post = "{\"model\":\"m\",\"messages\":[]}";
    const auto chat = [&] (const std::string& body, const std::string& fields = {})
    { return router.sendRequest (postRequest ("/v1/chat/completions", body, fields), "}}"); };
    expectError (chat ("no json"), "400", "invalid_request", "not_run");
    expectError (chat ("{\"messages\":[]}"), "400", "invalid_request", "not_run");
    expectError (chat ("{\"model\":\"m\"}"), "400", "invalid_request", "not_run");
    expectError (chat ("{\"model\":\"other\",\"messages\":[]}"), "404", "model_not_found",
                 "not_run");
    expectError (chat (post, "X-Fernlift-Class: none\r\n"), "400", "invalid_request", "not_run");
    expectError (chat (post, "X-Fernlift-Class: payment\r\n"), "400", "idempotency_key_required",
                 "not_run");
    expectError (chat (post, "X-Fernlift-Deadline-Ms: soon\r\n"), "400", "invalid_request",
                 "not_run");
    expectError (chat (post, "X-Request-Id: a/b\r\n"), "400", "invalid_request", "not_run");
    expectError (router.sendRequest ("GET /v1/completions HTTP/1.1\r\nHost: t\r\n\r\n", "}}"),
                 "405", "method_not_allowed", "not_run");
    expectError (router.sendRequest ("GET /other HTTP/1.1\r\nHost: t\r\n\r\n", "}}"), "404",
                 "not_found", "not_run");
    const std::string late = chat (post, "X-Request-Id: q-9\r\nX-Fernlift-Deadline-Ms: 20\r\n");
    expectError (late, "504", "deadline_passed", "not_run");
    EXPECT_TRUE (contains (late, "\"request_id\":\"q-9\"")) << late;
    EXPECT_TRUE (contains (late, "\r\nRetry-After: ")) << late;
    EXPECT_TRUE (contains (late, "\"retry_after_ms\":")) << late;
}

TEST (RouterProcess, EndsABrokenStreamWithAnErrorEvent)
{
    ResponderPointer open;
    FakeBackEnd engine (
        [&] (const http::Request&, const ResponderPointer& responder)
        {
            open = responder;
            responder->begin (200, kEventStream);
            responder->write (tokenEvent (0, "a"));
        });
    const RunningRouter router ({ engine.row ("r1", "m") },
                                [] (RouterSettings& settings) { settings.maximumAttempts = 1; });
    RawCaller caller (router.address);
    caller.write (chatRequest ("m", true));
    ASSERT_TRUE (caller.waitFor ("\"offset\":0"));
    open->abort();
    ASSERT_TRUE (waitUntil ([&] { return caller.received().ends_with ("\r\n0\r\n\r\n"); }));
    const std::string& answer = caller.received();
    EXPECT_TRUE (contains (answer, "data: {\"error\":{\"execution\":\"unknown\"")) << answer;
    EXPECT_TRUE (contains (answer, "\"kind\":\"upstream_broken\"")) << answer;
    EXPECT_FALSE (contains (answer, "[DONE]")) << answer;
}

TEST (RouterProcess, ResumesABrokenStreamElsewhere)
{
    ResponderPointer open;
    std::string resumedFrom;
    const auto answer = [&] (const http::Request& request, const ResponderPointer& responder)
    {
        open = responder;
        resumedFrom = request.headers.value ("X-Fernlift-Resume-From");
        responder->begin (200, kEventStream);
        if (resumedFrom.empty())
        {
            responder->write (tokenEvent (0, "a") + tokenEvent (1, "b"));
        }
        else
        {
            responder->write (tokenEvent (2, "c") + kDone);
            responder->end();
        }
    };
    FakeBackEnd first (answer);
    FakeBackEnd second (answer);
    const RunningRouter router ({ first.row ("r1", "m"), second.row ("r2", "m") });
    RawCaller caller (router.address);
    caller.write (chatRequest ("m", true));
    ASSERT_TRUE (caller.waitFor ("\"offset\":1"));
    open->abort();
    ASSERT_TRUE (caller.waitFor (kDone));
    EXPECT_EQ (resumedFrom, "2");
    EXPECT_EQ (first.requests.size(), 1U);
    EXPECT_EQ (second.requests.size(), 1U);
    EXPECT_EQ (countOf (caller.received(), "\"offset\":"), 3U);
    EXPECT_TRUE (contains (caller.received(), tokenEvent (2, "c")));
    EXPECT_FALSE (contains (caller.received(), "error"));
}

TEST (RouterProcess, CancelsAtTheBackEndWhenTheCallerDisconnects)
{
    bool isCancelled = false;
    ResponderPointer open;
    FakeBackEnd engine (
        [&] (const http::Request&, const ResponderPointer& responder)
        {
            open = responder;
            responder->onClosed ([&] { isCancelled = true; });
            responder->begin (200, kEventStream);
            responder->write (tokenEvent (0, "a"));
        });
    const RunningRouter router ({ engine.row ("r1", "m") });
    RawCaller caller (router.address);
    caller.write (chatRequest ("m", true));
    ASSERT_TRUE (caller.waitFor ("\"offset\":0"));
    caller.close();
    EXPECT_TRUE (waitUntil ([&] { return isCancelled; }));
}

TEST (RouterProcess, PausesTheBackEndForASlowCaller)
{
    constexpr std::size_t kEvents = 1600;
    constexpr std::size_t kEventBytes = 64UL * 1024;
    constexpr std::size_t kBound = kEvents * kEventBytes / 2;
    const std::string text (kEventBytes, 'x');
    ResponderPointer open;
    FakeBackEnd engine (
        [&] (const http::Request&, const ResponderPointer& responder)
        {
            open = responder;
            responder->begin (200, kEventStream);
            for (std::size_t event = 0; event < kEvents; ++event)
                responder->write (tokenEvent (event, text));
            responder->write (kDone);
            responder->end();
        });
    const RunningRouter router ({ engine.row ("r1", "m") }, [] (RouterSettings& settings)
                                { settings.core.betweenTokensTimeout = base::milliseconds (100); });
    RawCaller caller (router.address);
    caller.stopReading (1024);
    caller.write (chatRequest ("m", true));
    ASSERT_TRUE (waitUntil ([&] { return open != nullptr; }));
    // Four times the timeout between tokens.
    http::test::runFor (std::chrono::milliseconds (400));
    EXPECT_GT (open->bytesToWrite(), kBound) << "the router reads more than its caller does";
    const std::string metrics =
        router.sendRequest ("GET /metrics HTTP/1.1\r\nHost: t\r\n\r\n", "ready");
    EXPECT_FALSE (contains (metrics, "\nfernlift_router_slow_caller_pauses_total 0\n")) << metrics;
    EXPECT_TRUE (contains (metrics, "\nfernlift_router_resumes_total 0\n")) << metrics;
    caller.resumeReading();
    ASSERT_TRUE (waitUntil ([&] { return caller.received().ends_with ("0\r\n\r\n"); }));
    EXPECT_TRUE (contains (caller.received(), kDone));
    EXPECT_EQ (countOf (caller.received(), "\"offset\":"), kEvents);
    EXPECT_EQ (engine.requests.size(), 1U);
}

TEST (RouterProcess, RecordsTheOutcomeAfterASlowCallerDisconnects)
{
    constexpr std::size_t kEvents = 800;
    const std::string text (64UL * 1024, 'x');
    FakeBackEnd engine (
        [&] (const http::Request&, const ResponderPointer& responder)
        {
            responder->begin (200, kEventStream);
            for (std::size_t event = 0; event < kEvents; ++event)
                responder->write (tokenEvent (event, text));
            responder->write (kDone);
            responder->end();
        });
    const RunningRouter router ({ engine.row ("r1", "m") });
    RawCaller caller (router.address);
    caller.stopReading (1024);
    caller.write (chatRequest ("m", true, "X-Fernlift-Class: payment\r\nIdempotency-Key: k\r\n"));
    ASSERT_TRUE (waitUntil ([&] { return engine.requests.size() == 1; }));
    http::test::runFor (std::chrono::milliseconds (200));
    EXPECT_TRUE (router.controller.outcomes.empty());
    caller.close();
    ASSERT_TRUE (waitUntil ([&] { return ! router.controller.outcomes.empty(); }));
    EXPECT_EQ (router.controller.outcomes[0].outcome, cell::ClaimOutcome::kRan);
}

TEST (RouterProcess, AsksEnginesForCacheEventsFromTheLastOneOn)
{
    FakeBackEnd engine (
        [] (const http::Request& request, const ResponderPointer& responder)
        {
            const bool isFirst = request.query == "after=0";
            responder->send (
                200, {},
                isFirst ? R"({"events":[{"sequence":1,"kind":"stored","model":"m","block":5},
                                   {"sequence":2,"kind":"removed","model":"m","block":5}]})"
                        : R"({"events":[]})");
        });
    FakeBackEnd application ([] (const http::Request&, const ResponderPointer& responder)
                             { responder->send (200, {}, ""); });
    const RunningRouter router ({ engine.row ("r1", "m"), application.row ("a1", "portal", true) },
                                [] (RouterSettings& settings)
                                { settings.cacheEventInterval = base::milliseconds (10); });
    ASSERT_TRUE (waitUntil ([&] { return engine.requests.size() > 2; }));
    EXPECT_EQ (engine.requests[0].path + "?" + engine.requests[0].query,
               "/engine/cache-events?after=0");
    EXPECT_EQ (engine.requests[1].query, "after=2");
    EXPECT_EQ (engine.requests[2].query, "after=2");
    EXPECT_TRUE (application.requests.empty());
}

TEST (RouterProcess, SendsOnceToABackEndThatClosesAfterReading)
{
    for (const bool reusesConnection : { false, true })
    {
        FakeBackEnd application (
            [] (const http::Request& request, const ResponderPointer& responder)
            {
                if (request.method == "GET")
                {
                    responder->send (200, {}, "warm");
                }
                else
                {
                    responder->abort();
                }
            });
        const RunningRouter router ({ application.row ("a1", "portal", true) },
                                    [] (RouterSettings& settings)
                                    { settings.maximumAttempts = 1; });
        if (reusesConnection)
        {
            router.sendRequest ("GET /apps/portal/ HTTP/1.1\r\nHost: t\r\n\r\n", "warm");
        }
        const std::size_t before = application.requests.size();
        // One non-repeatable and one repeatable request.
        const std::string once = router.sendRequest (
            postRequest ("/apps/portal/pay", "x", "Idempotency-Key: k1\r\n"), "}}");
        expectError (once, "502", "outcome_unknown", "unknown");
        EXPECT_EQ (application.requests.size(), before + 1);
        const std::string repeatable = router.sendRequest (
            postRequest ("/apps/portal/pay", "x", "X-Fernlift-Class: urgent\r\n"), "}}");
        expectError (repeatable, "502", "upstream_broken", "unknown");
        EXPECT_EQ (application.requests.size(), before + 2);
        ASSERT_TRUE (waitUntil ([&] { return ! router.controller.outcomes.empty(); }));
        EXPECT_EQ (router.controller.outcomes[0].outcome, cell::ClaimOutcome::kUnknown);
    }
}

TEST (RouterProcess, PlannedStopFinishesOpenRequestsAndRefusesNewOnes)
{
    ResponderPointer open;
    FakeBackEnd engine (
        [&] (const http::Request&, const ResponderPointer& responder)
        {
            open = responder;
            responder->begin (200, kEventStream);
            responder->write (tokenEvent (0, "a"));
        });
    RunningRouter router ({ engine.row ("r1", "m") });
    RawCaller caller (router.address);
    caller.write (chatRequest ("m", true));
    ASSERT_TRUE (caller.waitFor ("\"offset\":0"));
    router.process->beginStop();
    expectError (router.sendRequest (chatRequest ("m", true), "}}"), "503", "stopping", "not_run");
    EXPECT_TRUE (contains (
        router.sendRequest ("GET /readyz HTTP/1.1\r\nHost: t\r\n\r\n", "ready\n"), " 503 "));
    EXPECT_TRUE (router.exitCodes.empty());
    open->write (tokenEvent (1, "b") + kDone);
    open->end();
    ASSERT_TRUE (caller.waitFor (kDone));
    ASSERT_TRUE (waitUntil ([&] { return ! router.exitCodes.empty(); }));
    EXPECT_EQ (router.exitCodes, std::vector<int>{ 0 });
}

}  // namespace
}  // namespace fernlift::router
