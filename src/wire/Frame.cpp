#include "wire/Frame.h"

#include <optional>
#include <utility>

#include "base/Compression.h"
#include "base/Digest.h"

namespace fernlift::wire
{
namespace
{

// A frame is a header of 12 bytes, then the payload:
//   0  magic
//   1  version of the frame format
//   2  channel
//   3  encoding of the payload: plain or compressed
//   4  length of the encoded payload, little endian
//   8  checksum of the eight bytes above and of the encoded payload, little endian
constexpr char kMagic = '\xF1';
constexpr char kVersion = 2;
constexpr char kPlain = 0;
constexpr char kCompressed = 1;
constexpr std::size_t kPrefixBytes = 8;
constexpr std::size_t kHeaderBytes = 12;
constexpr std::size_t kChannelOffset = 2;
constexpr std::size_t kFormOffset = 3;
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kBytesInWord = 4;
constexpr unsigned kBitsInByte = 8;

void appendWord (std::string& bytes, std::uint32_t word)
{
    for (std::size_t position = 0; position < kBytesInWord; ++position)
    {
        bytes.push_back (static_cast<char> ((word >> (kBitsInByte * position)) & 0xFFU));
    }
}

std::uint32_t wordAt (std::string_view bytes, std::size_t offset)
{
    std::uint32_t word = 0;
    for (std::size_t position = 0; position < kBytesInWord; ++position)
    {
        const auto byte = static_cast<std::uint8_t> (bytes[offset + position]);
        word |= static_cast<std::uint32_t> (byte) << (kBitsInByte * position);
    }
    return word;
}

std::uint32_t checksumOf (std::string_view prefix, std::string_view payload)
{
    return base::crc32 (prefix) ^ base::crc32 (payload);
}

bool isKnownChannel (char channel)
{
    return channel >= static_cast<char> (Channel::kMember)
           && channel <= static_cast<char> (Channel::kControllerToRouter);
}

base::Result<void> checkPrefix (std::string_view header)
{
    using base::ErrorKind;
    const bool isKnownForm = header[kFormOffset] == kPlain || header[kFormOffset] == kCompressed;
    if (header[0] != kMagic || header[1] != kVersion || ! isKnownForm)
    {
        return base::fail (ErrorKind::kMessageInvalid,
                           "invalid frame header: unexpected magic, version or payload encoding");
    }
    if (! isKnownChannel (header[kChannelOffset]))
    {
        return base::fail (ErrorKind::kMessageInvalid, "frame header names an unknown channel");
    }
    if (wordAt (header, kLengthOffset) > kMaxFrameBytes)
    {
        return base::fail (ErrorKind::kMessageInvalid, "frame exceeds the size limit");
    }
    return {};
}

base::Result<std::string> plainPayload (char form, std::string_view payload)
{
    if (form == kPlain)
        return std::string (payload);
    std::optional<std::string> plain = base::decompress (payload, kMaxFrameBytes);
    if (! plain)
        return base::fail (base::ErrorKind::kMessageInvalid,
                           "payload of a compressed frame is damaged or exceeds the size limit");
    return std::move (*plain);
}

}  // namespace

std::string encodeFrame (Channel channel, std::string_view payload)
{
    std::string compressed;
    if (payload.size() >= base::kCompressionThreshold)
        compressed = base::compress (payload);
    const bool isSmaller = ! compressed.empty() && compressed.size() < payload.size();
    if (isSmaller)
        payload = compressed;
    std::string bytes;
    bytes.reserve (kHeaderBytes + payload.size());
    bytes.push_back (kMagic);
    bytes.push_back (kVersion);
    bytes.push_back (static_cast<char> (channel));
    bytes.push_back (isSmaller ? kCompressed : kPlain);
    appendWord (bytes, static_cast<std::uint32_t> (payload.size()));
    appendWord (bytes, checksumOf (bytes, payload));
    bytes += payload;
    return bytes;
}

base::Result<void> FrameReader::feed (std::string_view bytes, std::vector<Frame>& frames)
{
    m_buffer += bytes;
    std::string_view rest = m_buffer;
    while (rest.size() >= kHeaderBytes)
    {
        BOOST_LEAF_CHECK (checkPrefix (rest));
        const std::size_t length = wordAt (rest, kLengthOffset);
        if (rest.size() < kHeaderBytes + length)
            break;
        const std::string_view payload = rest.substr (kHeaderBytes, length);
        if (wordAt (rest, kPrefixBytes) != checksumOf (rest.substr (0, kPrefixBytes), payload))
        {
            return base::fail (base::ErrorKind::kMessageInvalid, "frame checksum mismatch");
        }
        BOOST_LEAF_AUTO (plain, plainPayload (rest[kFormOffset], payload));
        frames.push_back ({ static_cast<Channel> (rest[kChannelOffset]), std::move (plain),
                            kHeaderBytes + length });
        rest.remove_prefix (kHeaderBytes + length);
    }
    m_buffer.erase (0, m_buffer.size() - rest.size());
    return {};
}

}  // namespace fernlift::wire
