#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "router/AnswerReader.h"

namespace fernlift::router
{
namespace
{

template <class Event>
bool is (const AttemptEvent& event)
{
    return std::holds_alternative<Event> (event);
}

/// Returns the events of all pieces, without that of the end of the body.
std::vector<AttemptEvent> readAll (AnswerReader& reader, const std::vector<std::string>& pieces)
{
    std::vector<AttemptEvent> events;
    for (const std::string& piece : pieces)
    {
        for (AttemptEvent& event : reader.read (piece))
            events.push_back (std::move (event));
    }
    return events;
}

std::vector<AttemptEvent> readStream (const std::vector<std::string>& pieces)
{
    TokenStreamReader reader;
    return readAll (reader, pieces);
}

RC_GTEST_PROP (TokenStreamReader, GivesTheSameEventsHoweverTheStreamIsCut, ())
{
    const std::string stream =
        ": comment\n\ndata: {\"offset\":0}\r\n\r\nevent: x\ndata:{\"offset\":1,\"tokens\":3}\n\n"
        "data: [DONE]\n\n";
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < stream.size();)
    {
        const auto size = *rc::gen::inRange<std::size_t> (1, 30);
        pieces.push_back (stream.substr (at, size));
        at += size;
    }
    const std::vector<AttemptEvent> events = readStream (pieces);
    RC_ASSERT (events.size() == 3U);
    const auto& first = std::get<AttemptData> (events[0]);
    const auto& second = std::get<AttemptData> (events[1]);
    RC_ASSERT (first.offset == 0U && first.count == 1U);
    RC_ASSERT (first.data == "data: {\"offset\":0}\n\n");
    RC_ASSERT (second.offset == 1U && second.count == 3U);
    RC_ASSERT (is<AttemptEnded> (events[2]));
}

TEST (TokenStreamReader, IsBrokenWithoutTheLastEvent)
{
    TokenStreamReader reader;
    readAll (reader, { "data: {\"offset\":0}\n\ndata: [DO" });
    EXPECT_TRUE (is<AttemptBroken> (reader.readEnd()));
}

TEST (TokenStreamReader, IsBrokenByAnUnrecognizedEvent)
{
    for (const std::string data :
         { "{\"error\":{}}", "{\"offset\":-1}", "no json", "{\"offset\":\"0\"}" })
    {
        const auto events = readStream ({ "data: " + data + "\n\n", "data: {\"offset\":0}\n\n" });
        ASSERT_EQ (events.size(), 1U) << data;
        EXPECT_TRUE (is<AttemptBroken> (events[0])) << data;
    }
}

TEST (TokenStreamReader, BoundsTheSizeOfAnEvent)
{
    const auto events = readStream (std::vector<std::string> (40, std::string (64UL * 1024, 'x')));
    ASSERT_EQ (events.size(), 1U);
    EXPECT_TRUE (is<AttemptBroken> (events[0]));
}

TEST (PlainBodyReader, StreamThatEndsInsideAnEventIsBroken)
{
    const std::string stream = "data: 1\n\ndata: 2\n\n";
    for (std::size_t length = 0; length <= stream.size(); ++length)
    {
        PlainBodyReader reader (true);
        static_cast<void> (reader.read (stream.substr (0, length)));
        const bool isWhole = std::holds_alternative<AttemptEnded> (reader.readEnd());
        EXPECT_EQ (isWhole, length % (stream.size() / 2) == 0) << "cut after " << length;
    }
}

TEST (PlainBodyReader, CountsBytes)
{
    PlainBodyReader reader (false);
    const auto events = readAll (reader, { "abc", "de" });
    ASSERT_EQ (events.size(), 2U);
    const auto& second = std::get<AttemptData> (events[1]);
    EXPECT_EQ (second.offset, 3U);
    EXPECT_EQ (second.count, 2U);
    EXPECT_EQ (second.data, "de");
    EXPECT_TRUE (is<AttemptEnded> (reader.readEnd()));
}

}  // namespace
}  // namespace fernlift::router
