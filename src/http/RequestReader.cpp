#include "http/RequestReader.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace fernlift::http
{
namespace
{

using base::ErrorKind;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr std::size_t kMaxHeaderFields = 128;
constexpr std::size_t kMaxChunkLine = 256;
constexpr int kHexadecimal = 16;

bool isTokenCharacter (char character)
{
    const bool isDigit = character >= '0' && character <= '9';
    const bool isUpper = character >= 'A' && character <= 'Z';
    const bool isLower = character >= 'a' && character <= 'z';
    constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
    return isDigit || isUpper || isLower || kOthers.find (character) != std::string_view::npos;
}

bool isToken (std::string_view text)
{
    return ! text.empty() && std::all_of (text.begin(), text.end(), isTokenCharacter);
}

bool isTargetCharacter (char character) { return character > ' ' && character != '\x7f'; }

bool isValueCharacter (char character)
{
    const auto code = static_cast<unsigned char> (character);
    return code == '\t' || (code >= ' ' && code != 0x7f);
}

std::string_view trim (std::string_view text)
{
    const std::size_t first = text.find_first_not_of (" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr (first, text.find_last_not_of (" \t") - first + 1);
}

/// Parses all of `text` as a number; nothing on any other character or on overflow.
std::optional<std::size_t> parseNumber (std::string_view text, int numberBase)
{
    std::size_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, status] = std::from_chars (text.data(), end, number, numberBase);
    if (text.empty() || status != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

/// Whether a comma-separated list of tokens contains `token`.
bool listContains (std::string_view list, std::string_view token)
{
    while (! list.empty())
    {
        const std::size_t comma = std::min (list.find (','), list.size());
        if (equalsIgnoringCase (trim (list.substr (0, comma)), token))
            return true;
        list.remove_prefix (std::min (comma + 1, list.size()));
    }
    return false;
}

/// Fields that the reader handles itself and leaves out of the canonical form.
bool isFramingField (std::string_view name)
{
    return equalsIgnoringCase (name, "Transfer-Encoding")
           || equalsIgnoringCase (name, "Content-Length") || equalsIgnoringCase (name, "Expect")
           || equalsIgnoringCase (name, "Upgrade") || equalsIgnoringCase (name, "Connection");
}

}  // namespace

std::size_t RequestReader::feed (std::string_view bytes)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size())
    {
        const std::string_view rest = bytes.substr (consumed);
        if (m_state == State::kIdle || m_state == State::kHeaders)
        {
            consumed += feedHeaders (rest);
        }
        else if (m_state == State::kBody)
        {
            consumed += feedBody (rest);
        }
        else
        {
            break;
        }
    }
    return consumed;
}

std::size_t RequestReader::feedHeaders (std::string_view bytes)
{
    if (m_state == State::kIdle && (bytes.front() == '\r' || bytes.front() == '\n'))
        return 1;
    m_state = State::kHeaders;
    const std::size_t before = m_headerBlock.size();
    const std::size_t room = m_limits.headerBytes + 1 - std::min (before, m_limits.headerBytes);
    m_headerBlock += bytes.substr (0, room);
    const std::size_t searchFrom = before < kHeaderEnd.size() ? 0 : before - kHeaderEnd.size() + 1;
    const std::size_t end = m_headerBlock.find (kHeaderEnd, searchFrom);
    if (end == std::string::npos)
    {
        if (m_headerBlock.size() > m_limits.headerBytes)
        {
            fail (ErrorKind::kHeaderTooLarge, "the header block is larger than "
                                                  + std::to_string (m_limits.headerBytes)
                                                  + " bytes");
        }
        return m_headerBlock.size() - before;
    }
    m_headerBlock.resize (end + kLineEnd.size());
    parseHeaderBlock();
    return end + kHeaderEnd.size() - before;
}

void RequestReader::parseHeaderBlock()
{
    std::string_view rest = m_headerBlock;
    bool isRequestLine = true;
    while (! rest.empty())
    {
        const std::size_t end = rest.find (kLineEnd);
        const std::string_view line = rest.substr (0, end);
        rest.remove_prefix (end + kLineEnd.size());
        if (! (isRequestLine ? parseRequestLine (line) : parseHeaderLine (line)))
            return;
        isRequestLine = false;
    }
    beginBody();
}

bool RequestReader::parseRequestLine (std::string_view line)
{
    const std::size_t firstSpace = line.find (' ');
    const std::size_t lastSpace = line.rfind (' ');
    const bool hasThreeParts = firstSpace != std::string_view::npos && firstSpace < lastSpace;
    if (! hasThreeParts)
    {
        fail (ErrorKind::kInvalidRequest, "the request line is malformed");
        return false;
    }
    const std::string_view version = line.substr (lastSpace + 1);
    m_method = line.substr (0, firstSpace);
    m_target = line.substr (firstSpace + 1, lastSpace - firstSpace - 1);
    m_isVersion10 = version == "HTTP/1.0";
    const bool isVersionKnown = m_isVersion10 || version == "HTTP/1.1";
    const bool isTargetValid = (m_target.starts_with ('/') || m_target == "*")
                               && std::all_of (m_target.begin(), m_target.end(), isTargetCharacter);
    if (! isToken (m_method) || ! isTargetValid || ! isVersionKnown)
    {
        fail (ErrorKind::kInvalidRequest, "the request line is malformed");
        return false;
    }
    return true;
}

bool RequestReader::parseHeaderLine (std::string_view line)
{
    const std::size_t colon = std::min (line.find (':'), line.size());
    const std::string_view name = line.substr (0, colon);
    const std::string_view value =
        colon < line.size() ? line.substr (colon + 1) : std::string_view();
    const bool isValid = colon < line.size() && isToken (name)
                         && std::all_of (value.begin(), value.end(), isValueCharacter);
    if (! isValid)
    {
        fail (ErrorKind::kInvalidRequest, "a header field is malformed");
        return false;
    }
    if (m_headers.fields().size() >= kMaxHeaderFields)
    {
        fail (ErrorKind::kHeaderTooLarge,
              "more than " + std::to_string (kMaxHeaderFields) + " header fields");
        return false;
    }
    m_headers.add (std::string (name), std::string (trim (value)));
    return true;
}

void RequestReader::beginBody()
{
    const bool hasLength = m_headers.contains ("Content-Length");
    const bool hasEncoding = m_headers.contains ("Transfer-Encoding");
    if (hasLength && hasEncoding)
    {
        fail (ErrorKind::kUnsupportedFraming, "both Content-Length and Transfer-Encoding");
        return;
    }
    if (m_headers.count ("Host") > 1 || (m_headers.count ("Host") == 0 && ! m_isVersion10))
    {
        fail (ErrorKind::kInvalidRequest, "exactly one Host field is required");
        return;
    }
    m_state = State::kBody;
    if (hasEncoding)
    {
        beginChunkedBody();
    }
    else if (hasLength)
    {
        beginPlainBody();
    }
    else
    {
        m_state = State::kComplete;
    }
}

void RequestReader::beginPlainBody()
{
    const auto length = parseNumber (m_headers.value ("Content-Length"), 10);
    if (m_headers.count ("Content-Length") > 1 || ! length)
    {
        fail (ErrorKind::kUnsupportedFraming, "Content-Length is not one whole number");
        return;
    }
    if (*length > m_limits.bodyBytes)
    {
        fail (ErrorKind::kBodyTooLarge,
              "the body is larger than " + std::to_string (m_limits.bodyBytes) + " bytes");
        return;
    }
    m_bodyPart = BodyPart::kPlain;
    m_remaining = *length;
    if (m_remaining == 0)
        m_state = State::kComplete;
}

void RequestReader::beginChunkedBody()
{
    const bool isChunked = m_headers.count ("Transfer-Encoding") == 1
                           && equalsIgnoringCase (m_headers.value ("Transfer-Encoding"), "chunked");
    if (! isChunked || m_isVersion10)
    {
        fail (ErrorKind::kUnsupportedFraming,
              "unsupported transfer coding: only chunked is supported");
        return;
    }
    m_bodyPart = BodyPart::kChunkSize;
}

std::size_t RequestReader::feedBody (std::string_view bytes)
{
    const bool isData = m_bodyPart == BodyPart::kPlain || m_bodyPart == BodyPart::kChunkData;
    return isData ? feedData (bytes) : feedLine (bytes);
}

std::size_t RequestReader::feedData (std::string_view bytes)
{
    const std::string_view part = bytes.substr (0, m_remaining);
    m_body += part;
    m_remaining -= part.size();
    if (m_remaining > 0)
        return part.size();
    if (m_bodyPart == BodyPart::kPlain)
    {
        m_state = State::kComplete;
    }
    else
    {
        m_bodyPart = BodyPart::kChunkEnd;
    }
    return part.size();
}

std::size_t RequestReader::feedLine (std::string_view bytes)
{
    const std::size_t feedPosition = bytes.find ('\n');
    const std::size_t taken =
        feedPosition == std::string_view::npos ? bytes.size() : feedPosition + 1;
    if (m_line.size() + taken > kMaxChunkLine)
    {
        fail (ErrorKind::kInvalidRequest, "a line of the chunked body is too long");
        return taken;
    }
    m_line += bytes.substr (0, taken);
    if (feedPosition == std::string_view::npos)
        return taken;
    if (! m_line.ends_with (kLineEnd))
    {
        fail (ErrorKind::kInvalidRequest, "a line of the chunked body ends without CR");
        return taken;
    }
    const std::string line = std::exchange (m_line, {});
    onChunkLine (std::string_view (line).substr (0, line.size() - kLineEnd.size()));
    return taken;
}

void RequestReader::onChunkLine (std::string_view line)
{
    if (m_bodyPart == BodyPart::kChunkSize)
    {
        onChunkSize (line);
    }
    else if (m_bodyPart == BodyPart::kChunkEnd)
    {
        if (line.empty())
        {
            m_bodyPart = BodyPart::kChunkSize;
        }
        else
        {
            fail (ErrorKind::kInvalidRequest, "a chunk is longer than its size");
        }
    }
    else if (line.empty())
    {
        m_state = State::kComplete;
    }
    else
    {
        m_trailerBytes += line.size();
        if (m_trailerBytes > m_limits.headerBytes)
        {
            fail (ErrorKind::kHeaderTooLarge, "the trailer section is too large");
        }
    }
}

void RequestReader::onChunkSize (std::string_view line)
{
    const std::string_view digits = trim (line.substr (0, std::min (line.find (';'), line.size())));
    const auto size = parseNumber (digits, kHexadecimal);
    if (! size)
    {
        fail (ErrorKind::kInvalidRequest, "a chunk size is malformed");
    }
    else if (*size > m_limits.bodyBytes - m_body.size())
    {
        fail (ErrorKind::kBodyTooLarge,
              "the body is larger than " + std::to_string (m_limits.bodyBytes) + " bytes");
    }
    else
    {
        m_remaining = *size;
        m_bodyPart = *size == 0 ? BodyPart::kTrailers : BodyPart::kChunkData;
    }
}

bool RequestReader::wantsClose() const
{
    const std::string connection = m_headers.value ("Connection");
    if (listContains (connection, "close"))
        return true;
    return m_isVersion10 && ! listContains (connection, "keep-alive");
}

bool RequestReader::expectsContinue() const
{
    return ! m_isVersion10 && equalsIgnoringCase (m_headers.value ("Expect"), "100-continue");
}

std::size_t RequestReader::keptBytes() const
{
    return m_headerBlock.size() + m_headers.fields().size() * sizeof (Header) + m_body.capacity()
           + m_line.size();
}

std::string RequestReader::takeCanonicalBytes()
{
    std::string bytes = m_method + ' ' + m_target + " HTTP/1.1\r\n";
    for (const Header& field : m_headers.fields())
    {
        if (! isFramingField (field.name))
            bytes += field.name + ": " + field.value + "\r\n";
    }
    bytes += "Content-Length: " + std::to_string (m_body.size()) + "\r\n\r\n";
    bytes += std::exchange (m_body, {});
    return bytes;
}

void RequestReader::reset() { *this = RequestReader (m_limits); }

void RequestReader::fail (base::ErrorKind kind, std::string message)
{
    m_state = State::kFailed;
    m_error = base::Error{ kind, std::move (message) };
}

}  // namespace fernlift::http
