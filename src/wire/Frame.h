#pragma once

/// Frames on TCP between fernlift's processes: length, checksum and channel before each message.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"

namespace fernlift::wire
{

/// What a frame's payload is.
enum class Channel : std::uint8_t
{
    kMember = 1,              ///< consensus::Message
    kRouterToController = 2,  ///< cell::RouterToController
    kControllerToRouter = 3,  ///< cell::ControllerToRouter
};

struct Frame
{
    Channel channel = Channel::kMember;
    std::string payload;
    std::size_t wireBytes = 0;  ///< Size on the connection, header included; set by FrameReader.
};

constexpr std::size_t kMaximumFrameBytes = 64UL * 1024 * 1024;

/// Large payloads are compressed.
[[nodiscard]] std::string encodeFrame (Channel channel, std::string_view payload);

/// Cuts a byte stream into frames. Holds at most one unfinished frame.
class FrameReader
{
public:
    /// Adds received bytes; complete frames are appended to `frames`. Fails with kMessageInvalid on
    /// a bad checksum, an unknown channel or a frame above the limit; the connection must then
    /// close.
    base::Result<void> feed (std::string_view bytes, std::vector<Frame>& frames);

private:
    std::string m_buffer;  ///< Bytes of the frame not yet complete.
};

}  // namespace fernlift::wire
