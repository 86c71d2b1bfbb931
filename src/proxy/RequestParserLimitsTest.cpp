// Tests of the limits of the parser of callers' requests. Guards against memory that callers fill
// without end outside of the header and the body.

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "proxy/RequestParser.h"

namespace fernlift::proxy::test
{
namespace
{

constexpr RequestLimits kLimits{ 1024, 4096 };
constexpr const char* kChunkedHead =
    "POST /path HTTP/1.1\r\nHost: app.test\r\nTransfer-Encoding: chunked\r\n\r\n";

class RequestParserLimitsTest : public ::testing::Test
{
protected:
    /// Feeds the bytes in pieces; returns the error, if there is one.
    std::optional<base::ErrorKind> feed (const std::string& bytes)
    {
        constexpr std::size_t kPiece = 100;
        std::optional<base::ErrorKind> failure;
        for (std::size_t begin = 0; begin < bytes.size() && ! failure; begin += kPiece)
        {
            m_buffer += bytes.substr (begin, kPiece);
            base::handleErrors ([&] { return m_parser.parse (m_buffer); },
                                [&] (const base::Error& error) { failure = error.kind; });
        }
        return failure;
    }

    std::string m_buffer;
    RequestParser m_parser{ kLimits };
};

TEST_F (RequestParserLimitsTest, TrailersWithoutEndAreRejected)
{
    std::string bytes = std::string (kChunkedHead) + "0\r\n";
    for (int field = 0; field < 100; ++field)
        bytes += "X-Trailer: " + std::string (80, 't') + "\r\n";
    EXPECT_EQ (feed (bytes), base::ErrorKind::kHeaderTooLarge);
    EXPECT_LE (m_buffer.size(), kLimits.headerBytes + 100);
}

TEST_F (RequestParserLimitsTest, ChunkExtensionWithoutEndIsRejected)
{
    EXPECT_EQ (feed (std::string (kChunkedHead) + "1;x=" + std::string (5000, 'e')),
               base::ErrorKind::kHeaderTooLarge);
}

TEST_F (RequestParserLimitsTest, ChunkSizeWithoutEndIsRejected)
{
    EXPECT_EQ (feed (std::string (kChunkedHead) + std::string (5000, '0')),
               base::ErrorKind::kHeaderTooLarge);
}

TEST_F (RequestParserLimitsTest, TrailersAsLongAsAHeaderAreAccepted)
{
    const std::string trailer = "X-Trailer: " + std::string (900, 't') + "\r\n";
    EXPECT_EQ (feed (std::string (kChunkedHead) + "2\r\nok\r\n0\r\n" + trailer + "\r\n"),
               std::nullopt);
    ASSERT_EQ (m_parser.state(), RequestParser::State::kDone);
    EXPECT_EQ (m_parser.take().body, "ok");
}

TEST_F (RequestParserLimitsTest, RequestsBehindACompleteOneAreNotFraming)
{
    std::string bytes;
    for (int request = 0; request < 100; ++request)
        bytes += std::string (kChunkedHead) + "2\r\nok\r\n0\r\n\r\n";
    EXPECT_EQ (feed (bytes), std::nullopt);
    EXPECT_EQ (m_parser.state(), RequestParser::State::kDone);
}

}  // namespace
}  // namespace fernlift::proxy::test
