#pragma once

/// Framing of messages on TCP connections between fernlift's processes. A header with length,
/// checksum and channel precedes each message.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"

namespace fernlift::wire
{

/// Type of a frame's payload.
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

constexpr std::size_t kMaxFrameBytes = 64UL * 1024 * 1024;

/// Encodes a frame; compresses large payloads.
[[nodiscard]] std::string encodeFrame (Channel channel, std::string_view payload);

/// Splits a byte stream into frames. Buffers at most one incomplete frame between calls.
class FrameReader
{
public:
    /// Processes received bytes and appends complete frames to `frames`. Fails with kMessageInvalid
    /// on an unknown format or channel, a bad checksum, or a frame above the size limit; the
    /// connection must then be closed.
    base::Result<void> feed (std::string_view bytes, std::vector<Frame>& frames);

private:
    std::string m_buffer;  ///< Bytes of the incomplete frame.
};

}  // namespace fernlift::wire
