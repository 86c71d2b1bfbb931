// Ends of runners' event streams, for every framing. Guards against a stream that broke off
// reaching its caller as complete, and against a complete one reaching it as broken.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <vector>

#include "http/BackEndConnection.h"
#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

/// How a runner marks the end of its answer.
enum class Framing
{
    kClose,
    kChunked,
    kLength,
};

/// How the connection of a runner ends after the bytes that it wrote.
enum class Ending
{
    kFramed,  ///< The framing is complete: a last chunk, the stated length, or an orderly close.
    kClosed,  ///< An orderly close without the end of the framing, if it has one.
    kReset,
};

constexpr std::array kFramings{ Framing::kClose, Framing::kChunked, Framing::kLength };
constexpr std::array kEndings{ Ending::kFramed, Ending::kClosed, Ending::kReset };

struct StreamCase
{
    Framing framing = Framing::kClose;
    Ending ending = Ending::kFramed;
    std::string lineEnd = "\n";
    std::size_t length = 0;  ///< Bytes of the stream that the runner writes.
    bool isResumable = false;
    bool callerHasHttp10 = false;
};

void showValue (const StreamCase& streamCase, std::ostream& out)
{
    out << "framing " << static_cast<int> (streamCase.framing) << " ending "
        << static_cast<int> (streamCase.ending) << " line end of " << streamCase.lineEnd.size()
        << " bytes, cut after " << streamCase.length << ", resumable " << streamCase.isResumable
        << ", HTTP/1.0 " << streamCase.callerHasHttp10;
}

std::vector<std::string> eventsOf (const std::string& lineEnd)
{
    std::vector<std::string> events;
    for (const char* const id : { "1", "2", "3" })
        events.push_back ("id: " + std::string (id) + lineEnd + "data: x" + lineEnd + lineEnd);
    return events;
}

std::string joined (const std::vector<std::string>& events, std::size_t first = 0)
{
    std::string text;
    for (std::size_t number = first; number < events.size(); ++number)
        text += events[number];
    return text;
}

std::string streamHead (const std::string& framingField)
{
    return "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Type: text/event-stream\r\n" + framingField
           + "\r\n";
}

StubReply replyOf (const StreamCase& streamCase)
{
    const std::string body = joined (eventsOf (streamCase.lineEnd)).substr (0, streamCase.length);
    const bool isFramed = streamCase.ending == Ending::kFramed;
    StubReply reply;
    reply.resets = streamCase.ending == Ending::kReset;
    reply.closes = ! reply.resets;
    switch (streamCase.framing)
    {
        case Framing::kClose:
            reply.bytes = streamHead ("") + body;
            break;
        case Framing::kChunked:
            reply.bytes = streamHead ("Transfer-Encoding: chunked\r\n") + chunkOf (body)
                          + (isFramed ? "0\r\n\r\n" : "");
            break;
        case Framing::kLength:
            reply.bytes = streamHead ("Content-Length: "
                                      + std::to_string (body.size() + (isFramed ? 0 : 1)) + "\r\n")
                          + body;
            break;
    }
    return reply;
}

/// Answer as its caller received it.
class ReceivedAnswer final : public http::AnswerListener
{
public:
    void onSent() override {}
    void onHead (http::AnswerHead /*head*/) override {}
    void onBody (std::string_view data) override { body += data; }
    void onDone() override { isEnded = isComplete = true; }
    void onFailed (http::BackEndFailure /*failure*/) override { isEnded = true; }

    std::string body;
    bool isEnded = false;
    bool isComplete = false;
};

/// Whether the stream is known to have broken off.
bool isBroken (const StreamCase& streamCase, std::size_t wholeEventBytes)
{
    const bool endsInsideEvent = streamCase.length != wholeEventBytes;
    const bool isFramed =
        streamCase.ending == Ending::kFramed
        || (streamCase.ending == Ending::kClosed && streamCase.framing == Framing::kClose);
    return endsInsideEvent || ! isFramed;
}

