#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "http/EventSplitter.h"

namespace fernlift::http
{
namespace
{

TEST (EventSplitterTest, HoldsIncompleteEventAndDiscardsItWithStream)
{
    EventSplitter splitter;
    EXPECT_EQ (splitter.feed ("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ (splitter.lastId(), "1");
    EXPECT_EQ (splitter.incompleteBytes(), "id: 2\nda");
    splitter.discardIncomplete();
    EXPECT_EQ (splitter.feed ("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ (splitter.lastId(), "2");
}

TEST (EventSplitterTest, NoIdIsKnownBeforeTheFirstEvent)
{
    EventSplitter splitter;
    EXPECT_EQ (splitter.feed ("data: a"), "");
    EXPECT_FALSE (splitter.lastId());
}

TEST (EventSplitterTest, CommentsAtTheEndAreNoIncompleteEvent)
{
    EventSplitter splitter;
    EXPECT_EQ (splitter.feed ("data: a\n\n: still here\n"), "data: a\n\n");
    EXPECT_FALSE (splitter.isInsideEvent());
    EXPECT_EQ (splitter.incompleteBytes(), ": still here\n");
    EXPECT_EQ (splitter.feed ("data: b\n"), "");
    EXPECT_TRUE (splitter.isInsideEvent());
}

TEST (EventSplitterTest, EventWithoutItsEmptyLineIsIncomplete)
{
    for (const char* const end : { "d", "data: b", "data: b\n", "data: b\r", "data: b\r\n", ": c" })
    {
        EventSplitter splitter;
        EXPECT_EQ (splitter.feed (std::string ("data: a\n\n") + end), "data: a\n\n") << end;
        EXPECT_TRUE (splitter.isInsideEvent()) << end;
    }
}

TEST (EventSplitterTest, EventOfCarriageReturnsIsCompleteWithItsLastByte)
{
    EventSplitter splitter;
    EXPECT_EQ (splitter.feed ("id: 1\rdata: a\r\r"), "id: 1\rdata: a\r\r");
    EXPECT_EQ (splitter.lastId(), "1");
    EXPECT_FALSE (splitter.isInsideEvent());
}

TEST (EventSplitterTest, CutLineEndIsNoEmptyLine)
{
    EventSplitter splitter;
    EXPECT_EQ (splitter.feed ("data: a\r\n\r"), "");
    EXPECT_TRUE (splitter.isInsideEvent());
    EXPECT_EQ (splitter.feed ("\n"), "data: a\r\n\r\n");
    EXPECT_FALSE (splitter.isInsideEvent());
}

RC_GTEST_PROP (EventSplitterTest, AnyChunkingGivesSameBytesAndSameId,
               (const std::vector<std::uint8_t>& cuts))
{
    const auto lineEnd = *rc::gen::element<std::string> ("\n", "\r", "\r\n");
    std::string stream;
    for (int event = 1; event <= 9; ++event)
    {
        stream += "id: " + std::to_string (event) + lineEnd + "data: x" + lineEnd + lineEnd;
    }
    EventSplitter splitter;
    std::string passed;
    std::size_t position = 0;
    std::uint32_t events = 0;
    for (const std::uint8_t cut : cuts)
    {
        const std::size_t length = std::min<std::size_t> (cut, stream.size() - position);
        passed += splitter.feed (std::string_view (stream).substr (position, length));
        events += splitter.count();
        position += length;
    }
    passed += splitter.feed (std::string_view (stream).substr (position));
    RC_ASSERT (passed == stream);
    RC_ASSERT (! splitter.isInsideEvent());
    RC_ASSERT (events + splitter.count() == 9U);
    RC_ASSERT (splitter.lastId() == std::optional<std::string> ("9"));
}

}  // namespace
}  // namespace fernlift::http
