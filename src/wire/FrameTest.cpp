#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wire/Frame.h"

namespace fernlift::wire
{
namespace
{

constexpr std::size_t kHeaderBytes = 12;

bool feedSucceeds (FrameReader& reader, std::string_view bytes, std::vector<Frame>& frames)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            BOOST_LEAF_CHECK (reader.feed (bytes, frames));
            return true;
        },
        [] (const base::Error& error)
        {
            EXPECT_EQ (error.kind, base::ErrorKind::kMessageInvalid);
            return false;
        });
}

RC_GTEST_PROP (FrameReader, restoresFramesWhateverTheSplitPoints, ())
{
    const auto payloads = *rc::gen::container<std::vector<std::string>> (
        rc::gen::container<std::string> (rc::gen::arbitrary<char>()));
    std::string stream;
    for (std::size_t position = 0; position < payloads.size(); ++position)
    {
        stream += encodeFrame (static_cast<Channel> (1 + position % 3), payloads[position]);
    }
    FrameReader reader;
    std::vector<Frame> frames;
    std::string_view rest = stream;
    while (! rest.empty())
    {
        const auto piece = *rc::gen::inRange<std::size_t> (1, rest.size() + 1);
        RC_ASSERT (feedSucceeds (reader, rest.substr (0, piece), frames));
        rest.remove_prefix (piece);
    }
    RC_ASSERT (frames.size() == payloads.size());
    for (std::size_t position = 0; position < payloads.size(); ++position)
    {
        RC_ASSERT (frames[position].payload == payloads[position]);
        RC_ASSERT (frames[position].channel == static_cast<Channel> (1 + position % 3));
    }
}

RC_GTEST_PROP (FrameReader, neverDeliversADamagedFrame, ())
{
    const auto payload = *rc::gen::container<std::string> (rc::gen::arbitrary<char>());
    std::string bytes = encodeFrame (Channel::kMember, payload);
    const auto position = *rc::gen::inRange<std::size_t> (0, bytes.size());
    const auto flip = *rc::gen::inRange<int> (1, 256);
    bytes[position] = static_cast<char> (bytes[position] ^ flip);
    FrameReader reader;
    std::vector<Frame> frames;
    static_cast<void> (feedSucceeds (reader, bytes, frames));
    RC_ASSERT (frames.empty());
}

TEST (FrameReader, refusesAnOversizeFrameOnceItsHeaderIsRead)
{
    std::string header = encodeFrame (Channel::kMember, "").substr (0, kHeaderBytes);
    const auto tooLong = static_cast<std::uint32_t> (kMaxFrameBytes + 1);
    for (unsigned position = 0; position < 4; ++position)
    {
        header[4 + position] = static_cast<char> (tooLong >> (8 * position));
    }
    FrameReader reader;
    std::vector<Frame> frames;
    EXPECT_FALSE (feedSucceeds (reader, header, frames));
}

TEST (FrameReader, refusesAnUnknownChannel)
{
    FrameReader reader;
    std::vector<Frame> frames;
    EXPECT_FALSE (feedSucceeds (reader, encodeFrame (static_cast<Channel> (9), "x"), frames));
}

TEST (FrameReader, refusesOtherProtocols)
{
    FrameReader reader;
    std::vector<Frame> frames;
    EXPECT_FALSE (feedSucceeds (reader, "GET / HTTP/1.1\r\n", frames));
}

}  // namespace
}  // namespace fernlift::wire