/// Plays the stream through a router. Returns how the caller's answer differs from what it should
/// be; empty if it does not.
std::string faultOf (const StreamCase& streamCase)
{
    const std::vector<std::string> events = eventsOf (streamCase.lineEnd);
    const std::string stream = joined (events);
    std::size_t wholeEvents = 0;
    std::size_t wholeEventBytes = 0;
    while (wholeEvents < events.size()
           && wholeEventBytes + events[wholeEvents].size() <= streamCase.length)
        wholeEventBytes += events[wholeEvents++].size();

    ProxyFixture proxy;
    proxy.findRunnersAlive();
    AnsweringRunner runner (
        [&] (const std::string& request) -> StubReply
        {
            if (request.find ("Last-Event-Id") == std::string::npos)
                return replyOf (streamCase);
            return { streamHead ("Transfer-Encoding: chunked\r\n")
                     + chunkOf (joined (events, wholeEvents)) + "0\r\n\r\n" };
        });
    proxy.put (ProxyFixture::rowOf ("i-1", runner.address()));
    std::string request =
        ProxyFixture::request (streamCase.isResumable ? "resume.test" : "stream.test");
    if (streamCase.callerHasHttp10)
        request.replace (request.find ("HTTP/1.1"), 8, "HTTP/1.0");
    ReceivedAnswer answer;
    const auto caller =
        std::make_shared<http::BackEndConnection> (proxy.listening, base::seconds (1));
    http::BackEndConnection::Call call;
    call.bytes = request;
    caller->send (std::move (call), &answer);
    if (! waitUntil ([&] { return answer.isEnded; }))
        return "the answer does not end";

    const bool broke = isBroken (streamCase, wholeEventBytes);
    // A stream that broke off before its first event has no event to go on from.
    const bool isResumed = broke && streamCase.isResumable && wholeEvents > 0;
    if (answer.isComplete != (isResumed || ! broke))
        return answer.isComplete ? "a broken stream is complete" : "a complete stream is broken";
    if (answer.body != (isResumed ? stream : stream.substr (0, wholeEventBytes)))
        return "unexpected body: " + answer.body;
    return {};
}

rc::Gen<StreamCase> streamCases (rc::Gen<std::string> lineEnds, bool callerHasHttp10)
{
    return rc::gen::exec (
        [lineEnds = std::move (lineEnds), callerHasHttp10]
        {
            StreamCase streamCase;
            streamCase.framing = *rc::gen::elementOf (kFramings);
            streamCase.ending = *rc::gen::elementOf (kEndings);
            streamCase.lineEnd = *lineEnds;
            const std::size_t size = joined (eventsOf (streamCase.lineEnd)).size();
            streamCase.length = *rc::gen::inRange<std::size_t> (0, size + 1);
            streamCase.isResumable = *rc::gen::arbitrary<bool>();
            streamCase.callerHasHttp10 = callerHasHttp10;
            return streamCase;
        });
}

rc::Gen<std::string> lineEndsWithLineFeed() { return rc::gen::element<std::string> ("\n", "\r\n"); }

RC_GTEST_PROP (StreamEndTest, StreamThatBrokeOffIsNeverComplete, ())
{
    RC_ASSERT (faultOf (*streamCases (lineEndsWithLineFeed(), false)) == "");
}

RC_GTEST_PROP (StreamEndTest, StreamThatBrokeOffIsNeverCompleteToHttp10Caller, ())
{
    RC_ASSERT (faultOf (*streamCases (lineEndsWithLineFeed(), true)) == "");
}

RC_GTEST_PROP (StreamEndTest, StreamWithAnyLineEndIsForwardedEventByEvent, ())
{
    RC_ASSERT (faultOf (*streamCases (rc::gen::just<std::string> ("\r"), false)) == "");
}

TEST (StreamEndTest, StreamThatBrokeOffIsNotCompleteAtAnyByte)
{
    const std::size_t size = joined (eventsOf ("\n")).size();
    for (std::size_t length = 0; length <= size; ++length)
    {
        StreamCase streamCase;
        streamCase.length = length;
        streamCase.isResumable = length % 2 == 0;
        EXPECT_EQ (faultOf (streamCase), "") << length;
    }
}

}  // namespace
}  // namespace fernlift::proxy::test
