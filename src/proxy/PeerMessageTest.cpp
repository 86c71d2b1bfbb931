#include <gtest/gtest.h>

#include "proxy/PeerMessage.h"
#include "proxy/ProxyTestSupport.h"

namespace fernlift::proxy::test
{
namespace
{

const char* const kRequestField = "Fernlift-Peer-Request";
const char* const kAnswerField = "Fernlift-Peer-Answer";

template <class Take>
std::string problemOf (http::Headers headers, const Take& take)
{
    std::string problem;
    base::handleErrors (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_CHECK (take (headers));
            return {};
        },
        [&] (const base::Error& error) { problem = error.message; });
    return problem;
}

ParsedRequest sampleRequest()
{
    ParsedRequest request;
    request.method = "POST";
    request.target = "/path?q=1";
    request.headers.add ("Host", "app.test");
    request.headers.add ("Test-Deadline", "3000");
    request.headers.add ("Connection", "X-Hop");
    request.headers.add ("X-Hop", "1");
    request.headers.add ("Authorization", "Bearer key");
    request.headers.add (kRequestField, "router=forged;key=1;configuration=9;avoid=");
    request.hasBodyFraming = true;
    request.body = std::string ("a\0b", 3);
    return request;
}

TEST (PeerMessageTest, RequestStatementSurvivesAnyNames)
{
    const PeerRequest sent{ "router;1=\r\n", 0xfedcba9876543210ULL, 7, "i-1%;\xff" };
    http::Headers headers;
    headers.add (kRequestField, formatPeerRequest (sent));
    const PeerRequest taken = takePeerRequest (headers).value();
    EXPECT_EQ (taken, sent);
    EXPECT_FALSE (headers.contains (kRequestField));
}

TEST (PeerMessageTest, SoftwareVersionsAreOptional)
{
    PeerRequest sent{ "r", 1, 7, "" };
    sent.softwareVersion = "v 1;=";
    http::Headers headers;
    headers.add (kRequestField, formatPeerRequest (sent));
    EXPECT_EQ (takePeerRequest (headers).value(), sent);
    PeerAnswer answer;
    headers.add (kAnswerField, formatPeerAnswer (answer));
    EXPECT_FALSE (takePeerAnswer (headers).value().softwareVersion);
    answer.softwareVersion = "v2";
    headers.add (kAnswerField, formatPeerAnswer (answer));
    EXPECT_EQ (takePeerAnswer (headers).value(), answer);
}

TEST (PeerMessageTest, NoticeSurvivesAnyVersion)
{
    PeerRequest sent{ "r", 1, 7, "" };
    sent.notice = StreamNotice{ "0f", "v;1=\r\n %", base::milliseconds (1500) };
    const std::string bytes = peerNoticeBytes (sent);
    const std::string field = std::string (kRequestField) + ": ";
    const std::size_t begin = bytes.find (field) + field.size();
    http::Headers headers;
    headers.add (kRequestField, bytes.substr (begin, bytes.find ("\r\n", begin) - begin));
    EXPECT_EQ (takePeerRequest (headers).value(), sent);
}

TEST (PeerMessageTest, PathNoticeSurvivesAllPaths)
{
    for (const PeerPath path : { PeerPath::kOpen, PeerPath::kInDoubt, PeerPath::kIsolated })
    {
        PeerRequest sent{ "r", 1, 7, "" };
        sent.notice = PathNotice{ path };
        http::Headers headers;
        headers.add (kRequestField, formatPeerRequest (sent));
        EXPECT_EQ (takePeerRequest (headers).value(), sent);
    }
}

TEST (PeerMessageTest, StreamQuerySurvivesAnyKey)
{
    for (const char* const after : { "", "0f", "a;b=c %" })
    {
        PeerRequest sent{ "r", 1, 7, "" };
        sent.notice = StreamQuery{ after };
        http::Headers headers;
        headers.add (kRequestField, formatPeerRequest (sent));
        EXPECT_EQ (takePeerRequest (headers).value(), sent);
    }
}

TEST (PeerMessageTest, UnknownPathIsInvalid)
{
    http::Headers headers;
    headers.add (kRequestField, "router=r;key=1;configuration=7;avoid=;path=sideways");
    EXPECT_FALSE (takePeerRequest (headers));
}

TEST (PeerMessageTest, AnswerStatementSurvivesAllOutcomes)
{
    for (const PeerOutcome outcome :
         { PeerOutcome::kAnswered, PeerOutcome::kRefused, PeerOutcome::kFailed,
           PeerOutcome::kUnreachable, PeerOutcome::kUnavailable })
    {
        http::Headers headers;
        addPeerAnswer (headers, { outcome, 1, "i-1", true });
        EXPECT_EQ (takePeerAnswer (headers).value(), (PeerAnswer{ outcome, 1, "i-1", true }));
    }
}

TEST (PeerMessageTest, OnlyTheLastFieldCounts)
{
    http::Headers headers;
    headers.add (kAnswerField, "outcome=answered;attempts=1;runner=forged;isolated=0");
    addPeerAnswer (headers, { PeerOutcome::kRefused, 0, "", false });
    EXPECT_EQ (takePeerAnswer (headers).value().outcome, PeerOutcome::kRefused);
    EXPECT_EQ (headers.count (kAnswerField), 1U) << "the runner's own field passes";
}

TEST (PeerMessageTest, InvalidStatementsAreNamedInTheError)
{
    const auto request = [] (http::Headers& headers) { return takePeerRequest (headers); };
    const auto answer = [] (http::Headers& headers) { return takePeerAnswer (headers); };
    EXPECT_EQ (problemOf ({}, request), "the message has no field Fernlift-Peer-Request");
    EXPECT_EQ (problemOf ({ { kRequestField, "router=a;configuration=1;avoid=" } }, request),
               "the statement of the other router has no key");
    EXPECT_EQ (problemOf ({ { kRequestField, "router=a;key=zz;configuration=1;avoid=" } }, request),
               "the statement of the other router has an invalid key");
    EXPECT_EQ (problemOf ({ { kAnswerField, "outcome=maybe" } }, answer), "unknown outcome maybe");
}

TEST (PeerMessageTest, RequestKeepsFieldsAndBodyOfTheCaller)
{
    PeerRequestFields fields;
    fields.statement = { "a", 5, 2, "" };
    fields.timeLeft = base::milliseconds (1200);
    fields.lastEventId = "7";
    const std::string bytes = peerRequestBytes (sampleRequest(), ProxyFixture::testNames(), fields);
    EXPECT_EQ (bytes, std::string ("POST /path?q=1 HTTP/1.1\r\n"
                                   "Host: app.test\r\n"
                                   "Authorization: Bearer key\r\n"
                                   "Fernlift-Peer-Request: "
                                   "router=forged;key=1;configuration=9;avoid=\r\n"
                                   "Test-Deadline: 1200\r\n"
                                   "Last-Event-Id: 7\r\n"
                                   "Content-Length: 3\r\n"
                                   "Fernlift-Peer-Request: "
                                   "router=a;key=5;configuration=2;avoid=\r\n\r\n")
                          + std::string ("a\0b", 3));
}

}  // namespace
}  // namespace fernlift::proxy::test
