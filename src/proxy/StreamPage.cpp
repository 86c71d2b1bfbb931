#include "proxy/StreamPage.h"

#include <QByteArray>
#include <charconv>
#include <optional>

#include "http/Message.h"

namespace fernlift::proxy
{
namespace
{

/// Takes the text up to the separator, and the separator.
std::string_view takeUpTo (std::string_view& text, char separator)
{
    const std::size_t end = std::min (text.find (separator), text.size());
    const std::string_view taken = text.substr (0, end);
    text.remove_prefix (std::min (end + 1, text.size()));
    return taken;
}

std::optional<StreamNotice> parseLine (std::string_view line)
{
    StreamNotice stream;
    stream.key = takeUpTo (line, ' ');
    const std::string_view time = takeUpTo (line, ' ');
    std::uint32_t milliseconds = 0;
    const auto [end, status] =
        std::from_chars (time.data(), time.data() + time.size(), milliseconds);
    if (stream.key.empty() || status != std::errc() || end != time.data() + time.size())
        return std::nullopt;
    stream.lifetime = base::milliseconds (milliseconds);
    stream.softwareVersion = QByteArray::fromPercentEncoding (http::byteView (line)).toStdString();
    return stream;
}

}  // namespace

std::string formatStreamPage (std::span<const StreamNotice> streams)
{
    std::string text;
    for (const StreamNotice& stream : streams)
    {
        text.append (stream.key).append (" ");
        text.append (std::to_string (base::toMilliseconds (stream.lifetime))).append (" ");
        text.append (http::byteView (stream.softwareVersion).toPercentEncoding().toStdString());
        text.append ("\n");
    }
    return text;
}

base::Result<std::vector<StreamNotice>> parseStreamPage (std::string_view text)
{
    std::vector<StreamNotice> streams;
    while (! text.empty())
    {
        std::optional<StreamNotice> stream = parseLine (takeUpTo (text, '\n'));
        if (! stream)
            return base::fail (base::ErrorKind::kMessageInvalid,
                               "line " + std::to_string (streams.size() + 1)
                                   + " of the list of streams is invalid");
        streams.push_back (std::move (*stream));
    }
    return streams;
}

}  // namespace fernlift::proxy
