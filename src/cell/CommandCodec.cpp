#include "cell/CommandCodec.h"

#include <optional>

#include "base/Compression.h"
#include "wire/Codec.h"
#include "wire/Frame.h"

namespace fernlift::cell
{
namespace
{

/// First byte of a compressed command; other commands begin with the index of their type.
constexpr char kCompressed = '\xFF';
static_assert (std::variant_size_v<Command> < 0xFF);

}  // namespace

std::string encodeCommand (const Command& command)
{
    std::string bytes = wire::encodeMessage (command);
    if (bytes.size() < base::kCompressionThreshold)
        return bytes;
    return kCompressed + base::compress (bytes);
}

base::Result<Command> decodeCommand (std::string_view bytes)
{
    if (! bytes.starts_with (kCompressed))
        return wire::decodeMessage<Command> (bytes);
    const std::optional<std::string> plain =
        base::decompress (bytes.substr (1), wire::kMaxFrameBytes);
    if (! plain)
        return base::fail (base::ErrorKind::kMessageInvalid,
                           "compressed command in the log cannot be decompressed");
    return wire::decodeMessage<Command> (*plain);
}

}  // namespace fernlift::cell
