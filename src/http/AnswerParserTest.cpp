#include <gtest/gtest.h>

#include <optional>

#include "http/AnswerParser.h"

namespace fernlift::http
{
namespace
{

/// Result of parsing an answer that arrives in two parts.
struct Reading
{
    std::optional<AnswerHead> head;
    std::string body;
    bool isDone = false;
    bool isValid = true;
    bool isCompleteByClose = false;
    std::string left;
};

Reading read (const std::string& bytes, std::size_t cut, bool closes = false, bool hasBody = true)
{
    Reading reading;
    AnswerParser::Handlers handlers;
    handlers.onHead = [&] (AnswerHead head) { reading.head = std::move (head); };
    handlers.onBody = [&] (std::string_view data) { reading.body.append (data); };
    AnswerParser parser (hasBody, std::move (handlers));
    std::string buffer;
    for (const std::string& part : { bytes.substr (0, cut), bytes.substr (cut) })
    {
        buffer += part;
        base::handleErrors (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_CHECK (parser.parse (buffer));
                return {};
            },
            [&] (const base::Error&) { reading.isValid = false; });
    }
    reading.isDone = parser.isDone();
    if (closes && reading.isValid)
        reading.isCompleteByClose = parser.finishByClose();
    reading.left = buffer;
    return reading;
}

constexpr const char* kWithLength = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
constexpr const char* kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";

TEST (AnswerParserTest, ParsesAnAnswerSplitAtAnyPosition)
{
    for (const std::string bytes : { kWithLength, kChunked })
    {
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut)
        {
            const Reading reading = read (bytes, cut);
            ASSERT_TRUE (reading.isValid && reading.isDone) << cut;
            EXPECT_EQ (reading.body, "hello");
            EXPECT_EQ (reading.head->status, 200);
        }
    }
}

TEST (AnswerParserTest, TruncatedAnswerIsNeverComplete)
{
    for (const std::string bytes : { kWithLength, kChunked })
    {
        for (std::size_t length = 0; length < bytes.size(); ++length)
        {
            const Reading reading = read (bytes.substr (0, length), 0, true);
            EXPECT_FALSE (reading.isDone || reading.isCompleteByClose) << length;
        }
    }
}

TEST (AnswerParserTest, TruncatedHeadIsNeverComplete)
{
    for (const std::string head :
         { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 120\r\n\r\n",
           "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n",
           "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\nTrailer: Test-End\r\n\r\n",
           "HTTP/1.1 204 No Content\r\nTest-Id: r1\r\n\r\n",
           "HTTP/1.1 304 Not Modified\r\nTest-Id: r1\r\n\r\n",
           "HTTP/1.1 200 OK\nContent-Length: 0\n\n" })
    {
        for (const bool hasBody : { true, false })
        {
            for (std::size_t length = 0; length < head.size(); ++length)
            {
                const Reading reading = read (head.substr (0, length), 0, true, hasBody);
                EXPECT_FALSE (reading.head || reading.isDone || reading.isCompleteByClose)
                    << head << " cut after " << length;
            }
        }
    }
}

TEST (AnswerParserTest, HeadAboveTheLimitIsInvalid)
{
    constexpr std::size_t kFieldBytes = 70'000;
    std::string head = "HTTP/1.1 200 OK\r\nTest-Field: ";
    head.append (kFieldBytes, 'a').append ("\r\n\r\n");
    const Reading reading = read (head, head.size() / 2, true);
    EXPECT_FALSE (reading.isValid);
    EXPECT_FALSE (reading.head);
}

TEST (AnswerParserTest, AnswerWithTruncatedTrailersIsNeverComplete)
{
    const std::string answer =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n0\r\nTest-End: 1\r\n\r\n";
    EXPECT_TRUE (read (answer, 0, true).isDone);
    for (std::size_t length = 0; length < answer.size(); ++length)
    {
        const Reading reading = read (answer.substr (0, length), 0, true);
        EXPECT_FALSE (reading.isDone || reading.isCompleteByClose) << length;
    }
}

TEST (AnswerParserTest, AnswerWithoutLengthEndsAtTheClose)
{
    const Reading reading = read ("HTTP/1.1 200 OK\r\n\r\nhello", 3, true);
    EXPECT_FALSE (reading.isDone);
    EXPECT_TRUE (reading.isCompleteByClose);
    EXPECT_TRUE (reading.head->endsByClose);
    EXPECT_FALSE (reading.head->isPersistent);
}

TEST (AnswerParserTest, LeavesBytesAfterTheAnswer)
{
    const Reading reading = read (std::string (kWithLength) + "surplus", 0);
    EXPECT_TRUE (reading.isDone);
    EXPECT_EQ (reading.left, "surplus");
}

TEST (AnswerParserTest, RejectsBytesThatAreNotAnAnswer)
{
    EXPECT_FALSE (read ("garbage\r\n\r\n", 0).isValid);
    EXPECT_FALSE (
        read ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 0)
            .isValid);
}

TEST (AnswerParserTest, StatusOutsideOfTheProtocolIsInvalid)
{
    for (const char* const status : { "000", "001", "099", "101", "600", "734", "999" })
    {
        const std::string answer =
            "HTTP/1.1 " + std::string (status) + " Odd\r\nContent-Length: 5\r\n\r\nhello";
        EXPECT_FALSE (read (answer, answer.size()).isValid) << status;
    }
}

TEST (AnswerParserTest, FramingWithoutEndIsInvalid)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler (AnswerParser::kMaxFramingBytes, '0');
    for (const std::string begin : { "", "5;a=", "0\r\nField: " })
    {
        EXPECT_TRUE (read (head + begin + filler.substr (0, 100), head.size()).isValid) << begin;
        EXPECT_FALSE (read (head + begin + filler + "0", head.size()).isValid) << begin;
    }
}

TEST (AnswerParserTest, DeliversTheChunksOfOneReadTogether)
{
    std::size_t deliveries = 0;
    std::string body;
    AnswerParser::Handlers handlers;
    handlers.onHead = [] (const AnswerHead&) {};
    handlers.onBody = [&] (std::string_view data)
    {
        ++deliveries;
        body.append (data);
    };
    AnswerParser parser (true, std::move (handlers));
    std::string buffer = kChunked;
    EXPECT_TRUE (parser.parse (buffer));
    EXPECT_TRUE (parser.isDone());
    EXPECT_EQ (body, "hello");
    EXPECT_EQ (deliveries, 1U);
}

}  // namespace
}  // namespace fernlift::http
